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
	// takes a free port; Leaf.Address tells which.
	Upstream config.Upstream
	// Control is the address (IP:port) of the control path; empty for none. It
	// is apart from the traffic address, so that the checker takes no connection.
	Control string
	// Seed decides documents and faults. All upstreams of a deployment share
	// the seed of the documents.
	Seed uint64
	// Versions lists the index versions held at start.
	Versions []ident.IndexVersion
	// Waiting is the number of requests that may wait for a slot.
	Waiting int
	// Connect is the time that a new connection takes before its first request.
	Connect time.Duration
	// Service is the distribution of the service time.
	Service Service
	// Cold is the time after start during which requests take longer.
	Cold time.Duration
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
	// Linger is the time that Run answers Draining after its context ends.
	Linger time.Duration
	// Faults are in force from the start.
	Faults Faults
	// Log may be nil.
	Log *slog.Logger
}

// Service is a log-normal distribution of service times.
type Service struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 makes all equal.
	Sigma float64
}

// Faults are the faults of an upstream. Fractions are 0 to 1 and drawn
// independently for each request, from the seed.
type Faults struct {
	// SlowFraction of the requests take SlowFactor times as long.
	SlowFraction float64 `json:"SlowFraction,omitempty"`
	SlowFactor   float64 `json:"SlowFactor,omitempty"`
	// Lost upstreams accept connections and answer nothing.
	Lost bool `json:"Lost,omitempty"`
	// Killed upstreams break every connection and accept none.
	Killed       bool    `json:"Killed,omitempty"`
	ShedFraction float64 `json:"ShedFraction,omitempty"`
	// The following fractions of the searches get a wrong answer.
	WrongID      float64 `json:"WrongID,omitempty"`      // request id of another request
	WrongAttempt float64 `json:"WrongAttempt,omitempty"` // number of another attempt
	WrongVersion float64 `json:"WrongVersion,omitempty"` // answer from another version, and saying so
	WrongShard   float64 `json:"WrongShard,omitempty"`   // answer from another shard, and saying so
	Malformed    float64 `json:"Malformed,omitempty"`    // cut in the middle
	Endless      float64 `json:"Endless,omitempty"`      // body without end
	Drip         float64 `json:"Drip,omitempty"`         // a byte every 20 ms
	// LostAnswer requests run, but the connection breaks before the answer.
	LostAnswer float64 `json:"LostAnswer,omitempty"`
	// Misleading reports claim Ready and no load.
	Misleading bool `json:"Misleading,omitempty"`
	// SilentLie answers from another version but claims the version asked.
	// No entry host can detect it; it shows that a verifier does.
	SilentLie float64 `json:"SilentLie,omitempty"`
}

const (
	coldFactor    = 5.0 // service time of the first request after a cold start
	dripInterval  = 20 * time.Millisecond
	headerWait    = 10 * time.Second
	idleWait      = 5 * time.Minute
	maxRemembered = 100_000 // request ids
	// leaveTime is the time after which an upstream that drains must get no
	// more work.
	leaveTime   = 2 * time.Second
	historyKept = 64               // load samples kept for lagging reports
	endWait     = 30 * time.Second // what runs at shutdown has this long to end
)
