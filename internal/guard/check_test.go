package guard_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/guard"
)

// startChecks serves checks whose answers need some bytes and returns how to connect.
func startChecks(t *testing.T, bytes int) *server {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server{
		t:       t,
		guard:   guard.New(guard.CheckBounds("checks", 0)),
		address: raw.Addr().String(),
	}
	lis := s.guard.Wrap(raw)
	srv := guard.CheckServer(lis, bytes, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	t.Cleanup(func() {
		_ = srv.Close()
		is.New(t).True(errors.Is(<-served, http.ErrServerClosed))
		s.waitUsage(0)
	})
	return s
}

// Guards against requests that cost a listener for checks more than a short answer.
func TestChecks(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		request string
		bytes   int
		status  int
	}{
		"check":             {head + "\r\n", 0, 200},
		"metrics":           {head + "\r\n", guard.MetricsBytes, 200},
		"no memory":         {head + "\r\n", 2 << 20, 503},
		"body":              {head + "Content-Length: 2\r\n\r\nab", 0, 413},
		"body in chunks":    {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 0, 413},
		"many header lines": {head + lines(7<<10) + "\r\n", 0, 200},
		"head over 8 KB":    {head + lines(16<<10) + "\r\n", 0, 431},
		"head without end":  {head + strings.Repeat("a:b\r\n", 1<<16), 0, 431},
	} {
		t.Run(name, func(t *testing.T) {
			s := startChecks(t, c.bytes)
			conn, in := s.dial()
			got, _ := status(conn, in, c.request)
			is.New(t).Equal(got, c.status)
		})
	}
}

// Guards against clients that keep the load balancer's checks out.
func TestCheckConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := startChecks(t, 0)
	for range 200 {
		s.dial()
		open, _ := s.guard.Usage()
		is.True(open <= 32)
	}
	for got := 0; got != http.StatusOK; {
		c, in := s.dial()
		got, _ = status(c, in, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
}
