package golden

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// clock is virtual time with a queue of functions to call. Functions with equal
// times run in the order in which they were added.
type clock struct {
	now       ident.Instant
	queue     []timer
	scheduled map[wakeKey]bool
}

// wakeKey identifies a wake-up that a reducer has requested.
type wakeKey struct {
	owner string
	at    ident.Instant
}

type timer struct {
	at  ident.Instant
	run func()
}

// after calls run when time has advanced by wait.
func (c *clock) after(wait time.Duration, run func()) {
	at := max(c.now, c.now.Add(wait))
	i, _ := slices.BinarySearchFunc(c.queue, at, func(t timer, at ident.Instant) int {
		if t.at <= at {
			return -1
		}
		return 1
	})
	c.queue = slices.Insert(c.queue, i, timer{
		at:  at,
		run: run,
	})
}

// scheduleWake calls run at a time, once for equal times of one owner.
func (c *clock) scheduleWake(owner string, at ident.Instant, run func()) {
	k := wakeKey{
		owner: owner,
		at:    at,
	}
	if c.scheduled[k] {
		return
	}
	if c.scheduled == nil {
		c.scheduled = make(map[wakeKey]bool)
	}
	c.scheduled[k] = true
	c.after(at.Sub(c.now), func() {
		delete(c.scheduled, k)
		run()
	})
}

// advance moves time forward by span and runs all functions that are due.
func (c *clock) advance(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && c.queue[0].at <= end {
		t := c.queue[0]
		c.queue = c.queue[1:]
		c.now = t.at
		t.run()
	}
	c.now = end
}
