// Package dial is the upstream side of an entry host: it executes the engine's
// Send, Cancel, Warm and Probe effects over HTTP/1.1 and reports each attempt
// and each probe by exactly one event.
//
// Each upstream has one connection pool. Its size is set by Warm: the pool opens
// no connection beyond it, opens connections ahead of use and closes them when
// the size is reduced. A cancelled attempt closes its connection, which is how
// the upstream learns of the cancellation.
package dial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/bound"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config sets the limits of a Client. Zero fields take the defaults.
type Config struct {
	// Emit receives the final event of each attempt and probe. It must not block.
	Emit func(engine.Event)
	// Observe is called for each finished attempt, before its event is emitted.
	// It must not block. Optional.
	Observe func(AttemptResult)
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// ProbeTimeout bounds one health probe from the time it has a connection.
	ProbeTimeout time.Duration
	// MaxProbes is the number of health probes that run concurrently.
	MaxProbes int
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
	if c.MaxProbes == 0 {
		c.MaxProbes = defaultMaxProbes
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

// AttemptResult describes a finished attempt for telemetry.
type AttemptResult struct {
	Send *engine.Send
	// Span is the span that was passed to Send.
	Span *span.Span
	// Failure is nil when the attempt was answered.
	Failure *Failure
	// Cancelled is true if the engine cancelled the attempt before it finished.
	Cancelled bool
	Duration  time.Duration
}

// Client owns the connection pools of all upstreams. Its methods may be called
// from any goroutine and do not block, except File and Close.
type Client struct {
	config     Config
	baseCtx    context.Context
	cancelBase context.CancelFunc
	work       sync.WaitGroup
	// probeSlots is a semaphore that limits the probes in flight.
	probeSlots chan struct{}

	// budget is shared by the answers that are being read.
	budget *bound.Budget

	mu       sync.Mutex
	closed   bool
	pools    map[ident.Upstream]*pool
	attempts map[ident.AttemptID]*attempt
}

// New returns a client without connections.
func New(c Config) *Client {
	c = c.withDefaults()
	baseCtx, cancelBase := context.WithCancel(context.Background())
	return &Client{
		config:     c,
		baseCtx:    baseCtx,
		cancelBase: cancelBase,
		probeSlots: make(chan struct{}, c.MaxProbes),
		budget:     bound.NewBudget(maxHeld),
		pools:      make(map[ident.Upstream]*pool),
		attempts:   make(map[ident.AttemptID]*attempt),
	}
}

// Warm sets the number of connections to an upstream. Zero closes the idle ones
// and refuses new requests; requests in flight run to completion.
func (c *Client) Warm(warm engine.Warm) {
	old, p := c.updatePool(warm)
	// resize locks the client's mutex, so it must run without it.
	if old != nil {
		old.resize(0)
	}
	if p != nil {
		p.resize(warm.Connections)
	}
}

// updatePool returns the pool for an upstream's previous address, if the
// address has changed, and the pool to resize; either may be nil. A pool whose
// address is unchanged is kept while it has connections, since a new pool would
// open further connections beside them.
func (c *Client) updatePool(warm engine.Warm) (old, p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil
	}
	p = c.pools[warm.Upstream]
	if p != nil && p.address != warm.Address {
		delete(c.pools, warm.Upstream)
		old, p = p, nil
	}
	if p == nil && warm.Connections > 0 {
		p = newPool(c, warm.Upstream, warm.Address)
		c.pools[warm.Upstream] = p
	}
	return old, p
}

// removeIfEmpty removes a pool that has no connections and a target size of 0.
func (c *Client) removeIfEmpty(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[p.upstream] == p && p.empty() {
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

// Close cancels all work in flight, waits until it has ended and closes all
// connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	c.cancelBase()
	for _, p := range pools {
		p.resize(0)
	}
	c.work.Wait()
	// The connections of the calls that ended meanwhile are idle now.
	for _, p := range pools {
		p.resize(0)
	}
}

// ConnectionsTo returns the number of open or opening connections to an
// upstream.
func (c *Client) ConnectionsTo(id ident.Upstream) int {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.openCount()
}

// Connections returns the number of open or opening connections to all
// upstreams.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.openCount()
	}
	return n
}

// InFlight returns the number of attempts that have not ended.
func (c *Client) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attempts)
}

// activePool returns the pool of an upstream if it accepts new requests, else
// nil.
func (c *Client) activePool(id ident.Upstream) *pool {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	if p == nil || !p.enabled() {
		return nil
	}
	return p
}

// startWork adds one to the wait group. It reports false after Close.
func (c *Client) startWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.work.Add(1)
	return true
}
