// Package front implements the entry host on the platform: it accepts callers'
// requests, runs the engine of pkg/relay in one goroutine, makes the engine's
// calls over pooled connections to upstreams, and receives the configuration
// and the list of upstreams from a control host by long polling.
package front

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/accept"
	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// drainTime is how long a stopping host still accepts new requests. The load
	// balancer removes it after two failed checks, made once a second.
	drainTime = 3200 * time.Millisecond

	// graceMargin is how long before SIGKILL the remaining connections are closed.
	graceMargin = 400 * time.Millisecond

	// answerMargin is how long before that all requests are answered, for writing
	// the answers.
	answerMargin = 150 * time.Millisecond

	// inputQueueSize bounds the inputs queued for the engine.
	inputQueueSize = 1024

	// initialHosts is the host count assumed until the roster is known. It is
	// set high, so that this host's share of the retry budgets starts small.
	initialHosts = 128
)

// Config holds the settings of an entry host.
type Config struct {
	Name   ident.HostID
	Domain ident.Domain
	// Front is the address for callers, Ready the one for the load balancer's
	// readiness checks.
	Front string
	Ready string
	// Link is the address at which other hosts reach this one.
	Link string
	// Bind is the address to listen on for other hosts; empty means Link.
	Bind string
	// Seeds are link addresses of control hosts.
	Seeds []string
	// Extra is the budget of retries and hedges of each service, shared by all
	// hosts.
	Extra budget.Config
	// Quota is what the limits of accounts have in common; the zero value is for none.
	Quota allot.Config
	// Domains are all failure domains.
	Domains []ident.Domain
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Metrics is the address on which metrics are served; empty disables them.
	Metrics string
	Log     *slog.Logger
	// Dropped returns the number of log lines dropped so far.
	Dropped func() int64
	// Memory is the memory of the host in MB, and Descriptors the number of its
	// descriptors; 0 means the defaults of package guard.
	Memory      int
	Descriptors int
}

// Front is an entry host.
type Front struct {
	cfg    Config
	log    *slog.Logger
	start  time.Time
	self   board.Host
	client *link.Client
	pool   *pipe.Pool
	gauge  *gauge.Gauge
	// guard bounds what callers hold.
	guard *guard.Guard
	peers *peers
	// returnLag estimates the return latency of gatherers' answers: the time from
	// an answer's due time at the gatherer to its arrival here.
	returnLag sharedLag
	engine    *relay.Engine
	// owner divides the limits of this domain's upstreams while this host is
	// their owner.
	owner *quota.Owner
	// limits are those of accounts, nil if they are not limited.
	limits *accountLimits
	// gossip spreads facts to the other hosts, at gossipPeers.
	gossip      *gossip.Spreader
	gossipPeers map[ident.HostID]netip.AddrPort
	// datagrams is the socket for pings and messages between hosts.
	datagrams *net.UDPConn

	inputs  chan input
	queries map[ident.QueryID]*request
	calls   map[ident.AttemptID]*callState
	lastID  atomic.Uint64
	// servingDelegated counts the queries in progress for other hosts.
	servingDelegated sync.WaitGroup

	table   atomic.Pointer[rules.Table]
	permits *permits
	hasList atomic.Bool
	// knowsEvacuation is set once it is known which domains are evacuated.
	knowsEvacuation atomic.Bool
	draining        atomic.Bool
	closing         atomic.Bool
	// serving is cancelled once a stopping host gives up what other hosts have not
	// answered.
	serving    context.Context //nolint:containedctx // it belongs to the host, not to a call
	endServing context.CancelFunc
	// endsAt is the ident.Instant by which a stopping host must have answered, 0 before
	// it stops.
	endsAt atomic.Int64
	// The values of the gauges; listReadAt, and confirmedAt of the configuration,
	// are in Unix nanoseconds.
	requestsRunning, upstreams, evacuated, evacuationRevision, hosts, limited, suspects, leaving, paused, listReadAt, confirmedAt atomic.Int64
	// gate is the state of the engine's gate; gateLow and gateLoggedAt are what was last
	// logged of it, and when. Only the loop uses these.
	gate         atomic.Pointer[gate.Status]
	gateLow      bool
	gateLoggedAt ident.Instant
	// lastUnreadyReason is the reason at the last readiness check, empty if ready.
	lastUnreadyReason atomic.Pointer[string]
	// isolated is set while no other domain is reachable, localCoverage while
	// this domain's upstreams cover enough shards of every route.
	isolated      atomic.Bool
	localCoverage atomic.Bool
	seeds         chan []string
}

