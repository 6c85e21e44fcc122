// Package limit bounds what an entry host asks of upstreams: an adaptive
// concurrency limit per upstream, token buckets that pay for extra attempts,
// and queues in which queries wait by class before anything is sent.
package limit

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Adaptive is the concurrency limit of one upstream. It rises by one per
// window of answers and falls by a factor when the upstream sheds, times out
// or answers much slower than usual. It stays between 1 and its ceiling.
type Adaptive struct {
	ceiling int
	limit   float64
	short   float64 // mean latency, ns
	steady  float64 // mean latency over more answers, ns
	long    float64 // mean latency without load, ns
	sampled ident.Instant
	shrunk  ident.Instant
}

// NewAdaptive returns a limit that starts at its ceiling.
func NewAdaptive(ceiling int) *Adaptive {
	a := &Adaptive{ceiling: max(1, ceiling)}
	a.limit = float64(a.ceiling)
	return a
}

// SetCeiling changes the ceiling, for example to a new connection share.
func (a *Adaptive) SetCeiling(ceiling int) {
	a.ceiling = max(1, ceiling)
	a.limit = min(a.limit, float64(a.ceiling))
}

// Limit returns the number of requests that may be outstanding at once.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Ceiling returns the upper bound of the limit.
func (a *Adaptive) Ceiling() int { return a.ceiling }

// Answered notes an answer. The limit only rises while it is in use.
func (a *Adaptive) Answered(now ident.Instant, latency time.Duration, outstanding int) {
	l := float64(latency)
	if a.long == 0 {
		a.short, a.steady, a.long = l, l, l
	}
	l = min(l, outlier*a.short)
	a.short += shortShare * (l - a.short)
	a.steady += steadyShare * (l - a.steady)
	if a.steady < a.long {
		a.long += fallShare * (a.steady - a.long)
	} else {
		gap := min(now.Sub(a.sampled), riseMost)
		a.long += float64(gap) / float64(riseTime) * (a.steady - a.long)
	}
	a.sampled = now
	if a.short > growth*a.long {
		a.Overloaded(now)
		return
	}
	if float64(outstanding+1) >= math.Floor(a.limit) {
		a.limit = min(float64(a.ceiling), a.limit+1/a.limit)
	}
}

// Overloaded notes that the upstream shed a request or did not answer in time.
func (a *Adaptive) Overloaded(now ident.Instant) {
	if a.shrunk != 0 && now.Sub(a.shrunk) < shrinkPause {
		return
	}
	a.shrunk = now
	a.limit = max(1, a.limit*shrink)
}
