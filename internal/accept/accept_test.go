package accept_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/accept"
)

const timeout = 10 * time.Second

// start runs a server and returns it, its listener and a connection on which one
// request was answered.
func start(t *testing.T) (*http.Server, *accept.Listener, net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	lis := accept.Wrap(raw)
	srv := &http.Server{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ReadHeaderTimeout: timeout,
		ConnState:         lis.ConnState,
	}
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(func() { _ = srv.Close() })
	c, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	in := bufio.NewReader(c)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	res, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	return srv, lis, c, in
}

// Guards against a request that is run but not answered: the server closes the
// connection as idle when it drains just as the request arrives.
func TestDrainKeepsAConnectionThatReadsARequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	srv, lis, c, in := start(t)
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHo"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the server reads the first part
	srv.SetKeepAlivesEnabled(false)
	_, err = c.Write([]byte("st: a\r\n\r\n"))
	is.NoErr(err)
	res, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.NoErr(lis.Wait(ctx))
	_, err = in.Peek(1)
	is.True(err != nil) // closed after the answer
}

// Guards against idle connections that stay open at a shutdown.
func TestShutdownClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	srv, lis, c, in := start(t)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(srv.Shutdown(ctx))
	is.NoErr(lis.Wait(ctx))
	is.NoErr(c.SetReadDeadline(time.Now().Add(timeout)))
	_, err := in.Peek(1)
	is.True(err != nil)
}
