// Package member tracks entry hosts by their heartbeats and leases connection
// seats to them. Table runs on the control leader and Holder on every entry
// host. Both are reducers: Step takes one event and returns effects; they have
// no clock, do no I/O and are used by one goroutine each.
package member

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Event is an input of a Table.
//
//sumtype:decl
type Event interface{ isEvent() }

// LeaderStarted reports that this control host became the leader.
type LeaderStarted struct {
	// Seats and Version are those of the active configuration.
	Seats   int                 `json:"Seats"`
	Version ident.ConfigVersion `json:"Version"`
	// Fresh is set if no earlier leader can have granted a seat. Seats are then
	// granted at once.
	Fresh bool `json:"Fresh"`
}

// LeaderStopped reports that this control host is no longer the leader.
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
	// Holds is set if the host's lease of Seat was running when the heartbeat
	// was sent.
	Holds bool `json:"Holds"`
	// Expired is set if the lease of Seat ended and no other lease followed: the
	// host may still have connections in its own domain.
	Expired bool `json:"Expired"`
	Seat    int  `json:"Seat"`
	// Leaving releases the seat; the host has closed its connections.
	Leaving bool `json:"Leaving"`
	// PeersDigest is that of the peers last received from the leader.
	PeersDigest uint64 `json:"PeersDigest"`
}

// Listed replaces the platform's list of live and leaving hosts.
type Listed struct {
	Hosts []ident.HostID `json:"Hosts"`
}

// SeatsSet reports the number of seats in a new configuration.
type SeatsSet struct {
	Seats   int                 `json:"Seats"`
	Version ident.ConfigVersion `json:"Version"`
}

// Ticked is the timer event that the table requests with Wake.
type Ticked struct{}

func (LeaderStarted) isEvent() {}
func (LeaderStopped) isEvent() {}
func (Beat) isEvent()          {}
func (Listed) isEvent()        {}
func (SeatsSet) isEvent()      {}
func (Ticked) isEvent()        {}

// Effect is an action that the runtime of the control leader carries out.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Answer is the reply to the heartbeat with the same Call.
type Answer struct {
	Call uint64 `json:"Call"`
	// Accepted is set if this control host is the leader; otherwise the
	// heartbeat had no effect.
	Accepted bool `json:"Taken"`
	// Granted is set if the host holds Seat for the duration Lease, counted from
	// the time at which it sent the heartbeat.
	Granted bool          `json:"Granted"`
	Seat    int           `json:"Seat"`
	Lease   time.Duration `json:"Lease"`
	// Undecided is set if the leader does not know yet whether a seat is free. A
	// host whose lease has expired may then keep connections in its own domain.
	Undecided bool `json:"Undecided"`
	// Peers is set if PeersDigest differs from that of the heartbeat.
	Peers       []Peer `json:"Peers,omitempty"`
	PeersDigest uint64 `json:"PeersDigest"`
}

// Peer is an entry host that serves the configuration to other entry hosts.
type Peer struct {
	Host    ident.HostID `json:"Host"`
	Domain  ident.Domain `json:"Domain"`
	Address string       `json:"Address"`
}

// LivenessChanged reports that a host became unresponsive or sends heartbeats
// again.
type LivenessChanged struct {
	Host   ident.HostID `json:"Host"`
	Domain ident.Domain `json:"Domain"`
	Live   bool         `json:"Live"`
}

// Wake requests a Ticked event at the given time or soon after.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Answer) isEffect()          {}
func (LivenessChanged) isEffect() {}
func (Wake) isEffect()            {}
