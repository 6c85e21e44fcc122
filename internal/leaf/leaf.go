// Package leaf is a stand-in for an upstream, for tests and load runs. It serves
// the upstream protocol of package wire from synthetic documents, limits its
// connections and concurrent requests, supports draining and index rollover, and
// injects faults on request.
package leaf

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Leaf is one stand-in upstream. Its methods are safe for concurrent use.
type Leaf struct {
	cfg      Config
	log      *slog.Logger
	listener *listener
	control  net.Listener
	slots    *slots
	store    *store
	random   *random
	recent   recentIDs
	started  time.Time
	// stop is closed when Run shuts down, to end requests blocked by a fault.
	stop chan struct{}

	mu          sync.Mutex
	faults      Faults
	draining    bool
	coldSince   time.Time // start of the last cold start
	stats       Stats
	rate        rate
	crashes     int
	filings     map[ident.RequestID]int
	loadHistory []loadSample
}

// New opens the listeners of an upstream, so that its address is known before
// Run is called. The caller must then call Run or Close.
func New(cfg Config) (*Leaf, error) {
	if err := cfg.Upstream.Check(); err != nil {
		return nil, err
	}
	if len(cfg.Versions) == 0 {
		return nil, errors.Errorf("upstream %q has no index version: give at least one", cfg.Upstream.ID)
	}
	ln, err := net.Listen("tcp", cfg.Upstream.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream %q cannot listen: choose a free Address", cfg.Upstream.ID)
	}
	l := &Leaf{
		cfg:       cfg,
		log:       cfg.Log,
		listener:  newListener(ln, cfg.Upstream.ConnLimit, cfg.ConnectDelay),
		slots:     newSlots(cfg.Upstream.Slots, cfg.QueueBound),
		store:     newStore(cfg.Upstream.Shards, cfg.Versions),
		random:    newRandom(cfg.Seed, cfg.Upstream.ID),
		started:   time.Now(),
		stop:      make(chan struct{}),
		faults:    cfg.Faults,
		coldSince: time.Now(),
		filings:   make(map[ident.RequestID]int),
	}
	if l.log == nil {
		l.log = slog.New(slog.DiscardHandler)
	}
	if cfg.Control != "" {
		l.control, err = net.Listen("tcp", cfg.Control)
		if err != nil {
			_ = ln.Close()
			return nil, errors.Wrapf(err, "upstream %q cannot listen for control requests: choose a free Control address", cfg.Upstream.ID)
		}
	}
	l.listener.setKilled(cfg.Faults.Killed)
	return l, nil
}

// Address returns the traffic address as IP:port.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// ControlAddress returns the address of the control listener (IP:port), or ""
// if there is none.
func (l *Leaf) ControlAddress() string {
	if l.control == nil {
		return ""
	}
	return l.control.Addr().String()
}

// Close closes the listeners of an upstream on which Run was never called.
func (l *Leaf) Close() error {
	if l.control != nil {
		_ = l.control.Close()
	}
	return l.listener.Close()
}

// Run serves until the context ends, then drains: it rejects new requests with
// Draining for DrainPeriod, waits until the running requests complete and
// returns nil. Requests that run longer than shutdownTimeout are an error.
func (l *Leaf) Run(ctx context.Context) error {
	group, gctx := errgroup.WithContext(ctx)
	traffic := &http.Server{
		Handler:           l.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
	group.Go(func() error { return serve(traffic, l.listener) })
	control := &http.Server{
		Handler:           l.controlHandler(),
		ReadHeaderTimeout: headerTimeout,
	}
	if l.control != nil {
		group.Go(func() error { return serve(control, l.control) })
	}
	if l.cfg.ReportLag > 0 {
		group.Go(func() error { return l.sampleLoad(gctx) })
	}
	group.Go(func() error {
		<-gctx.Done()
		return l.shutdown(traffic, control)
	})
	return group.Wait()
}

func (l *Leaf) shutdown(traffic, control *http.Server) error {
	l.Drain(true)
	time.Sleep(l.cfg.DrainPeriod)
	close(l.stop)
	// http.Server.Shutdown waits 5 s for connections that were opened in advance
	// and never used.
	l.listener.closeUnused()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := traffic.Shutdown(ctx)
	if l.control != nil {
		_ = control.Close()
	}
	return errors.Wrapf(err, "upstream %q did not complete its running requests within the shutdown timeout", l.cfg.Upstream.ID)
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "cannot serve on %s", ln.Addr())
	}
	return nil
}

func (l *Leaf) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathLeafSearch, l.search)
	mux.HandleFunc("POST "+wire.PathLeafFile, l.file)
	mux.HandleFunc("GET "+wire.PathLeafHealth, l.health)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Faults().Lost {
			if r.URL.Path != wire.PathLeafHealth {
				l.countArrival(r.URL.Path == wire.PathLeafFile)
			}
			l.hang(r)
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// hang blocks a request until its sender disconnects or the upstream stops. It
// reads the body first, since net/http detects a disconnect only after that.
func (l *Leaf) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxFilingBytes))
	select {
	case <-r.Context().Done():
	case <-l.stop:
	}
}

// Drain starts or ends a drain, in which new requests are rejected with Draining.
func (l *Leaf) Drain(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && !l.draining {
		l.stats.DrainedAt = time.Now()
	}
	l.draining = on
}

// StartCold begins a cold start: requests take longer for Config.ColdPeriod.
func (l *Leaf) StartCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldSince = time.Now()
}

// Faults returns the active faults.
func (l *Leaf) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the active faults.
func (l *Leaf) SetFaults(f Faults) {
	l.mu.Lock()
	l.faults = f
	l.rate.set(f.PerSecond)
	l.mu.Unlock()
	l.listener.setKilled(f.Killed)
}

// AddVersion makes all shards of the upstream available at an index version.
func (l *Leaf) AddVersion(v ident.IndexVersion) { l.store.addVersion(v) }

// DropVersion removes an index version from all shards. Searches that run at it
// still complete.
func (l *Leaf) DropVersion(v ident.IndexVersion) { l.store.dropVersion(v) }

// AddShard adds a shard, available at all index versions of the upstream.
func (l *Leaf) AddShard(s ident.Shard) { l.store.addShard(s) }

// DropShard removes a shard. Requests that run in it still complete.
func (l *Leaf) DropShard(s ident.Shard) { l.store.dropShard(s) }

// Ran returns the given searches that are among the latest that ran. The number
// remembered is Reset.Remember, initially 0.
func (l *Leaf) Ran(ids []ident.RequestID) []ident.RequestID { return l.recent.remembered(ids) }

// Reset ends all faults and the drain, and replaces the shards, the index
// versions and the record of searches for Ran. The counters stay.
func (l *Leaf) Reset(r Reset) {
	l.recent.resize(min(max(r.Remember, 0), maxRememberedIDs))
	l.SetFaults(Faults{})
	l.Drain(false)
	l.store.replace(r.Shards, r.Versions)
}

// coldStartFactor returns the factor by which service times are multiplied. It
// falls linearly from coldFactor to 1 during a cold start.
func (l *Leaf) coldStartFactor() float64 {
	l.mu.Lock()
	elapsed := time.Since(l.coldSince)
	l.mu.Unlock()
	if elapsed >= l.cfg.ColdPeriod {
		return 1
	}
	return coldFactor - (coldFactor-1)*float64(elapsed)/float64(l.cfg.ColdPeriod)
}
