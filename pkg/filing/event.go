// Package filing decides how an entry host executes filings, requests that must
// run at most once. It reserves a filing in the replicated ledger, sends it to
// an upstream once under the fence, a number that the ledger assigns to each
// grant, and records the outcome in the ledger.
//
// It is a reducer: Reducer.Step takes one event and returns effects, which the
// runtime carries out. It has no clock, does no I/O and is not safe for
// concurrent use.
package filing

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// ArrivalID numbers the filings that arrive at one entry host process. A filing
// that a caller sends again arrives under a new number.
type ArrivalID uint64

// Event is something that happened to a filing.
//
//sumtype:decl
type Event interface{ isEvent() }

// Arrived reports a new filing from a caller. Its body stays with the runtime.
type Arrived struct {
	Arrival  ArrivalID       `json:"Arrival"`
	Request  ident.RequestID `json:"Request"`
	BodyHash ledger.BodyHash `json:"BodyHash"`
	// Budget is the time until the caller must have an answer, in nanoseconds.
	Budget time.Duration `json:"Budget"`
}

// ReserveAnswered carries the ledger's result of a Reserve.
type ReserveAnswered struct {
	Arrival   ArrivalID     `json:"Arrival"`
	CommandID uint64        `json:"Try"`
	Result    ledger.Result `json:"Result"`
}

// ReserveFailed reports that a Reserve got no result.
type ReserveFailed struct {
	Arrival   ArrivalID `json:"Arrival"`
	CommandID uint64    `json:"Try"`
	// NotRun is set if it is certain that the Reserve will never be applied.
	NotRun bool `json:"NotRun"`
}

// SendAnswered carries the receipt of a filing that ran.
type SendAnswered struct {
	Arrival ArrivalID `json:"Arrival"`
	Fence   uint64    `json:"Fence"`
	Receipt string    `json:"Receipt"`
}

// SendFailed reports that a Send ended without a receipt. If the runtime sent
// nothing, for example because Send.Until had passed, Kind is Refused.
type SendFailed struct {
	Arrival ArrivalID       `json:"Arrival"`
	Fence   uint64          `json:"Fence"`
	Kind    engine.FailKind `json:"Kind"`
}

// RecordAnswered carries the ledger's result of a Complete or Release.
type RecordAnswered struct {
	Arrival   ArrivalID     `json:"Arrival"`
	CommandID uint64        `json:"Try"`
	Result    ledger.Result `json:"Result"`
}

// RecordFailed reports that a Complete or Release got no result.
type RecordFailed struct {
	Arrival   ArrivalID `json:"Arrival"`
	CommandID uint64    `json:"Try"`
}

// Ticked reports that the time requested by Wake has come.
type Ticked struct{}

func (Arrived) isEvent()         {}
func (ReserveAnswered) isEvent() {}
func (ReserveFailed) isEvent()   {}
func (SendAnswered) isEvent()    {}
func (SendFailed) isEvent()      {}
func (RecordAnswered) isEvent()  {}
func (RecordFailed) isEvent()    {}
func (Ticked) isEvent()          {}

// Effect is something the runtime has to do.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Reserve requests permission from the ledger to send the filing. Its result
// comes back as ReserveAnswered or ReserveFailed with the same CommandID.
type Reserve struct {
	Arrival   ArrivalID       `json:"Arrival"`
	CommandID uint64          `json:"Try"`
	Request   ident.RequestID `json:"Request"`
	BodyHash  ledger.BodyHash `json:"BodyHash"`
	// Attempt numbers the reservations of this host. A repeated Reserve has the
	// same Attempt but a new CommandID.
	Attempt uint64 `json:"Attempt"`
}

// Send sends the filing to an upstream once. Its result comes back as
// SendAnswered or SendFailed, exactly once.
type Send struct {
	Arrival ArrivalID       `json:"Arrival"`
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	// Until is the last time at which the filing may be sent.
	Until ident.Instant `json:"Until"`
	// Deadline is when the caller must have an answer.
	Deadline ident.Instant `json:"Deadline"`
	// Earlier is the number of earlier sends of this arrival, all of which
	// provably did not run.
	Earlier int `json:"Earlier"`
}

// Complete records that the filing ran. Its result comes back as
// RecordAnswered or RecordFailed with the same CommandID.
type Complete struct {
	Arrival   ArrivalID       `json:"Arrival"`
	CommandID uint64          `json:"Try"`
	Request   ident.RequestID `json:"Request"`
	Fence     uint64          `json:"Fence"`
	Receipt   string          `json:"Receipt"`
}

// Release ends a reservation whose filing did not run. Its result comes back as
// RecordAnswered or RecordFailed with the same CommandID.
type Release struct {
	Arrival   ArrivalID       `json:"Arrival"`
	CommandID uint64          `json:"Try"`
	Request   ident.RequestID `json:"Request"`
	Fence     uint64          `json:"Fence"`
}

// Reply answers the caller. There is exactly one for each arrival.
type Reply struct {
	Arrival ArrivalID       `json:"Arrival"`
	Request ident.RequestID `json:"Request"`
	// Outcome is Done, NotRun or Unknown.
	Outcome engine.Outcome `json:"Outcome"`
	Receipt string         `json:"Receipt,omitempty"`
	// BodyDiffers is set if the request id was already used with another body.
	BodyDiffers bool `json:"BodyDiffers,omitempty"`
	// Remedy says what the caller can do. It is empty if the outcome is Done.
	Remedy string `json:"Remedy,omitempty"`
}

// Wake requests a Ticked event at the given time or soon after.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Reserve) isEffect()  {}
func (Send) isEffect()     {}
func (Complete) isEffect() {}
func (Release) isEffect()  {}
func (Reply) isEffect()    {}
func (Wake) isEffect()     {}
