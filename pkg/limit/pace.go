package limit

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Pace limits the admission rate of one class other than the most important
// one while upstreams answer slower than without load. A concurrency limit of 1
// per upstream does not suffice: 20 hosts with one request each overload 2
// slots. The rate increases additively and decreases multiplicatively, so that
// hosts that share upstreams converge to equal rates.
type Pace struct {
	rank            int
	guardedSlowdown float64 // allowed slowdown while more important classes are served
	slowdownSum     float64 // since the last adjustment
	answers         float64 // since the last adjustment
	meanGap         float64 // EWMA of the time between admissions of all classes, ns
	rate            float64 // allowed admissions per ns; 0 is unlimited
	nextAdmission   ident.Instant
	lastAdmission   ident.Instant // of any class
	lastImportant   ident.Instant // last admission of a more important class
	lastAdjust      ident.Instant
}

// NewPace returns a Pace for the class with the given rank; rank 1 follows the
// most important class, which is not paced. Its rate is unlimited at first.
func NewPace(rank int) *Pace {
	p := &Pace{
		rank:            rank,
		guardedSlowdown: slowdownRank2,
	}
	if rank == 1 {
		p.guardedSlowdown = slowdownRank1
	}
	return p
}

// Slowdown returns the ratio of a latency to the baseline, at most MaxSlowdown.
// It is 1 before the first answer.
func (a *Adaptive) Slowdown(latency time.Duration) float64 {
	if a.baseline == 0 {
		return 1
	}
	return min(float64(latency)/a.baseline, MaxSlowdown)
}

// Observe records the slowdown of one answer and adjusts the rate when due.
// runTime is the usual time from the admission of a query to its answer.
func (p *Pace) Observe(now ident.Instant, slowdown float64, runTime time.Duration) {
	p.slowdownSum += slowdown
	p.answers++
	if now.Sub(p.lastAdjust) < adjustInterval || p.answers < minAdjustAnswers {
		return
	}
	runTime = max(time.Millisecond, runTime)
	mean := p.slowdownSum / p.answers
	p.slowdownSum, p.answers, p.lastAdjust = 0, 0, now
	allowed := slowdownUnguarded
	if p.lastImportant != 0 && now.Sub(p.lastImportant) < guardPeriod {
		allowed = p.guardedSlowdown
	}
	switch {
	case mean > allowed:
		if p.rate == 0 {
			p.rate = 1 / max(1, p.meanGap)
		}
		p.rate = max(p.rate/min(mean/allowed, maxRateCut), 1/(sparseRuns*float64(runTime)))
	case p.rate > 0:
		if mean-1 < calmFraction*(allowed-1) {
			p.rate *= calmFactor
		}
		if p.rate += rateStep / float64(runTime); p.rate > unpacedRatio/max(1, p.meanGap) {
			p.rate = 0 // queries arrive far below the allowed rate
		}
	}
}

// Next returns the earliest time at which a query of the class may be admitted.
func (p *Pace) Next() ident.Instant { return p.nextAdmission }

// Admitted records the admission of a query of the class with the given rank.
func (p *Pace) Admitted(now ident.Instant, rank int) {
	if p.lastAdmission != 0 {
		p.meanGap += gapWeight * (float64(now.Sub(p.lastAdmission)) - p.meanGap)
	}
	p.lastAdmission = now
	switch {
	case rank < p.rank:
		p.lastImportant = now
	case rank > p.rank:
	case p.rate == 0:
		p.nextAdmission = 0
	default:
		interval := time.Duration(1 / p.rate)
		p.nextAdmission = max(p.nextAdmission, now.Add(-interval)).Add(interval)
	}
}

// Sparse reports whether admissions are so far apart, for queries that take
// runTime, that this host cannot be the cause of a slowdown. Such a host is not
// paced.
func (p *Pace) Sparse(runTime time.Duration) bool { return p.meanGap > sparseRuns*float64(runTime) }
