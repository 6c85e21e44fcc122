// Package budget implements a retry budget: it limits the extra calls to a
// service, those beyond the first of each request. The limit holds in every
// window of the configured length, summed over all hosts, without coordination
// between them: each host stays within the ratio of its own requests and its
// share of the slack.
package budget

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// bucketCount is the number of buckets that a window is divided into. The
	// window slides by one bucket at a time.
	bucketCount = 10

	// ratioShare is the fraction of Config.Ratio that may be used. The rest
	// covers requests that fall into an earlier window than their extra calls.
	ratioShare = 0.85

	// slackShare is the fraction of Config.Slack that may be used. The rest
	// covers hosts that an isolated failure domain does not see: with fewer
	// known hosts, each takes a larger share of the slack.
	slackShare = 0.5
)

// Config is the limit for one service. In each window, all hosts together send
// at most Ratio extra calls per request plus Slack.
type Config struct {
	// Ratio is the number of extra calls allowed per request.
	Ratio float64
	// Slack is the number of extra calls allowed per window regardless of the
	// number of requests, over all hosts.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// minWindow is the shortest window: a bucket for each millisecond.
const minWindow = bucketCount * time.Millisecond

// maxRatio and maxSlack bound what may be configured, so that no sum overflows.
const (
	maxRatio = 100
	maxSlack = 1_000_000
)

// Check returns an error that names the remedy if no window can be kept under the
// settings.
func (c Config) Check() error {
	switch {
	case math.IsNaN(c.Ratio) || c.Ratio < 0 || c.Ratio > maxRatio:
		return errors.Errorf("ratio of extra calls is %v: use 0 to %d", c.Ratio, maxRatio)
	case math.IsNaN(c.Slack) || c.Slack < 0 || c.Slack > maxSlack:
		return errors.Errorf("slack of extra calls is %v: use 0 to %d", c.Slack, maxSlack)
	case c.Window < minWindow:
		return errors.Errorf("window of extra calls is %s: use %s or more", c.Window, minWindow)
	}
	return nil
}

// Window counts the requests and extra calls of one service on one host. It is
// not safe for concurrent use.
type Window struct {
	cfg      Config
	requests [bucketCount]float64
	// extras has one more bucket, so that a window that starts in the middle of
	// a bucket is covered completely.
	extras [bucketCount + 1]float64
	// current is the number of the newest bucket, counted from instant zero.
	current int64
}

// NewWindow returns an empty window.
func NewWindow(cfg Config) *Window { return &Window{cfg: cfg} }

// advance makes the bucket of now the current one and clears the buckets that
// are reused.
func (w *Window) advance(now ident.Instant) {
	width := w.cfg.Window / bucketCount
	bucket := int64(now) / int64(width)
	if bucket-w.current > bucketCount+1 {
		w.requests, w.extras = [bucketCount]float64{}, [bucketCount + 1]float64{}
		w.current = bucket
	}
	for ; w.current < bucket; w.current++ {
		w.requests[(w.current+1)%bucketCount] = 0
		w.extras[(w.current+1)%(bucketCount+1)] = 0
	}
}

// CountRequest counts one request for the service.
func (w *Window) CountRequest(now ident.Instant) {
	w.advance(now)
	w.requests[w.current%bucketCount]++
}

// Remaining returns how many extra calls may be sent now by a host with a share
// of the slack; the shares of all hosts add up to 1. The result is negative if
// the limit has shrunk since the counted calls were sent.
func (w *Window) Remaining(now ident.Instant, share float64) float64 {
	w.advance(now)
	requests, extras := 0.0, 0.0
	for _, n := range w.requests {
		requests += n
	}
	for _, n := range w.extras {
		extras += n
	}
	return requests*w.cfg.Ratio*ratioShare + w.cfg.Slack*slackShare*share - extras
}

// Take counts one extra call if the budget allows it, and reports whether it
// does.
func (w *Window) Take(now ident.Instant, share float64) bool {
	if w.Remaining(now, share) < 1 {
		return false
	}
	w.extras[w.current%(bucketCount+1)]++
	return true
}
