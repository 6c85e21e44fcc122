// Package gauge holds the metrics of an entry host on the platform and serves
// them in the Prometheus text format. Every name starts with "tier_".
//
//	| name              | kind      | tags        | meaning                                       |
//	| ----------------- | --------- | ----------- | --------------------------------------------- |
//	| requests          | counter   | outcome     | callers' and delegated requests that ended on |
//	|                   |           |             | this host, by Outcome: Merged, Partial,       |
//	|                   |           |             | Passed, NoRoute, NotNow, Failed, TimedOut,    |
//	|                   |           |             | Left                                          |
//	| request_seconds   | histogram | outcome     | time from arrival to answer                   |
//	| calls             | counter   | result      | calls to upstreams: Good, Bad, Rejected,      |
//	|                   |           |             | Unsent, Lost                                  |
//	| call_seconds      | histogram |             | latency of calls that were answered           |
//	| handed            | counter   | result      | delegations to other hosts: of a query to a   |
//	|                   |           |             | gatherer, of shards to a helper:              |
//	|                   |           |             | Answered, Declined, Lost                      |
//	| keys_refused      | counter   | reason      | callers' requests answered with 401: for an   |
//	|                   |           |             | Unknown or missing key, or for one that was   |
//	|                   |           |             | Revoked while they were in progress           |
//	| shunned           | counter   |             | ejections of upstreams: for a time, each is   |
//	|                   |           |             | used last or not at all                       |
//	| calls_withheld    | counter   |             | first calls and retries not sent, since the   |
//	|                   |           |             | limits of all upstreams were used up          |
//	| crashers          | counter   |             | requests that this host began to refuse,      |
//	|                   |           |             | since they crash upstreams                    |
//	| refusals          | counter   | cause       | requests refused as not run, by Cause of      |
//	|                   |           |             | pkg/relay: Gate, Shards, Share, Full, Limits  |
//	| gate_limit        | gauge     |             | searches that may be in progress here         |
//	| gate_running      | gauge     |             | searches in progress that the gate admitted   |
//	| gate_waiting      | gauge     |             | searches that wait for the gate               |
//	| suspects          | gauge     |             | requests under which an upstream crashed      |
//	| limited_upstreams | gauge     |             | upstreams that name a limit for all hosts     |
//	| leaving_upstreams | gauge     |             | upstreams that have said that they leave      |
//	| paused_upstreams  | gauge     |             | upstreams that want no calls from this host   |
//	| pauses            | counter   |             | answers that asked for such a pause           |
//	| upstreams_down    | counter   |             | upstreams with a slow start that began to     |
//	|                   |           |             | count as down on this host                    |
//	| requests_over_limit | counter |             | requests refused since the limit of their     |
//	|                   |           |             | account was used up                           |
//	| grant_requests    | counter   |             | questions to owners of accounts               |
//	| grants_in_time    | counter   |             | answers to them that requests waited for      |
//	| account_loans     | counter   |             | loans to owners in other domains              |
//	| local_decisions   | counter   |             | requests that no owner answered for           |
//	| connections       | gauge     |             | connections opened to upstreams since the     |
//	|                   |           |             | process started                               |
//	| caller_connections | gauge    |             | open connections of callers                   |
//	| caller_bytes      | gauge     |             | memory that callers hold, as it is counted    |
//	| callers_dropped   | counter   | reason      | connections closed, or requests refused, since|
//	|                   |           |             | the memory or connections for callers are     |
//	|                   |           |             | used up: Slow, Unused, Full                   |
//	| requests_running  | gauge     |             | callers' and delegated requests in progress   |
//	| document_version  | gauge     |             | version of the active configuration           |
//	| document_age_seconds | gauge  |             | time since that was known to be the newest    |
//	| list_age_seconds  | gauge     |             | age of the list of upstreams                  |
//	| upstreams         | gauge     |             | upstreams in the list                         |
//	| evacuated_domains | gauge     |             | evacuated domains, whether listed or not      |
//	| evacuation_revision | gauge   |             | position in the log of control hosts of their |
//	|                   |           |             | last change                                   |
//	| hosts             | gauge     |             | entry hosts that share the budgets            |
//	| ready             | gauge     |             | 1 while readiness checks get 200              |
//	| log_lines_dropped | gauge     |             | log lines dropped since the process started   |
package gauge

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/jujubethread/jujubethread/pkg/memory"
)

