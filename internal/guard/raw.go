package guard

import (
	"net"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/bound"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/memory"
)

// rawCopies is how often a message is held at most: in a buffer that has doubled, in the
// message that is put together from its frames, and decoded.
const rawCopies = 4

// RawListener is a listener whose connections a Guard bounds by the bytes that they
// receive, for protocols other than HTTP and for encrypted connections.
type RawListener struct {
	net.Listener
	guard *Guard
}

// WrapRaw returns a RawListener that accepts the connections of lis.
func (g *Guard) WrapRaw(lis net.Listener) *RawListener {
	return &RawListener{
		Listener: lis,
		guard:    g,
	}
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *RawListener) Accept() (net.Conn, error) {
	for {
		l.guard.waitForClosing()
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &RawConn{
			Conn:    raw,
			guard:   l.guard,
			evicted: make(chan struct{}),
		}
		if l.guard.add(c, &c.id) {
			return c, nil
		}
		_ = c.Close()
	}
}

// RawConn is a connection whose messages are not parsed. Its buffers keep the size that
// the largest message needed.
type RawConn struct {
	net.Conn
	guard  *Guard
	id     memory.ID
	closed sync.Once
	// evicted is closed once the connection is closed for others.
	evicted   chan struct{}
	evictOnce sync.Once

	mu sync.Mutex
	// onEvict is called once the connection is closed for others.
	onEvict func()
	// received counts the bytes of the current message, held is what is reserved for it.
	received int64
	held     int64
}

// Read implements net.Conn.
func (c *RawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isEvicted() {
		return 0, errRefused
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.received += int64(n)
	isLarge := c.received > bound.FreeBytes
	more := max(0, rawCopies*c.received-connectionBytes-c.held)
	c.held += more
	c.mu.Unlock()
	if !c.guard.step(c.id, func(b *memory.Budget, now ident.Instant) []memory.Drop { return b.Read(now, c.id, int64(n), more) }) {
		c.evict()
		return 0, errRefused
	}
	if isLarge {
		// Unpaced, the buffers that grow with each message leave garbage faster than
		// the collector frees it.
		c.guard.pace.Wait(int64(n), c.evicted)
	}
	return n, err
}

func (c *RawConn) isEvicted() bool {
	select {
	case <-c.evicted:
		return true
	default:
		return false
	}
}

// Begin records that a message is whole and that it is handled until End. It returns
// false if there is no memory for it: it must not be handled.
func (c *RawConn) Begin() bool {
	if c == nil {
		return true
	}
	ok := c.guard.step(c.id, func(b *memory.Budget, now ident.Instant) []memory.Drop { return b.Complete(now, c.id, 0) })
	if !ok {
		// The peer can read the refusal until then.
		time.AfterFunc(lingerTime, c.evict)
	}
	return ok
}

// End records that a message was handled.
func (c *RawConn) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.received = 0
	held := c.held
	c.mu.Unlock()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.budget.Finish(ident.Instant(time.Since(c.guard.start)), c.id, held)
}

// evict closes the connection at once, for the memory or the descriptor of others.
func (c *RawConn) evict() {
	c.evictOnce.Do(func() {
		close(c.evicted)
		_ = c.Conn.Close()
		c.mu.Lock()
		f := c.onEvict
		c.mu.Unlock()
		if f != nil {
			f()
		}
	})
}

// OnEvict sets a function that is called once the connection is closed for others, for
// users that do not read from it then. It must not block.
func (c *RawConn) OnEvict(f func()) {
	c.mu.Lock()
	c.onEvict = f
	c.mu.Unlock()
	if c.isEvicted() {
		f()
	}
}

// Close implements net.Conn.
func (c *RawConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.guard.remove(c.id) })
	return err
}
