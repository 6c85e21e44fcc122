package member

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// HolderEvent is an input of a Holder.
//
//sumtype:decl
type HolderEvent interface{ isHolderEvent() }

// Started starts the heartbeats.
type Started struct{}

// Answered carries the answer to the SendBeat with the same Attempt.
type Answered struct {
	Attempt uint64 `json:"Try"`
	Answer  Answer `json:"Answer"`
	// Leader is the leader's address, if the control host is not the leader and
	// knows it.
	Leader string `json:"Leader"`
}

// Failed reports that the SendBeat with the same Attempt failed or timed out.
type Failed struct {
	Attempt uint64 `json:"Try"`
}

// ConfigApplied reports the version and the number of seats of the
// configuration that the host applied.
type ConfigApplied struct {
	Version ident.ConfigVersion `json:"Version"`
	Seats   int                 `json:"Seats"`
}

// Left reports that the host has closed its connections and is leaving.
type Left struct{}

// TimePassed is the timer event that the holder requests with WakeHolder.
type TimePassed struct{}

func (Started) isHolderEvent()       {}
func (Answered) isHolderEvent()      {}
func (Failed) isHolderEvent()        {}
func (ConfigApplied) isHolderEvent() {}
func (Left) isHolderEvent()          {}
func (TimePassed) isHolderEvent()    {}

// HolderEffect is an action that the runtime of an entry host carries out.
//
//sumtype:decl
type HolderEffect interface{ isHolderEffect() }

// SendBeat sends a heartbeat to the control host at To. Its result arrives as
// Answered or Failed with the same Attempt, within AnswerTimeout.
type SendBeat struct {
	Attempt uint64 `json:"Try"`
	To      string `json:"To"`
	Beat    Beat   `json:"Beat"`
}

// SeatChanged reports the state and the number of the host's seat.
type SeatChanged struct {
	Seat engine.Seat `json:"Seat"`
	// Number is the number of the seat in states Held and Expired, else zero.
	Number int `json:"Number"`
}

// PeersChanged replaces the list of peers that serve the configuration.
type PeersChanged struct {
	Peers []Peer `json:"Peers"`
}

// WakeHolder requests a TimePassed event at the given time or soon after.
type WakeHolder struct {
	At ident.Instant `json:"At"`
}

func (SendBeat) isHolderEffect()     {}
func (SeatChanged) isHolderEffect()  {}
func (PeersChanged) isHolderEffect() {}
func (WakeHolder) isHolderEffect()   {}

// HolderConfig holds the settings of a Holder.
type HolderConfig struct {
	Host   ident.HostID
	Domain ident.Domain
	// Boot distinguishes this process from earlier ones of the same host.
	Boot uint64
	// Address is where the host serves the configuration to its peers.
	Address string
	// Controls are the addresses of the control hosts, at least one.
	Controls []string
}

// Holder sends heartbeats for one entry host process and tracks the lease of its
// seat.
type Holder struct {
	cfg         HolderConfig
	version     ident.ConfigVersion
	peersDigest uint64
	// seats is the number of seats in the applied configuration; zero before
	// the first one.
	seats int

	seat       engine.Seat
	seatNumber int
	// leaseEnd is counted from when the renewing heartbeat was sent, not from
	// its answer.
	leaseEnd ident.Instant

	attempt      uint64
	sentAt       ident.Instant
	inFlight     bool // a heartbeat awaits its answer
	nextBeatAt   ident.Instant
	control      string // address for the next heartbeat
	controlIndex int
	leaving      bool
	effects      []HolderEffect
}

// NewHolder returns a holder without a seat.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{
		cfg:     cfg,
		seat:    engine.SeatNone,
		control: cfg.Controls[0],
	}
}

