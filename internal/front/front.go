// Package front is the entry host on the platform: it takes callers'
// requests, runs the engine of pkg/relay in one goroutine, carries out its
// calls over kept connections to upstreams, and watches a control host for
// the configuration and the list of upstreams.
package front

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// drainTime is how long a host that stops still takes new requests. The
	// balancer takes it out after two missed checks, one a second.
	drainTime = 3200 * time.Millisecond

	// graceMargin is kept of the time between SIGTERM and SIGKILL.
	graceMargin = 400 * time.Millisecond

	// inputSize bounds the inputs that wait for the engine.
	inputSize = 1024

	// firstHosts is assumed until the roster is known; it errs on the high side.
	firstHosts = 128
)

// Config holds the settings of an entry host.
type Config struct {
	Name   ident.HostID
	Domain ident.Domain
	// Front takes callers' requests, Ready the balancer's checks.
	Front string
	Ready string
	// Link is where other hosts reach this one.
	Link string
	// Bind is where this host listens for other hosts; empty means at Link.
	Bind string
	// Seeds are link addresses of control hosts.
	Seeds []string
	// Extra bounds retries and hedges for each service over all hosts.
	Extra budget.Config
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Metrics is the address where metrics are served; empty means none.
	Metrics string
	Log     *slog.Logger
	// Dropped returns the number of log lines dropped so far.
	Dropped func() int64
}

// Front is an entry host.
type Front struct {
	cfg    Config
	log    *slog.Logger
	start  time.Time
	self   watch.Host
	client *link.Client
	pool   *pipe.Pool
	gauge  *gauge.Gauge
	peers  *peers
	// back is what answers of gatherers need beyond their time until they go
	// to the caller.
	back   lag
	engine *relay.Engine

	inputs  chan input
	queries map[ident.QueryID]*request
	calls   map[ident.AttemptID]*callState
	lastID  atomic.Uint64
	// handing counts the queries of other hosts in progress.
	handing sync.WaitGroup

	table    atomic.Pointer[rules.Table]
	listed   atomic.Bool
	draining atomic.Bool
	closing  atomic.Bool
	// running, upstreams, hosts and listAt are for the gauges.
	running, upstreams, hosts, listAt atomic.Int64
	// reason is why readiness checks were refused last.
	reason atomic.Pointer[string]
	// alone is set while no other domain is reached, and local while this
	// domain's upstreams are enough for every route.
	alone atomic.Bool
	local atomic.Bool
	seeds chan []string
}

// New returns an entry host. Run must follow.
func New(cfg Config) (*Front, error) {
	client, err := link.NewClient(link.Config{
		AllowPlain:  true,
		CallTimeout: watch.AskTimeout,
		DialTimeout: time.Second,
		Log:         cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	cfg.Bind = cmp.Or(cfg.Bind, cfg.Link)
	return &Front{
		cfg:    cfg,
		log:    cfg.Log,
		start:  time.Now(),
		client: client,
		self: watch.Host{
			ID:     cfg.Name,
			Kind:   watch.Entry,
			Domain: cfg.Domain,
			Link:   cfg.Link,
		},
		pool:  pipe.NewPool(),
		gauge: gauge.New(relay.ResultNames()...),
		peers: newPeers(cfg.Name, cfg.Domain),
		back:  lag{lag: relay.NewLag()},
		engine: relay.New(relay.Config{
			Domain: cfg.Domain,
			Extra:  cfg.Extra,
			Hosts:  firstHosts,
			Seed:   rand.Uint64(),
		}),
		inputs:  make(chan input, inputSize),
		queries: make(map[ident.QueryID]*request),
		calls:   make(map[ident.AttemptID]*callState),
		seeds:   make(chan []string, 1),
	}, nil
}

// SetSeeds replaces the seeds after the settings have changed.
func (f *Front) SetSeeds(seeds []string) {
	select {
	case <-f.seeds:
	default:
	}
	f.seeds <- seeds
}

func (f *Front) now() ident.Instant { return ident.Instant(time.Since(f.start)) }

// Run serves until ctx ends and the requests in progress are answered.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info("entry host starts", "Front", f.cfg.Front, "Seeds", f.cfg.Seeds)
	lis, err := net.Listen("tcp", f.cfg.Front)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for callers on %s", f.cfg.Front)
	}
	ready, err := net.Listen("tcp", f.cfg.Ready)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for readiness checks on %s", f.cfg.Ready)
	}
	srv := f.server()
	checks := &http.Server{
		Handler:           http.HandlerFunc(f.serveReady),
		ReadHeaderTimeout: readyTimeout,
	}
	// The traffic outlives ctx until the requests in progress are answered.
	tctx, end := context.WithCancel(context.WithoutCancel(ctx))
	g, tctx := errgroup.WithContext(tctx)
	g.Go(func() error { return f.loop(tctx) })
	g.Go(func() error { return f.watch(tctx) })
	g.Go(func() error { return f.serveLink(tctx) })
	g.Go(func() error { return f.pingPeers(tctx) })
	g.Go(func() error { return f.serveMetrics(tctx) })
	g.Go(func() error { return served(srv.Serve(lis), "callers") })
	g.Go(func() error { return served(checks.Serve(ready), "readiness checks") })
	g.Go(func() error {
		defer end()
		select {
		case <-tctx.Done():
			return nil
		case <-ctx.Done():
		}
		f.stop(srv)
		return checks.Close()
	})
	err = g.Wait()
	f.log.Info("entry host stops")
	_ = f.client.Close()
	_ = f.gauge.Close()
	return err
}

func served(err error, who string) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serving %s failed", who)
}

// stop lets the balancer take this host out, then ends the connections of
// callers as their requests are answered.
func (f *Front) stop(srv *http.Server) {
	begin := time.Now()
	f.log.Info("entry host drains")
	f.draining.Store(true)
	srv.SetKeepAlivesEnabled(false)
	time.Sleep(min(drainTime, f.cfg.Grace/2))
	f.closing.Store(true)
	sctx, cancel := context.WithDeadline(context.Background(), begin.Add(f.cfg.Grace-graceMargin))
	defer cancel()
	if err := srv.Shutdown(sctx); err != nil {
		f.log.Warn("requests were still in progress at the end of the grace time", "Error", err.Error())
		_ = srv.Close()
		return
	}
	f.handing.Wait()
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := f.unready()
	if last := f.reason.Swap(&reason); last == nil || *last != reason {
		f.log.Info("readiness changed", "Ready", reason == "", "Reason", reason)
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// unready returns why this host should get no new callers, or nothing.
func (f *Front) unready() string {
	switch {
	case f.draining.Load():
		return "it stops"
	case f.table.Load() == nil:
		return "it has no configuration yet"
	case !f.listed.Load():
		return "it has no list of upstreams yet"
	case f.cutOff():
		return "it is cut off from the other domains"
	}
	return ""
}

// cutOff reports whether this host cannot answer over enough shards, since it
// reaches no other domain. The balancer then sends callers elsewhere.
func (f *Front) cutOff() bool { return f.alone.Load() && !f.local.Load() }
