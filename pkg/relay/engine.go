// Package relay decides how the requests of callers are forwarded: which
// upstream gets each call, when a hedged call is sent, what is retried within
// the shared retry budgets, and when a query over shards is answered with the
// parts received so far. It is a pure reducer: Engine.Step takes one event and
// returns effects. It has no clock, does no I/O, and must be used from one
// goroutine at a time.
package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/notice"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Config holds the settings of an engine.
type Config struct {
	// Domain is the failure domain of this host.
	Domain ident.Domain
	// Extra bounds the calls beyond the first of each request, for each service.
	Extra budget.Config
	// Hosts is the number of hosts assumed until the first Hosts event.
	Hosts int
	// Seed seeds the random choice between upstreams of equal cost.
	Seed uint64
}

// Engine is the state of one entry host's forwarding.
type Engine struct {
	cfg   Config
	rand  *rand.Rand
	now   ident.Instant
	hosts int
	// teams is the number of gatherers; a team is a gatherer and its helpers.
	// gathers is set if this host is a gatherer.
	teams   int
	gathers bool

	table *rules.Table
	// limitsCold is set if the table states a rate for cold upstreams of any service.
	limitsCold bool
	// sharedMachines is set once an upstream has stated the effort of its machine.
	sharedMachines bool
	// recentTables are the last documents, newest last, for queries that another
	// host started under one of them.
	recentTables []*rules.Table

	upstreams map[ident.Upstream]*upstream
	services  map[ident.Service][]*upstream
	budgets   map[ident.Service]*budget.Window
	routes    map[string]*routeStats

	// gatherers are the other domains that have a gatherer for this host.
	gatherers map[ident.Domain]bool
	// helpers are the hosts of this domain that call part of the shards of a
	// query over many shards.
	helpers []ident.HostID

	// waiting counts the parts that wait for a free connection, as of the last
	// arrival.
	waiting map[ident.Service]int

	// delegateLag estimates how long after its due time another host's answer
	// arrives.
	delegateLag *Lag

	// overloadedUntil is, for each shard that another host skipped, the time
	// until which it counts as overloaded.
	overloadedUntil map[ident.Service]ident.Instant
	// closedUntil is, for each shard whose upstreams want no calls from another host or
	// are unreachable there, the time that it said.
	closedUntil map[ident.Service]ident.Instant

	// evacuated are the domains whose upstreams are not called.
	evacuated map[ident.Domain]bool

	// quota is this host's share of the limits that upstreams name.
	quota *quota.Share
	byKey map[quota.Key]*upstream

	// departures and pauses hold which upstreams leave, and which want no calls.
	departures *notice.Departures
	pauses     *notice.Pauses

	// gate decides when queries over shards begin; loads are of requests to one
	// upstream.
	gate  *gate.Gate
	loads map[ident.Service]*serviceLoad

	// blame holds which requests crashed upstreams.
	blame *blame.Table

	// stopping is set once this host stops; it ends at endsAt.
	stopping bool
	endsAt   ident.Instant

	queries map[ident.QueryID]*query
	order   []*query // queries by arrival
	// partial are ended queries of other hosts that may ask for the rest, by the
	// caller's request; partialOrder holds them by their end.
	partial      map[ident.RequestID][]*query
	partialOrder []*query
	attempts     map[ident.AttemptID]*attempt
	lastID       ident.AttemptID

	effects []Effect
}

