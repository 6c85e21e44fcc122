// Package budget bounds the calls that are sent beyond the first of each
// request. The bound holds for any window of the given length, summed over
// all hosts, while no host asks another: each keeps to the ratio of its own
// requests and to its part of the slack.
package budget

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// cells is the number of steps in which a window slides.
	cells = 10

	// ratioShare is the part of the ratio that is spent; the rest covers
	// requests that are counted in another window than their extra calls.
	ratioShare = 0.85

	// slackShare is the part of the slack that is spent; the rest covers hosts
	// that a domain cut off from the others does not see.
	slackShare = 0.5
)

// Config holds the bound for one service.
type Config struct {
	// Ratio is the number of extra calls for each request.
	Ratio float64
	// Slack is the number of extra calls besides, over all hosts.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Window counts the requests and extra calls of one service on one host. Use
// it from one goroutine.
type Window struct {
	cfg      Config
	requests [cells]float64
	// extras has one cell more, so that a window that begins within a cell is
	// covered whole.
	extras [cells + 1]float64
	at     int64
}

// NewWindow returns an empty window.
func NewWindow(cfg Config) *Window { return &Window{cfg: cfg} }

// slide moves to the cell of now and clears those that have passed.
func (w *Window) slide(now ident.Instant) {
	step := w.cfg.Window / cells
	cell := int64(now) / int64(step)
	if cell-w.at > cells+1 {
		w.requests, w.extras = [cells]float64{}, [cells + 1]float64{}
		w.at = cell
	}
	for ; w.at < cell; w.at++ {
		w.requests[(w.at+1)%cells] = 0
		w.extras[(w.at+1)%(cells+1)] = 0
	}
}

// Request counts one request for the service.
func (w *Window) Request(now ident.Instant) {
	w.slide(now)
	w.requests[w.at%cells]++
}

// Left returns how many extra calls may be sent now by a host with a share of
// the slack; the shares of all hosts add up to 1.
func (w *Window) Left(now ident.Instant, share float64) float64 {
	w.slide(now)
	requests, extras := 0.0, 0.0
	for _, n := range w.requests {
		requests += n
	}
	for _, n := range w.extras {
		extras += n
	}
	return requests*w.cfg.Ratio*ratioShare + w.cfg.Slack*slackShare*share - extras
}

// Take counts one extra call if it fits, and reports whether it does.
func (w *Window) Take(now ident.Instant, share float64) bool {
	if w.Left(now, share) < 1 {
		return false
	}
	w.extras[w.at%(cells+1)]++
	return true
}
