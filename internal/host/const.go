package host

import "time"

const (
	defaultGrace         = 2 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 5 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second

	defaultMaxHeader   = 16 << 10 // bytes
	defaultMaxBody     = 256 << 10
	defaultMaxRequests = 4096

	maxRequestID = 128 // bytes
	maxLimit     = 10_000

	maxDeadlineMillis = 600_000

	// filingLimit bounds a filing from its reservation to its record. It is
	// below the 30 s after which a reservation becomes Unknown.
	filingLimit = 20 * time.Second

	// sendWindow is how long after its reservation a filing may be sent,
	// measured by this host's clock.
	sendWindow = 5 * time.Second

	// settleLimit bounds the recording of an outcome after the caller left.
	settleLimit = 5 * time.Second

	retryAfterSeconds = "1"
)
