package leaf

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener enforces the connection limit and delays the first read of each new
// connection by connectDelay, to simulate the cost of opening one.
type listener struct {
	net.Listener
	limit        int
	connectDelay time.Duration

	mu      sync.Mutex
	open    map[*conn]struct{}
	peak    int
	refused uint64
	opened  uint64
	killed  bool
}

func newListener(ln net.Listener, limit int, connectDelay time.Duration) *listener {
	return &listener{
		Listener:     ln,
		limit:        limit,
		connectDelay: connectDelay,
		open:         make(map[*conn]struct{}),
	}
}

// Accept returns the next connection within the limit and resets those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.track(accepted); c != nil {
			return c, nil
		}
		reset(accepted)
	}
}

// track registers a new connection, or returns nil if it must be refused.
func (l *listener) track(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The peak includes the refused connection, so it shows when senders exceed
	// the limit.
	l.peak = max(l.peak, len(l.open)+1)
	if l.killed {
		return nil
	}
	if len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &conn{
		Conn:  accepted,
		owner: l,
		ready: time.Now().Add(l.connectDelay),
	}
	l.open[c] = struct{}{}
	l.opened++
	return c
}

func (l *listener) setKilled(on bool) {
	l.mu.Lock()
	l.killed = on
	l.mu.Unlock()
	if on {
		l.resetMatching(func(*conn) bool { return true })
	}
}

// closeUnused resets the connections that have received no byte.
func (l *listener) closeUnused() {
	l.resetMatching(func(c *conn) bool { return !c.used.Load() })
}

func (l *listener) resetMatching(match func(*conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if match(c) {
			reset(c.Conn)
		}
	}
}

func (l *listener) fillStats(s *Stats) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.OpenConns = len(l.open)
	s.PeakConns = l.peak
	s.RefusedConns = l.refused
	s.OpenedConns = l.opened
}

// reset closes a connection immediately with a TCP RST, as a host above its
// connection limit does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn blocks its first read until ready. The delay starts at the accept, so a
// connection opened in advance causes no delay later.
type conn struct {
	net.Conn
	owner     *listener
	ready     time.Time
	delayOnce sync.Once
	closeOnce sync.Once
	used      atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(time.Until(c.ready)) })
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.used.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.owner.mu.Lock()
		delete(c.owner.open, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}
