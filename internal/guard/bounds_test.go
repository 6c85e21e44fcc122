package guard_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/guard"
)

// Guards against a single request inside the limits that is refused since the bounds have
// no room for it.
func TestLargestRequestIsServed(t *testing.T) {
	for _, memory := range []int{guard.MinMemory, 64, 128, 1024, 0} {
		for name, c := range map[string]struct {
			bounds     guard.Config
			head, body int
		}{
			"caller":   {guard.CallerBounds(memory, 0), 16 << 10, 1 << 20},
			"operator": {guard.OperatorBounds(memory, 0, 8<<20), 64 << 10, 8 << 20},
		} {
			t.Run(fmt.Sprintf("%s with %d MB", name, memory), func(t *testing.T) {
				is := is.New(t)
				raw, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				s := &server{
					t:       t,
					guard:   guard.New(c.bounds),
					address: raw.Addr().String(),
				}
				lis := s.guard.Wrap(raw)
				srv := &http.Server{
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						body, err := guard.ReadBody(w, r, int64(c.body))
						switch {
						case err != nil:
							w.WriteHeader(guard.Status(err))
						case !guard.Of(r).Complete(len(body)):
							guard.Refuse(w)
						}
					}),
					ConnState:      lis.ConnState(nil),
					ConnContext:    guard.ConnContext,
					MaxHeaderBytes: guard.MaxHeaderBytes,
				}
				served := make(chan error, 1)
				go func() { served <- srv.Serve(lis) }()
				defer func() {
					_ = srv.Close()
					is.True(errors.Is(<-served, http.ErrServerClosed))
				}()
				start := fmt.Sprintf("POST / HTTP/1.1\nHost: a\nContent-Length: %d\n", c.body)
				odd := strings.Repeat("a:\n", (c.head-len(start))/3)
				conn, in := s.dial()
				got, _ := status(conn, in, start+odd+"\n"+strings.Repeat("x", c.body))
				is.Equal(got, http.StatusOK)
			})
		}
	}
}
