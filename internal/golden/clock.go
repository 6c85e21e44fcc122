package golden

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// clock is virtual time with functions to call; equal times keep their order.
type clock struct {
	now   ident.Instant
	queue []timer
	woken map[wake]bool
}

// wake is a wake-up that an owner has asked for.
type wake struct {
	owner string
	at    ident.Instant
}

type timer struct {
	at  ident.Instant
	run func()
}

// after calls run when wait has passed.
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

// wake calls run at a time, once for equal times of one owner.
func (c *clock) wake(owner string, at ident.Instant, run func()) {
	k := wake{
		owner: owner,
		at:    at,
	}
	if c.woken[k] {
		return
	}
	if c.woken == nil {
		c.woken = make(map[wake]bool)
	}
	c.woken[k] = true
	c.after(at.Sub(c.now), func() {
		delete(c.woken, k)
		run()
	})
}

// pass lets time go by.
func (c *clock) pass(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && c.queue[0].at <= end {
		t := c.queue[0]
		c.queue = c.queue[1:]
		c.now = t.at
		t.run()
	}
	c.now = end
}
