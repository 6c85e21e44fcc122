package follow

import (
	"cmp"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Copy tracks the age of a held copy of a versioned state: the time since the
// held version was known to be the newest one. Only the owner of the state can
// tell; its word travels with the state, less the time that it took.
type Copy[V cmp.Ordered] struct {
	held        V
	confirmed   bool
	confirmedAt ident.Instant
	// A confirmation of a later version than held waits for that version.
	awaited   bool
	awaitedAt ident.Instant
	awaitedV  V
}

// Hold records that version v is held. An older version than the held one is
// ignored.
func (c *Copy[V]) Hold(v V) {
	c.held = max(c.held, v)
	if c.awaited && c.awaitedV <= c.held {
		c.awaited = false
		c.confirm(c.awaitedAt)
	}
}

// Confirm records that v was the newest version at the given time.
func (c *Copy[V]) Confirm(v V, at ident.Instant) {
	switch {
	case v <= c.held:
		c.confirm(at)
	case !c.awaited || c.awaitedAt < at:
		c.awaited, c.awaitedV, c.awaitedAt = true, v, at
	}
}

func (c *Copy[V]) confirm(at ident.Instant) {
	if !c.confirmed || c.confirmedAt < at {
		c.confirmed, c.confirmedAt = true, at
	}
}

// Age returns the time since the held version was known to be the newest. It is
// false if that was never known.
func (c *Copy[V]) Age(now ident.Instant) (time.Duration, bool) {
	return now.Sub(c.confirmedAt), c.confirmed
}

// Stale reports whether the copy is older than StaleAge.
func (c *Copy[V]) Stale(now ident.Instant) bool {
	age, known := c.Age(now)
	return !known || age > StaleAge
}
