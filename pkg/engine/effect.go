package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Effect is something the runtime has to do. Effects are plain data.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send starts an attempt. Its result comes back as AttemptAnswered or
// AttemptFailed with the same Attempt, exactly once, also after Cancel.
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

// Cancel stops an attempt; the upstream is told.
type Cancel struct {
	Attempt ident.AttemptID `json:"Attempt"`
}

// Reply ends a query. Exactly one is made for each query.
type Reply struct {
	Query     ident.QueryID      `json:"Query"`
	Request   ident.RequestID    `json:"Request"`
	Outcome   Outcome            `json:"Outcome"`
	Version   ident.IndexVersion `json:"Version"`
	Preset    preset.Name        `json:"Preset"`
	Coverage  Coverage           `json:"Coverage"`
	Documents []Document         `json:"Documents"`
	// Remedy says what the caller can do. Empty when Done.
	Remedy string `json:"Remedy,omitempty"`
}

// Warm sets how many connections the host keeps open to an upstream. Zero
// closes idle ones.
type Warm struct {
	Upstream    ident.Upstream `json:"Upstream"`
	Address     string         `json:"Address"`
	Connections int            `json:"Connections"`
}

// Probe asks an upstream for a health report.
type Probe struct {
	Upstream ident.Upstream `json:"Upstream"`
	Address  string         `json:"Address"`
}

// Wake asks for a Ticked event at the given time or soon after. A later Wake
// does not cancel an earlier one.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Send) isEffect()   {}
func (Cancel) isEffect() {}
func (Reply) isEffect()  {}
func (Warm) isEffect()   {}
func (Probe) isEffect()  {}
func (Wake) isEffect()   {}

// Reason says why an attempt was made.
type Reason string

// The reasons for an attempt.
const (
	First Reason = "First"
	Retry Reason = "Retry"
	Hedge Reason = "Hedge"
)

// Outcome is the kind of answer a caller gets.
type Outcome string

// The outcomes. NotRun means that nothing was sent to any upstream. Unknown
// occurs only for requests that may not be repeated.
const (
	Done    Outcome = "Done"
	Partial Outcome = "Partial"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Coverage states what an answer covers.
type Coverage struct {
	// Asked is the number of shards of the index.
	Asked int `json:"Asked"`
	// Answered is the number of shards whose documents are in the answer.
	Answered int `json:"Answered"`
	// Missing lists every other shard, sorted by name.
	Missing []Missing `json:"Missing"`
}

// Missing names a shard that is not in the answer.
type Missing struct {
	Shard  ident.Shard   `json:"Shard"`
	Reason MissingReason `json:"Reason"`
}

// MissingReason says why a shard is missing.
type MissingReason string

// The reasons for a missing shard.
const (
	MissingTimedOut    MissingReason = "TimedOut"
	MissingShed        MissingReason = "Shed"
	MissingLost        MissingReason = "Lost"
	MissingCutOff      MissingReason = "CutOff"
	MissingVersionGone MissingReason = "VersionGone"
)
