package pipe_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// Guards against an upstream that crashes in the middle of its answers and is never
// counted, and against counting one that only breaks off its answers and serves on.
func TestUpstreamThatEndsInAnAnswerIsACrash(t *testing.T) {
	const head = "HTTP/1.1 200 OK\nServer-Stamp: s\n"
	for _, row := range []struct {
		name, answer string
		ends         bool
		crashed      bool
	}{
		{"ends in the head", head + "Content-", true, true},
		{"ends in the body", head + "Content-Length: 9\n\nx", true, true},
		{"ends in a chunk", head + "Transfer-Encoding: chunked\n\n5\nx", true, true},
		{"breaks off in the head", head + "Content-", false, false},
		{"breaks off in the body", head + "Content-Length: 9\n\nx", false, false},
		{"breaks off in a chunk", head + "Transfer-Encoding: chunked\n\n5\nx", false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = lis.Close() }()
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = c.Close() }()
						if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
							return
						}
						_, _ = c.Write([]byte(strings.ReplaceAll(row.answer, "\n", "\r\n")))
						if row.ends {
							_ = lis.Close()
						}
					}()
				}
			}()
			p := pipe.NewPool()
			defer p.CloseExcept(nil)
			o := call(t, p, lis.Addr().String(), "u", "r-1")
			is.Equal(o.Result, relay.Lost)
			is.Equal(o.Crashed, row.crashed)
		})
	}
}
