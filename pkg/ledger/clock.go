package ledger

import "github.com/jujubethread/jujubethread/pkg/ident"

// Clock makes the stamps that a control leader proposes. It goes on from the
// highest stamp in the replicated state by the leader's own monotonic time, so
// stamps never run faster than real time: a new leader whose wall clock is
// ahead cannot turn a fresh reservation into Unknown while its host may still
// send. Time without a leader is not counted, which only makes ages smaller.
type Clock struct {
	base  Stamp
	since ident.Instant
}

// NewClock returns a clock for a leader that takes office at now. The highest
// stamp is read after every earlier log entry was applied; wall is only used
// for the first leader of a new group, whose highest stamp is zero.
func NewClock(now ident.Instant, highest, wall Stamp) Clock {
	if highest == 0 {
		highest = wall
	}
	return Clock{
		base:  highest,
		since: now,
	}
}

// At returns the stamp for the time now.
func (c Clock) At(now ident.Instant) Stamp {
	return c.base + Stamp(max(now.Sub(c.since), 0))
}

// Stamped returns a copy of cmd with its At set.
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
