// Package hedge decides when a slow attempt is sent to a second upstream: a
// delay learned from recent latencies, a token budget that bounds the extra
// calls, and suppression while most shards are late at once.
package hedge

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/limit"
)

const (
	// floor is the lowest hedge delay. Below it the delay is within the jitter
	// of one network round trip.
	floor = time.Millisecond

	// initial is the delay until enough latencies are known.
	initial = 50 * time.Millisecond

	// minSamples is the number of latencies before an estimate is used, and
	// between two computations of it.
	minSamples = 20

	// ownSamples is the number of latencies before a service's own estimate
	// goes before that of its index. With fewer, a high quantile is about the
	// largest latency: 20 latencies with 1 straggler in 100 gave a delay as long
	// as the straggler in one service of six.
	ownSamples = 200

	// leastQuantile and mostQuantile bound the quantile that is learned.
	leastQuantile = 0.95
	mostQuantile  = 0.995

	// spend is the part of the budget that lateness alone may use up. At the
	// full budget the bucket would be empty half of the time.
	spend = 0.8

	// burst is the number of unused hedges that are kept for later.
	burst = 50
)

// NewBudget returns a budget of percent hedges per 100 first attempts. It
// starts empty, so the bound holds from the first attempt on.
func NewBudget(percent float64) *limit.Bucket { return limit.NewBucket(percent, burst, 0) }

// Delay learns after which time an attempt to one service is late.
type Delay struct {
	latencies quantile
	wanted    float64
	current   time.Duration
	stale     int // samples since current was computed
	index     *Delay
}

// NewDelay returns a delay for a budget of percent hedges per 100 attempts. The
// delay of the whole index, which may be nil, stands in while few latencies of
// the service are known; it observes the latencies of all its services.
func NewDelay(percent float64, index *Delay) *Delay {
	d := &Delay{
		current: initial,
		index:   index,
	}
	d.SetPercent(percent)
	return d
}

// NewQuantile returns a delay that is the given quantile of recent latencies,
// for callers whose budget is kept elsewhere.
func NewQuantile(q float64) *Delay {
	return &Delay{
		current: initial,
		wanted:  q,
	}
}

// SetPercent sets the hedge budget. The smaller it is, the higher is the
// quantile that is learned: 0.95 at least, so that hedges stay affordable.
func (d *Delay) SetPercent(percent float64) {
	d.wanted = min(mostQuantile, max(leastQuantile, 1-spend*percent/100))
	d.compute()
}

// Observe notes a latency. An attempt that was cancelled counts with the time
// it had taken until then.
func (d *Delay) Observe(latency time.Duration) {
	d.latencies.add(latency)
	if d.stale++; d.stale >= minSamples {
		d.compute()
	}
	if d.index != nil {
		d.index.Observe(latency)
	}
}

// After returns the time after which an attempt is late.
func (d *Delay) After() time.Duration {
	if d.index != nil && d.latencies.total < ownSamples {
		return d.index.After()
	}
	return d.current
}

func (d *Delay) compute() {
	d.stale = 0
	if d.latencies.total >= minSamples {
		d.current = max(floor, d.latencies.at(d.wanted))
	}
}

// Suppressed reports whether so many of a query's shards are late at once
// that the cause is overload, which hedges would make worse. A single late
// shard never suppresses, as an index may have only one.
func Suppressed(late, shards int, percent float64) bool {
	return late > 1 && float64(late)*100 > percent*float64(shards)
}
