package dial

import "time"

const (
	defaultDialTimeout  = time.Second
	defaultProbeTimeout = time.Second
	defaultMaxProbes    = 64

	// probeTotalTimeout bounds a probe including its wait for a connection. It is
	// below the 3 s after which the engine considers a probe failed.
	probeTotalTimeout = 2500 * time.Millisecond

	// connWaitTimeout bounds the wait for a connection while all are in use. An
	// attempt ends at its own deadline, but the transport keeps waiting, to use
	// the connection for the next request.
	connWaitTimeout = 3 * time.Second

	// goneTimeout bounds the check whether an upstream that broke off an answer still
	// accepts connections.
	goneTimeout = 100 * time.Millisecond

	// maxResponseHeader bounds the header of a response.
	maxResponseHeader = 16 << 10 // bytes

	// maxStatus is the highest status that HTTP has.
	maxStatus = 599

	// maxHeld bounds the bytes of all unfinished large answers.
	maxHeld = 8 << 20

	// maxIdleConns is above any connection share, so that only Warm limits the
	// size of a pool.
	maxIdleConns = 10_000

	// lingerTimeout bounds the wait for an upstream to close its end of a
	// connection that this host has closed.
	lingerTimeout = 500 * time.Millisecond

	// lingerBytes bounds what is read meanwhile. Beyond it the connection is
	// reset, which an upstream notices at its next write.
	lingerBytes = 64 << 10

	// The backoff between failed dials doubles between these bounds.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second

	readBufferSize  = 4 << 10 // bytes
	writeBufferSize = 4 << 10 // bytes
)
