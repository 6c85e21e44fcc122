package pipe_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// serveCut accepts connections and answers each request with the first bytes of a
// whole answer, one more with each connection, and then closes or resets it.
func serveCut(t *testing.T, whole string, reset bool) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(whole[:min(n, len(whole))]))
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return lis.Addr().String()
}

// Guards against an answer that breaks off anywhere, in its head or in its body,
// and is taken for a whole one.
func TestAnswerThatBreaksOffAnywhereIsLost(t *testing.T) {
	for name, whole := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 32\r\n\r\n" + strings.Repeat("record..", 4),
		"chunks": "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nrecord..record..\r\n10\r\nrecord..record..\r\n0\r\n\r\n",
		"empty":  "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", name, reset), func(t *testing.T) {
				is := is.New(t)
				address, p := serveCut(t, whole, reset), pipe.NewPool()
				for range whole {
					o := call(t, p, address, "i-1", "r1")
					is.Equal(o.Result, relay.Lost)
					is.Equal(len(o.Body), 0)
				}
			})
		}
	}
}

// Guards against a success that the end of the connection ends: an upstream that stops in
// the middle of it would pass for one that is done. Failures are passed on without.
func TestSuccessWithoutALengthIsLost(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n"
	whole := head + strings.Repeat("record..", 4)
	address, p := serveCut(t, whole, false), pipe.NewPool()
	for range len(whole) + 1 {
		o := call(t, p, address, "i-1", "r1")
		is.Equal(o.Result, relay.Lost)
		is.Equal(len(o.Body), 0)
	}
	address = serve(t, func(int, int, *http.Request) string { return "HTTP/1.1 500 Failed\nConnection: close\n\nsorry" })
	o := call(t, p, address, "i-1", "r1")
	is.Equal(o.Result, relay.Bad)
	is.Equal(string(o.Body), "sorry")
	address = serve(t, func(int, int, *http.Request) string {
		return "HTTP/1.1 204 No Content\nServer-Stamp: s\nConnection: close\n\n"
	})
	is.Equal(call(t, p, address, "i-1", "r1").Result, relay.Good)
}

// Guards against an idle connection to an upstream that leaves: it is kept after
// the answer that says so, or it stays open after another one has said so.
func TestConnectionToALeavingUpstreamIsClosed(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(conn, request int, r *http.Request) string {
		text := ok(r, fmt.Sprint(conn))
		if conn == 0 && request == 1 {
			text = strings.Replace(text, "Server-Stamp", "Server-Leaving: 1\nServer-Stamp", 1)
		}
		return text
	})
	p := pipe.NewPool()
	is.Equal(string(call(t, p, address, "i-1", "r1").Body), "0")
	o := call(t, p, address, "i-1", "r2")
	is.True(o.Answer.Leaving)
	is.Equal(string(call(t, p, address, "i-1", "r3").Body), "1")
	p.CloseInstance("i-2")
	is.Equal(string(call(t, p, address, "i-1", "r4").Body), "1")
	p.CloseInstance("i-1")
	is.Equal(string(call(t, p, address, "i-1", "r5").Body), "2")
}
