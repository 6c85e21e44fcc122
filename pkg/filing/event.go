// Package filing decides how an entry host runs filings: it reserves a filing
// in the ledger, sends it once under the granted fence and records the
// outcome. It is a reducer: Step takes one event and returns effects; it has
// no clock, does no I/O and is used by one goroutine.
package filing

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// ArrivalID numbers the filings that arrive at one entry host process.
type ArrivalID uint64

// Event is something that happened to a filing.
//
//sumtype:decl
type Event interface{ isEvent() }

// Arrived is a caller's filing. Its body stays with the runtime.
type Arrived struct {
	Arrival  ArrivalID       `json:"Arrival"`
	Request  ident.RequestID `json:"Request"`
	BodyHash ledger.BodyHash `json:"BodyHash"`
	// Budget is the time until the caller must have an answer, in nanoseconds.
	Budget time.Duration `json:"Budget"`
}

// ReserveAnswered carries the ledger's result of a Reserve.
type ReserveAnswered struct {
	Arrival ArrivalID     `json:"Arrival"`
	Try     uint64        `json:"Try"`
	Result  ledger.Result `json:"Result"`
}

// ReserveFailed tells that a Reserve got no result.
type ReserveFailed struct {
	Arrival ArrivalID `json:"Arrival"`
	Try     uint64    `json:"Try"`
	// NotRun says that the Reserve will never be applied.
	NotRun bool `json:"NotRun"`
}

// SendAnswered carries the receipt of a filing that ran.
type SendAnswered struct {
	Arrival ArrivalID `json:"Arrival"`
	Fence   uint64    `json:"Fence"`
	Receipt string    `json:"Receipt"`
}

// SendFailed tells that a Send ended without a receipt. The runtime reports
// Refused if it sent nothing, also when the time Until had passed.
type SendFailed struct {
	Arrival ArrivalID       `json:"Arrival"`
	Fence   uint64          `json:"Fence"`
	Kind    engine.FailKind `json:"Kind"`
}

// RecordAnswered carries the ledger's result of a Complete or Release.
type RecordAnswered struct {
	Arrival ArrivalID     `json:"Arrival"`
	Try     uint64        `json:"Try"`
	Result  ledger.Result `json:"Result"`
}

// RecordFailed tells that a Complete or Release got no result.
type RecordFailed struct {
	Arrival ArrivalID `json:"Arrival"`
	Try     uint64    `json:"Try"`
}

// Ticked tells that time passed; the reducer asks for it with Wake.
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

// Reserve asks the ledger for a grant. Its result comes back as
// ReserveAnswered or ReserveFailed with the same Try.
type Reserve struct {
	Arrival  ArrivalID       `json:"Arrival"`
	Try      uint64          `json:"Try"`
	Request  ident.RequestID `json:"Request"`
	BodyHash ledger.BodyHash `json:"BodyHash"`
	Attempt  uint64          `json:"Attempt"`
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
	// Earlier is the number of earlier sends of this arrival; all provably did
	// not run.
	Earlier int `json:"Earlier"`
}

// Complete records that the filing ran. Its result comes back as
// RecordAnswered or RecordFailed with the same Try.
type Complete struct {
	Arrival ArrivalID       `json:"Arrival"`
	Try     uint64          `json:"Try"`
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	Receipt string          `json:"Receipt"`
}

// Release gives a reservation back. Its result comes back as RecordAnswered
// or RecordFailed with the same Try.
type Release struct {
	Arrival ArrivalID       `json:"Arrival"`
	Try     uint64          `json:"Try"`
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
}

// Reply answers the caller. Exactly one is made for each arrival.
type Reply struct {
	Arrival ArrivalID       `json:"Arrival"`
	Request ident.RequestID `json:"Request"`
	// Outcome is Done, NotRun or Unknown.
	Outcome engine.Outcome `json:"Outcome"`
	Receipt string         `json:"Receipt,omitempty"`
	// BodyDiffers tells that the id was used with another body.
	BodyDiffers bool `json:"BodyDiffers,omitempty"`
	// Remedy says what the caller can do. Empty when Done.
	Remedy string `json:"Remedy,omitempty"`
}

// Wake asks for a Ticked event at the given time or soon after.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Reserve) isEffect()  {}
func (Send) isEffect()     {}
func (Complete) isEffect() {}
func (Release) isEffect()  {}
func (Reply) isEffect()    {}
func (Wake) isEffect()     {}
