package evac

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// ageTolerance allows for the rounding of the ages that hosts send each other, and for
// clocks that run at different speeds.
const ageTolerance = 100 * time.Millisecond

// Answer is what a control host says of the evacuated domains.
type Answer struct {
	// Revision is that of the set that the control host has. Set is that set; it may be
	// absent if its revision is not higher than the one that the poll stated.
	Revision Revision
	Set      *Set
	// Confirmed is set if Revision was known to be the newest at ConfirmedAt, on the
	// clock of the host that polls.
	Confirmed   bool
	ConfirmedAt ident.Instant
}

// Copy is the set that a host has got from others, and its age. The set with the highest
// revision counts. A revision that turns out not to be of the present log, since a
// release counted it another way or the group was made anew, is given up: no member can
// confirm a lower one after the host had it.
type Copy struct {
	set Set
	// since is when the host got the set.
	since ident.Instant
	age   follow.Copy[Revision]
	// refuted is set if the last answer has shown that the revision is not of the
	// present log, without the set that is to replace it.
	refuted bool
}

// Set returns the set that the host follows.
func (c *Copy) Set() Set { return c.set }

// StatedRevision returns the revision for the next poll. It is 0, so that the answer has
// the set whatever its revision, if the last answer refuted that of the host.
func (c *Copy) StatedRevision() Revision {
	if c.refuted {
		return 0
	}
	return c.set.Revision
}

// Take replaces the set by one of a higher revision and reports whether it did.
func (c *Copy) Take(now ident.Instant, s Set) (changed bool) {
	if s.Revision <= c.set.Revision {
		return false
	}
	c.set, c.since, c.refuted = s, now, false
	c.age.Hold(s.Revision)
	return true
}

// Update takes an answer and reports whether the set changed.
func (c *Copy) Update(now ident.Instant, a Answer) (changed bool) {
	c.refuted = false
	if a.Set != nil {
		changed = c.Take(now, *a.Set)
	}
	switch {
	case !a.Confirmed:
		return changed
	case a.Revision >= c.set.Revision || a.ConfirmedAt <= c.since.Add(ageTolerance):
		c.age.Confirm(a.Revision, a.ConfirmedAt)
		return changed
	case a.Set == nil && a.Revision > 0:
		c.refuted = true
		return false
	}
	*c = Copy{since: now}
	if a.Set != nil {
		c.set = *a.Set
	}
	c.age.Hold(c.set.Revision)
	c.age.Confirm(a.Revision, a.ConfirmedAt)
	return true
}

// Age returns the time since the set was known to be the newest, or false if it never
// was.
func (c *Copy) Age(now ident.Instant) (time.Duration, bool) { return c.age.Age(now) }

// Stale reports whether the set is older than hosts accept.
func (c *Copy) Stale(now ident.Instant) bool { return c.age.Stale(now) }
