package pipe_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// Guards against a second copy of an answer that passes for the answer to the next
// call: a part of it, split at any byte, comes at once, and the rest between the two
// calls, when the second one is sent, or never. The first answer is a success, a
// rejection, or one by another upstream at the address. Upstreams echo the id.
func TestCopySplitAnywhereIsNotTheNextAnswer(t *testing.T) {
	const (
		between, beside, never = 0, 1, 2 // when the rest of the copy comes
	)
	for name, first := range map[string]string{
		"success":   "HTTP/1.1 200 OK\nRequest-Id: r1\nServer-Stamp: s\nContent-Length: 5\n\nwrong",
		"rejection": "HTTP/1.1 503 Full\nRequest-Id: r1\nNot-Executed: shed\nContent-Length: 0\n\n",
		"moved":     "HTTP/1.1 421 Moved\nRequest-Id: r1\nNot-Executed: 1\nContent-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.ReplaceAll(first, "\n", "\r\n")
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = lis.Close() }()
			var split, moment atomic.Int64
			served := make(chan struct{}, 1)
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					go func() {
						split, moment := split.Load(), moment.Load()
						defer func() { _ = c.Close() }()
						in := bufio.NewReader(c)
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						if r.Header.Get("Request-Id") == "r1" {
							_, _ = c.Write([]byte(text + text[:split]))
							if moment == between {
								_, _ = c.Write([]byte(text[split:]))
							}
							served <- struct{}{}
							if r, err = http.ReadRequest(in); err != nil {
								return
							}
							if moment == beside {
								_, _ = c.Write([]byte(text[split:]))
							}
						}
						_, _ = c.Write([]byte(strings.ReplaceAll(ok(r, "right"), "\n", "\r\n")))
					}()
				}
			}()
			for at := range len(text) {
				split.Store(int64(at))
				for _, m := range []int64{between, beside, never} {
					moment.Store(m)
					for _, wait := range []time.Duration{0, 200 * time.Microsecond} {
						p := pipe.NewPool()
						call(t, p, lis.Addr().String(), "u", "r1")
						<-served
						time.Sleep(wait)
						o := call(t, p, lis.Addr().String(), "u", "r2")
						if o.Result != relay.Unsent && o.Result != relay.Lost {
							is.Equal(fmt.Sprint(o.Result, string(o.Body)), "Goodright")
						}
						p.CloseExcept(nil)
					}
				}
			}
		})
	}
}
