package limit

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Pace spaces out the admissions of one of the lesser classes while upstreams
// answer slower than without load. A concurrency limit of 1 per upstream is
// not enough for that: 20 hosts with one request each overload 2 slots. The
// rate rises by steps and falls by factors, so that hosts that share upstreams
// come to equal rates.
type Pace struct {
	rank     int
	guarded  float64 // slowdown to keep while more important classes are served
	sum      float64 // of slowdowns since the last adjustment
	answers  float64 // since the last adjustment
	gap      float64 // mean time between admissions of all classes, ns
	rate     float64 // paced admissions per ns; 0 is no bound
	next     ident.Instant
	last     ident.Instant // last admission of any class
	guard    ident.Instant // last admission of a more important class
	adjusted ident.Instant
}

// NewPace returns a pace for the class with the given rank, from 1 for the
// class after the foremost one. It spaces out nothing at first.
func NewPace(rank int) *Pace {
	p := &Pace{
		rank:    rank,
		guarded: slowdownThird,
	}
	if rank == 1 {
		p.guarded = slowdownSecond
	}
	return p
}

// Slowdown returns the ratio of a latency to the latency without load.
func (a *Adaptive) Slowdown(latency time.Duration) float64 {
	if a.long == 0 {
		return 1
	}
	return min(float64(latency)/a.long, SlowdownMost)
}

// Observe notes the slowdown of one answer. run is the usual time from the
// admission to the answer of a query.
func (p *Pace) Observe(now ident.Instant, slowdown float64, run time.Duration) {
	p.sum += slowdown
	p.answers++
	if now.Sub(p.adjusted) < paceEvery || p.answers < paceAnswers {
		return
	}
	run = max(time.Millisecond, run)
	mean := p.sum / p.answers
	p.sum, p.answers, p.adjusted = 0, 0, now
	high := slowdownFree
	if p.guard != 0 && now.Sub(p.guard) < guardTime {
		high = p.guarded
	}
	switch {
	case mean > high:
		if p.rate == 0 {
			p.rate = 1 / max(1, p.gap)
		}
		p.rate = max(p.rate/min(mean/high, paceDown), 1/(sparse*float64(run)))
	case p.rate > 0:
		if mean-1 < calmShare*(high-1) {
			p.rate *= paceCalm
		}
		if p.rate += paceUp / float64(run); p.rate > paceOff/max(1, p.gap) {
			p.rate = 0 // arrivals are far slower than what is allowed
		}
	}
}

// Next returns the earliest time of the next paced admission.
func (p *Pace) Next() ident.Instant { return p.next }

// Admitted notes an admission of a class.
func (p *Pace) Admitted(now ident.Instant, rank int) {
	if p.last != 0 {
		p.gap += intervalShare * (float64(now.Sub(p.last)) - p.gap)
	}
	p.last = now
	switch {
	case rank < p.rank:
		p.guard = now
	case rank > p.rank:
	case p.rate == 0:
		p.next = 0
	default:
		interval := time.Duration(1 / p.rate)
		p.next = max(p.next, now.Add(-interval)).Add(interval)
	}
}

// Sparse reports whether admissions are so far apart, for queries that take
// run, that this host cannot be the cause of a slowdown.
func (p *Pace) Sparse(run time.Duration) bool { return p.gap > sparse*float64(run) }
