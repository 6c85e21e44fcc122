package limit

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Pace spaces out the admissions of the less important classes while upstreams
// answer slower than without load. A concurrency limit of 1 per upstream is
// not enough for that: 20 hosts with one request each overload 2 slots.
// The zero value does not space out anything.
type Pace struct {
	sum      float64 // of slowdowns since the last adjustment
	answers  float64 // since the last adjustment
	gap      float64 // mean time between admissions, ns
	interval float64 // least time between paced admissions, ns; 0 is none
	next     ident.Instant
	last     ident.Instant // last admission
	adjusted ident.Instant
}

// Slowdown returns the ratio of a latency to the latency without load.
func (a *Adaptive) Slowdown(latency time.Duration) float64 {
	if a.long == 0 {
		return 1
	}
	return min(float64(latency)/a.long, slowdownMost)
}

// Shed notes that an upstream refused a request because of load.
func (p *Pace) Shed(now ident.Instant) { p.Observe(now, slowdownMost) }

// Observe notes the slowdown of one answer.
func (p *Pace) Observe(now ident.Instant, slowdown float64) {
	p.sum += slowdown
	p.answers++
	if now.Sub(p.adjusted) < paceEvery || p.answers < paceAnswers {
		return
	}
	mean := p.sum / p.answers
	p.sum, p.answers, p.adjusted = 0, 0, now
	switch {
	case mean > slowdownHigh:
		if p.interval == 0 {
			p.interval = p.gap
		}
		p.interval = min(p.interval*min(mean/slowdownHigh, paceUp), paceMost*p.gap)
	case mean < slowdownLow && p.interval > 0:
		if p.interval *= paceDown; p.interval < p.gap/paceOff {
			p.interval = 0 // arrivals are far slower than what is allowed
		}
	}
}

// Sparse reports whether admissions are so far apart, for queries that take
// run, that this host cannot be the cause of a slowdown.
func (p *Pace) Sparse(run time.Duration) bool { return p.gap > sparse*float64(run) }

// Next returns the earliest time of the next paced admission.
func (p *Pace) Next() ident.Instant { return p.next }

// Admitted notes an admission of any class.
func (p *Pace) Admitted(now ident.Instant) {
	if p.last != 0 {
		p.gap += intervalShare * (float64(now.Sub(p.last)) - p.gap)
	}
	p.last = now
	p.next = max(p.next, now.Add(-time.Duration(p.interval))).Add(time.Duration(p.interval))
}
