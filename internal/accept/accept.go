// Package accept wraps the listener of an http.Server so that disabling its
// keep-alives closes no connection on which a request is being read. http.Server
// counts such a connection as idle until the head of the request is parsed,
// closes it, and serves the request all the same.
package accept

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener is a listener for one http.Server, whose ConnState must be set to
// that of the Listener.
type Listener struct {
	net.Listener
	// kept has the connections whose close was put off.
	kept sync.WaitGroup
}

// Wrap returns a Listener that accepts the TCP connections of lis.
func Wrap(lis net.Listener) *Listener { return &Listener{Listener: lis} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		return c, err
	}
	return &conn{
		TCPConn:  tcp,
		listener: l,
		idle:     true,
	}, nil
}

// ConnState is the ConnState hook of the server.
func (l *Listener) ConnState(c net.Conn, s http.ConnState) {
	if own, ok := c.(*conn); ok {
		own.setIdle(s == http.StateNew || s == http.StateIdle)
	}
}

// Wait waits until the connections whose close was put off are closed, or until
// ctx ends. Call it after the server's Shutdown, which does not wait for them.
func (l *Listener) Wait(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		l.kept.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// conn is a connection that is not closed while a request is being read.
type conn struct {
	*net.TCPConn
	listener *Listener

	mu sync.Mutex
	// idle is set while the server considers the connection idle, read once it has
	// read something meanwhile.
	idle, read   bool
	kept, closed bool
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle && !c.idle {
		c.read = false
	}
	c.idle = idle
}

// Read implements net.Conn. What arrives after Close is discarded.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.read = c.read || n > 0
	return n, err
}

// Close closes the connection, unless the server takes it for idle while it is
// reading a request. The server then closes it after the answer.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.idle && c.read:
		if !c.kept {
			c.kept = true
			c.listener.kept.Add(1)
		}
		return nil
	}
	c.closed = true
	if c.kept {
		c.listener.kept.Done()
	}
	return c.TCPConn.Close()
}

// Abort closes the connection also while the server is reading a request from it. What
// arrives is discarded.
func (c *conn) Abort() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.kept {
		c.listener.kept.Done()
	}
	return c.TCPConn.Close()
}
