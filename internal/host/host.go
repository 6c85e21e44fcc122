// Package host is the entry host daemon. One goroutine owns the engine: it
// takes events from a mailbox and hands the engine's effects to traffic
// goroutines, which turn their results into events.
//
// Callers use HTTP/1.1 with JSON bodies (see package wire). The status of an
// answer follows its outcome:
//
//   - Done and Partial: 200. The body states the coverage.
//   - NotRun: 503 with Retry-After, or 409 when a filing's id was used with
//     another body, which no repetition can mend.
//   - Unknown (filings only): 504, whatever the cause: the caller does the
//     same in every case, and 502 would invite proxies to send again.
//   - bad request: 400; unknown path: 404; wrong method: 405; body too slow:
//     408; body too large: 413.
//
// Every answer carries the request id, also that of a refused request.
//
// A caller that closes its connection, or its sending half, is gone: its query
// is cancelled.
package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Reducer is the query reducer that a host owns.
type Reducer interface {
	Step(now ident.Instant, ev engine.Event) []engine.Effect
}

// Config is the setting of a host. Zero limits take the defaults.
type Config struct {
	ID     ident.HostID
	Domain ident.Domain
	// Listener takes the callers' connections. The host closes it.
	Listener net.Listener
	Engine   Reducer
	// Control must go on working until Run returns, since filings in flight are
	// still recorded during a shutdown.
	Control Control
	// Dial sets the limits of the upstream side; its Emit is set by the host.
	Dial dial.Config
	// Grace is the time between the failing health check and the refusal of
	// new requests, for the balancer to notice.
	Grace time.Duration
	// HeaderTimeout and BodyTimeout bound the reading of a request,
	// WriteTimeout the writing of an answer, IdleTimeout an unused connection.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	IdleTimeout   time.Duration
	// MaxHeader and MaxBody bound a request, in bytes.
	MaxHeader int
	MaxBody   int
	// MaxRequests bounds the requests in progress; more are refused as NotRun.
	MaxRequests int
	// Log takes log lines. Defaults to none.
	Log *slog.Logger
	// Stats and Tracer take metrics and spans; nil means none. The host does
	// not close them.
	Stats  *stats.Stats
	Tracer *span.Tracer
	// Depths fills in the queue lengths and budgets that gauges show. It is
	// called by the goroutine that owns the engine. Optional.
	Depths func(*stats.Snapshot)
}

func (c Config) withDefaults() Config {
	c.Grace = orDefault(c.Grace, defaultGrace)
	c.HeaderTimeout = orDefault(c.HeaderTimeout, defaultHeaderTimeout)
	c.BodyTimeout = orDefault(c.BodyTimeout, defaultBodyTimeout)
	c.WriteTimeout = orDefault(c.WriteTimeout, defaultWriteTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, defaultIdleTimeout)
	c.MaxHeader = orDefault(c.MaxHeader, defaultMaxHeader)
	c.MaxBody = orDefault(c.MaxBody, defaultMaxBody)
	c.MaxRequests = orDefault(c.MaxRequests, defaultMaxRequests)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (c Config) check() error {
	switch {
	case c.Listener == nil:
		return errors.New("host has no Listener: open one on the address for callers")
	case c.Engine == nil:
		return errors.New("host has no Engine: pass engine.NewEngine")
	case c.Control == nil:
		return errors.New("host has no Control: pass the agent that follows the control hosts")
	}
	return nil
}

// Host is one entry host.
type Host struct {
	config  Config
	loop    *loop
	client  *dial.Client
	server  *http.Server
	current atomic.Pointer[config.State]
	leaving leaving
	seat    atomic.Value // engine.Seat
	phase   atomic.Int32
	running atomic.Int64 // requests in progress
	// shut is closed when the listener is closed.
	shut chan struct{}
	// lastQuery numbers the queries of this process.
	lastQuery atomic.Uint64
}

// phase is a stage of a host's life.
const (
	phaseStarting int32 = iota // no configuration yet
	phaseServing
	phaseLeaving  // health check fails, requests are still taken
	phaseDraining // new requests are refused
)

// New returns a host that is ready to Run.
func New(c Config) (*Host, error) {
	c = c.withDefaults()
	if err := c.check(); err != nil {
		return nil, err
	}
	h := &Host{
		config: c,
		shut:   make(chan struct{}),
	}
	h.seat.Store(engine.SeatNone)
	c.Dial.Emit = func(ev engine.Event) {
		h.leaving.hear(ev)
		h.loop.post(ev)
	}
	c.Dial.Observe = h.observe
	h.client = dial.New(c.Dial)
	h.loop = newLoop(c.Engine, h.client)
	h.server = &http.Server{
		Handler:           h.routes(),
		ReadHeaderTimeout: c.HeaderTimeout,
		IdleTimeout:       c.IdleTimeout,
		MaxHeaderBytes:    c.MaxHeader,
		ErrorLog:          slog.NewLogLogger(c.Log.Handler(), slog.LevelWarn),
	}
	h.server.RegisterOnShutdown(func() { close(h.shut) })
	return h, nil
}

// Addr returns the address for callers.
func (h *Host) Addr() net.Addr { return h.config.Listener.Addr() }

// Run serves until ctx ends and then shuts down without cutting a request
// that was taken: it fails the health check, waits the grace, refuses new
// requests, and returns nil when the last answer is written.
func (h *Host) Run(ctx context.Context) error {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, life := errgroup.WithContext(life)
	group.Go(func() error { return h.loop.run(life) })
	group.Go(func() error { return h.follow(life) })
	group.Go(func() error {
		if err := h.server.Serve(h.config.Listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "callers' listener failed: start the host again")
		}
		return nil
	})
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-life.Done():
			return errors.Wrap(h.server.Close(), "callers' server did not close")
		}
		return h.drain(life)
	})
	err := group.Wait()
	h.client.Close()
	return err
}

func (h *Host) drain(ctx context.Context) error {
	h.phase.Store(phaseLeaving)
	h.config.Log.Info("leaving: health check fails", "Grace", h.config.Grace.String())
	select {
	case <-time.After(h.config.Grace):
	case <-ctx.Done():
	}
	h.phase.Store(phaseDraining)
	h.loop.post(engine.DrainStarted{})
	h.config.Log.Info("draining: new requests are refused", "InFlight", h.running.Load())
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
	}
	return errors.Wrap(h.server.Shutdown(ctx), "callers' server did not shut down")
}

// follow turns configurations and seats into events and shows the gauges.
func (h *Host) follow(ctx context.Context) error {
	tick := time.NewTicker(showInterval)
	defer tick.Stop()
	configs, seats := h.config.Control.Configs(), h.config.Control.Seats()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			h.loop.send(mail{look: h.show})
		case s, ok := <-configs:
			if !ok {
				configs = nil
				continue
			}
			h.applied(s)
		case s, ok := <-seats:
			if !ok {
				seats = nil
				continue
			}
			h.seat.Store(s)
			h.loop.post(engine.SeatChanged{Seat: s})
		}
	}
}

// applied puts a configuration in force unless it is older than the current one.
func (h *Host) applied(s *config.State) {
	if old := h.current.Load(); old != nil && s.Version.Less(old.Version) {
		return
	}
	h.current.Store(s)
	h.leaving.forget(func(id ident.Upstream) bool {
		_, ok := s.FindUpstream(id)
		return ok
	})
	h.phase.CompareAndSwap(phaseStarting, phaseServing)
	h.loop.post(engine.ConfigApplied{State: s})
}
