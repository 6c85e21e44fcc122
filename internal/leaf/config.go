package leaf

import (
	"log/slog"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config describes one stand-in upstream.
type Config struct {
	// Upstream gives id, address, shards, slots and connection limit. Port 0
	// selects a free port, which Leaf.Address returns.
	Upstream config.Upstream
	// Control is the address (IP:port) of the control listener; empty for none.
	// It is separate from the traffic address, so that control requests do not
	// count towards the connection limit.
	Control string
	// Seed determines documents, service times and faults. All upstreams of a
	// deployment must have the same seed, or their documents would not agree.
	Seed uint64
	// Versions lists the index versions available at start.
	Versions []ident.IndexVersion
	// QueueBound is the maximum number of requests that wait for a slot.
	QueueBound int
	// ConnectDelay is the delay of the first request of a new connection, counted
	// from the accept.
	ConnectDelay time.Duration
	// ServiceTime is the distribution of the service time.
	ServiceTime ServiceTime
	// ColdPeriod is the duration of a cold start, during which requests take
	// longer. The upstream begins with one.
	ColdPeriod time.Duration
	// ReportLag is the staleness of the reported load; 0 reports the current load.
	ReportLag time.Duration
	// DrainPeriod is the time for which Run rejects requests with Draining after its
	// context ended, before it shuts down.
	DrainPeriod time.Duration
	// Faults are the initially active faults.
	Faults Faults
	// Log receives the messages of the HTTP server; nil discards them.
	Log *slog.Logger
}

// ServiceTime is a log-normal distribution of service times.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 always gives Median.
	Sigma float64
}

// Faults configures fault injection. A fraction is the probability (0 to 1) that
// a request has the fault, drawn independently for each request from the seed.
type Faults struct {
	// The service time of SlowFraction of the requests is multiplied by SlowFactor.
	SlowFraction float64 `json:"SlowFraction,omitempty"`
	SlowFactor   float64 `json:"SlowFactor,omitempty"`
	// With Lost, the upstream accepts connections but is unresponsive.
	Lost bool `json:"Lost,omitempty"`
	// With Killed, the upstream resets all open and new connections.
	Killed bool `json:"Killed,omitempty"`
	// A search for exactly CrashTerms ends the upstream when it begins to run: all
	// connections are reset, and new ones for crashTime. Empty means none does.
	CrashTerms string `json:"CrashTerms,omitempty"`
	// PerSecond is the limit of searches per second for all hosts together that
	// answers name; 0 means none.
	PerSecond    float64 `json:"PerSecond,omitempty"`
	ShedFraction float64 `json:"ShedFraction,omitempty"`
	// The following fractions of the searches get an invalid answer.
	WrongID      float64 `json:"WrongID,omitempty"`      // request id of another request
	WrongAttempt float64 `json:"WrongAttempt,omitempty"` // number of another attempt
	WrongVersion float64 `json:"WrongVersion,omitempty"` // documents of another version, which the answer states
	WrongShard   float64 `json:"WrongShard,omitempty"`   // documents of another shard, which the answer states
	Malformed    float64 `json:"Malformed,omitempty"`    // truncated body
	Endless      float64 `json:"Endless,omitempty"`      // body that never ends
	Drip         float64 `json:"Drip,omitempty"`         // one byte every dripInterval
	// With LostAnswer, the request runs but the connection breaks before the
	// answer.
	LostAnswer float64 `json:"LostAnswer,omitempty"`
	// With Misleading, health reports state Ready, and all reports a load of zero.
	Misleading bool `json:"Misleading,omitempty"`
	// With SilentLie, the documents are of another version than the answer states.
	// No entry host can detect it; tests use it to show that the verifier does.
	SilentLie float64 `json:"SilentLie,omitempty"`
}

const (
	coldFactor       = 5.0 // service time multiplier at the beginning of a cold start
	dripInterval     = 20 * time.Millisecond
	headerTimeout    = 10 * time.Second
	idleTimeout      = 5 * time.Minute
	maxRememberedIDs = 100_000 // bounds the memory of recentIDs
	// drainGracePeriod is how long senders may keep sending after a drain began;
	// later requests count as LateWork.
	drainGracePeriod = 2 * time.Second
	crashTime        = 3 * time.Second
	maxCrashTimes    = 256 // that Stats lists
	// A search counts as OverRate if more than limitTolerance times PerSecond and
	// limitSlack have arrived within limitWindow, from limitWindow after the first
	// answer that names PerSecond.
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitSlack      = 5
	historySamples  = 64               // covers twice ReportLag
	shutdownTimeout = 30 * time.Second // for requests that run at shutdown
)
