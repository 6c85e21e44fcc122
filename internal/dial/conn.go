package dial

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// conn counts an open connection of its pool until the upstream has closed
// its end too.
type conn struct {
	net.Conn
	pool   *pool
	closed atomic.Bool
	// gate belongs to the request that uses the connection.
	gate atomic.Pointer[gate]
}

// Write fails without sending anything if the request was given up.
func (c *conn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil && !g.pass() {
		return 0, errBarred
	}
	return c.Conn.Write(p)
}

// Read fails once the connection is closed, although it is still read until
// the upstream's end is closed.
func (c *conn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// Close ends the connection. Its place in the pool is free when the upstream
// has closed its end or after lingerLimit: an upstream counts a connection
// until it notices the end, and a new one opened before could exceed its limit.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.pool.client.start() {
		err := c.Conn.Close()
		c.pool.release()
		return err
	}
	past := time.Now().Add(-time.Second)
	_ = c.SetDeadline(past) // ends a Read or Write in progress
	err := half.CloseWrite()
	go c.linger()
	return err
}

func (c *conn) linger() {
	defer c.pool.client.work.Done()
	_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
	stop := context.AfterFunc(c.pool.client.base, func() { _ = c.SetReadDeadline(time.Now()) })
	_, _ = io.Copy(io.Discard, c.Conn)
	stop()
	_ = c.Conn.Close()
	c.pool.release()
	c.pool.fill()
}
