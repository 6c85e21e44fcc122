package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Event is something that happened to an entry host. Events are plain data
// and can be recorded and replayed.
//
//sumtype:decl
type Event interface{ isEvent() }

// QueryArrived is a search of a caller.
type QueryArrived struct {
	Query   ident.QueryID   `json:"Query"`
	Request ident.RequestID `json:"Request"`
	Index   ident.Index     `json:"Index"`
	Class   preset.Class    `json:"Class"`
	Terms   string          `json:"Terms"`
	// Limit is the number of documents wanted in all; zero means all.
	Limit int `json:"Limit"`
	// Budget is the time the caller still gives, in nanoseconds; zero means
	// the deadline of the preset. The smaller of the two holds.
	Budget time.Duration `json:"Budget"`
}

// QueryCancelled tells that the caller went away.
type QueryCancelled struct {
	Query ident.QueryID `json:"Query"`
}

// AttemptAnswered carries the decoded answer of an upstream. The engine
// checks every field against what it asked.
type AttemptAnswered struct {
	Attempt ident.AttemptID `json:"Attempt"`
	Answer  Answer          `json:"Answer"`
}

// AttemptFailed tells that an attempt ended without an answer.
type AttemptFailed struct {
	Attempt ident.AttemptID `json:"Attempt"`
	Kind    FailKind        `json:"Kind"`
	// Held is what the upstream said it holds, if it said so.
	Held []Held `json:"Held,omitempty"`
}

// UpstreamReported carries a health report of an upstream.
type UpstreamReported struct {
	Upstream ident.Upstream `json:"Upstream"`
	Health   Health         `json:"Health"`
	Load     Load           `json:"Load"`
	Held     []Held         `json:"Held"`
}

// ProbeFailed tells that a health probe got no report.
type ProbeFailed struct {
	Upstream ident.Upstream `json:"Upstream"`
}

// ConfigApplied puts a configuration in force. A lower version than the
// current one is ignored.
type ConfigApplied struct {
	State *config.State `json:"State"`
}

// SeatChanged tells whether the host holds a connection seat.
type SeatChanged struct {
	Seat Seat `json:"Seat"`
}

// DrainStarted tells that the host is shutting down: queries in flight end,
// new ones are refused as not run.
type DrainStarted struct{}

// Ticked tells that time passed; the engine asks for it with Wake.
type Ticked struct{}

func (QueryArrived) isEvent()     {}
func (QueryCancelled) isEvent()   {}
func (AttemptAnswered) isEvent()  {}
func (AttemptFailed) isEvent()    {}
func (UpstreamReported) isEvent() {}
func (ProbeFailed) isEvent()      {}
func (ConfigApplied) isEvent()    {}
func (SeatChanged) isEvent()      {}
func (DrainStarted) isEvent()     {}
func (Ticked) isEvent()           {}

// FailKind says how an attempt failed.
type FailKind string

// The kinds of failure. Shed, Draining, Refused, VersionGone and WrongShard
// mean that the upstream provably did not run the request.
const (
	Shed        FailKind = "Shed"
	Draining    FailKind = "Draining"
	Refused     FailKind = "Refused" // no connection was made
	VersionGone FailKind = "VersionGone"
	WrongShard  FailKind = "WrongShard" // the upstream does not hold the shard
	Broken      FailKind = "Broken"     // the connection broke after sending
	TimedOut    FailKind = "TimedOut"
	Malformed   FailKind = "Malformed" // the answer could not be decoded or was too large
)

// Health is the state an upstream reports.
type Health string

// The states an upstream reports.
const (
	HealthReady    Health = "Ready"
	HealthCold     Health = "Cold"
	HealthDraining Health = "Draining"
)

// Seat tells whether a host may open connections.
type Seat string

// The states of a seat. A host without a seat opens no connection; a host
// whose lease expired uses upstreams of its own domain only.
const (
	SeatNone    Seat = "None"
	SeatHeld    Seat = "Held"
	SeatExpired Seat = "Expired"
)

// Held lists the index versions that an upstream holds of a shard.
type Held struct {
	Shard    ident.Shard          `json:"Shard"`
	Versions []ident.IndexVersion `json:"Versions"`
}

// Load is the load an upstream reports. It lags and may mislead.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
}

// Answer is an upstream's answer for one shard.
type Answer struct {
	Request   ident.RequestID    `json:"Request"`
	Attempt   ident.AttemptID    `json:"Attempt"`
	Shard     ident.Shard        `json:"Shard"`
	Version   ident.IndexVersion `json:"Version"`
	Documents []Document         `json:"Documents"`
	Load      Load               `json:"Load"`
	Held      []Held             `json:"Held,omitempty"`
}

// Document is one match.
type Document struct {
	ID       string  `json:"ID"`
	Revision uint64  `json:"Revision"`
	Score    float64 `json:"Score"`
	Body     string  `json:"Body"`
}
