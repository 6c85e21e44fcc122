// Package stats keeps the metrics of an entry host and serves them in the
// Prometheus text format. Every name starts with "entry_".
//
//	| name             | kind      | tags            | meaning                                     |
//	| ---------------- | --------- | --------------- | ------------------------------------------- |
//	| queries          | counter   | class, outcome  | searches answered; outcome Gone: caller left |
//	| query_seconds    | histogram | class           | time from arrival to answer                 |
//	| filings          | counter   | outcome         | filings answered                            |
//	| attempts         | counter   | reason, result  | leaf attempts ended; result Answered,       |
//	|                  |           |                 | Cancelled, Late or the kind of failure      |
//	| attempt_seconds  | histogram | reason          | time of attempts that were answered         |
//	| shards_missing   | counter   | reason          | shards missing from answers                 |
//	| requests_running | gauge     |                 | caller requests in progress                 |
//	| attempts_running | gauge     |                 | leaf attempts in progress                   |
//	| connections      | gauge     |                 | open connections to all upstreams           |
//	| engine_held      | gauge     | kind            | queries and attempts the engine holds, and  |
//	|                  |           |                 | queries and tasks that wait                 |
//	| queue_length     | gauge     | class           | queries that wait before anything is sent   |
//	| budget_tokens    | gauge     | budget          | tokens left, hedge and retry                |
//	| config_epoch     | gauge     |                 | epoch of the configuration in force         |
//	| config_number    | gauge     |                 | number of the configuration in force        |
//	| seat             | gauge     | state           | 1 for the state of the connection seat      |
//	| goroutines       | gauge     |                 | goroutines of the process                   |
package stats

