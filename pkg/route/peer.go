// Package route chooses the upstream for an attempt. The choice depends on the
// host's own measurements: latency, requests in flight and outcomes. Load that
// upstreams report is delayed and can be wrong, so it only breaks ties.
package route

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Peer is the measured state of one upstream: latency, requests in flight,
// ejection and slow start. The zero value is an upstream without measurements
// that is not in slow start.
type Peer struct {
	inFlight     int
	lastProgress ident.Instant // last result, or the first send after idleness
	meanLatency  float64       // EWMA, ns; 0 is unmeasured
	lastMeasured ident.Instant // last change of meanLatency
	probeFailed  bool          // result of the last health probe

	failures     int // consecutive
	lastFailure  ident.Instant
	ejectedUntil ident.Instant // 0 if never ejected
	backoffExp   int           // exponent of the length of the next ejection

	slowStartAt ident.Instant // 0 is no slow start

	reportedLoad int
	reportedAt   ident.Instant
	reported     bool
}

// Outstanding returns the number of requests in flight.
func (p *Peer) Outstanding() int { return p.inFlight }

// Sent records a request that was sent.
func (p *Peer) Sent(now ident.Instant) {
	if p.inFlight == 0 {
		p.lastProgress = now
	}
	p.inFlight++
}

// Released records the end of a request. Call it before the method that records
// the outcome.
func (p *Peer) Released() { p.inFlight-- }

// Answered records a valid answer. It ends an ejection.
func (p *Peer) Answered(now ident.Instant, latency time.Duration) {
	p.observeLatency(now, latency)
	p.lastProgress = now
	p.failures = 0
	p.probeFailed = false
	if p.Ejected(now) {
		p.ejectedUntil = now
	}
}

// Superseded records that a request was cancelled after elapsed because another
// upstream answered first. It counts as a failure, but ejects the upstream for
// 2 s at most.
func (p *Peer) Superseded(now ident.Instant, elapsed time.Duration) {
	if float64(elapsed) > p.Latency(now) {
		p.observeLatency(now, elapsed)
	}
	p.recordFailure(now, false)
}

// Failed records a request without a valid answer.
func (p *Peer) Failed(now ident.Instant) { p.recordFailure(now, true) }

// ProbeFailed records a failed health probe.
func (p *Peer) ProbeFailed(now ident.Instant) {
	p.probeFailed = true
	p.recordFailure(now, true)
}

// Shed records that the upstream rejected a request because of load. It lowers
// the preference for the upstream but does not eject it.
func (p *Peer) Shed(now ident.Instant) {
	p.failures = min(p.failures+1, ejectFailures-1)
	p.lastFailure = now
	p.lastProgress = now
}

// BeginSlowStart starts the slow start.
func (p *Peer) BeginSlowStart(now ident.Instant) { p.slowStartAt = max(1, now) }

// LoadReported records the number of running and waiting requests that the
// upstream reported.
func (p *Peer) LoadReported(now ident.Instant, load int) {
	p.reportedLoad, p.reportedAt, p.reported = load, now, true
}

// Ejected reports whether the upstream is ejected.
func (p *Peer) Ejected(now ident.Instant) bool { return now < p.ejectedUntil }

// EjectedUntil returns the end of the last ejection, zero if there was none.
func (p *Peer) EjectedUntil() ident.Instant { return p.ejectedUntil }

// HealthReported records a health report. After a failed probe it ends an
// ejection and starts a slow start; otherwise it changes nothing, since an
// upstream can report to be healthy and still fail requests.
func (p *Peer) HealthReported(now ident.Instant) {
	if !p.probeFailed {
		return
	}
	p.probeFailed = false
	p.failures = 0
	if p.Ejected(now) {
		p.ejectedUntil = now
	}
	p.BeginSlowStart(now)
}

// Unhealthy reports whether the upstream is unhealthy: it is ejected, its last
// probe failed, or its requests hang.
func (p *Peer) Unhealthy(now ident.Instant) bool {
	return p.probeFailed || p.Ejected(now) || p.hanging(now)
}

// hanging reports whether requests have been in flight far longer than usual
// without any result. It detects an unresponsive upstream before the first
// timeout.
func (p *Peer) hanging(now ident.Instant) bool {
	if p.inFlight == 0 {
		return false
	}
	sinceProgress := now.Sub(p.lastProgress)
	return sinceProgress > minHang && float64(sinceProgress) > hangFactor*p.meanLatency
}

// Failing reports whether the last outcome was a failure or shedding, less than
// failureWindow ago.
func (p *Peer) Failing(now ident.Instant) bool {
	return p.failures > 0 && now.Sub(p.lastFailure) < failureWindow
}

// Latency returns the estimated latency in nanoseconds, zero if unmeasured. The
// estimate decays while there are no new latencies.
func (p *Peer) Latency(now ident.Instant) float64 {
	idle := now.Sub(p.lastMeasured)
	if p.meanLatency == 0 || idle < latencyHalfLife/64 {
		return p.meanLatency
	}
	return p.meanLatency * math.Exp2(-float64(idle)/float64(latencyHalfLife))
}

func (p *Peer) observeLatency(now ident.Instant, latency time.Duration) {
	l := float64(max(1, latency))
	if p.meanLatency == 0 {
		p.meanLatency = l
	}
	p.meanLatency += latencyWeight * (l - p.meanLatency)
	p.lastMeasured = now
}

// recordFailure counts a failure and ejects the upstream after ejectFailures of
// them; slow start follows the ejection. hard is false if the upstream was only
// slower than another one.
func (p *Peer) recordFailure(now ident.Instant, hard bool) {
	if now.Sub(p.lastFailure) >= failureWindow {
		p.failures = 0
	}
	p.failures++
	p.lastFailure = now
	p.lastProgress = now
	if p.failures < ejectFailures || p.Ejected(now) {
		return
	}
	if p.ejectedUntil == 0 || now.Sub(p.ejectedUntil) > ejectionReset {
		p.backoffExp = 0
	}
	if !hard {
		p.backoffExp = min(p.backoffExp, 1) // slow but responsive: at most 2 s
	}
	p.ejectedUntil = now.Add(min(minEjection<<p.backoffExp, maxEjection))
	p.backoffExp = min(p.backoffExp+1, 10)
	p.slowStartAt = p.ejectedUntil
}

// slowStartShare returns the share of requests that a peer may get, from
// minSlowStartShare to 1.
func (p *Peer) slowStartShare(now ident.Instant) float64 {
	if p.slowStartAt == 0 {
		return 1
	}
	share := float64(now.Sub(p.slowStartAt)) / float64(slowStart)
	if share >= 1 {
		p.slowStartAt = 0
		return 1
	}
	return max(minSlowStartShare, share)
}
