package result

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxSparse is the number of latencies that a sparse histogram keeps as they are.
// A histogram takes as much memory as 6,000 of them.
const maxSparse = 1024

// sparse records the latencies of one time bucket. Most buckets have few, and a
// run has hundreds of buckets.
type sparse struct {
	micros []int32
	// hist replaces micros beyond maxSparse latencies.
	hist *hdrhistogram.Histogram
}

func (s *sparse) record(d time.Duration) {
	if s.hist == nil && len(s.micros) < maxSparse {
		s.micros = append(s.micros, int32(min(max(d.Microseconds(), 1), maxLatencyMicros)))
		return
	}
	if s.hist == nil {
		s.hist = hdrhistogram.New(1, maxLatencyMicros, coarseDigits)
		for _, m := range s.micros {
			recordLatency(s.hist, time.Duration(m)*time.Microsecond)
		}
		s.micros = nil
	}
	recordLatency(s.hist, d)
}

// valueAtQuantile returns a quantile, given in percent, in microseconds; it is 0
// without latencies.
func (s *sparse) valueAtQuantile(percent float64) int64 {
	if s.hist != nil {
		return s.hist.ValueAtQuantile(percent)
	}
	if len(s.micros) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.micros))
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return int64(sorted[max(rank, 1)-1])
}