// reportInterval is the interval at which values are copied to the served page.
const reportInterval = time.Second

// buckets are 18 bounds from 1 ms to about 14 s.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.75, 18)

// Outcome is how a request ended: the value of the label outcome.
type Outcome string

// The outcomes.
const (
	Merged   Outcome = "Merged"   // answered with all parts
	Partial  Outcome = "Partial"  // answered with parts missing
	Passed   Outcome = "Passed"   // the answer of one upstream was forwarded unchanged
	NoRoute  Outcome = "NoRoute"  // no route matches
	NotNow   Outcome = "NotNow"   // did not run; the caller may retry later
	Failed   Outcome = "Failed"   // upstreams failed; the request may have run
	TimedOut Outcome = "TimedOut" // deadline exceeded; the request may have run
	Left     Outcome = "Left"     // the caller disconnected
)

var outcomes = []Outcome{Merged, Partial, Passed, NoRoute, NotNow, Failed, TimedOut, Left}

// causes are the values of the label cause: the names of relay.Cause.
var causes = []string{"Gate", "Shards", "Share", "Full", "Limits"}

// Results of delegating to another host: the values of the label result.
const (
	Answered = "Answered"
	Declined = "Declined" // the other host did not run it
	Lost     = "Lost"     // no reply; it may have run
)

// Reasons for refusing a request for its key: the values of the label reason.
const (
	Unknown = "Unknown"
	Revoked = "Revoked"
)

// Gauge holds the metrics. Its methods may be called from any goroutine.
type Gauge struct {
	closer  io.Closer
	handler http.Handler

	requests       map[Outcome]tally.Counter
	requestSeconds map[Outcome]tally.Histogram
	calls          map[string]tally.Counter
	callSeconds    tally.Histogram
	delegated      map[string]tally.Counter
	keysRefused    map[string]tally.Counter
	refusals       map[string]tally.Counter
	callersDropped map[memory.Reason]tally.Counter

	// Counters are incremented, gauges set to the current value.
	Ejected  tally.Counter
	Withheld tally.Counter
	Pauses   tally.Counter
	Downs    tally.Counter

	OverLimit      tally.Counter
	GrantRequests  tally.Counter
	GrantsInTime   tally.Counter
	Loans          tally.Counter
	LocalDecisions tally.Counter

	Leaving     tally.Gauge
	Paused      tally.Gauge
	GateLimit   tally.Gauge
	GateRunning tally.Gauge
	GateWaiting tally.Gauge
	Limited     tally.Gauge
	Crashers    tally.Counter
	Suspects    tally.Gauge
	Connections tally.Gauge
	Running     tally.Gauge
	Version     tally.Gauge
	VersionAge  tally.Gauge
	ListAge     tally.Gauge
	Upstreams   tally.Gauge
	Evacuated   tally.Gauge
	Evacuation  tally.Gauge
	Hosts       tally.Gauge
	Ready       tally.Gauge
	Dropped     tally.Gauge
	// CallerConnections and CallerBytes are what callers use.
	CallerConnections tally.Gauge
	CallerBytes       tally.Gauge
}

