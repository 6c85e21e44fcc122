// Package limit bounds the load that an entry host puts on upstreams: an
// adaptive concurrency limit per upstream, token buckets that bound extra
// attempts, admission queues by class, and pacing of the less important
// classes under overload.
package limit

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Adaptive is the concurrency limit of one upstream. It increases additively,
// by one per window of answers, and decreases by a factor when the upstream
// sheds, times out or answers much slower than its baseline. It stays between 1
// and its ceiling.
type Adaptive struct {
	ceiling    int
	limit      float64
	shortMean  float64 // EWMA of latency, ns
	steadyMean float64 // slower EWMA of latency, ns
	baseline   float64 // estimated latency without load, ns; 0 before the first answer
	lastSample ident.Instant
	lastShrink ident.Instant
}

// NewAdaptive returns a limit that starts at its ceiling.
func NewAdaptive(ceiling int) *Adaptive {
	a := &Adaptive{ceiling: max(1, ceiling)}
	a.limit = float64(a.ceiling)
	return a
}

// SetCeiling changes the ceiling, for example when the number of connections
// that the host may open to the upstream changes.
func (a *Adaptive) SetCeiling(ceiling int) {
	a.ceiling = max(1, ceiling)
	a.limit = min(a.limit, float64(a.ceiling))
}

// Limit returns the number of requests that may be in flight at once.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Ceiling returns the upper bound of the limit.
func (a *Adaptive) Ceiling() int { return a.ceiling }

// Answered records the latency of an answer; inFlight is the number of requests
// still in flight. The limit rises only while it is fully used.
func (a *Adaptive) Answered(now ident.Instant, latency time.Duration, inFlight int) {
	l := float64(latency)
	if a.baseline == 0 {
		a.shortMean, a.steadyMean, a.baseline = l, l, l
	}
	l = min(l, outlierFactor*a.shortMean)
	a.shortMean += shortWeight * (l - a.shortMean)
	a.steadyMean += steadyWeight * (l - a.steadyMean)
	if a.steadyMean < a.baseline {
		a.baseline += fallWeight * (a.steadyMean - a.baseline)
	} else {
		gap := min(now.Sub(a.lastSample), maxRiseGap)
		a.baseline += float64(gap) / float64(riseTime) * (a.steadyMean - a.baseline)
	}
	a.lastSample = now
	if a.shortMean > overloadRatio*a.baseline {
		a.Overloaded(now)
		return
	}
	if float64(inFlight+1) >= math.Floor(a.limit) {
		a.limit = min(float64(a.ceiling), a.limit+1/a.limit)
	}
}

// Overloaded records that the upstream shed a request or timed out, and lowers
// the limit.
func (a *Adaptive) Overloaded(now ident.Instant) {
	if a.lastShrink != 0 && now.Sub(a.lastShrink) < shrinkInterval {
		return
	}
	a.lastShrink = now
	a.limit = max(1, a.limit*shrinkFactor)
}
