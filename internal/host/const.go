package host

import (
	"time"

	"github.com/jujubethread/jujubethread/internal/wire"
)

const (
	defaultGrace         = 2 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 5 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second

	defaultMaxHeader   = 16 << 10 // bytes
	defaultMaxBody     = wire.MaxFilingBytes
	defaultMaxRequests = 4096

	// filingLimit bounds the time a caller of a filing waits. It is below the
	// 30 s after which a reservation becomes Unknown.
	filingLimit = 20 * time.Second

	// settleTime is how long requests are held back before the listener closes.
	settleTime = 100 * time.Millisecond

	// showInterval is how often gauges are set.
	showInterval = time.Second

	retryAfterSeconds = "1"
)
