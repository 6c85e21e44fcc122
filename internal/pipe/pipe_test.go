package pipe_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/platform"
)

// serve accepts connections and answers each request with what answer returns.
func serve(t *testing.T, answer func(conn, request int, r *http.Request) string) string {
	t.Helper()
	return serveCounted(t, answer, func(int) {})
}

// serveCounted is serve with a function that gets 1 for each connection that is
// opened and -1 for each that is closed.
func serveCounted(t *testing.T, answer func(conn, request int, r *http.Request) string, count func(int)) string {
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
			count(1)
			go func() {
				defer count(-1)
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for i := 0; ; i++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					text := answer(n, i, r)
					if text == "" {
						return
					}
					if _, err := c.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n"))); err != nil {
						return
					}
					if strings.Contains(text, "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return lis.Addr().String()
}

func ok(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nRequest-Id: %s\nServer-Stamp: s-%s\nContent-Length: %d\n\n%s",
		r.Header.Get("Request-Id"), r.Header.Get("Request-Id"), len(body), body)
}

// call makes one call and waits for its outcome.
func call(t *testing.T, p *pipe.Pool, address, instance, id string) pipe.Outcome {
	t.Helper()
	return callWithin(t, p, address, instance, id, 2*time.Second)
}

func callWithin(t *testing.T, p *pipe.Pool, address, instance, id string, limit time.Duration) pipe.Outcome {
	t.Helper()
	done := make(chan pipe.Outcome, 1)
	p.Start(pipe.Call{
		Address:  address,
		Instance: instance,
		ID:       ident.RequestID(id),
		Method:   http.MethodGet,
		Limit:    limit,
		Head: func(verify bool) []byte {
			head := []byte("GET /x HTTP/1.1\r\nHost: a.example\r\n")
			named := ident.Upstream("")
			if verify {
				named = ident.Upstream(instance)
			}
			return append(platform.AppendCall(head, ident.RequestID(id), time.Second, named, ""), "\r\n"...)
		},
		Parse: platform.AnswerOf,
		Done:  func(o pipe.Outcome) { done <- o },
	})
	select {
	case o := <-done:
		return o
	case <-time.After(5 * time.Second):
		t.Fatal("the call did not end")
	}
	return pipe.Outcome{}
}

// Guards against using a connection to one upstream for calls to another after
// the address was reassigned.
func TestConnectionsAreKeptByInstance(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(conn, _ int, r *http.Request) string { return ok(r, fmt.Sprint(conn)) })
	p := pipe.NewPool()
	is.Equal(string(call(t, p, address, "i-1", "r1").Body), "0")
	is.Equal(string(call(t, p, address, "i-1", "r2").Body), "0")
	is.Equal(string(call(t, p, address, "i-2", "r3").Body), "1")
	is.Equal(p.Dials(), int64(2))
}

// Guards against treating a connection as verified after a rejection, which an
// upstream may send before it compares its name.
func TestRejectionDoesNotVerify(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_, request int, r *http.Request) string {
		if request == 0 {
			return fmt.Sprintf("HTTP/1.1 503 Full\nRequest-Id: %s\nNot-Executed: shed\nContent-Length: 0\n\n", r.Header.Get("Request-Id"))
		}
		return ok(r, r.Header.Get("Expected-Instance"))
	})
	p := pipe.NewPool()
	is.Equal(call(t, p, address, "i-1", "r1").Result, relay.Rejected)
	is.Equal(string(call(t, p, address, "i-1", "r2").Body), "i-1")
	is.Equal(string(call(t, p, address, "i-1", "r3").Body), "")
	is.Equal(p.Dials(), int64(1))
}

// Guards against returning a late answer to an earlier request as the answer to
// the current one.
func TestLateExtraAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_, request int, r *http.Request) string {
		text := ok(r, "right")
		if request == 1 {
			return "HTTP/1.1 200 OK\nRequest-Id: r1\nServer-Stamp: s\nContent-Length: 5\n\nwrong" + text
		}
		return text
	})
	p := pipe.NewPool()
	call(t, p, address, "i-1", "r1")
	is.Equal(string(call(t, p, address, "i-1", "r2").Body), "right")
}

// Guards against reading extra bytes after an answer as the next answer.
func TestUnrequestedBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(conn, _ int, r *http.Request) string { return ok(r, fmt.Sprint(conn)) + "rubbish" })
	p := pipe.NewPool()
	call(t, p, address, "i-1", "r1")
	is.Equal(string(call(t, p, address, "i-1", "r2").Body), "1")
}

// Guards against accepting a truncated, invalid, encoded or unsigned answer.
func TestBrokenAnswersAreLost(t *testing.T) {
	for name, text := range map[string]string{
		"cut":      "HTTP/1.1 200 OK\nServer-Stamp: s\nContent-Length: 50\nConnection: close\n\nhalf",
		"garbage":  "no protocol\nConnection: close\n\n",
		"unsigned": "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
		"encoded":  "HTTP/1.1 200 OK\nServer-Stamp: s\nContent-Encoding: gzip\nContent-Length: 4\n\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(int, int, *http.Request) string { return text })
			is.Equal(call(t, pipe.NewPool(), address, "i-1", "r1").Result, relay.Lost)
		})
	}
}

// Guards against counting a refused connection as a request that may have run.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := lis.Addr().String()
	is.NoErr(lis.Close())
	is.Equal(call(t, pipe.NewPool(), address, "i-1", "r1").Result, relay.Unsent)
}

// Guards against closing a reusable connection because the answer arrived before
// the writer had recorded the request as written, as happens on a busy host.
func TestEarlyAnswerKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_, _ int, r *http.Request) string { return ok(r, "x") })
	p := pipe.NewPool()
	for i := range 3000 {
		is.Equal(call(t, p, address, "i-1", fmt.Sprint("r", i)).Result, relay.Good)
	}
	is.Equal(p.Dials(), int64(1))
}

// Guards against taking a call that was stopped, or an answer that breaks off, for
// the crash of the upstream.
func TestConnectionThatEndsWithoutAnAnswerIsACrash(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct {
		answer  string
		crashed bool
	}{
		{"Connection: close", false}, // bytes that are no answer
		{"", true},
		{"HTTP/1.1 200 OK\nConnection: close\nContent-Length: 9\n\nx", false},
	} {
		address := serve(t, func(_, _ int, r *http.Request) string {
			return row.answer
		})
		is.Equal(call(t, pipe.NewPool(), address, "u", "r-1").Crashed, row.crashed)
	}
}
