// Package pace decides how fast the calls to an upstream grow after it has started
// or recovered. It answers two loads: many hosts that all find a returning upstream
// idle and send at once, which fills its queue so that it sheds, and a few hosts that
// avoid it for seconds after its last failure while its peers carry its calls. A Window
// has no clock and does no I/O; it is not safe for concurrent use.
package pace

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// leastWindow is the smallest window: one call each 8 usual latencies. With 100
	// hosts and 2 slots, an equal part of the slots would be so small that a host with
	// little load learned nothing of the upstream.
	leastWindow = 1.0 / 8

	// onPar is the multiple of the expected latency up to which an answer counts as
	// fast as those of the other upstreams, and tooSlow that above which it shows an
	// upstream with too many calls.
	onPar   = 1.5
	tooSlow = 3.0

	// decrease is the factor by which a rejection or a slow answer reduces a window.
	decrease = 0.5

	// downAfter is the number of failed calls in a row after which an upstream counts
	// as down. A single connection breaks now and then.
	downAfter = 2

	// firstTrial is the time until an upstream that is down is tried again. It doubles
	// with each failed trial up to lastTrial, so that an outage of some seconds costs
	// each host a few calls.
	firstTrial = 500 * time.Millisecond
	lastTrial  = 4 * time.Second
)

// Config describes the upstream of a Window to one host.
type Config struct {
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// Hosts is the number of hosts that call it.
	Hosts int
	// Spread, from 0 to 1, sets when this host tries an upstream that is down, so that
	// hosts do not all try at once.
	Spread float64
}

// Answer is what a successful call shows of an upstream.
type Answer struct {
	// Ratio is the latency as a multiple of what was expected.
	Ratio float64
	// Crowded is set if the upstream reports more waiting calls than slots.
	Crowded bool
}

type phase uint8

const (
	// open windows allow any number of calls.
	open phase = iota
	// ramping windows grow with the answers.
	ramping
	// down windows allow one call from time to time.
	down
)

// Window limits the calls of one host that are in flight to one upstream. The zero
// value is open.
type Window struct {
	phase phase
	size  float64
	slots float64
	// shrunk is set once the window was reduced, after which it grows more slowly.
	shrunk   bool
	failures int
	// nextAt is when the next call may be sent if the window is below 1, or if the
	// upstream is down.
	nextAt ident.Instant
	pause  time.Duration
}

// Start begins with an equal part of the upstream's slots, as for one that has just
// started.
func (w *Window) Start(c Config) {
	*w = Window{
		phase: ramping,
		size:  max(leastWindow, float64(c.Slots)/float64(max(1, c.Hosts))),
		slots: float64(max(1, c.Slots)),
	}
	w.settle()
}

// settle opens the window once it holds all slots.
func (w *Window) settle() {
	if w.size >= w.slots {
		*w = Window{}
	}
}

// Open reports whether the window does not limit calls.
func (w *Window) Open() bool { return w.phase == open }

// Down reports whether the upstream has failed and no call has succeeded since.
func (w *Window) Down() bool { return w.phase == down }

// Ready reports whether a call may be sent while inFlight others are.
func (w *Window) Ready(now ident.Instant, inFlight int) bool {
	switch w.phase {
	case open:
		return true
	case down:
		return inFlight == 0 && now >= w.nextAt
	case ramping:
	}
	if w.size < 1 {
		return inFlight == 0 && now >= w.nextAt
	}
	return float64(inFlight+1) <= w.size
}

// Sent records a call that is expected to take the usual latency.
func (w *Window) Sent(now ident.Instant, usual time.Duration) {
	switch {
	case w.phase == down:
		w.nextAt = now.Add(w.pause)
	case w.phase == ramping && w.size < 1:
		w.nextAt = now.Add(time.Duration(float64(usual) / w.size))
	}
}

// Succeeded records a successful call. It reports whether the upstream has recovered.
func (w *Window) Succeeded(c Config, a Answer) (recovered bool) {
	w.failures = 0
	switch {
	case w.phase == down:
		w.Start(c)
		return true
	case w.phase == open:
	case a.Ratio > tooSlow || a.Crowded:
		w.reduce()
	case a.Ratio <= onPar && w.size < 1:
		w.size = min(1, 2*w.size)
	case a.Ratio <= onPar && w.shrunk:
		w.size += 1 / w.size
	case a.Ratio <= onPar:
		w.size++
	}
	w.settle()
	return false
}

// Rejected records a call that the upstream has shed.
func (w *Window) Rejected(c Config) {
	switch w.phase {
	case down:
	case open:
		w.phase, w.slots, w.size = ramping, float64(max(1, c.Slots)), float64(max(1, c.Slots))
		w.reduce()
	case ramping:
		w.reduce()
	}
}

func (w *Window) reduce() {
	w.size, w.shrunk = max(leastWindow, decrease*w.size), true
}

// Failed records a call that failed otherwise. It reports whether the upstream counts
// as down from now on.
func (w *Window) Failed(now ident.Instant, c Config) (isDown bool) {
	w.failures++
	if w.phase != down && w.failures < downAfter {
		return false
	}
	isDown = w.phase != down
	pause := firstTrial
	if !isDown {
		pause = min(lastTrial, 2*w.pause)
	}
	w.phase, w.pause = down, pause
	w.nextAt = now.Add(time.Duration((0.5 + c.Spread) * float64(pause)))
	return isDown
}