// New returns metrics that are updated until Close. results lists the values of
// the label result of calls; Call ignores others.
func New(results ...string) *Gauge {
	rep := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "tier",
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         rep,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	g := &Gauge{
		closer:         closer,
		handler:        rep.HTTPHandler(),
		requests:       make(map[Outcome]tally.Counter),
		requestSeconds: make(map[Outcome]tally.Histogram),
		calls:          make(map[string]tally.Counter),
		callSeconds:    scope.Histogram("call_seconds", buckets),
		delegated:      make(map[string]tally.Counter),
		keysRefused:    make(map[string]tally.Counter),
		refusals:       make(map[string]tally.Counter),
		Ejected:        scope.Counter("shunned"),
		Withheld:       scope.Counter("calls_withheld"),
		Crashers:       scope.Counter("crashers"),
		Pauses:         scope.Counter("pauses"),
		Downs:          scope.Counter("upstreams_down"),
		OverLimit:      scope.Counter("requests_over_limit"),
		GrantRequests:  scope.Counter("grant_requests"),
		GrantsInTime:   scope.Counter("grants_in_time"),
		Loans:          scope.Counter("account_loans"),
		LocalDecisions: scope.Counter("local_decisions"),
		Leaving:        scope.Gauge("leaving_upstreams"),
		Paused:         scope.Gauge("paused_upstreams"),
		GateLimit:      scope.Gauge("gate_limit"),
		GateRunning:    scope.Gauge("gate_running"),
		GateWaiting:    scope.Gauge("gate_waiting"),
		Suspects:       scope.Gauge("suspects"),
		Limited:        scope.Gauge("limited_upstreams"),
		Connections:    scope.Gauge("connections"),
		Running:        scope.Gauge("requests_running"),
		Version:        scope.Gauge("document_version"),
		VersionAge:     scope.Gauge("document_age_seconds"),
		ListAge:        scope.Gauge("list_age_seconds"),
		Upstreams:      scope.Gauge("upstreams"),
		Evacuated:      scope.Gauge("evacuated_domains"),
		Evacuation:     scope.Gauge("evacuation_revision"),
		Hosts:          scope.Gauge("hosts"),
		Ready:          scope.Gauge("ready"),
		Dropped:        scope.Gauge("log_lines_dropped"),

		callersDropped:    make(map[memory.Reason]tally.Counter),
		CallerConnections: scope.Gauge("caller_connections"),
		CallerBytes:       scope.Gauge("caller_bytes"),
	}
	for _, o := range outcomes {
		tagged := scope.Tagged(map[string]string{"outcome": string(o)})
		g.requests[o] = tagged.Counter("requests")
		g.requestSeconds[o] = tagged.Histogram("request_seconds", buckets)
	}
	for _, c := range causes {
		g.refusals[c] = scope.Tagged(map[string]string{"cause": c}).Counter("refusals")
	}
	for _, r := range results {
		g.calls[r] = scope.Tagged(map[string]string{"result": r}).Counter("calls")
	}
	for _, r := range []string{Answered, Declined, Lost} {
		g.delegated[r] = scope.Tagged(map[string]string{"result": r}).Counter("handed")
	}
	for _, r := range []string{Unknown, Revoked} {
		g.keysRefused[r] = scope.Tagged(map[string]string{"reason": r}).Counter("keys_refused")
	}
	for _, r := range []memory.Reason{memory.Slow, memory.Unused, memory.Full} {
		g.callersDropped[r] = scope.Tagged(map[string]string{"reason": r.String()}).Counter("callers_dropped")
	}
	return g
}

// CallerDropped counts a connection that was closed, or a request that was refused, for
// lack of memory or connections for callers.
func (g *Gauge) CallerDropped(why memory.Reason) { g.callersDropped[why].Inc(1) }

// Request counts a request that ended on this host and records its duration.
func (g *Gauge) Request(o Outcome, took time.Duration) {
	g.requests[o].Inc(1)
	g.requestSeconds[o].RecordDuration(took)
}

// Refused counts a request that was refused as not run, for one of the causes.
func (g *Gauge) Refused(cause string) {
	if c, ok := g.refusals[cause]; ok {
		c.Inc(1)
	}
}

// Call counts a call to an upstream. Its duration is recorded if it was
// answered.
func (g *Gauge) Call(result string, answered bool, took time.Duration) {
	if c, ok := g.calls[result]; ok {
		c.Inc(1)
	}
	if answered {
		g.callSeconds.RecordDuration(took)
	}
}

// Delegated counts a query or a set of shards delegated to another host. result
// is Answered, Declined or Lost.
func (g *Gauge) Delegated(result string) { g.delegated[result].Inc(1) }

// KeyRefused counts a request that was refused for its key. reason is Unknown or
// Revoked.
func (g *Gauge) KeyRefused(reason string) { g.keysRefused[reason].Inc(1) }

// ServeHTTP serves the metrics, whose values are up to a second old.
func (g *Gauge) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handler.ServeHTTP(w, r) }

// Close copies the last values to the served page and stops updating it.
func (g *Gauge) Close() error { return g.closer.Close() }
