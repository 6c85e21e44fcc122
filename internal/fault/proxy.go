// Package fault is a TCP proxy that makes network faults on request: delay,
// broken and refused connections, one-way silence, half-open connections,
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
	Name string
	// Listen is the address to listen on, as IP:port; port 0 takes a free one.
	Listen string
	// Target is the address to connect to, as IP:port.
	Target string
	// Seed decides the random faults of each connection by its number.
	Seed  uint64
	Rules Rules
	// Log may be nil.
	Log *slog.Logger
}

// Proxy passes connections on to one target. All methods may be called at any
// time from any goroutine.
type Proxy struct {
	cfg      Config
	log      *slog.Logger
	listener net.Listener

	mu     sync.Mutex
	now    ruling
	links  map[*link]struct{}
	number uint64
	tally  Stats
}

// ruling is a set of rules and a channel that is closed when they change.
type ruling struct {
	rules   Rules
	changed chan struct{}
}

// Stats counts what a proxy did.
type Stats struct {
	Name     string `json:"Name"`
	Address  string `json:"Address"`
	Target   string `json:"Target"`
	Open     int    `json:"Open"`
	Accepted uint64 `json:"Accepted"`
	Refused  uint64 `json:"Refused"`
	Broken   uint64 `json:"Broken"` // by DropFraction, Cut or HalfOpen
	Forward  uint64 `json:"Forward"`
	Backward uint64 `json:"Backward"` // bytes
	Rules    Rules  `json:"Rules"`
}

// New opens the listener of a proxy. Run or Close must follow.
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
		now: ruling{
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

// Close frees the listener of a proxy that was never run.
func (p *Proxy) Close() error { return p.listener.Close() }

// Run passes connections on until the context ends; then it breaks them all
// and returns nil.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	var group errgroup.Group
	for {
		raw, err := p.listener.Accept()
		if err != nil {
			p.breakAll()
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
	rng := rand.New(rand.NewPCG(p.cfg.Seed, p.number))
	p.number++
	p.tally.Accepted++
	if rng.Float64() < p.now.rules.RefuseFraction {
		p.tally.Refused++
		return nil
	}
	l := newLink(p, raw, rng.Float64(), rng.Uint64())
	p.links[l] = struct{}{}
	return l
}

// Set replaces the rules, also for open connections.
func (p *Proxy) Set(r Rules) error {
	if err := r.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.now.changed)
	p.now = ruling{
		rules:   r,
		changed: make(chan struct{}),
	}
	return nil
}

// Rules returns the rules in force.
func (p *Proxy) Rules() Rules { return p.ruling().rules }

func (p *Proxy) ruling() ruling {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// Cut resets both sides of all open connections.
func (p *Proxy) Cut() {
	for _, l := range p.open() {
		p.countBroken()
		l.cut()
	}
}

// HalfOpen resets the target's side of all open connections; the dialling
// side is not told, and what it sends vanishes.
func (p *Proxy) HalfOpen() {
	for _, l := range p.open() {
		p.countBroken()
		l.halfOpen()
	}
}

func (p *Proxy) breakAll() {
	for _, l := range p.open() {
		l.cut()
	}
}

func (p *Proxy) open() []*link {
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
	s := p.tally
	s.Name = p.cfg.Name
	s.Address = p.Address()
	s.Target = p.cfg.Target
	s.Open = len(p.links)
	s.Rules = p.now.rules
	return s
}

func (p *Proxy) countBroken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.Broken++
}

func (p *Proxy) countBytes(way way, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if way == forward {
		p.tally.Forward += uint64(n)
	} else {
		p.tally.Backward += uint64(n)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
