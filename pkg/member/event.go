// Package member keeps track of entry hosts and of their connection seats.
// Table runs on the control leader and Holder on every entry host. Both are
// reducers: Step takes one event and returns effects; they have no clock, do
// no I/O and are used by one goroutine each.
package member

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Event is something that happened to the control leader.
//
//sumtype:decl
type Event interface{ isEvent() }

// LeaderStarted tells that this control host took office.
type LeaderStarted struct {
	// Seats and Version are those of the configuration in force.
	Seats   int                 `json:"Seats"`
	Version ident.ConfigVersion `json:"Version"`
	// Fresh says that no earlier leader can have granted a seat. Seats are
	// then granted at once.
	Fresh bool `json:"Fresh"`
}

// LeaderStopped tells that this control host is no longer the leader.
type LeaderStopped struct{}

// Beat is a heartbeat of an entry host. It is answered by one Answer with the
// same Call.
type Beat struct {
	Call    uint64              `json:"Call"`
	Host    ident.HostID        `json:"Host"`
	Domain  ident.Domain        `json:"Domain"`
	Boot    uint64              `json:"Boot"`
	Address string              `json:"Address"`
	Version ident.ConfigVersion `json:"Version"`
	// Holds tells that the host's lease of Seat ran when the beat was sent.
	Holds bool `json:"Holds"`
	// Expired tells that the lease of Seat ended and was not replaced: the host
	// may still have connections in its own domain.
	Expired bool `json:"Expired"`
	Seat    int  `json:"Seat"`
	// Leaving gives the seat back; the host has closed its connections.
	Leaving     bool   `json:"Leaving"`
	PeersDigest uint64 `json:"PeersDigest"`
}

// Listed carries the platform's list of live and leaving hosts.
type Listed struct {
	Hosts []ident.HostID `json:"Hosts"`
}

// SeatsSet tells that the number of seats in the configuration changed.
type SeatsSet struct {
	Seats   int                 `json:"Seats"`
	Version ident.ConfigVersion `json:"Version"`
}

// Ticked tells that time passed; the reducer asks for it with Wake.
type Ticked struct{}

func (LeaderStarted) isEvent() {}
func (LeaderStopped) isEvent() {}
func (Beat) isEvent()          {}
func (Listed) isEvent()        {}
func (SeatsSet) isEvent()      {}
func (Ticked) isEvent()        {}

// Effect is something the runtime of the control leader has to do.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Answer answers a heartbeat.
type Answer struct {
	Call uint64 `json:"Call"`
	// Taken is false when this control host is not the leader.
	Taken bool `json:"Taken"`
	// Granted says that the host holds Seat for Lease from the time at which
	// it sent the heartbeat.
	Granted bool          `json:"Granted"`
	Seat    int           `json:"Seat"`
	Lease   time.Duration `json:"Lease"`
	// Undecided says that the leader does not know yet whether a seat is free.
	Undecided bool `json:"Undecided"`
	// Peers is set when PeersDigest differs from that of the heartbeat.
	Peers       []Peer `json:"Peers,omitempty"`
	PeersDigest uint64 `json:"PeersDigest"`
}

// Peer names an entry host that serves the configuration.
type Peer struct {
	Host    ident.HostID `json:"Host"`
	Domain  ident.Domain `json:"Domain"`
	Address string       `json:"Address"`
}

// LivenessChanged reports that a host fell silent or is heard again.
type LivenessChanged struct {
	Host   ident.HostID `json:"Host"`
	Domain ident.Domain `json:"Domain"`
	Live   bool         `json:"Live"`
}

// Wake asks for a Ticked event at the given time or soon after.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Answer) isEffect()          {}
func (LivenessChanged) isEffect() {}
func (Wake) isEffect()            {}
