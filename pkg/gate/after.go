package gate

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// minAfter and maxAfter bound the time that refused callers are told to wait.
	// Callers that wait longer would miss the targets of all routes.
	minAfter = 50 * time.Millisecond
	maxAfter = time.Second

	// afterSpread is the part of that time that is random, so that callers that were
	// refused together do not come back together.
	afterSpread = 0.3

	// rateTime is the time over which the rate of served work is averaged.
	rateTime = time.Second
)

// Schedule tells refused callers when to come back: as if each of them were served in
// turn, at a share of the rate at which others are served now.
type Schedule struct {
	share float64
	// rate is the served cost per second.
	rate   float64
	rateAt ident.Instant
	// nextSlot is when all callers that were refused so far have come back and were
	// served.
	nextSlot ident.Instant
}

// NewSchedule returns a Schedule that plans with a share of the served rate.
func NewSchedule(share float64) *Schedule { return &Schedule{share: share} }

// Served records served work.
func (s *Schedule) Served(now ident.Instant, cost float64) {
	s.rate *= math.Exp(-now.Sub(s.rateAt).Seconds() / rateTime.Seconds())
	s.rate += cost / rateTime.Seconds()
	s.rateAt = now
}

// After returns how long a refused caller should wait. draw is random, from 0 to 1.
func (s *Schedule) After(now ident.Instant, cost, draw float64) time.Duration {
	s.Served(now, 0)
	after := minAfter
	if s.rate > 0 {
		turn := min(maxAfter, time.Duration(min(1e9, cost/(s.share*s.rate))*float64(time.Second)))
		s.nextSlot = min(max(s.nextSlot, now).Add(turn), now.Add(maxAfter))
		after = max(after, s.nextSlot.Sub(now))
	}
	return max(minAfter, time.Duration((1-afterSpread*draw)*float64(after)))
}
