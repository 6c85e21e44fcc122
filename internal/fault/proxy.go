// Package fault is a TCP proxy that injects network faults on request: delay,
// reset and refused connections, one-way blackholes, half-open connections,
// reordering between connections and limited bandwidth.
package fault

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Config describes one proxy.
type Config struct {
	// Name identifies the proxy in Change.Match, Stats and errors.
	Name string
	// Listen is the address to listen on, as IP:port; port 0 chooses a free one.
	Listen string
	// Target is the address to connect to, as IP:port.
	Target string
	// Seed and the sequence number of a connection seed its random faults.
	Seed  uint64
	Rules Rules
	// Log receives debug messages; nil discards them.
	Log *slog.Logger
}

// Proxy forwards connections to one target. Its methods may be called from any
// goroutine.
type Proxy struct {
	cfg      Config
	log      *slog.Logger
	listener net.Listener

	mu       sync.Mutex
	active   activeRules
	links    map[*link]struct{}
	nextConn uint64 // sequence number
	stats    Stats
}

// activeRules are the rules that apply now. changed is closed when they are
// replaced.
type activeRules struct {
	rules   Rules
	changed chan struct{}
}

// Stats are the counts and rules of a proxy. Accepted includes Refused, the
// connections reset by RefuseFraction. Broken counts those reset by
// DropFraction, Cut or HalfOpen. Forward and Backward are bytes.
type Stats struct {
	Name     string `json:"Name"`
	Address  string `json:"Address"`
	Target   string `json:"Target"`
	Open     int    `json:"Open"`
	Accepted uint64 `json:"Accepted"`
	Refused  uint64 `json:"Refused"`
	Broken   uint64 `json:"Broken"`
	Forward  uint64 `json:"Forward"`
	Backward uint64 `json:"Backward"`
	Rules    Rules  `json:"Rules"`
}

// New opens the listener of a proxy. The caller must call Run or Close to free
// it.
func New(cfg Config) (*Proxy, error) {
	if err := cfg.Rules.Check(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "proxy %q cannot listen: choose a free address", cfg.Name)
	}
	p := &Proxy{
		cfg:      cfg,
		log:      cfg.Log,
		listener: l,
		links:    make(map[*link]struct{}),
		active: activeRules{
			rules:   cfg.Rules,
			changed: make(chan struct{}),
		},
	}
	if p.log == nil {
		p.log = slog.New(slog.DiscardHandler)
	}
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Name returns the name given in Config.
func (p *Proxy) Name() string { return p.cfg.Name }

// Close closes the listener of a proxy for which Run was not called.
func (p *Proxy) Close() error { return p.listener.Close() }

// Run forwards connections until ctx is done; then it resets all of them and
// returns nil.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	var group errgroup.Group
	for {
		raw, err := p.listener.Accept()
		if err != nil {
			p.cutAll()
			_ = group.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "proxy %q cannot accept", p.cfg.Name)
		}
		l := p.admit(raw)
		if l == nil {
			reset(raw)
			continue
		}
		group.Go(func() error {
			l.run(ctx)
			p.mu.Lock()
			delete(p.links, l)
			p.mu.Unlock()
			return nil
		})
	}
}

func (p *Proxy) admit(raw net.Conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	rng := rand.New(rand.NewPCG(p.cfg.Seed, p.nextConn))
	p.nextConn++
	p.stats.Accepted++
	if rng.Float64() < p.active.rules.RefuseFraction {
		p.stats.Refused++
		return nil
	}
	l := newLink(p, raw, rng.Float64(), rng.Uint64())
	p.links[l] = struct{}{}
	return l
}

// Set replaces the rules, also for open connections. It returns an error, and
// changes nothing, if the rules are invalid.
func (p *Proxy) Set(r Rules) error {
	if err := r.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.active.changed)
	p.active = activeRules{
		rules:   r,
		changed: make(chan struct{}),
	}
	return nil
}

// Rules returns the active rules.
func (p *Proxy) Rules() Rules { return p.currentRules().rules }

func (p *Proxy) currentRules() activeRules {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// Cut resets both sides of all open connections.
func (p *Proxy) Cut() {
	for _, l := range p.openLinks() {
		p.countBroken()
		l.cut()
	}
}

// HalfOpen resets the target's side of all open connections. The client sees no
// error, and the bytes that it sends are discarded.
func (p *Proxy) HalfOpen() {
	for _, l := range p.openLinks() {
		p.countBroken()
		l.resetTarget()
	}
}

func (p *Proxy) cutAll() {
	for _, l := range p.openLinks() {
		l.cut()
	}
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*link, 0, len(p.links))
	for l := range p.links {
		list = append(list, l)
	}
	return list
}

// Stats returns the counts so far.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Name = p.cfg.Name
	s.Address = p.Address()
	s.Target = p.cfg.Target
	s.Open = len(p.links)
	s.Rules = p.active.rules
	return s
}

func (p *Proxy) countBroken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Broken++
}

func (p *Proxy) countBytes(dir direction, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if dir == forward {
		p.stats.Forward += uint64(n)
	} else {
		p.stats.Backward += uint64(n)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
