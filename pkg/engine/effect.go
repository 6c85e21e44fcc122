package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// Effect is an action for the runtime to carry out. Effects are plain data.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send starts an attempt. The runtime must report exactly one result for it,
// AttemptAnswered or AttemptFailed with the same Attempt, also after Cancel.
type Send struct {
	Attempt  ident.AttemptID    `json:"Attempt"`
	Query    ident.QueryID      `json:"Query"`
	Request  ident.RequestID    `json:"Request"`
	Upstream ident.Upstream     `json:"Upstream"`
	Address  string             `json:"Address"`
	Index    ident.Index        `json:"Index"`
	Shard    ident.Shard        `json:"Shard"`
	Version  ident.IndexVersion `json:"Version"`
	Terms    string             `json:"Terms"`
	Limit    int                `json:"Limit"`
	Class    preset.Class       `json:"Class"`
	Reason   Reason             `json:"Reason"`
	// Remaining is the time left to the query's deadline.
	Remaining time.Duration `json:"Remaining"`
}

// Cancel aborts an attempt. The runtime also notifies the upstream.
type Cancel struct {
	Attempt ident.AttemptID `json:"Attempt"`
}

// Reply answers a query. Each query gets exactly one.
type Reply struct {
	Query     ident.QueryID      `json:"Query"`
	Request   ident.RequestID    `json:"Request"`
	Outcome   Outcome            `json:"Outcome"`
	Version   ident.IndexVersion `json:"Version"`
	Preset    preset.Name        `json:"Preset"`
	Coverage  Coverage           `json:"Coverage"`
	Documents []Document         `json:"Documents"`
	// Remedy says what the caller can do; it is empty if the outcome is Done.
	Remedy string `json:"Remedy,omitempty"`
}

// Warm sets the number of connections that the host keeps open to an upstream.
// Zero closes idle ones.
type Warm struct {
	Upstream    ident.Upstream `json:"Upstream"`
	Address     string         `json:"Address"`
	Connections int            `json:"Connections"`
}

// Probe requests a health report from an upstream. The result comes back as
// UpstreamReported or ProbeFailed.
type Probe struct {
	Upstream ident.Upstream `json:"Upstream"`
	Address  string         `json:"Address"`
}

// Wake requests a Ticked event at the given time or shortly after. It does not
// replace an earlier Wake.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Send) isEffect()   {}
func (Cancel) isEffect() {}

// Report is this host's demand for the upstreams with a limit, for the owner of
// the limits.
type Report struct {
	At      ident.Instant  `json:"At"`
	Demands []quota.Demand `json:"Demands"`
}

func (Report) isEffect() {}
func (Reply) isEffect()  {}
func (Warm) isEffect()   {}
func (Probe) isEffect()  {}
func (Wake) isEffect()   {}

// Reason is the reason for an attempt.
type Reason string

// The reasons: the first attempt for a shard, one after a failure, and a second
// one while the first is late.
const (
	First Reason = "First"
	Retry Reason = "Retry"
	Hedge Reason = "Hedge"
)

// Outcome is the result of a request as the caller sees it.
type Outcome string

// The outcomes. Partial means that shards are missing from the answer, NotRun
// that nothing was sent to any upstream. Unknown occurs only for filings, which
// must not run twice.
const (
	Done    Outcome = "Done"
	Partial Outcome = "Partial"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Coverage states which shards of an index an answer covers.
type Coverage struct {
	// Asked is the number of shards of the index.
	Asked int `json:"Asked"`
	// Answered is the number of shards whose documents are in the answer.
	Answered int `json:"Answered"`
	// Missing lists every other shard, sorted by name.
	Missing []Missing `json:"Missing"`
}

// Missing is a shard that is not in the answer, and the reason.
type Missing struct {
	Shard  ident.Shard   `json:"Shard"`
	Reason MissingReason `json:"Reason"`
}

// MissingReason is the reason why a shard is missing.
type MissingReason string

// The reasons for a missing shard. CutOff means that the host's seat does not
// permit connections to some of its upstreams, VersionGone that no upstream has
// the pinned version any more, Lost that the upstreams failed or none can serve
// the shard.
const (
	MissingTimedOut    MissingReason = "TimedOut"
	MissingShed        MissingReason = "Shed"
	MissingLost        MissingReason = "Lost"
	MissingCutOff      MissingReason = "CutOff"
	MissingVersionGone MissingReason = "VersionGone"
)
