// Package hedge decides when to send a hedged request, a second attempt while
// the first is slow: a delay taken from a quantile of recent latencies, a token
// budget that bounds the extra calls, and suppression while many shards of a
// query are late at once.
package hedge

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/limit"
)

const (
	// minDelay is the lowest hedge delay. A shorter one is within the jitter of
	// one network round trip.
	minDelay = time.Millisecond

	// initialDelay applies until minSamples latencies were observed.
	initialDelay = 50 * time.Millisecond

	// minSamples is the number of latencies before the quantile is first
	// computed, and between two computations.
	minSamples = 20

	// minServiceSamples is the number of latencies before a service uses its
	// own estimate instead of that of its index. With fewer, a high quantile is
	// close to the largest latency: with 20 latencies and 1 straggler in 100,
	// one service in six got a delay as long as the straggler.
	minServiceSamples = 200

	// minQuantile and maxQuantile bound the estimated quantile.
	minQuantile = 0.95
	maxQuantile = 0.995

	// budgetFraction is the share of the budget that the chosen quantile is
	// expected to use. At 1 the bucket would be empty half of the time.
	budgetFraction = 0.8

	// burst is the largest number of unused hedges that the budget stores.
	burst = 50
)

// NewBudget returns a token bucket of percent hedges per 100 first attempts. It
// starts empty, so the bound holds from the first attempt on.
func NewBudget(percent float64) *limit.Bucket { return limit.NewBucket(percent, burst, 0) }

// Delay estimates the time after which an attempt to one service is late, as a
// quantile of recent latencies.
type Delay struct {
	latencies  histogram
	quantile   float64
	delay      time.Duration
	newSamples int // since delay was computed
	index      *Delay
}

// NewDelay returns a Delay for a budget of percent hedges per 100 attempts. The
// Delay of the whole index, which may be nil, is used while few latencies of
// the service were observed; it also observes all latencies of the new Delay.
func NewDelay(percent float64, index *Delay) *Delay {
	d := &Delay{
		delay: initialDelay,
		index: index,
	}
	d.SetPercent(percent)
	return d
}

// NewQuantileDelay returns a Delay of the fixed quantile q, for code that
// bounds its hedges by another budget.
func NewQuantileDelay(q float64) *Delay {
	return &Delay{
		delay:    initialDelay,
		quantile: q,
	}
}

// SetPercent sets the hedge budget. A smaller budget gives a higher quantile,
// from 0.95 to 0.995, so that late attempts do not exceed the budget.
func (d *Delay) SetPercent(percent float64) {
	d.quantile = min(maxQuantile, max(minQuantile, 1-budgetFraction*percent/100))
	d.compute()
}

// Observe records a latency. A cancelled attempt counts with the time that it
// ran until then.
func (d *Delay) Observe(latency time.Duration) {
	d.latencies.add(latency)
	if d.newSamples++; d.newSamples >= minSamples {
		d.compute()
	}
	if d.index != nil {
		d.index.Observe(latency)
	}
}

// After returns the hedge delay: the time after which an attempt is late.
func (d *Delay) After() time.Duration {
	if d.index != nil && d.latencies.total < minServiceSamples {
		return d.index.After()
	}
	return d.delay
}

func (d *Delay) compute() {
	d.newSamples = 0
	if d.latencies.total >= minSamples {
		d.delay = max(minDelay, d.latencies.quantile(d.quantile))
	}
}

// Suppressed reports whether more than percent of a query's shards are late at
// once. The cause is then overload, which hedges would make worse. A single
// late shard never suppresses, since an index may have only one shard.
func Suppressed(late, shards int, percent float64) bool {
	return late > 1 && float64(late)*100 > percent*float64(shards)
}
