package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// Event is an input of the reducer. Events are plain data, so that they can be
// recorded and replayed.
//
//sumtype:decl
type Event interface{ isEvent() }

// QueryArrived is a search request of a caller.
type QueryArrived struct {
	Query   ident.QueryID   `json:"Query"`
	Request ident.RequestID `json:"Request"`
	Index   ident.Index     `json:"Index"`
	Class   preset.Class    `json:"Class"`
	Terms   string          `json:"Terms"`
	// Limit is the maximum number of documents in the answer; zero is no limit.
	Limit int `json:"Limit"`
	// Budget is the time left to the caller's deadline, in nanoseconds; zero
	// means none was given. The deadline of the preset applies if it is shorter.
	Budget time.Duration `json:"Budget"`
}

// QueryCancelled reports that the caller disconnected.
type QueryCancelled struct {
	Query ident.QueryID `json:"Query"`
}

// AttemptAnswered carries the decoded answer of an upstream. The engine checks
// the request, attempt, shard and version against those of the attempt.
type AttemptAnswered struct {
	Attempt ident.AttemptID `json:"Attempt"`
	Answer  Answer          `json:"Answer"`
}

// AttemptFailed reports that an attempt ended without an answer.
type AttemptFailed struct {
	Attempt ident.AttemptID `json:"Attempt"`
	Kind    FailKind        `json:"Kind"`
	// Held lists the versions that the upstream reported, if any.
	Held []Held `json:"Held,omitempty"`
}

// UpstreamReported carries a health report of an upstream. Held must list all
// shards of the upstream; a shard that is not listed has no version there.
type UpstreamReported struct {
	Upstream ident.Upstream `json:"Upstream"`
	Health   Health         `json:"Health"`
	Load     Load           `json:"Load"`
	Held     []Held         `json:"Held"`
}

// ProbeFailed reports that a health probe got no report.
type ProbeFailed struct {
	Upstream ident.Upstream `json:"Upstream"`
}

// ConfigApplied makes a configuration the active one. A version lower than the
// current one is ignored.
type ConfigApplied struct {
	State *config.State `json:"State"`
}

// SeatChanged carries the new state of the host's connection seat.
type SeatChanged struct {
	Seat Seat `json:"Seat"`
}

// DrainStarted reports that the host is shutting down: queries in flight run
// to their end, new ones are rejected with NotRun.
type DrainStarted struct{}

// Ticked reports that time has passed. The engine requests it with Wake.
type Ticked struct{}

// ShareGranted carries the owner's answer to the Report of the time Sent.
type ShareGranted struct {
	Sent   ident.Instant `json:"Sent"`
	Grants []quota.Grant `json:"Grants"`
}

func (ShareGranted) isEvent()     {}
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

// FailKind is the way in which an attempt failed.
type FailKind string

// The kinds of failure. Shed, Draining, Refused, VersionGone and WrongShard
// mean that the upstream provably did not run the request.
const (
	Shed        FailKind = "Shed"
	Draining    FailKind = "Draining"
	Refused     FailKind = "Refused" // no connection could be made
	VersionGone FailKind = "VersionGone"
	WrongShard  FailKind = "WrongShard" // the upstream does not hold the shard
	Broken      FailKind = "Broken"     // the connection broke after the request was sent
	Crashed     FailKind = "Crashed"    // the upstream ended: its connection before an answer began, or all in the middle of one
	TimedOut    FailKind = "TimedOut"
	Malformed   FailKind = "Malformed" // the answer could not be decoded or was too large
)

// Health is the state that an upstream reports about itself.
type Health string

// The reported states. A cold upstream gets a slow start; a draining one gets
// no new attempts.
const (
	HealthReady    Health = "Ready"
	HealthCold     Health = "Cold"
	HealthDraining Health = "Draining"
)

// Seat is the state of a host's connection seat, which permits connections to
// upstreams.
type Seat string

// The states of a seat. A host without a seat opens no connections; a host
// whose lease on a seat expired uses only upstreams in its own failure domain.
const (
	SeatNone    Seat = "None"
	SeatHeld    Seat = "Held"
	SeatExpired Seat = "Expired"
)

// Held lists the index versions of a shard that an upstream can serve.
type Held struct {
	Shard    ident.Shard          `json:"Shard"`
	Versions []ident.IndexVersion `json:"Versions"`
}

// Load is the number of running and waiting requests that an upstream reports.
// It is delayed and can be wrong.
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
	// PerSecond is the number of searches per second that the upstream takes from
	// all hosts together; 0 means no limit.
	PerSecond float64 `json:"PerSecond,omitempty"`
}

// Document is one match of a search. Shards may return the same ID with
// different revisions; the answer keeps the highest.
type Document struct {
	ID       string  `json:"ID"`
	Revision uint64  `json:"Revision"`
	Score    float64 `json:"Score"`
	Body     string  `json:"Body"`
}