// Step applies one event at the time now and returns the effects to carry out.
func (h *Holder) Step(now ident.Instant, event HolderEvent) []HolderEffect {
	h.effects = nil
	// The lease is checked first, so that an answer that arrives after its end
	// finds the seat expired.
	if h.seat == engine.SeatHeld && now >= h.leaseEnd {
		h.setSeat(engine.SeatExpired, h.seatNumber)
	}
	switch e := event.(type) {
	case Started:
		h.sendBeat(now)
	case Answered:
		if h.inFlight && e.Attempt == h.attempt {
			h.inFlight = false
			h.onAnswer(now, e)
		}
	case Failed:
		if h.inFlight && e.Attempt == h.attempt {
			h.inFlight = false
			h.nextControl()
			h.nextBeatAt = now.Add(redirectDelay)
		}
	case ConfigApplied:
		h.version, h.seats = e.Version, e.Seats
		if h.seat != engine.SeatNone && h.seatNumber >= h.seats {
			// The seat was removed from the configuration, so the shares of the
			// other hosts now include what belonged to it.
			h.setSeat(engine.SeatNone, 0)
		}
	case Left:
		h.leaving = true
		h.setSeat(engine.SeatNone, 0)
		h.sendBeat(now)
	case TimePassed:
		h.onTimePassed(now)
	}
	if !h.leaving {
		h.scheduleWake(now)
	}
	return h.effects
}

// Departed reports whether the host has left: its last heartbeat, which is not
// repeated, was answered or failed.
func (h *Holder) Departed() bool { return h.leaving && !h.inFlight }

func (h *Holder) emit(e HolderEffect) { h.effects = append(h.effects, e) }

func (h *Holder) onTimePassed(now ident.Instant) {
	if h.inFlight && now.Sub(h.sentAt) >= AnswerTimeout {
		h.inFlight = false
		h.nextControl()
		h.nextBeatAt = now
	}
	if !h.inFlight && !h.leaving && now >= h.nextBeatAt {
		h.sendBeat(now)
	}
}

func (h *Holder) sendBeat(now ident.Instant) {
	h.attempt++
	h.inFlight, h.sentAt, h.nextBeatAt = true, now, now.Add(HeartbeatInterval)
	h.emit(SendBeat{
		Attempt: h.attempt,
		To:      h.control,
		Beat: Beat{
			Host:        h.cfg.Host,
			Domain:      h.cfg.Domain,
			Boot:        h.cfg.Boot,
			Address:     h.cfg.Address,
			Version:     h.version,
			Holds:       h.seat == engine.SeatHeld,
			Expired:     h.seat == engine.SeatExpired,
			Seat:        h.seatNumber,
			Leaving:     h.leaving,
			PeersDigest: h.peersDigest,
		},
	})
}

func (h *Holder) onAnswer(now ident.Instant, e Answered) {
	if !e.Answer.Accepted {
		h.nextControl()
		if e.Leader != "" && e.Leader != h.control {
			h.control = e.Leader
		}
		h.nextBeatAt = now.Add(redirectDelay)
		return
	}
	if h.leaving || now.Sub(h.sentAt) > AnswerTimeout {
		return
	}
	switch a := e.Answer; {
	case a.Granted && (h.seats == 0 || a.Seat < h.seats):
		h.leaseEnd = h.sentAt.Add(min(a.Lease, Lease))
		h.setSeat(engine.SeatHeld, a.Seat)
	case !a.Undecided:
		h.setSeat(engine.SeatNone, 0)
	}
	if e.Answer.PeersDigest != h.peersDigest {
		h.peersDigest = e.Answer.PeersDigest
		h.emit(PeersChanged{Peers: e.Answer.Peers})
	}
}

// nextControl selects the next control host of the settings.
func (h *Holder) nextControl() {
	h.controlIndex = (h.controlIndex + 1) % len(h.cfg.Controls)
	h.control = h.cfg.Controls[h.controlIndex]
}

func (h *Holder) setSeat(seat engine.Seat, number int) {
	if h.seat == seat && h.seatNumber == number {
		return
	}
	h.seat, h.seatNumber = seat, number
	h.emit(SeatChanged{
		Seat:   seat,
		Number: number,
	})
}

func (h *Holder) scheduleWake(now ident.Instant) {
	at := h.nextBeatAt
	if h.inFlight {
		at = h.sentAt.Add(AnswerTimeout)
	}
	if h.seat == engine.SeatHeld {
		at = min(at, h.leaseEnd)
	}
	h.emit(WakeHolder{At: max(at, now.Add(time.Millisecond))})
}
