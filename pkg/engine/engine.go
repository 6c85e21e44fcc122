// Package engine decides how an entry host answers queries: which index
// version a query is pinned to, which upstreams are asked, when attempts are
// hedged, retried or cancelled, and what the answer covers. It is a reducer:
// Step takes one event and returns effects; it has no clock, does no I/O and
// is used by one goroutine.
package engine

import (
	"math/rand/v2"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// Policy selects how attempts are made.
type Policy uint8

// The policies. PolicyPlain and PolicyNaiveRetry are baselines for measurement.
const (
	// PolicyTolerant hedges, retries within budgets, limits and queues.
	PolicyTolerant Policy = iota
	// PolicyPlain sends one attempt per shard at once: no hedge, retry or queue.
	PolicyPlain
	// PolicyNaiveRetry is PolicyPlain with up to 3 tries and no budget.
	PolicyNaiveRetry
)

// Config sets up an Engine.
type Config struct {
	Host   ident.HostID
	Domain ident.Domain
	// Seed makes all random choices reproducible.
	Seed   uint64
	Policy Policy
}

// Engine is the query reducer of one entry host. It is used by one goroutine.
type Engine struct {
	cfg      Config
	rng      *rand.Rand
	picker   *route.Picker
	state    *config.State
	preset   *preset.Preset
	seat     Seat
	draining bool

	places   *layout.Map
	indexes  []*index
	services map[serviceKey]*service
	// lists holds the tasks that wait for room at a shard, the most important
	// class first. They go before queries that were not admitted yet.
	lists map[*layout.Shard][]waiter

	queries  map[ident.QueryID]*query
	attempts map[ident.AttemptID]*attempt
	last     ident.AttemptID
	waiting  limit.Counts

	// cands and holders are scratch space of the choice of upstream.
	cands   []route.Candidate
	holders []*layout.Replica
	spare   []*attempt
	timers  timers
	wakeAt  ident.Instant // earliest Wake that has not come yet; 0 is none
	out     []Effect
}

// NewEngine returns an engine without configuration and without a seat.
func NewEngine(cfg Config) *Engine {
	return &Engine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		picker:   route.NewPicker(cfg.Seed),
		state:    config.NewState(),
		preset:   &preset.Preset{},
		seat:     SeatNone,
		places:   layout.NewMap(cfg.Domain),
		services: map[serviceKey]*service{},
		lists:    map[*layout.Shard][]waiter{},
		queries:  map[ident.QueryID]*query{},
		attempts: map[ident.AttemptID]*attempt{},
	}
}

// Step handles one event and returns what the runtime has to do, in order.
// The time must not go backwards. The caller owns the returned slice.
func (e *Engine) Step(now ident.Instant, ev Event) []Effect {
	e.out = nil
	if e.wakeAt <= now {
		e.wakeAt = 0
	}
	e.handle(now, ev)
	e.fire(now)
	e.wake()
	return e.out
}

func (e *Engine) handle(now ident.Instant, ev Event) {
	switch ev := ev.(type) {
	case QueryArrived:
		e.arrived(now, ev)
	case QueryCancelled:
		e.callerGone(now, ev.Query)
	case AttemptAnswered:
		e.answered(now, ev)
	case AttemptFailed:
		e.failed(now, ev)
	case UpstreamReported:
		e.reported(now, ev)
	case ProbeFailed:
		e.probeFailed(now, ev.Upstream)
	case ConfigApplied:
		e.applied(now, ev.State)
	case SeatChanged:
		e.seated(now, ev.Seat)
	case DrainStarted:
		e.draining = true
	case Ticked:
	}
}

func (e *Engine) emit(eff Effect) { e.out = append(e.out, eff) }

// Retained counts the state that belongs to queries in flight.
type Retained struct {
	Queries  int
	Attempts int
	Waiting  int // queries in queues and tasks that wait for room
}

// Retained returns how much state of queries is held.
func (e *Engine) Retained() Retained {
	r := Retained{
		Queries:  len(e.queries),
		Attempts: len(e.attempts),
	}
	for _, n := range e.waiting {
		r.Waiting += n
	}
	for _, list := range e.lists {
		r.Waiting += len(list)
	}
	return r
}

// Depths is how much waits for admission and what the budgets have left.
type Depths struct {
	// Waiting counts the queued queries of each class.
	Waiting [len(preset.Classes)]int
	// HedgeTokens is the sum over all indexes, RetryTokens over all services.
	HedgeTokens float64
	RetryTokens float64
}

// Depths returns the queue lengths and the tokens left.
func (e *Engine) Depths() Depths {
	// Whole numbers make the sums independent of the order of the map.
	var hedges, retries int64
	for _, ix := range e.indexes {
		hedges += ix.hedges.Millionths()
	}
	for _, s := range e.services {
		retries += s.retries.Millionths()
	}
	return Depths{
		Waiting:     e.waiting,
		HedgeTokens: float64(hedges) / 1e6,
		RetryTokens: float64(retries) / 1e6,
	}
}
