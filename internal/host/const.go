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

	// maxFilingTime bounds the time in which the caller of a filing is answered.
	// It is below the 30 s after which a reservation becomes Unknown.
	maxFilingTime = 20 * time.Second

	// closeDelay is the time between the refusal of new requests and the close of
	// the listener. Requests that arrive meanwhile are answered at the close.
	closeDelay = 100 * time.Millisecond

	// gaugeInterval is how often gauges are set.
	gaugeInterval = time.Second

	retryAfterSeconds = "1"
)
