package pipe_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// Guards against an answer with a status that HTTP does not have, or that ends HTTP on the
// connection, which reaches a caller, counts as not run, or is waited for until the
// deadline as if it were an interim one.
func TestInvalidStatusIsALostAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, line := range []string{"", "Not-Executed: 1\n"} {
			t.Run(status+line, func(t *testing.T) {
				is := is.New(t)
				address := serve(t, func(conn, _ int, r *http.Request) string {
					if conn > 0 {
						return ok(r, "good")
					}
					return fmt.Sprintf("HTTP/1.1 %s X\nServer-Stamp: s\n%sContent-Length: 0\n\n", status, line)
				})
				p := pipe.NewPool()
				start := time.Now()
				o := callWithin(t, p, address, "i-1", "r1", 4*time.Second)
				is.Equal(o.Result, relay.Lost)
				is.True(!o.Crashed && !o.Endless)
				is.Equal(o.Answer.Status, 0)
				is.True(time.Since(start) < 2*time.Second) // not at the deadline
				is.Equal(call(t, p, address, "i-1", "r2").Result, relay.Good)
				is.Equal(p.Dials(), int64(2))
			})
		}
	}
}

// Guards against an interim answer that counts as the final one.
func TestInterimAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_, _ int, r *http.Request) string {
		return "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: x\n\n" + ok(r, "good")
	})
	p := pipe.NewPool()
	is.Equal(string(call(t, p, address, "i-1", "r1").Body), "good")
	is.Equal(string(call(t, p, address, "i-1", "r2").Body), "good")
	is.Equal(p.Dials(), int64(1))
}
