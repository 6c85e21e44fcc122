// Package result collects the measurements of a load run in bounded memory and
// summarizes them.
package result

import (
	"time"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Run is the result of a load run.
type Run struct {
	Scenario string        `json:"Scenario"`
	Seed     uint64        `json:"Seed"`
	Started  time.Time     `json:"Started"`
	Warmup   time.Duration `json:"Warmup"`   // nanoseconds
	Duration time.Duration `json:"Duration"` // nanoseconds, without the warm-up
	// Interrupted reports that the run was stopped before its end.
	Interrupted bool     `json:"Interrupted"`
	Targets     []Target `json:"Targets"`
}

// Target holds the measurements of one target.
type Target struct {
	Name    string  `json:"Name"`
	Policy  string  `json:"Policy"`
	Classes []Group `json:"Classes"` // only those with requests
	Flows   []Group `json:"Flows"`
	// Violations counts all violations including those of the warm-up; Examples
	// holds the first ones.
	Violations []check.Count     `json:"Violations"`
	Examples   []check.Violation `json:"Examples"`
	Upstreams  Upstreams         `json:"Upstreams"`
	Events     []Event           `json:"Events"`
	Timeline   []Series          `json:"Timeline"`
	// LagP99Micros is the 99th percentile of the delay with which the tool sent
	// requests. The latencies include it.
	LagP99Micros int64 `json:"LagP99Micros"`
	// NotSent counts requests that the tool did not send because too many were
	// in flight. If there are any, the run is not valid.
	NotSent int64 `json:"NotSent"`
}

// Group summarizes the requests of a class or a flow after the warm-up.
type Group struct {
	Name    string `json:"Name"`
	Sent    int64  `json:"Sent"`
	Done    int64  `json:"Done"`
	Partial int64  `json:"Partial"`
	NotRun  int64  `json:"NotRun"`
	Unknown int64  `json:"Unknown"`
	// Failed counts requests without an answer that could be decoded.
	Failed   int64     `json:"Failed"`
	Failures []Failure `json:"Failures"`
	// Late counts answers that came after the deadline of the request.
	Late int64 `json:"Late"`
	// Latency is that of answers Done and Partial since the intended start.
	Latency Latency `json:"Latency"`
	// WholePercent is the share of Done among the answers Done and Partial, and
	// CoveragePercent the share of the shards requested by them that answered.
	WholePercent    float64 `json:"WholePercent"`
	CoveragePercent float64 `json:"CoveragePercent"`
	// Missing lists the shards that were missing most often, at most maxMissing
	// entries.
	Missing []Missing `json:"Missing"`
	// Slowest lists the slowest answers, at most maxSlowest, the slowest first.
	Slowest []Slow `json:"Slowest"`
}

// Slow is a slow answer. Its trace can be found by its request id.
type Slow struct {
	Request  ident.RequestID `json:"Request"`
	Micros   int64           `json:"Micros"`
	Intended time.Duration   `json:"Intended"` // nanoseconds since the end of the warm-up
}

// Latency holds quantiles in microseconds.
type Latency struct {
	Mean float64 `json:"Mean"`
	P50  int64   `json:"P50"`
	P90  int64   `json:"P90"`
	P99  int64   `json:"P99"`
	P999 int64   `json:"P999"`
	Max  int64   `json:"Max"`
	// Curve holds more quantiles in rising order.
	Curve []Point `json:"Curve"`
}

// Point is a quantile (0 to 1) and its latency.
type Point struct {
	Quantile float64 `json:"Quantile"`
	Micros   int64   `json:"Micros"`
}

// Failure counts requests without an answer by reason.
type Failure struct {
	Reason string `json:"Reason"`
	Count  int64  `json:"Count"`
}

// Missing counts how often a shard was missing for a reason.
type Missing struct {
	Shard  ident.Shard          `json:"Shard"`
	Reason engine.MissingReason `json:"Reason"`
	Count  int64                `json:"Count"`
}

// Upstreams sums the counters of the upstreams over the load, including the
// warm-up.
type Upstreams struct {
	// Calls counts the searches that arrived at upstreams. First is the number of
	// calls without hedges and retries: one per shard of each accepted search.
	Calls uint64 `json:"Calls"`
	First uint64 `json:"First"`
	// ExtraPercent is the number of calls beyond First in percent of First.
	ExtraPercent float64 `json:"ExtraPercent"`
	Shed         uint64  `json:"Shed"`
	Cancelled    uint64  `json:"Cancelled"`
	Drained      uint64  `json:"Drained"`
	VersionGone  uint64  `json:"VersionGone"`
	WrongAnswers uint64  `json:"WrongAnswers"` // caused by injected faults
	FilingRuns   uint64  `json:"FilingRuns"`
	// LateWork counts requests to upstreams that had been draining for more
	// than 2 s.
	LateWork uint64 `json:"LateWork"`
	// Crashes counts the upstreams that a search crashed, CrashedAgain those later
	// than 4 s after the third one.
	Crashes      int    `json:"Crashes"`
	CrashedAgain uint64 `json:"CrashedAgain"`
	// OverRate counts searches beyond the limits that upstreams name.
	OverRate uint64 `json:"OverRate"`
	// RefusedConns counts connections beyond the limit of an upstream.
	// PeakConnsPercent is the highest number of connections of any upstream in
	// percent of its limit, since the start of the upstreams.
	RefusedConns     uint64  `json:"RefusedConns"`
	PeakConnsPercent float64 `json:"PeakConnsPercent"`
	// Restarted counts upstreams whose counters fell, which means a restart.
	// The sums are then too low.
	Restarted int `json:"Restarted"`
}

// Event is an event of the scenario, as it was executed.
type Event struct {
	Title string        `json:"Title"`
	Start time.Duration `json:"Start"` // nanoseconds since the end of the warm-up
	End   time.Duration `json:"End"`   // zero if it has no end
}

// Series is the timeline of one class.
type Series struct {
	Class   preset.Class `json:"Class"`
	Buckets []Bucket     `json:"Buckets"`
}

// Bucket summarizes the requests of one time interval of a series.
type Bucket struct {
	At              time.Duration `json:"At"` // start of the bucket, in nanoseconds since the end of the warm-up
	Sent            int64         `json:"Sent"`
	Answered        int64         `json:"Answered"`
	Whole           int64         `json:"Whole"`
	Failed          int64         `json:"Failed"` // without an answer, or Unknown
	NotRun          int64         `json:"NotRun"`
	CoveragePercent float64       `json:"CoveragePercent"`
	P50             int64         `json:"P50"` // microseconds
	P99             int64         `json:"P99"` // microseconds
}

// ViolationCount returns the number of violations of all targets.
func (r *Run) ViolationCount() int {
	n := 0
	for _, t := range r.Targets {
		for _, v := range t.Violations {
			n += v.Count
		}
	}
	return n
}