// New returns an engine without a document or upstreams. Until the first
// Install it refuses every request.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:             cfg,
		rand:            rand.New(rand.NewPCG(cfg.Seed, 1)),
		hosts:           max(1, cfg.Hosts),
		teams:           1,
		delegateLag:     NewLag(),
		upstreams:       make(map[ident.Upstream]*upstream),
		services:        make(map[ident.Service][]*upstream),
		budgets:         make(map[ident.Service]*budget.Window),
		routes:          make(map[string]*routeStats),
		quota:           quota.NewShare(),
		departures:      notice.NewDepartures(),
		pauses:          notice.NewPauses(cfg.Seed),
		gate:            gate.New(cfg.Seed),
		loads:           make(map[ident.Service]*serviceLoad),
		blame:           blame.NewTable(),
		overloadedUntil: make(map[ident.Service]ident.Instant),
		closedUntil:     make(map[ident.Service]ident.Instant),
		queries:         make(map[ident.QueryID]*query),
		partial:         make(map[ident.RequestID][]*query),
		attempts:        make(map[ident.AttemptID]*attempt),
	}
}

// Version returns the version of the active document, or 0 if there is none.
func (e *Engine) Version() rules.Version {
	if e.table == nil {
		return 0
	}
	return e.table.Version()
}

// Step takes one event and returns the effects to carry out, in order.
func (e *Engine) Step(ev Event) []Effect {
	e.effects = nil
	switch ev := ev.(type) {
	case Install:
		e.advanceTo(ev.Now)
		e.install(ev.Table)
	case Listed:
		e.advanceTo(ev.Now)
		e.setUpstreams(ev.Upstreams)
		e.advanceAll()
	case Hosts:
		e.advanceTo(ev.Now)
		e.hosts, e.teams, e.gathers = max(1, ev.Count), max(1, ev.Gatherers), ev.Gathers
		e.quota.SetHosts(e.hosts)
	case Evacuated:
		e.advanceTo(ev.Now)
		e.evacuate(ev.Domains)
	case Arrive:
		e.advanceTo(ev.Now)
		e.arrive(ev)
	case Gatherers:
		e.advanceTo(ev.Now)
		e.setGatherers(ev)
	case DelegateEnded:
		e.advanceTo(ev.Now)
		e.delegateEnded(ev)
	case Ended:
		e.advanceTo(ev.Now)
		e.ended(ev)
	case FactsReceived:
		e.advanceTo(ev.Now)
		e.receiveFacts(ev.Facts)
	case Granted:
		e.advanceTo(ev.Now)
		e.granted(ev)
	case Disconnected:
		e.advanceTo(ev.Now)
		e.disconnected(ev)
	case Abandoned:
		e.advanceTo(ev.Now)
		e.abandoned(ev)
	case Stopping:
		e.advanceTo(ev.Now)
		e.stop(ev)
	case Tick:
		e.advanceTo(ev.Now)
		e.limitCold()
		e.advanceAll()
	}
	e.passGate()
	e.report()
	return e.effects
}

// advanceTo sets the clock. It never goes back: events of several goroutines come in
// another order than they were stamped in.
func (e *Engine) advanceTo(now ident.Instant) { e.now = max(e.now, now) }

// Next returns when the next Tick is due, and false if none is.
func (e *Engine) Next() (ident.Instant, bool) {
	next, found := e.quota.Next()
	if at, ok := e.gate.Next(); ok && (!found || at < next) {
		next, found = at, true
	}
	for _, q := range e.order {
		if !found || q.wake < next {
			next, found = q.wake, true
		}
	}
	return next, found
}

func (e *Engine) install(t *rules.Table) {
	if e.table != nil && t.Version() <= e.table.Version() {
		return
	}
	e.table = t
	e.limitsCold = e.limitsCold || slices.ContainsFunc(t.Doc.Services, func(s rules.Service) bool { return s.ColdRate > 0 })
	e.recentTables = append(e.recentTables, t)
	if len(e.recentTables) > maxKeptTables {
		e.recentTables = slices.Clone(e.recentTables[1:])
	}
	e.limitCold()
}

// tableOf returns the table of a version, or of the active one if v is 0. It
// returns nil if that version is not kept.
func (e *Engine) tableOf(v rules.Version) *rules.Table {
	if v == 0 {
		return e.table
	}
	for _, t := range e.recentTables {
		if t.Version() == v {
			return t
		}
	}
	return nil
}

