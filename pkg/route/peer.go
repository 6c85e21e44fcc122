// Package route chooses the upstream for an attempt. The choice rests on what
// the host itself measured: latency, outstanding requests and outcomes.
// Reported load lags and misleads, so it only breaks ties.
package route

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Peer is what the host measured of one upstream. The zero value is a warm
// upstream without measurements.
type Peer struct {
	outstanding int
	progress    ident.Instant // last result, or the send that ended idleness
	latency     float64       // mean, ns; 0 is unmeasured
	measured    ident.Instant
	lost        bool // the last health probe failed

	streak  int // failures in a row
	failed  ident.Instant
	ejected ident.Instant // end of the ejection; 0 is none
	level   int           // ejections in a row

	cold ident.Instant // begin of the slow start; 0 is none

	load     int
	loadedAt ident.Instant
	loaded   bool
}

// Outstanding returns the number of requests without a result.
func (p *Peer) Outstanding() int { return p.outstanding }

// Sent notes a new request.
func (p *Peer) Sent(now ident.Instant) {
	if p.outstanding == 0 {
		p.progress = now
	}
	p.outstanding++
}

// Released notes the end of a request, before its outcome is noted.
func (p *Peer) Released() { p.outstanding-- }

// Answered notes a good answer.
func (p *Peer) Answered(now ident.Instant, latency time.Duration) {
	p.measure(now, latency)
	p.progress = now
	p.streak = 0
	p.lost = false
	if p.Ejected(now) {
		p.ejected = now
	}
}

// Outrun notes that a request was cancelled after the given time because
// another upstream answered first. Repeated, it counts like a failure.
func (p *Peer) Outrun(now ident.Instant, elapsed time.Duration) {
	if float64(elapsed) > p.Latency(now) {
		p.measure(now, elapsed)
	}
	p.fail(now, false)
}

// Failed notes a request without a good answer.
func (p *Peer) Failed(now ident.Instant) { p.fail(now, true) }

// Unreachable notes a failed health probe.
func (p *Peer) Unreachable(now ident.Instant) {
	p.lost = true
	p.fail(now, true)
}

// Shed notes that the upstream refused a request because of load. It makes
// the upstream less attractive but does not eject it.
func (p *Peer) Shed(now ident.Instant) {
	p.streak = min(p.streak+1, ejectAfter-1)
	p.failed = now
	p.progress = now
}

// Cold begins the slow start.
func (p *Peer) Cold(now ident.Instant) { p.cold = max(1, now) }

// Reported notes a load the upstream reported.
func (p *Peer) Reported(now ident.Instant, load int) {
	p.load, p.loadedAt, p.loaded = load, now, true
}

// Ejected reports whether the upstream is ejected.
func (p *Peer) Ejected(now ident.Instant) bool { return now < p.ejected }

// Until returns the end of the ejection, zero if there was none.
func (p *Peer) Until() ident.Instant { return p.ejected }

// Reachable notes a health report. After failed probes it ends an ejection
// with a slow start; otherwise it changes nothing, since an upstream can
// report well and still fail.
func (p *Peer) Reachable(now ident.Instant) {
	if !p.lost {
		return
	}
	p.lost = false
	p.streak = 0
	if p.Ejected(now) {
		p.ejected = now
	}
	p.Cold(now)
}

// Bad reports whether the upstream is to be avoided: it is ejected, its last
// probe failed, or its requests hang.
func (p *Peer) Bad(now ident.Instant) bool {
	return p.lost || p.Ejected(now) || p.hangs(now)
}

// hangs reports whether requests have been out far longer than usual without
// any result. It finds a silent upstream before the first timeout.
func (p *Peer) hangs(now ident.Instant) bool {
	if p.outstanding == 0 {
		return false
	}
	silent := now.Sub(p.progress)
	return silent > hangLeast && float64(silent) > hangFactor*p.latency
}

// Failing reports whether the latest outcomes were failures.
func (p *Peer) Failing(now ident.Instant) bool {
	return p.streak > 0 && now.Sub(p.failed) < failWindow
}

// Latency returns the estimated latency in nanoseconds, zero if unmeasured.
func (p *Peer) Latency(now ident.Instant) float64 {
	idle := now.Sub(p.measured)
	if p.latency == 0 || idle < latencyHalfLife/64 {
		return p.latency
	}
	return p.latency * math.Exp2(-float64(idle)/float64(latencyHalfLife))
}

func (p *Peer) measure(now ident.Instant, latency time.Duration) {
	l := float64(max(1, latency))
	if p.latency == 0 {
		p.latency = l
	}
	p.latency += latencyShare * (l - p.latency)
	p.measured = now
}

func (p *Peer) fail(now ident.Instant, hard bool) {
	if now.Sub(p.failed) >= failWindow {
		p.streak = 0
	}
	p.streak++
	p.failed = now
	p.progress = now
	if p.streak < ejectAfter || p.Ejected(now) {
		return
	}
	if p.ejected == 0 || now.Sub(p.ejected) > calmAfter {
		p.level = 0
	}
	if !hard {
		p.level = min(p.level, 1) // slow but alive: never out for long
	}
	p.ejected = now.Add(min(ejectFirst<<p.level, ejectMost))
	p.level = min(p.level+1, 10)
	p.cold = p.ejected
}

// warmth returns the share of requests a peer may get, from warmLeast to 1.
func (p *Peer) warmth(now ident.Instant) float64 {
	if p.cold == 0 {
		return 1
	}
	w := float64(now.Sub(p.cold)) / float64(warmUp)
	if w >= 1 {
		p.cold = 0
		return 1
	}
	return max(warmLeast, w)
}