import (
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

const reportInterval = time.Second

// Results of attempts that are no kind of failure.
const (
	Answered  engine.FailKind = "Answered"
	Cancelled engine.FailKind = "Cancelled"
	Late      engine.FailKind = "Late" // answered after it was cancelled
)

// Gone is the outcome of a search whose caller left.
const Gone engine.Outcome = "Gone"

var (
	outcomes = []engine.Outcome{engine.Done, engine.Partial, engine.NotRun, engine.Unknown, Gone}
	reasons  = []engine.Reason{engine.First, engine.Retry, engine.Hedge}
	results  = []engine.FailKind{
		Answered, Cancelled, Late, engine.Shed, engine.Draining, engine.Refused, engine.VersionGone,
		engine.WrongShard, engine.Broken, engine.TimedOut, engine.Malformed,
	}
	missing = []engine.MissingReason{
		engine.MissingTimedOut, engine.MissingShed, engine.MissingLost, engine.MissingCutOff, engine.MissingVersionGone,
	}
	seats = []engine.Seat{engine.SeatNone, engine.SeatHeld, engine.SeatExpired}
)

// Stats counts. Its methods may be called from any goroutine; on a nil Stats
// they do nothing.
type Stats struct {
	closer  io.Closer
	handler http.Handler

	queries  map[queryKey]tally.Counter
	took     [len(preset.Classes)]tally.Histogram
	filings  map[engine.Outcome]tally.Counter
	attempts map[attemptKey]tally.Counter
	leafTook map[engine.Reason]tally.Histogram
	missing  map[engine.MissingReason]tally.Counter
	gauges   gauges
}

type queryKey struct {
	class   preset.Class
	outcome engine.Outcome
}

type attemptKey struct {
	reason engine.Reason
	result engine.FailKind
}

type gauges struct {
	requests, attempts, connections     tally.Gauge
	epoch, number, goroutines           tally.Gauge
	heldQueries, heldAttempts, heldWait tally.Gauge
	queues                              [len(preset.Classes)]tally.Gauge
	hedge, retry                        tally.Gauge
	seats                               map[engine.Seat]tally.Gauge
}

// New returns stats that report until Close.
func New() *Stats {
	reg := prometheus.NewRegistry()
	rep := tallyprom.NewReporter(tallyprom.Options{Registerer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "entry",
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         rep,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	s := &Stats{
		closer:   closer,
		handler:  rep.HTTPHandler(),
		queries:  make(map[queryKey]tally.Counter),
		filings:  make(map[engine.Outcome]tally.Counter),
		attempts: make(map[attemptKey]tally.Counter),
		leafTook: make(map[engine.Reason]tally.Histogram),
		missing:  make(map[engine.MissingReason]tally.Counter),
	}
	s.countQueries(scope)
	s.countAttempts(scope)
	s.gauges = newGauges(scope)
	return s
}

// buckets are 20 bounds from 0.5 ms to about 20 s.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.75, 20)

func (s *Stats) countQueries(scope tally.Scope) {
	for _, c := range preset.Classes {
		class := scope.Tagged(map[string]string{"class": c.String()})
		s.took[c] = class.Histogram("query_seconds", buckets)
		for _, o := range outcomes {
			s.queries[queryKey{c, o}] = class.Tagged(map[string]string{"outcome": string(o)}).Counter("queries")
		}
	}
	for _, o := range outcomes {
		s.filings[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("filings")
	}
	for _, m := range missing {
		s.missing[m] = scope.Tagged(map[string]string{"reason": string(m)}).Counter("shards_missing")
	}
}

func (s *Stats) countAttempts(scope tally.Scope) {
	for _, r := range reasons {
		reason := scope.Tagged(map[string]string{"reason": string(r)})
		s.leafTook[r] = reason.Histogram("attempt_seconds", buckets)
		for _, res := range results {
			s.attempts[attemptKey{r, res}] = reason.Tagged(map[string]string{"result": string(res)}).Counter("attempts")
		}
	}
}

func newGauges(scope tally.Scope) gauges {
	g := gauges{
		requests:     scope.Gauge("requests_running"),
		attempts:     scope.Gauge("attempts_running"),
		connections:  scope.Gauge("connections"),
		epoch:        scope.Gauge("config_epoch"),
		number:       scope.Gauge("config_number"),
		goroutines:   scope.Gauge("goroutines"),
		heldQueries:  scope.Tagged(map[string]string{"kind": "queries"}).Gauge("engine_held"),
		heldAttempts: scope.Tagged(map[string]string{"kind": "attempts"}).Gauge("engine_held"),
		heldWait:     scope.Tagged(map[string]string{"kind": "waiting"}).Gauge("engine_held"),
		hedge:        scope.Tagged(map[string]string{"budget": "hedge"}).Gauge("budget_tokens"),
		retry:        scope.Tagged(map[string]string{"budget": "retry"}).Gauge("budget_tokens"),
		seats:        make(map[engine.Seat]tally.Gauge),
	}
	for _, c := range preset.Classes {
		g.queues[c] = scope.Tagged(map[string]string{"class": c.String()}).Gauge("queue_length")
	}
	for _, s := range seats {
		g.seats[s] = scope.Tagged(map[string]string{"state": string(s)}).Gauge("seat")
	}
	return g
}

// Close stops reporting.
func (s *Stats) Close() error {
	if s == nil {
		return nil
	}
	return s.closer.Close()
}

// ServeHTTP serves the metrics in the Prometheus text format. Values are up
// to a second old.
func (s *Stats) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s == nil {
		http.NotFound(w, r)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// Query counts an answered search.
func (s *Stats) Query(c preset.Class, rep *engine.Reply, took time.Duration) {
	if s == nil {
		return
	}
	inc(s.queries[queryKey{c, rep.Outcome}])
	if int(c) < len(s.took) {
		s.took[c].RecordDuration(took)
	}
	for i := range rep.Coverage.Missing {
		inc(s.missing[rep.Coverage.Missing[i].Reason])
	}
}

// Filing counts an answered filing.
func (s *Stats) Filing(o engine.Outcome) {
	if s != nil {
		inc(s.filings[o])
	}
}

// Attempt counts an ended attempt.
func (s *Stats) Attempt(r engine.Reason, result engine.FailKind, took time.Duration) {
	if s == nil {
		return
	}
	inc(s.attempts[attemptKey{r, result}])
	if h := s.leafTook[r]; h != nil && result == Answered {
		h.RecordDuration(took)
	}
}

// inc ignores values that have no counter, so that tags stay bounded.
func inc(c tally.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

// Snapshot is the state of a host that gauges show.
type Snapshot struct {
	Requests    int
	Attempts    int
	Connections int
	Retained    engine.Retained
	Config      ident.ConfigVersion
	Seat        engine.Seat
	// Waiting counts the queued queries of each class.
	Waiting [len(preset.Classes)]int
	// HedgeTokens and RetryTokens are what the budgets have left in all.
	HedgeTokens float64
	RetryTokens float64
}

// Show sets the gauges.
func (s *Stats) Show(at Snapshot) {
	if s == nil {
		return
	}
	g := &s.gauges
	g.requests.Update(float64(at.Requests))
	g.attempts.Update(float64(at.Attempts))
	g.connections.Update(float64(at.Connections))
	g.heldQueries.Update(float64(at.Retained.Queries))
	g.heldAttempts.Update(float64(at.Retained.Attempts))
	g.heldWait.Update(float64(at.Retained.Waiting))
	g.epoch.Update(float64(at.Config.Epoch))
	g.number.Update(float64(at.Config.Number))
	g.goroutines.Update(float64(runtime.NumGoroutine()))
	g.hedge.Update(at.HedgeTokens)
	g.retry.Update(at.RetryTokens)
	for c := range at.Waiting {
		g.queues[c].Update(float64(at.Waiting[c]))
	}
	for state, gauge := range g.seats {
		held := 0.0
		if state == at.Seat {
			held = 1
		}
		gauge.Update(held)
	}
}