func (e *Engine) emit(f Effect) { e.effects = append(e.effects, f) }

// window returns the budget for extra calls of a service.
func (e *Engine) window(s ident.Service) *budget.Window {
	w := e.budgets[s]
	if w == nil {
		w = budget.NewWindow(e.cfg.Extra)
		e.budgets[s] = w
	}
	return w
}

// setUpstreams replaces the known upstreams. It keeps what was learned of those
// that remain; a new incarnation of an ID starts without any.
func (e *Engine) setUpstreams(entries []Upstream) {
	next := make(map[ident.Upstream]*upstream, len(entries))
	services := make(map[ident.Service][]*upstream)
	for _, entry := range entries {
		if next[entry.ID] != nil {
			continue
		}
		u, isNew := e.upstreams[entry.ID], false
		if u == nil || u.Born != entry.Born || u.Address != entry.Address || u.Service != entry.Service {
			u = &upstream{
				slowdown: 1,
				key:      quota.KeyOf(entry.ID, entry.Born),
			}
			isNew = true
		}
		if entry.Draining && !u.Draining {
			u.drainingSince = e.now
		}
		u.Upstream = entry
		e.setNotices(u)
		u.coldUntil = e.now.Add(entry.Cold)
		if isNew && entry.Cold > 0 && e.paced(entry.Service) {
			u.pace.Start(e.paceConfig(u))
		}
		next[entry.ID] = u
		services[entry.Service] = append(services[entry.Service], u)
	}
	e.upstreams, e.services = next, services
	e.byKey = make(map[quota.Key]*upstream, len(next))
	for _, u := range next {
		e.byKey[u.key] = u
	}
	e.limitCold()
}

func (e *Engine) setGatherers(ev Gatherers) {
	e.gatherers = make(map[ident.Domain]bool, len(ev.Domains))
	for _, d := range ev.Domains {
		e.gatherers[d] = true
	}
	e.helpers = ev.Helpers
}

func (e *Engine) advanceAll() {
	for _, q := range slices.Clone(e.order) {
		if !q.done {
			e.advance(q)
		}
	}
}

func (e *Engine) routeOf(r *rules.Route) *routeStats {
	key := r.Host + r.Prefix
	s := e.routes[key]
	if s == nil {
		s = newRouteStats(r)
		e.routes[key] = s
	}
	return s
}

// connections returns how many connections to an upstream this host may use
// for a query. Gatherers share most of what the upstream accepts, as the other
// hosts rarely call shards.
func (e *Engine) connections(q *query, u *upstream) int {
	limit := float64(defaultConnections)
	if svc := q.table.Service(u.Service); svc != nil && svc.MaxConnections > 0 {
		limit = float64(svc.MaxConnections) * connectionShare
	}
	switch {
	case !q.route.Gathers():
		return max(1, int(limit/float64(e.hosts)))
	case e.gathersFor(q):
		return max(1, min(int(limit*gathererShare/float64(e.teams)), u.Slots+queueAtUpstream))
	}
	return max(1, int(limit*(1-gathererShare)/float64(e.hosts)))
}

// gathersFor reports whether this host calls the shards of a query as a
// gatherer or as a helper. In each team, only one host calls a given shard.
func (e *Engine) gathersFor(q *query) bool { return e.gathers || q.direct }

// share returns this host's part of the slack for extra calls of a query.
// Gatherers get most of it, as they make most of the calls.
func (e *Engine) share(q *query) float64 {
	share, team := (1-gathererShare)/float64(e.hosts), gathererShare/float64(e.teams)
	switch {
	case q.direct:
		share += team * helperShare
	case e.gathers && q.usesHelpers():
		share += team * (1 - helperShare)
	case e.gathers:
		share += team
	}
	return share
}

func (e *Engine) after(d time.Duration) ident.Instant { return e.now.Add(d) }
