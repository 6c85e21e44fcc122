// Package gauge keeps the metrics of the daemons on the platform and serves
// them in the Prometheus text format. Every name starts with "tier_".
//
//	| name              | kind      | tags        | meaning                                       |
//	| ----------------- | --------- | ----------- | --------------------------------------------- |
//	| requests          | counter   | outcome     | callers' requests: Merged, Partial, Passed,   |
//	|                   |           |             | NoRoute, NotNow, Failed, TimedOut, Left       |
//	| request_seconds   | histogram | outcome     | time from arrival to answer                   |
//	| calls             | counter   | result      | calls to upstreams: Good, Bad, Rejected,      |
//	|                   |           |             | Unsent, Lost                                  |
//	| call_seconds      | histogram |             | time of calls that were answered              |
//	| handed            | counter   | result      | queries and shards handed to other hosts:     |
//	|                   |           |             | Answered, Declined, Lost                      |
//	| shunned           | counter   |             | upstreams put last or left out for a while    |
//	| connections       | counter   |             | connections opened to upstreams               |
//	| requests_running  | gauge     |             | callers' and handed requests in progress      |
//	| document_version  | gauge     |             | version of the configuration in force         |
//	| list_age_seconds  | gauge     |             | age of the list of upstreams                  |
//	| upstreams         | gauge     |             | upstreams in the list                         |
//	| hosts             | gauge     |             | entry hosts that share the budgets            |
//	| ready             | gauge     |             | 1 while readiness checks get 200              |
//	| log_lines_dropped | gauge     |             | log lines dropped so far                      |
package gauge

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often counters are handed to the page that is served.
const reportEvery = time.Second

// buckets are 18 bounds from 1 ms to about 14 s.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.75, 18)

// Outcome is how a caller's request ended.
type Outcome string

// The outcomes.
const (
	Merged   Outcome = "Merged"
	Partial  Outcome = "Partial"
	Passed   Outcome = "Passed"
	NoRoute  Outcome = "NoRoute"
	NotNow   Outcome = "NotNow"
	Failed   Outcome = "Failed"
	TimedOut Outcome = "TimedOut"
	Left     Outcome = "Left"
)

var outcomes = []Outcome{Merged, Partial, Passed, NoRoute, NotNow, Failed, TimedOut, Left}

// Results of handing over.
const (
	Answered = "Answered"
	Declined = "Declined"
	Lost     = "Lost"
)

// Gauge counts. Its methods may be called from any goroutine.
type Gauge struct {
	closer  io.Closer
	handler http.Handler

	requests map[Outcome]tally.Counter
	took     map[Outcome]tally.Histogram
	calls    map[string]tally.Counter
	callTook tally.Histogram
	handed   map[string]tally.Counter

	// Shunned and Connections count; the others are set.
	Shunned     tally.Counter
	Connections tally.Gauge
	Running     tally.Gauge
	Version     tally.Gauge
	ListAge     tally.Gauge
	Upstreams   tally.Gauge
	Hosts       tally.Gauge
	Ready       tally.Gauge
	Dropped     tally.Gauge
}

// New returns metrics that report until Close. results lists the results of calls.
func New(results ...string) *Gauge {
	rep := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "tier",
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         rep,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	g := &Gauge{
		closer:      closer,
		handler:     rep.HTTPHandler(),
		requests:    make(map[Outcome]tally.Counter),
		took:        make(map[Outcome]tally.Histogram),
		calls:       make(map[string]tally.Counter),
		callTook:    scope.Histogram("call_seconds", buckets),
		handed:      make(map[string]tally.Counter),
		Shunned:     scope.Counter("shunned"),
		Connections: scope.Gauge("connections"),
		Running:     scope.Gauge("requests_running"),
		Version:     scope.Gauge("document_version"),
		ListAge:     scope.Gauge("list_age_seconds"),
		Upstreams:   scope.Gauge("upstreams"),
		Hosts:       scope.Gauge("hosts"),
		Ready:       scope.Gauge("ready"),
		Dropped:     scope.Gauge("log_lines_dropped"),
	}
	for _, o := range outcomes {
		tagged := scope.Tagged(map[string]string{"outcome": string(o)})
		g.requests[o] = tagged.Counter("requests")
		g.took[o] = tagged.Histogram("request_seconds", buckets)
	}
	for _, r := range results {
		g.calls[r] = scope.Tagged(map[string]string{"result": r}).Counter("calls")
	}
	for _, r := range []string{Answered, Declined, Lost} {
		g.handed[r] = scope.Tagged(map[string]string{"result": r}).Counter("handed")
	}
	return g
}

// Request counts a caller's request.
func (g *Gauge) Request(o Outcome, took time.Duration) {
	g.requests[o].Inc(1)
	g.took[o].RecordDuration(took)
}

// Call counts a call to an upstream. took is recorded if it was answered.
func (g *Gauge) Call(result string, answered bool, took time.Duration) {
	if c, ok := g.calls[result]; ok {
		c.Inc(1)
	}
	if answered {
		g.callTook.RecordDuration(took)
	}
}

// Handed counts what was handed to another host.
func (g *Gauge) Handed(result string) { g.handed[result].Inc(1) }

// ServeHTTP serves the metrics. Values are up to a second old.
func (g *Gauge) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handler.ServeHTTP(w, r) }

// Close stops reporting.
func (g *Gauge) Close() error { return g.closer.Close() }
