package dial

import "time"

const (
	defaultMaxAnswer    = 4 << 20 // bytes
	defaultDialTimeout  = time.Second
	defaultProbeTimeout = time.Second
	defaultProbes       = 16

	// maxErrorBody bounds the body of an answer that is not 200.
	maxErrorBody = 64 << 10 // bytes

	// maxHeader bounds the header of an answer.
	maxHeader = 16 << 10 // bytes

	// maxIdle is above any connection share, so only Warm bounds a pool.
	maxIdle = 10_000

	firstRedial = 50 * time.Millisecond
	lastRedial  = 2 * time.Second

	readBuffer  = 4 << 10 // bytes
	writeBuffer = 4 << 10 // bytes
)
