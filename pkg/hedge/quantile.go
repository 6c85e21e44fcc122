package hedge

import (
	"math/bits"
	"time"
)

const (
	// subBits is the binary logarithm of buckets per octave: 16 buckets keep
	// the error of a quantile under 7%.
	subBits = 4

	// lowest and octaves cover 32 µs to 134 s.
	lowestBits = 15
	octaves    = 22

	// halveAt is the number of samples after which all counts are halved, so
	// that the estimate follows recent latencies.
	halveAt = 2000
)

// quantile estimates quantiles of recent latencies in constant memory: a
// histogram with logarithmic buckets whose counts are halved now and then.
type quantile struct {
	counts [octaves << subBits]uint16
	total  int
}

func (q *quantile) add(d time.Duration) {
	q.counts[bucket(d)]++
	q.total++
	if q.total >= halveAt {
		q.halve()
	}
}

func (q *quantile) halve() {
	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += int(q.counts[i])
	}
}

// at returns an estimate of the quantile p, interpolated within its bucket.
func (q *quantile) at(p float64) time.Duration {
	rank := p * float64(q.total)
	below := 0.0
	for i, c := range q.counts {
		if c == 0 {
			continue
		}
		if below+float64(c) >= rank {
			low, high := edge(i), edge(i+1)
			return low + time.Duration((rank-below)/float64(c)*float64(high-low))
		}
		below += float64(c)
	}
	return edge(len(q.counts))
}

// bucket returns the index of the bucket that holds d.
func bucket(d time.Duration) int {
	if d < 1<<lowestBits {
		return 0
	}
	octave := bits.Len64(uint64(d)) - 1
	sub := int(uint64(d)>>(octave-subBits)) & (1<<subBits - 1)
	return min((octave-lowestBits)<<subBits|sub, octaves<<subBits-1)
}

// edge returns the lowest duration of bucket i.
func edge(i int) time.Duration {
	octave := i>>subBits + lowestBits
	return 1<<octave + time.Duration(i&(1<<subBits-1))<<(octave-subBits)
}
