package member

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// HolderEvent is something that happened to the heartbeats of an entry host.
//
//sumtype:decl
type HolderEvent interface{ isHolderEvent() }

// Started starts the heartbeats.
type Started struct{}

// Answered carries the answer to the heartbeat of a Try.
type Answered struct {
	Try    uint64 `json:"Try"`
	Answer Answer `json:"Answer"`
	// Leader is the address of the leader if the asked host knows it.
	Leader string `json:"Leader"`
}

// Failed tells that the heartbeat of a Try got no answer.
type Failed struct {
	Try uint64 `json:"Try"`
}

// ConfigApplied tells which configuration the host uses.
type ConfigApplied struct {
	Version ident.ConfigVersion `json:"Version"`
	Seats   int                 `json:"Seats"`
}

// Left tells that the host has closed its connections and leaves.
type Left struct{}

// TimePassed tells that time passed; the reducer asks for it with WakeHolder.
type TimePassed struct{}

func (Started) isHolderEvent()       {}
func (Answered) isHolderEvent()      {}
func (Failed) isHolderEvent()        {}
func (ConfigApplied) isHolderEvent() {}
func (Left) isHolderEvent()          {}
func (TimePassed) isHolderEvent()    {}

// HolderEffect is something the runtime of an entry host has to do.
//
//sumtype:decl
type HolderEffect interface{ isHolderEffect() }

// SendBeat sends a heartbeat to the control host at To. Its result comes back
// as Answered or Failed with the same Try, within AnswerWait.
type SendBeat struct {
	Try  uint64 `json:"Try"`
	To   string `json:"To"`
	Beat Beat   `json:"Beat"`
}

// SeatChanged tells which seat the host has.
type SeatChanged struct {
	Seat engine.Seat `json:"Seat"`
	// Number is the number of the seat, in states Held and Expired.
	Number int `json:"Number"`
}

// PeersChanged carries the peers that serve the configuration.
type PeersChanged struct {
	Peers []Peer `json:"Peers"`
}

// WakeHolder asks for a TimePassed event at the given time or soon after.
type WakeHolder struct {
	At ident.Instant `json:"At"`
}

func (SendBeat) isHolderEffect()     {}
func (SeatChanged) isHolderEffect()  {}
func (PeersChanged) isHolderEffect() {}
func (WakeHolder) isHolderEffect()   {}

// HolderConfig are the settings of a Holder.
type HolderConfig struct {
	Host    ident.HostID
	Domain  ident.Domain
	Boot    uint64
	Address string
	// Controls are the addresses of the control hosts, at least one.
	Controls []string
}

// Holder sends heartbeats for one entry host process and holds its seat.
type Holder struct {
	cfg     HolderConfig
	version ident.ConfigVersion
	peers   uint64
	// seats is the number of seats in the configuration in use; zero if none.
	seats int

	seat   engine.Seat
	number int
	// until is the end of the lease, counted from the sending of the beat that
	// renewed it.
	until ident.Instant

	try    uint64
	sentAt ident.Instant
	open   bool // a beat is not answered yet
	beatAt ident.Instant
	to     string
	next   int
	left   bool
	out    []HolderEffect
}

// NewHolder returns a holder without a seat.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{
		cfg:  cfg,
		seat: engine.SeatNone,
		to:   cfg.Controls[0],
	}
}

// Step takes one event at the time now and returns what has to be done.
func (h *Holder) Step(now ident.Instant, event HolderEvent) []HolderEffect {
	h.out = nil
	// The lease is checked first: an answer that comes after its end must not
	// find the seat still held.
	if h.seat == engine.SeatHeld && now >= h.until {
		h.change(engine.SeatExpired, h.number)
	}
	switch e := event.(type) {
	case Started:
		h.beat(now)
	case Answered:
		if h.open && e.Try == h.try {
			h.open = false
			h.answered(now, e)
		}
	case Failed:
		if h.open && e.Try == h.try {
			h.open = false
			h.tryNext()
			h.beatAt = now.Add(redirectWait)
		}
	case ConfigApplied:
		h.version, h.seats = e.Version, e.Seats
		if h.seat != engine.SeatNone && h.number >= h.seats {
			// The shares of the others have grown by the seat that this host had.
			h.change(engine.SeatNone, 0)
		}
	case Left:
		h.left = true
		h.change(engine.SeatNone, 0)
		h.beat(now)
	case TimePassed:
		h.passed(now)
	}
	if !h.left {
		h.wake(now)
	}
	return h.out
}

// Gone reports whether the host has left and the leader was told, or could
// not be told at the first attempt.
func (h *Holder) Gone() bool { return h.left && !h.open }

func (h *Holder) emit(e HolderEffect) { h.out = append(h.out, e) }

func (h *Holder) passed(now ident.Instant) {
	if h.open && now.Sub(h.sentAt) >= AnswerWait {
		h.open = false
		h.tryNext()
		h.beatAt = now
	}
	if !h.open && !h.left && now >= h.beatAt {
		h.beat(now)
	}
}

func (h *Holder) beat(now ident.Instant) {
	h.try++
	h.open, h.sentAt, h.beatAt = true, now, now.Add(BeatEvery)
	h.emit(SendBeat{
		Try: h.try,
		To:  h.to,
		Beat: Beat{
			Host:        h.cfg.Host,
			Domain:      h.cfg.Domain,
			Boot:        h.cfg.Boot,
			Address:     h.cfg.Address,
			Version:     h.version,
			Holds:       h.seat == engine.SeatHeld,
			Expired:     h.seat == engine.SeatExpired,
			Seat:        h.number,
			Leaving:     h.left,
			PeersDigest: h.peers,
		},
	})
}

func (h *Holder) answered(now ident.Instant, e Answered) {
	if !e.Answer.Taken {
		h.tryNext()
		if e.Leader != "" && e.Leader != h.to {
			h.to = e.Leader
		}
		h.beatAt = now.Add(redirectWait)
		return
	}
	if h.left || now.Sub(h.sentAt) > AnswerWait {
		return
	}
	switch a := e.Answer; {
	case a.Granted && (h.seats == 0 || a.Seat < h.seats):
		h.until = h.sentAt.Add(min(a.Lease, Lease))
		h.change(engine.SeatHeld, a.Seat)
	case !a.Undecided:
		h.change(engine.SeatNone, 0)
	}
	if e.Answer.PeersDigest != h.peers {
		h.peers = e.Answer.PeersDigest
		h.emit(PeersChanged{Peers: e.Answer.Peers})
	}
}

// tryNext goes on to the next control host of the settings.
func (h *Holder) tryNext() {
	h.next = (h.next + 1) % len(h.cfg.Controls)
	h.to = h.cfg.Controls[h.next]
}

func (h *Holder) change(seat engine.Seat, number int) {
	if h.seat == seat && h.number == number {
		return
	}
	h.seat, h.number = seat, number
	h.emit(SeatChanged{
		Seat:   seat,
		Number: number,
	})
}

func (h *Holder) wake(now ident.Instant) {
	at := h.beatAt
	if h.open {
		at = h.sentAt.Add(AnswerWait)
	}
	if h.seat == engine.SeatHeld {
		at = min(at, h.until)
	}
	h.emit(WakeHolder{At: max(at, now.Add(time.Millisecond))})
}
