package guard_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/accept"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/pkg/memory"
)

const (
	timeout  = 20 * time.Second
	maxBody  = 100_000
	maxHead  = 4096
	idleTime = time.Second
	stall    = 300 * time.Millisecond
)

type server struct {
	t       *testing.T
	guard   *guard.Guard
	address string
	// hold keeps the handlers of requests for /hold until it is closed.
	hold chan struct{}
}

func start(t *testing.T, bytes int64, connections int) *server {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server{
		t: t,
		guard: guard.New(guard.Config{
			Bytes:        bytes,
			Connections:  connections,
			StallTimeout: stall,
			Limits: func() guard.Limits {
				return guard.Limits{
					HeadBytes:   maxHead,
					HeadTimeout: stall,
					IdleTimeout: idleTime,
				}
			},
		}),
		address: raw.Addr().String(),
		hold:    make(chan struct{}),
	}
	inner := accept.Wrap(raw)
	lis := s.guard.Wrap(inner)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := guard.ReadBody(w, r, maxBody)
			switch {
			case err != nil && guard.Status(err) == http.StatusServiceUnavailable:
				guard.Refuse(w)
				return
			case err != nil:
				w.WriteHeader(guard.Status(err))
				return
			case !guard.Of(r).Complete(len(body)):
				guard.Refuse(w)
				return
			case r.URL.Path == "/hold":
				<-s.hold
			}
			guard.Of(r).Answer(len(body))
			_, _ = w.Write(body)
		}),
		ConnState:      lis.ConnState(inner.ConnState),
		ConnContext:    guard.ConnContext,
		MaxHeaderBytes: guard.MaxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	t.Cleanup(func() {
		_ = srv.Close()
		is.New(t).True(errors.Is(<-served, http.ErrServerClosed))
		s.waitUsage(0)
		goleak.VerifyNone(t)
	})
	return s
}

// waitUsage waits until so many connections are open.
func (s *server) waitUsage(connections int) {
	s.t.Helper()
	var open int
	var held int64
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if open, held = s.guard.Usage(); open == connections && (open > 0 || held == 0) {
			return
		}
	}
	s.t.Fatalf("%d connections hold %d bytes, want %d", open, held, connections)
}

func (s *server) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(timeout))
	return c, bufio.NewReader(c)
}

// status sends a request and returns the status and body of the answer, 0 if the
// connection ends.
func status(c net.Conn, in *bufio.Reader, request string) (int, string) {
	go func() { _, _ = io.WriteString(c, request) }()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

func lines(size int) string { return strings.Repeat("a:b\r\n", size/5) }

// Guards against limits that are not honoured, and against refusals of what they allow.
func TestLimits(t *testing.T) {
	s := start(t, 64<<20, 100)
	large := strings.Repeat("x", maxBody)
	const line = "POST / HTTP/1.1\r\n"
	const head = line + "Host: a\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
		body    string
	}{
		"small":                {head + "Content-Length: 2\r\n\r\nab", 200, "ab"},
		"head at its limit":    {line + "Host: a\r\n" + lines(maxHead-20) + "\r\n", 200, ""},
		"head over its limit":  {line + "Host: a\r\n" + lines(2*maxHead) + "\r\n", 431, ""},
		"head without end":     {line + strings.Repeat("a:b\r\n", 1<<16), 431, ""},
		"line without end":     {"GET /" + strings.Repeat("x", 1<<18), 431, ""},
		"empty lines":          {strings.Repeat("\r\n", 1<<16), 400, ""},
		"body at its limit":    {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, maxBody, large), 200, large},
		"body over its limit":  {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, maxBody+1), 413, ""},
		"chunks":               {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, maxBody, large), 200, large},
		"chunks over limit":    {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, 2*maxBody, large+large), 413, ""},
		"stalled body":         {head + "Content-Length: 10\r\n\r\nabc", 408, ""},
		"stalled head":         {line + "Host: a\r\n", 0, ""},
		"body in one byte":     {head + "Content-Length: 1\r\n\r\na", 200, "a"},
		"no body":              {head + "\r\n", 200, ""},
		"empty chunked body":   {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, ""},
		"one empty line first": {"\r\n" + head + "\r\n", 400, "400 Bad Request"}, // as net/http answers it
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, in := s.dial()
			got, body := status(conn, in, c.request)
			is.Equal(got, c.status)
			is.Equal(body, c.body)
			if c.status == http.StatusOK { // the connection can be used again
				got, _ = status(conn, in, head+"Content-Length: 2\r\n\r\nab")
				is.Equal(got, http.StatusOK)
			}
		})
	}
}

// Guards against a connection that is closed although it was idle for less than the
// configured time, and one that stays open for longer.
func TestIdleTimeout(t *testing.T) {
	is := is.New(t)
	s := start(t, 64<<20, 100)
	c, in := s.dial()
	for range 3 {
		got, _ := status(c, in, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.Equal(got, http.StatusOK)
		time.Sleep(idleTime * 4 / 5)
	}
	_, err := in.Peek(1)
	is.Equal(err, io.EOF)
}

// Guards against callers that hold all memory: they give way to an ordinary request,
// and a whole request that runs does not.
func TestStalledBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	const connections, memory = 40, 1 << 20
	s := start(t, memory, 100)
	c, in := s.dial()
	running := make(chan int, 1)
	go func() {
		got, _ := status(c, in, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
		running <- got
	}()
	s.waitUsage(1)
	for range connections {
		hostile, _ := s.dial()
		_, err := fmt.Fprintf(hostile, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxBody)
		is.NoErr(err)
		_, _ = hostile.Write(bytes.Repeat([]byte("x"), maxBody-1))
	}
	for got := 0; got != http.StatusOK; {
		other, in := s.dial()
		got, _ = status(other, in, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
	}
	_, held := s.guard.Usage()
	is.True(held <= memory)
	close(s.hold)
	is.Equal(<-running, http.StatusOK)
}

// Guards against connections beyond the bound, and a bound that keeps ordinary callers
// out for good.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	const connections = 10
	s := start(t, 64<<20, connections)
	for range 5 * connections {
		s.dial()
		open, _ := s.guard.Usage()
		is.True(open <= connections)
	}
	for got := 0; got != http.StatusOK; {
		c, in := s.dial()
		got, _ = status(c, in, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
}

// Guards against a delegated query that is run without memory for it.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	dropped := 0
	g := guard.New(guard.Config{
		Bytes:       1000,
		Connections: 10,
		Dropped:     func(memory.Reason) { dropped++ },
	})
	release, ok := g.Admit(300)
	is.True(ok)
	second, ok := g.Admit(300)
	is.True(!ok)
	second()
	is.Equal(dropped, 1)
	release()
	third, ok := g.Admit(300)
	is.True(ok)
	third()
	_, held := g.Usage()
	is.Equal(held, int64(0))
}
