// Package dial is the upstream side of an entry host: it carries out the
// engine's Send, Cancel, Warm and Probe effects over HTTP/1.1 and reports
// every result as exactly one event.
//
// Each upstream has one connection pool. Its size follows Warm: the pool never
// has more connections than it was told to have, opens them ahead of use and
// closes them when the number falls. Closing a connection is how an upstream
// learns of a cancelled attempt.
package dial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config sets the limits of a Client. Zero fields take the defaults.
type Config struct {
	// Emit takes the events that attempts and probes end in. It must not block.
	Emit func(engine.Event)
	// Observe is told about each finished attempt before its event is
	// emitted. It must not block. Optional.
	Observe func(Ended)
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// ProbeTimeout bounds one health probe from the time it has a connection.
	ProbeTimeout time.Duration
	// Probes is the number of health probes that run at once.
	Probes int
	// Dial opens a connection. Defaults to TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = defaultProbeTimeout
	}
	if c.Probes == 0 {
		c.Probes = defaultProbes
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Ended describes a finished attempt for telemetry.
type Ended struct {
	Send *engine.Send
	// Span is the span that Send was given.
	Span *span.Span
	// Failure is nil when the attempt was answered.
	Failure *Failure
	// Cancelled tells that the engine cancelled the attempt before it ended.
	Cancelled bool
	Took      time.Duration
}

// Client owns the connection pools of all upstreams. Its methods may be called
// from any goroutine and do not block, except File and Close.
type Client struct {
	config Config
	base   context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
	probes chan struct{}

	mu       sync.Mutex
	closed   bool
	pools    map[ident.Upstream]*pool
	attempts map[ident.AttemptID]*attempt
}

// New returns a client without connections.
func New(c Config) *Client {
	c = c.withDefaults()
	base, stop := context.WithCancel(context.Background())
	return &Client{
		config:   c,
		base:     base,
		stop:     stop,
		probes:   make(chan struct{}, c.Probes),
		pools:    make(map[ident.Upstream]*pool),
		attempts: make(map[ident.AttemptID]*attempt),
	}
}

// Warm sets the number of connections to an upstream. Zero closes idle ones
// and refuses new work; work in flight runs to completion.
func (c *Client) Warm(w engine.Warm) {
	old, p := c.place(w)
	// resize takes the lock of the client, so it runs outside of it.
	if old != nil {
		old.resize(0)
	}
	if p != nil {
		p.resize(w.Connections)
	}
}

// place updates the table of pools. It returns the pool that an upstream had
// at an earlier address and the one to resize; either may be nil. A pool of an
// unchanged address is kept while it has connections, since a new one would
// open others beside them.
func (c *Client) place(w engine.Warm) (old, p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil
	}
	p = c.pools[w.Upstream]
	if p != nil && p.address != w.Address {
		delete(c.pools, w.Upstream)
		old, p = p, nil
	}
	if p == nil && w.Connections > 0 {
		p = newPool(c, w.Upstream, w.Address)
		c.pools[w.Upstream] = p
	}
	return old, p
}

// forget drops a pool that has no connection and is to have none.
func (c *Client) forget(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[p.upstream] == p && p.unused() {
		delete(c.pools, p.upstream)
	}
}

// Cancel stops an attempt by closing its connection.
func (c *Client) Cancel(id ident.AttemptID) {
	c.mu.Lock()
	a := c.attempts[id]
	c.mu.Unlock()
	if a != nil {
		a.cancelled.Store(true)
		a.cancel()
	}
}

// Close cancels all work, waits for its end and closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	c.stop()
	for _, p := range pools {
		p.resize(0)
	}
	c.work.Wait()
	// Connections of calls that ended since are idle now.
	for _, p := range pools {
		p.resize(0)
	}
}

// Open returns the number of open or opening connections to an upstream.
func (c *Client) Open(id ident.Upstream) int {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.count()
}

// Connections returns the number of open or opening connections to all
// upstreams.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.count()
	}
	return n
}

// InFlight returns the number of attempts that have not ended.
func (c *Client) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

// pool returns the pool of an upstream that may get new work, or nil.
func (c *Client) pool(id ident.Upstream) *pool {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	if p == nil || !p.wanted() {
		return nil
	}
	return p
}

// start reserves a place in the wait group. It reports false after Close.
func (c *Client) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.work.Add(1)
	return true
}
