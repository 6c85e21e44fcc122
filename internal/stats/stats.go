// Package stats keeps the metrics of an entry host and serves them in the
// Prometheus text format. Every name starts with "entry_".
//
//	| name             | kind      | tags            | meaning                                     |
//	| ---------------- | --------- | --------------- | ------------------------------------------- |
//	| queries          | counter   | class, outcome  | searches answered; outcome Gone: the caller |
//	|                  |           |                 | disconnected first                          |
//	| query_seconds    | histogram | class           | time from arrival to answer                 |
//	| filings          | counter   | outcome         | filings answered                            |
//	| attempts         | counter   | reason, result  | finished attempts at upstreams; result is   |
//	|                  |           |                 | Answered, Cancelled, Late or a failure kind |
//	| attempt_seconds  | histogram | reason          | duration of answered attempts               |
//	| shards_missing   | counter   | reason          | shards missing from answers                 |
//	| requests_running | gauge     |                 | caller requests in flight                   |
//	| attempts_running | gauge     |                 | attempts in flight                          |
//	| connections      | gauge     |                 | open connections to all upstreams           |
//	| engine_held      | gauge     | kind            | queries and attempts in the engine's        |
//	|                  |           |                 | memory; kind waiting: queued queries and    |
//	|                  |           |                 | tasks that wait for an upstream             |
//	| queue_length     | gauge     | class           | queries queued before their first attempt   |
//	| upstream_limits  | gauge     |                 | upstreams whose limit is known              |
//	| suspects         | gauge     |                 | searches with crashes held against them     |
//	| budget_tokens    | gauge     | budget          | tokens available for hedges and retries     |
//	| config_epoch     | gauge     |                 | epoch of the active configuration           |
//	| config_number    | gauge     |                 | number of the active configuration          |
//	| seat             | gauge     | state           | 1 for the current state of the connection   |
//	|                  |           |                 | seat, 0 for the others                      |
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

// Values of the result label beside the failure kinds of the engine.
const (
	Answered  engine.FailKind = "Answered"
	Cancelled engine.FailKind = "Cancelled"
	Late      engine.FailKind = "Late" // answered after it was cancelled
)

// CallerGone is the outcome label of a search whose caller disconnected before
// the answer.
const CallerGone engine.Outcome = "Gone"

var (
	outcomes = []engine.Outcome{engine.Done, engine.Partial, engine.NotRun, engine.Unknown, CallerGone}
	reasons  = []engine.Reason{engine.First, engine.Retry, engine.Hedge}
	results  = []engine.FailKind{
		Answered, Cancelled, Late, engine.Shed, engine.Draining, engine.Refused, engine.VersionGone,
		engine.WrongShard, engine.Broken, engine.Crashed, engine.TimedOut, engine.Malformed,
	}
	missing = []engine.MissingReason{
		engine.MissingTimedOut, engine.MissingShed, engine.MissingLost, engine.MissingCutOff, engine.MissingVersionGone,
	}
	seats = []engine.Seat{engine.SeatNone, engine.SeatHeld, engine.SeatExpired}
)

// Stats holds the counters, histograms and gauges of one entry host. Its
// methods may be called from any goroutine; on a nil Stats they do nothing.
type Stats struct {
	closer  io.Closer
	handler http.Handler

	queries        map[queryKey]tally.Counter
	queryLatency   [len(preset.Classes)]tally.Histogram
	filings        map[engine.Outcome]tally.Counter
	attempts       map[attemptKey]tally.Counter
	attemptLatency map[engine.Reason]tally.Histogram
	missing        map[engine.MissingReason]tally.Counter
	gauges         gauges
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
	requests, attempts, connections                    tally.Gauge
	epoch, number, goroutines                          tally.Gauge
	retainedQueries, retainedAttempts, retainedWaiting tally.Gauge
	queues                                             [len(preset.Classes)]tally.Gauge
	hedge, retry                                       tally.Gauge
	limits, suspects                                   tally.Gauge
	seats                                              map[engine.Seat]tally.Gauge
}

// New returns stats whose values are published every reportInterval until
// Close.
func New() *Stats {
	reg := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "entry",
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	s := &Stats{
		closer:         closer,
		handler:        reporter.HTTPHandler(),
		queries:        make(map[queryKey]tally.Counter),
		filings:        make(map[engine.Outcome]tally.Counter),
		attempts:       make(map[attemptKey]tally.Counter),
		attemptLatency: make(map[engine.Reason]tally.Histogram),
		missing:        make(map[engine.MissingReason]tally.Counter),
	}
	s.addQueryMetrics(scope)
	s.addAttemptMetrics(scope)
	s.gauges = newGauges(scope)
	return s
}

// buckets are 20 upper bounds from 0.5 ms to about 20 s.
var buckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.75, 20)

