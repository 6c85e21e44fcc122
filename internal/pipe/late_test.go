package pipe_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// Guards against a request that is sent although its time is over, as by a process that
// was paused after it had decided to send it.
func TestCallWithoutTimeIsNotSent(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 10)
	address := serve(t, func(_, _ int, r *http.Request) string {
		got <- r.Header.Get("Request-Id")
		return ok(r, "body")
	})
	p := pipe.NewPool()
	is.Equal(call(t, p, address, "i-1", "kept").Result, relay.Good)
	is.Equal(<-got, "kept")
	for _, limit := range []time.Duration{-time.Second, time.Nanosecond} {
		is.Equal(callWithin(t, p, address, "i-1", "late", limit).Result, relay.Unsent)
	}
	is.Equal(call(t, p, address, "i-1", "next").Result, relay.Good)
	is.Equal(<-got, "next") // the late ones were not sent
	is.Equal(p.Dials(), int64(1))
}
