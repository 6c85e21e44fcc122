package dial

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// conn is a connection of a pool. It occupies its slot in the pool until the
// upstream has closed its end too.
type conn struct {
	net.Conn
	pool   *pool
	closed atomic.Bool
	// withheld is set while it is not known whether the connection can be used
	// again. The transport sends a request that it has given to it on another one.
	withheld atomic.Bool
	// guard belongs to the request that uses the connection.
	guard atomic.Pointer[writeGuard]
}

// Write fails without sending anything if the connection is withheld, or if the
// guard of the request denies it.
func (c *conn) Write(p []byte) (int, error) {
	if c.withheld.Load() {
		return 0, errWithheld
	}
	if g := c.guard.Load(); g != nil && !g.allow() {
		return 0, errWriteDenied
	}
	return c.Conn.Write(p)
}

// Read fails after Close, although linger still reads from the underlying
// connection until the upstream closes its end.
func (c *conn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// Close half-closes the connection. Its slot in the pool is released when the
// upstream has closed its end, or after lingerTimeout or lingerBytes: an upstream
// counts a connection until it notices the close, so one opened earlier could
// exceed the connection limit.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.pool.client.startWork() {
		err := c.Conn.Close()
		c.pool.releaseSlot()
		return err
	}
	past := time.Now().Add(-time.Second)
	_ = c.SetDeadline(past) // interrupts a Read or Write in progress
	err := halfCloser.CloseWrite()
	go c.linger()
	return err
}

func (c *conn) linger() {
	defer c.pool.client.work.Done()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	stop := context.AfterFunc(c.pool.client.baseCtx, func() { _ = c.SetReadDeadline(time.Now()) })
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
	stop()
	_ = c.Conn.Close()
	c.pool.releaseSlot()
	c.pool.fill()
}
