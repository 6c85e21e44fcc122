// Package engine decides how an entry host answers queries: which index
// version a query is pinned to, which upstreams get attempts, when attempts are
// hedged, retried or cancelled, and which shards the answer covers. It is a
// reducer: Step takes one event and returns effects. It has no clock, does no
// I/O and is not safe for concurrent use.
package engine

import (
	"math/rand/v2"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// Policy selects how attempts are made.
type Policy uint8

// The policies. PolicyPlain and PolicyNaiveRetry are baselines for benchmarks.
const (
	// PolicyTolerant hedges and retries within budgets, limits concurrency per
	// upstream, and queues queries.
	PolicyTolerant Policy = iota
	// PolicyPlain sends one attempt per shard at once: no hedge, retry or queue.
	PolicyPlain
	// PolicyNaiveRetry is PolicyPlain with up to 3 attempts and no budget.
	PolicyNaiveRetry
)

// Config is the fixed setup of an Engine. It is recorded in traces.
type Config struct {
	Host   ident.HostID
	Domain ident.Domain
	// Seed makes all random choices reproducible.
	Seed   uint64
	Policy Policy
}

// Engine is the query reducer of one entry host. It is not safe for concurrent
// use.
type Engine struct {
	cfg      Config
	rng      *rand.Rand
	picker   *route.Picker
	state    *config.State
	preset   *preset.Preset
	seat     Seat
	draining bool

	layout   *layout.Map
	indexes  []*index
	services map[serviceKey]*service
	// waitingTasks lists the tasks that wait for room at a shard, the most
	// important class first. They take precedence over queued queries.
	waitingTasks map[*layout.Shard][]waitingTask

	queries     map[ident.QueryID]*query
	attempts    map[ident.AttemptID]*attempt
	lastAttempt ident.AttemptID
	// shares holds this host's share of the limits that upstreams name.
	shares *quota.Share
	// blame holds which searches crashed upstreams.
	blame  *blame.Table
	queued limit.Counts

	// candidates and candidateReplicas are reused scratch space, filled by
	// collectCandidates. Both have the same order.
	candidates        []route.Candidate
	candidateReplicas []*layout.Replica
	freeAttempts      []*attempt
	timers            timers
	wakeAt            ident.Instant // earliest requested Wake still to come; 0 is none
	effects           []Effect
}

// NewEngine returns an engine without configuration and without a seat. It
// answers every query as not run until it has both.
func NewEngine(cfg Config) *Engine {
	return &Engine{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		picker:       route.NewPicker(cfg.Seed),
		state:        config.NewState(),
		preset:       &preset.Preset{},
		seat:         SeatNone,
		layout:       layout.NewMap(cfg.Domain),
		services:     map[serviceKey]*service{},
		waitingTasks: map[*layout.Shard][]waitingTask{},
		queries:      map[ident.QueryID]*query{},
		attempts:     map[ident.AttemptID]*attempt{},
		shares:       quota.NewShare(),
		blame:        blame.NewTable(),
	}
}

// Step handles one event and returns the effects that the runtime must carry
// out, in order. now must not decrease between calls. The caller owns the
// returned slice.
func (e *Engine) Step(now ident.Instant, ev Event) []Effect {
	e.effects = nil
	if e.wakeAt <= now {
		e.wakeAt = 0
	}
	e.handle(now, ev)
	e.fireTimers(now)
	e.reportDemand(now)
	e.requestWake()
	return e.effects
}

func (e *Engine) handle(now ident.Instant, ev Event) {
	switch ev := ev.(type) {
	case QueryArrived:
		e.queryArrived(now, ev)
	case QueryCancelled:
		e.queryCancelled(now, ev.Query)
	case AttemptAnswered:
		e.attemptAnswered(now, ev)
	case AttemptFailed:
		e.attemptFailed(now, ev)
	case UpstreamReported:
		e.upstreamReported(now, ev)
	case ProbeFailed:
		e.probeFailed(now, ev.Upstream)
	case ConfigApplied:
		e.configApplied(now, ev.State)
	case SeatChanged:
		e.seatChanged(now, ev.Seat)
	case ShareGranted:
		e.shares.Granted(now, ev.Sent, "", ev.Grants)
	case Told:
		e.receiveFacts(now, ev.Facts)
	case DrainStarted:
		e.draining = true
	case Ticked:
	}
}

func (e *Engine) emit(eff Effect) { e.effects = append(e.effects, eff) }

// Retained counts the objects that the engine keeps for queries and attempts.
// All counts are zero once every query has ended and every attempt has a
// result.
type Retained struct {
	Queries  int
	Attempts int
	Waiting  int // queued queries and tasks that wait for room
}

// Retained returns the current counts. Non-zero counts without any query in
// flight indicate a leak.
func (e *Engine) Retained() Retained {
	retained := Retained{
		Queries:  len(e.queries),
		Attempts: len(e.attempts),
	}
	for _, count := range e.queued {
		retained.Waiting += count
	}
	for _, waiting := range e.waitingTasks {
		retained.Waiting += len(waiting)
	}
	return retained
}

// Depths holds the queue lengths and the tokens in the budgets, for metrics.
type Depths struct {
	// Waiting is the number of queued queries per class.
	Waiting [len(preset.Classes)]int
	// HedgeTokens is summed over all indexes, RetryTokens over all services.
	HedgeTokens float64
	RetryTokens float64
	// Limits is the number of upstreams whose limit is known, Suspects that of
	// searches with crashes held against them.
	Limits   int
	Suspects int
}

// Depths returns the current queue lengths and budget tokens.
func (e *Engine) Depths() Depths {
	// Integer sums do not depend on the iteration order of the map.
	var hedges, retries int64
	for _, ix := range e.indexes {
		hedges += ix.hedgeBudget.Millionths()
	}
	for _, s := range e.services {
		retries += s.retryBudget.Millionths()
	}
	return Depths{
		Waiting:     e.queued,
		HedgeTokens: float64(hedges) / 1e6,
		RetryTokens: float64(retries) / 1e6,
		Limits:      e.shares.Len(),
		Suspects:    e.blame.Len(),
	}
}
