// Package leaf is a stand-in for an upstream: it serves the upstream protocol
// of package wire from synthetic documents, limits its connections and slots,
// drains, rolls its index over, and makes faults on request.
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

// Leaf is one stand-in upstream. All methods may be called at any time from
// any goroutine.
type Leaf struct {
	cfg      Config
	log      *slog.Logger
	listener *listener
	control  net.Listener
	slots    *slots
	store    *store
	random   *random
	memory   memory
	started  time.Time
	// stop is closed when Run ends, to free requests that a fault holds.
	stop chan struct{}

	mu      sync.Mutex
	faults  Faults
	drain   bool
	thawing time.Time // start of the last cold start
	tally   Stats
	filings map[ident.RequestID]int
	history []sample
}

// New opens the listeners of an upstream, so that its address is known before
// Run. Run or Close must follow.
func New(cfg Config) (*Leaf, error) {
	if err := cfg.Upstream.Check(); err != nil {
		return nil, err
	}
	if len(cfg.Versions) == 0 {
		return nil, errors.Errorf("upstream %q holds no index version: give at least one", cfg.Upstream.ID)
	}
	raw, err := net.Listen("tcp", cfg.Upstream.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream %q cannot listen: choose a free Address", cfg.Upstream.ID)
	}
	l := &Leaf{
		cfg:      cfg,
		log:      cfg.Log,
		listener: newListener(raw, cfg.Upstream.ConnLimit, cfg.Connect),
		slots:    newSlots(cfg.Upstream.Slots, cfg.Waiting),
		store:    newStore(cfg.Upstream.Shards, cfg.Versions),
		random:   newRandom(cfg.Seed, cfg.Upstream.ID),
		started:  time.Now(),
		stop:     make(chan struct{}),
		faults:   cfg.Faults,
		thawing:  time.Now(),
		filings:  make(map[ident.RequestID]int),
	}
	if l.log == nil {
		l.log = slog.New(slog.DiscardHandler)
	}
	if cfg.Control != "" {
		l.control, err = net.Listen("tcp", cfg.Control)
		if err != nil {
			_ = raw.Close()
			return nil, errors.Wrapf(err, "upstream %q cannot listen for control: choose a free Control address", cfg.Upstream.ID)
		}
	}
	l.listener.setKilled(cfg.Faults.Killed)
	return l, nil
}

// Address returns the traffic address as IP:port.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// ControlAddress returns the address of the control path, or "".
func (l *Leaf) ControlAddress() string {
	if l.control == nil {
		return ""
	}
	return l.control.Addr().String()
}

// Close frees the listeners of an upstream that was never run.
func (l *Leaf) Close() error {
	if l.control != nil {
		_ = l.control.Close()
	}
	return l.listener.Close()
}

// Run serves until the context ends, then drains: it answers Draining for the
// time Linger, lets what runs come to its end and returns nil.
func (l *Leaf) Run(ctx context.Context) error {
	group, gctx := errgroup.WithContext(ctx)
	traffic := &http.Server{
		Handler:           l.handler(),
		ReadHeaderTimeout: headerWait,
		IdleTimeout:       idleWait,
		ErrorLog:          slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
	group.Go(func() error { return serve(traffic, l.listener) })
	admin := &http.Server{
		Handler:           l.controlHandler(),
		ReadHeaderTimeout: headerWait,
	}
	if l.control != nil {
		group.Go(func() error { return serve(admin, l.control) })
	}
	if l.cfg.ReportLag > 0 {
		group.Go(func() error { return l.sampleLoad(gctx) })
	}
	group.Go(func() error {
		<-gctx.Done()
		return l.shutdown(traffic, admin)
	})
	return group.Wait()
}

func (l *Leaf) shutdown(traffic, admin *http.Server) error {
	l.Drain(true)
	time.Sleep(l.cfg.Linger)
	close(l.stop)
	// Shutdown would wait 5 s for connections that were opened in advance and
	// never used.
	l.listener.closeUnused()
	ctx, cancel := context.WithTimeout(context.Background(), endWait)
	defer cancel()
	err := traffic.Shutdown(ctx)
	if l.control != nil {
		_ = admin.Close()
	}
	return errors.Wrapf(err, "upstream %q did not end what it ran", l.cfg.Upstream.ID)
}

func serve(s *http.Server, on net.Listener) error {
	if err := s.Serve(on); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "cannot serve on %s", on.Addr())
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
				l.arrived(r.URL.Path == wire.PathLeafFile)
			}
			l.hang(r)
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// hang holds a request until its sender gives up or the upstream stops.
// net/http notices that the sender left only after the body was read.
func (l *Leaf) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxFilingBytes))
	select {
	case <-r.Context().Done():
	case <-l.stop:
	}
}

// Drain makes the upstream answer Draining to new work, or stops that.
func (l *Leaf) Drain(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && !l.drain {
		l.tally.DrainedAt = time.Now()
	}
	l.drain = on
}

// StartCold starts a cold start: requests take longer for a while.
func (l *Leaf) StartCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.thawing = time.Now()
}

// Faults returns the faults in force.
func (l *Leaf) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the faults in force.
func (l *Leaf) SetFaults(f Faults) {
	l.mu.Lock()
	l.faults = f
	l.mu.Unlock()
	l.listener.setKilled(f.Killed)
}

// AddVersion makes all shards of the upstream available at a version.
func (l *Leaf) AddVersion(v ident.IndexVersion) { l.store.addVersion(v) }

// DropVersion removes a version of all shards; what runs at it ends.
func (l *Leaf) DropVersion(v ident.IndexVersion) { l.store.dropVersion(v) }

// HoldShard adds a shard at all versions that the upstream has.
func (l *Leaf) HoldShard(s ident.Shard) { l.store.holdShard(s) }

// DropShard removes a shard; what runs in it ends.
func (l *Leaf) DropShard(s ident.Shard) { l.store.dropShard(s) }

// Ran returns those of the given searches that ran, as far as the upstream
// remembers; see Reset.
func (l *Leaf) Ran(ids []ident.RequestID) []ident.RequestID { return l.memory.ran(ids) }

// Reset ends all faults and the drain and sets what the upstream holds and
// remembers.
func (l *Leaf) Reset(r Reset) {
	l.memory.resize(min(max(r.Remember, 0), maxRemembered))
	l.SetFaults(Faults{})
	l.Drain(false)
	l.store.set(r.Shards, r.Versions)
}

// coldNow returns the factor on the service time, which falls to 1 at the end
// of a cold start.
func (l *Leaf) coldNow() float64 {
	l.mu.Lock()
	since := time.Since(l.thawing)
	l.mu.Unlock()
	if since >= l.cfg.Cold {
		return 1
	}
	return coldFactor - (coldFactor-1)*float64(since)/float64(l.cfg.Cold)
}