// New returns an entry host that does nothing until Run is called.
func New(cfg Config) (*Front, error) {
	client, err := link.NewClient(link.Config{
		AllowPlain:  true,
		CallTimeout: watch.PollTimeout,
		DialTimeout: time.Second,
		Log:         cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	cfg.Bind = cmp.Or(cfg.Bind, cfg.Link)
	serving, endServing := context.WithCancel(context.Background())
	f := &Front{
		cfg:    cfg,
		log:    cfg.Log,
		start:  time.Now(),
		client: client,
		self: board.Host{
			ID:     cfg.Name,
			Kind:   board.Entry,
			Domain: cfg.Domain,
			Link:   cfg.Link,
		},
		pool:      pipe.NewPool(),
		gauge:     gauge.New(relay.ResultNames()...),
		peers:     newPeers(cfg.Name, cfg.Domain),
		returnLag: sharedLag{lag: relay.NewLag()},
		engine: relay.New(relay.Config{
			Domain: cfg.Domain,
			Extra:  cfg.Extra,
			Hosts:  initialHosts,
			Seed:   rand.Uint64(),
		}),
		owner:   quota.NewOwner(),
		limits:  newAccountLimits(cfg.Quota),
		gossip:  gossip.New(rand.Uint64()),
		inputs:  make(chan input, inputQueueSize),
		queries: make(map[ident.QueryID]*request),
		calls:   make(map[ident.AttemptID]*callState),
		permits: newPermits(),
		seeds:   make(chan []string, 1),

		serving:    serving,
		endServing: endServing,
	}
	bounds := guard.CallerBounds(cfg.Memory, cfg.Descriptors)
	bounds.Limits, bounds.Dropped = f.callerLimits, f.gauge.CallerDropped
	f.guard = f.newGuard(bounds)
	return f, nil
}

func (f *Front) newGuard(bounds guard.Config) *guard.Guard {
	bounds.Log = f.log
	return guard.New(bounds)
}

// callerLimits returns the limits of the configuration in force.
func (f *Front) callerLimits() guard.Limits {
	t := f.table.Load()
	if t == nil {
		return guard.Limits{}
	}
	return guard.Limits{
		HeadBytes:   t.Doc.Limits.HeaderBytes,
		HeadTimeout: t.Doc.Limits.HeaderTimeout,
		IdleTimeout: t.Doc.Limits.IdleTimeout,
	}
}

// SetSeeds replaces the seeds; Run uses them from its next poll on.
func (f *Front) SetSeeds(seeds []string) {
	select {
	case <-f.seeds:
	default:
	}
	f.seeds <- seeds
}

func (f *Front) now() ident.Instant { return ident.Instant(time.Since(f.start)) }

// Run serves until ctx ends, then drains: it returns once the requests in
// progress are answered or the grace time is nearly over.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info("entry host starts", "Front", f.cfg.Front, "Seeds", f.cfg.Seeds)
	if f.cfg.Quota.Window > 0 && f.limits == nil {
		f.log.Warn("accounts are not limited; set all failure domains")
	}
	raw, err := net.Listen("tcp", f.cfg.Front)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for callers on %s", f.cfg.Front)
	}
	lis := accept.Wrap(raw)
	ready, err := net.Listen("tcp", f.cfg.Ready)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for readiness checks on %s", f.cfg.Ready)
	}
	if err := f.listenDatagrams(); err != nil {
		return err
	}
	srv := f.server()
	callers := f.guard.Wrap(lis)
	srv.ConnState = callers.ConnState(lis.ConnState)
	readyGuard := f.newGuard(guard.CheckBounds("checks", f.cfg.Descriptors)).Wrap(ready)
	checks := guard.CheckServer(readyGuard, 0, http.HandlerFunc(f.serveReady))
	// Serving continues after ctx ends until the requests in progress are answered.
	tctx, end := context.WithCancel(context.WithoutCancel(ctx))
	g, tctx := errgroup.WithContext(tctx)
	g.Go(func() error { return f.loop(tctx) })
	g.Go(func() error { return f.watch(tctx) })
	g.Go(func() error { return f.serveLink(tctx) })
	g.Go(func() error { return f.pingPeers(tctx) })
	g.Go(func() error { return f.serveMetrics(tctx) })
	g.Go(func() error { return serveError(srv.Serve(callers), "callers") })
	g.Go(func() error { return serveError(checks.Serve(readyGuard), "readiness checks") })
	g.Go(func() error {
		defer end()
		select {
		case <-tctx.Done():
			return nil
		case <-ctx.Done():
		}
		f.stop(srv, lis)
		return checks.Close()
	})
	err = g.Wait()
	f.log.Info("entry host stops")
	_ = f.client.Close()
	_ = f.gauge.Close()
	return err
}

