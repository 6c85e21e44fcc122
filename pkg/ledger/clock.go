package ledger

import "github.com/jujubethread/jujubethread/pkg/ident"

// Clock produces the stamps that a control leader proposes: the highest stamp
// in the replicated state when it became leader, plus the time since then on
// its monotonic clock. Stamps therefore never advance faster than real time.
// With stamps from the wall clock, a new leader whose wall clock is ahead could
// turn a fresh reservation into Unknown while its host may still send the
// filing. Time without a leader is not counted, so ages can only be too small.
type Clock struct {
	base Stamp
	// start is the time at which the clock showed base.
	start ident.Instant
}

// NewClock returns the clock of a host that becomes leader at now. The highest
// stamp must be read from the state machine after all log entries of earlier
// terms were applied. The wall time is only used in a new group, whose highest
// stamp is zero.
func NewClock(now ident.Instant, highest, wall Stamp) Clock {
	if highest == 0 {
		highest = wall
	}
	return Clock{
		base:  highest,
		start: now,
	}
}

// At returns the stamp for the time now. It is never below the first stamp.
func (c Clock) At(now ident.Instant) Stamp {
	return c.base + Stamp(max(now.Sub(c.start), 0))
}

// Stamped returns a copy of cmd whose At is set to at.
func Stamped(cmd Command, at Stamp) Command {
	switch c := cmd.(type) {
	case Reserve:
		c.At = at
		return c
	case Complete:
		c.At = at
		return c
	case Release:
		c.At = at
		return c
	case Expire:
		c.At = at
		return c
	case Resolve:
		c.At = at
		return c
	default:
		return cmd
	}
}
