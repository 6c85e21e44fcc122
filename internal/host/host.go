// Package host is the entry host daemon. One goroutine owns the engine: it reads
// events from a mailbox and passes the engine's effects to package dial, whose
// goroutines post the results as new events.
//
// Callers use HTTP/1.1 with JSON bodies (see package wire). The status of an
// answer follows its outcome:
//
//   - Done and Partial: 200. The body states the coverage.
//   - NotRun: 503 with Retry-After, or 409 if a filing's id was used before with
//     another body, since a retry cannot succeed then.
//   - Unknown (filings only): 504, whatever the cause: the caller has to do the
//     same in every case, and a 502 would invite proxies to retry.
//   - bad request: 400; unknown path: 404; wrong method: 405; body too slow:
//     408; body too large: 413.
//
// Every answer carries the request id, including the answer to a refused
// request.
//
// A caller that closes its connection, or only its sending half, counts as
// disconnected: its query is cancelled.
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
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Reducer is the query reducer of a host: the engine, or a recorder around it.
type Reducer interface {
	Step(now ident.Instant, ev engine.Event) []engine.Effect
}

// Config configures a host. Zero limits take the defaults.
type Config struct {
	ID     ident.HostID
	Domain ident.Domain
	// Listener accepts the callers' connections. The host closes it.
	Listener net.Listener
	Engine   Reducer
	// Control must work until Run returns, since the outcomes of filings in
	// flight are still recorded during a shutdown.
	Control Control
	// Dial configures the upstream side; the host sets its Emit and Observe.
	Dial dial.Config
	// Grace is the time between the first failing health check of a shutdown and
	// the refusal of new requests. It lets the load balancer react.
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
	// Memory is the memory of the host in MB, and Descriptors the number of its
	// descriptors; 0 means the defaults of package guard.
	Memory      int
	Descriptors int
	// MaxRequests bounds the requests in flight; further ones are refused as
	// NotRun.
	MaxRequests int
	// Log receives the log lines. Nil discards them.
	Log *slog.Logger
	// Stats and Tracer receive metrics and spans; nil disables them. The host
	// does not close them.
	Stats  *stats.Stats
	Tracer *span.Tracer
	// Depths fills in the queue lengths and budget tokens of the gauges. It is
	// called in the goroutine that owns the engine. Optional.
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

func (c Config) validate() error {
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
	config       Config
	loop         *loop
	client       *dial.Client
	server       *http.Server
	callers      *guard.Listener
	activeConfig atomic.Pointer[config.State]
	// newestConfig belongs to followControl.
	newestConfig *config.State
	draining     drainingSet
	seat         atomic.Value // engine.Seat
	phase        atomic.Int32
	inFlight     atomic.Int64 // requests in flight
	// listenerClosed is closed after the listener was closed by a shutdown.
	listenerClosed chan struct{}
	// lastQuery is the number of the newest query of this process.
	lastQuery atomic.Uint64
}

// The phases of a host, in their order.
const (
	phaseStarting int32 = iota // no configuration yet
	phaseServing
	phaseLeaving  // health check fails, requests are still accepted
	phaseDraining // new requests are refused
)

// New returns a host that is ready to Run.
func New(c Config) (*Host, error) {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		return nil, err
	}
	h := &Host{
		config:         c,
		listenerClosed: make(chan struct{}),
	}
	h.seat.Store(engine.SeatNone)
	c.Dial.Emit = func(ev engine.Event) {
		h.draining.update(ev)
		h.loop.post(ev)
	}
	c.Dial.Observe = h.observe
	h.client = dial.New(c.Dial)
	h.loop = newLoop(c.Engine, h.client, c.Control)
	h.server = &http.Server{
		Handler:        h.routes(),
		MaxHeaderBytes: guard.MaxHeaderBytes, // the guard has the limits and timeouts
		ErrorLog:       slog.NewLogLogger(c.Log.Handler(), slog.LevelWarn),
		ConnContext:    guard.ConnContext,
	}
	bounds := guard.CallerBounds(c.Memory, c.Descriptors)
	bounds.StallTimeout, bounds.Log = c.WriteTimeout, c.Log
	bounds.Limits = func() guard.Limits {
		return guard.Limits{
			HeadBytes:   c.MaxHeader,
			HeadTimeout: c.HeaderTimeout,
			IdleTimeout: c.IdleTimeout,
		}
	}
	h.callers = guard.New(bounds).Wrap(c.Listener)
	h.server.ConnState = h.callers.ConnState(nil)
	h.server.RegisterOnShutdown(func() { close(h.listenerClosed) })
	return h, nil
}

// Addr returns the address for callers.
func (h *Host) Addr() net.Addr { return h.config.Listener.Addr() }

// Run serves until ctx is done and then shuts down without interrupting a
// request in flight: it fails the health check, waits for Grace, refuses new
// requests, and returns nil after the last answer is written.
func (h *Host) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return h.loop.run(runCtx) })
	group.Go(func() error { return h.followControl(runCtx) })
	group.Go(func() error {
		if err := h.server.Serve(h.callers); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "listener for callers failed: restart the host")
		}
		return nil
	})
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return errors.Wrap(h.server.Close(), "server for callers did not close")
		}
		return h.drain(runCtx)
	})
	err := group.Wait()
	h.client.Close()
	return err
}

func (h *Host) drain(ctx context.Context) error {
	h.phase.Store(phaseLeaving)
	h.config.Log.Info("shutdown: health check fails for the grace period", "Grace", h.config.Grace.String())
	select {
	case <-time.After(h.config.Grace):
	case <-ctx.Done():
	}
	h.phase.Store(phaseDraining)
	h.loop.post(engine.DrainStarted{})
	h.config.Log.Info("shutdown: draining, new requests are refused", "InFlight", h.inFlight.Load())
	select {
	case <-time.After(closeDelay):
	case <-ctx.Done():
	}
	return errors.Wrap(h.server.Shutdown(ctx), "server for callers did not shut down")
}

// followControl posts what comes from the control hosts and from other entry
// hosts as events, and sets the gauges periodically.
func (h *Host) followControl(ctx context.Context) error {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	configs, seats := h.config.Control.Configs(), h.config.Control.Seats()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			h.loop.enqueue(message{inspect: h.updateGauges})
		case state, ok := <-configs:
			if !ok {
				configs = nil
				continue
			}
			h.applyConfig(state)
		case seat, ok := <-seats:
			if !ok {
				seats = nil
				continue
			}
			h.seat.Store(seat)
			h.loop.post(engine.SeatChanged{Seat: seat})
		case granted := <-h.config.Control.Grants():
			h.loop.post(granted)
		case facts := <-h.config.Control.Facts():
			h.loop.enqueue(message{facts: facts})
		}
	}
}

// applyConfig passes a configuration to the engine, unless it is older than the
// newest one, and makes it active once the engine has applied it: from then on there
// are connections to its upstreams.
func (h *Host) applyConfig(state *config.State) {
	if h.newestConfig != nil && state.Version.Less(h.newestConfig.Version) {
		return
	}
	h.newestConfig = state
	h.loop.post(engine.ConfigApplied{State: state})
	h.loop.enqueue(message{inspect: func() { h.activate(state) }})
}

// activate makes a configuration that the engine has applied visible to filings and
// to the health check.
func (h *Host) activate(state *config.State) {
	h.activeConfig.Store(state)
	h.draining.retain(func(id ident.Upstream) bool {
		_, ok := state.FindUpstream(id)
		return ok
	})
	h.phase.CompareAndSwap(phaseStarting, phaseServing)
}