func serveError(err error, who string) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serving %s failed", who)
}

// stop waits until the load balancer has removed this host, then closes the
// connections of callers as their requests are answered. Requests that cannot be
// answered in the grace time are refused, and all others answered, before its end.
func (f *Front) stop(srv *http.Server, lis *accept.Listener) {
	started := time.Now()
	serveTime := max(0, f.cfg.Grace-graceMargin-answerMargin)
	f.log.Info("entry host drains", "AnswersWithinMillis", serveTime.Milliseconds())
	f.draining.Store(true)
	end := f.now().Add(serveTime)
	f.endsAt.Store(int64(end))
	f.inputs <- input{event: relay.Stopping{End: end}}
	defer time.AfterFunc(serveTime, f.endServing).Stop()
	srv.SetKeepAlivesEnabled(false)
	time.Sleep(min(drainTime, f.cfg.Grace/2))
	f.closing.Store(true)
	sctx, cancel := context.WithDeadline(context.Background(), started.Add(f.cfg.Grace-graceMargin))
	defer cancel()
	err := srv.Shutdown(sctx)
	if err == nil {
		err = lis.Wait(sctx)
	}
	if err != nil {
		f.log.Warn("requests were still in progress at the end of the grace time", "Error", err.Error())
		_ = srv.Close()
		return
	}
	f.servingDelegated.Wait()
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := f.unreadyReason()
	if last := f.lastUnreadyReason.Swap(&reason); last == nil || *last != reason {
		f.log.Info("readiness changed", "Ready", reason == "", "Reason", reason)
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// unreadyReason returns why this host should get no new callers; it is empty
// if the host is ready.
func (f *Front) unreadyReason() string {
	switch {
	case f.draining.Load():
		return "it stops"
	case !f.knowsEvacuation.Load():
		return "it does not know yet which domains are evacuated"
	case f.table.Load() == nil:
		return "it has no configuration yet"
	case !f.hasList.Load():
		return "it has no list of upstreams yet"
	case f.cutOff():
		return "it is cut off from the other domains"
	}
	return ""
}

// cutOff reports whether this host reaches too few shards to answer, because no
// other domain is reachable. The load balancer then sends callers elsewhere.
func (f *Front) cutOff() bool { return f.isolated.Load() && !f.localCoverage.Load() }
