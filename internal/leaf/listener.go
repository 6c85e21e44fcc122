package leaf

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener enforces the connection limit and makes new connections cost time.
type listener struct {
	net.Listener
	limit int
	cost  time.Duration

	mu      sync.Mutex
	open    map[*conn]struct{}
	peak    int
	refused uint64
	opened  uint64
	killed  bool
}

func newListener(raw net.Listener, limit int, cost time.Duration) *listener {
	return &listener{
		Listener: raw,
		limit:    limit,
		cost:     cost,
		open:     make(map[*conn]struct{}),
	}
}

// Accept returns the next connection within the limit. Others are reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		reset(raw)
	}
}

func (l *listener) admit(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The peak counts refused connections too, so that it shows by how much
	// senders went over the limit.
	l.peak = max(l.peak, len(l.open)+1)
	if l.killed {
		return nil
	}
	if len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &conn{
		Conn:  raw,
		from:  l,
		ready: time.Now().Add(l.cost),
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
		l.cut(func(*conn) bool { return true })
	}
}

// closeUnused closes the connections that never carried a byte.
func (l *listener) closeUnused() {
	l.cut(func(c *conn) bool { return !c.used.Load() })
}

func (l *listener) cut(which func(*conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if which(c) {
			reset(c.Conn)
		}
	}
}

func (l *listener) fill(s *Stats) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.OpenConns = len(l.open)
	s.PeakConns = l.peak
	s.RefusedConns = l.refused
	s.OpenedConns = l.opened
}

// reset closes a connection at once with RST, as a host over its limit does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn delays its first read until the cost of opening is paid. The delay
// counts from the accept, so connections opened in advance cost nothing later.
type conn struct {
	net.Conn
	from  *listener
	ready time.Time
	paid  sync.Once
	once  sync.Once
	used  atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.paid.Do(func() { time.Sleep(time.Until(c.ready)) })
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.used.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.from.mu.Lock()
		delete(c.from.open, c)
		c.from.mu.Unlock()
	})
	return c.Conn.Close()
}
