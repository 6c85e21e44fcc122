package dial

import "time"

const (
	defaultDialTimeout  = time.Second
	defaultProbeTimeout = time.Second
	defaultProbes       = 64

	// probeWait bounds a probe with its wait for a connection. It is below the
	// 3 s after which the engine gives a probe up.
	probeWait = 2500 * time.Millisecond

	// placeWait bounds the wait for a connection while all are in use. Attempts
	// end by their own deadline; the transport waits on for the next one.
	placeWait = 3 * time.Second

	// maxHeader bounds the header of an answer.
	maxHeader = 16 << 10 // bytes

	// maxIdle is above any connection share, so only Warm bounds a pool.
	maxIdle = 10_000

	// lingerLimit bounds the wait for an upstream to close its end of a
	// connection that this host has closed.
	lingerLimit = 500 * time.Millisecond

	firstRedial = 50 * time.Millisecond
	lastRedial  = 2 * time.Second

	readBuffer  = 4 << 10 // bytes
	writeBuffer = 4 << 10 // bytes
)