func (s *Stats) addQueryMetrics(scope tally.Scope) {
	for _, c := range preset.Classes {
		class := scope.Tagged(map[string]string{"class": c.String()})
		s.queryLatency[c] = class.Histogram("query_seconds", buckets)
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

func (s *Stats) addAttemptMetrics(scope tally.Scope) {
	for _, r := range reasons {
		reason := scope.Tagged(map[string]string{"reason": string(r)})
		s.attemptLatency[r] = reason.Histogram("attempt_seconds", buckets)
		for _, res := range results {
			s.attempts[attemptKey{r, res}] = reason.Tagged(map[string]string{"result": string(res)}).Counter("attempts")
		}
	}
}

func newGauges(scope tally.Scope) gauges {
	g := gauges{
		requests:         scope.Gauge("requests_running"),
		attempts:         scope.Gauge("attempts_running"),
		connections:      scope.Gauge("connections"),
		epoch:            scope.Gauge("config_epoch"),
		number:           scope.Gauge("config_number"),
		goroutines:       scope.Gauge("goroutines"),
		retainedQueries:  scope.Tagged(map[string]string{"kind": "queries"}).Gauge("engine_held"),
		retainedAttempts: scope.Tagged(map[string]string{"kind": "attempts"}).Gauge("engine_held"),
		retainedWaiting:  scope.Tagged(map[string]string{"kind": "waiting"}).Gauge("engine_held"),
		limits:           scope.Gauge("upstream_limits"),
		suspects:         scope.Gauge("suspects"),
		hedge:            scope.Tagged(map[string]string{"budget": "hedge"}).Gauge("budget_tokens"),
		retry:            scope.Tagged(map[string]string{"budget": "retry"}).Gauge("budget_tokens"),
		seats:            make(map[engine.Seat]tally.Gauge),
	}
	for _, c := range preset.Classes {
		g.queues[c] = scope.Tagged(map[string]string{"class": c.String()}).Gauge("queue_length")
	}
	for _, s := range seats {
		g.seats[s] = scope.Tagged(map[string]string{"state": string(s)}).Gauge("seat")
	}
	return g
}

// Close publishes the last values and stops the reporter.
func (s *Stats) Close() error {
	if s == nil {
		return nil
	}
	return s.closer.Close()
}

// ServeHTTP serves the metrics in the Prometheus text format. Values are up
// to reportInterval old.
func (s *Stats) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s == nil {
		http.NotFound(w, r)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// Query counts a finished search, its duration and its missing shards.
func (s *Stats) Query(c preset.Class, reply *engine.Reply, took time.Duration) {
	if s == nil {
		return
	}
	inc(s.queries[queryKey{c, reply.Outcome}])
	if int(c) < len(s.queryLatency) {
		s.queryLatency[c].RecordDuration(took)
	}
	for i := range reply.Coverage.Missing {
		inc(s.missing[reply.Coverage.Missing[i].Reason])
	}
}

// Filing counts an answered filing by its outcome.
func (s *Stats) Filing(o engine.Outcome) {
	if s != nil {
		inc(s.filings[o])
	}
}

// Attempt counts a finished attempt; took is recorded only for answered ones.
func (s *Stats) Attempt(r engine.Reason, result engine.FailKind, took time.Duration) {
	if s == nil {
		return
	}
	inc(s.attempts[attemptKey{r, result}])
	if h := s.attemptLatency[r]; h != nil && result == Answered {
		h.RecordDuration(took)
	}
}

// inc ignores label values without a counter, which bounds the number of time
// series.
func inc(c tally.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

// Snapshot is the state of a host from which the gauges are set.
type Snapshot struct {
	Requests    int
	Attempts    int
	Connections int
	Retained    engine.Retained
	Config      ident.ConfigVersion
	Seat        engine.Seat
	// Waiting counts the queued queries of each class.
	Waiting [len(preset.Classes)]int
	// HedgeTokens is the sum over all indexes, RetryTokens over all services.
	HedgeTokens float64
	RetryTokens float64
	// Limits counts the upstreams whose limit is known, Suspects the searches with
	// crashes held against them.
	Limits   int
	Suspects int
}

// SetGauges sets all gauges from a snapshot.
func (s *Stats) SetGauges(snap Snapshot) {
	if s == nil {
		return
	}
	g := &s.gauges
	g.requests.Update(float64(snap.Requests))
	g.attempts.Update(float64(snap.Attempts))
	g.connections.Update(float64(snap.Connections))
	g.retainedQueries.Update(float64(snap.Retained.Queries))
	g.retainedAttempts.Update(float64(snap.Retained.Attempts))
	g.retainedWaiting.Update(float64(snap.Retained.Waiting))
	g.epoch.Update(float64(snap.Config.Epoch))
	g.number.Update(float64(snap.Config.Number))
	g.goroutines.Update(float64(runtime.NumGoroutine()))
	g.hedge.Update(snap.HedgeTokens)
	g.retry.Update(snap.RetryTokens)
	g.limits.Update(float64(snap.Limits))
	g.suspects.Update(float64(snap.Suspects))
	for c := range snap.Waiting {
		g.queues[c].Update(float64(snap.Waiting[c]))
	}
	for state, gauge := range g.seats {
		value := 0.0
		if state == snap.Seat {
			value = 1
		}
		gauge.Update(value)
	}
}
