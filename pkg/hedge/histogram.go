package hedge

import (
	"math/bits"
	"time"
)

const (
	// subBits is the binary logarithm of the buckets per octave. 16 buckets
	// keep the error of a quantile under 7%.
	subBits = 4

	// minBits is the binary logarithm of the lowest octave in ns; the octaves
	// cover 2^15 ns to 2^37 ns, which is 33 µs to 137 s.
	minBits = 15
	octaves = 22

	// halveAt is the number of samples after which all counts are halved, so
	// that the estimate follows recent latencies.
	halveAt = 2000
)

// histogram estimates quantiles of recent latencies in constant memory. Its
// buckets are logarithmic, and all counts are halved at halveAt samples.
type histogram struct {
	counts [octaves << subBits]uint16
	total  int
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucket(d)]++
	h.total++
	if h.total >= halveAt {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns an estimate of the quantile p, interpolated within its
// bucket.
func (h *histogram) quantile(p float64) time.Duration {
	rank := p * float64(h.total)
	below := 0.0
	for i, c := range h.counts {
		if c == 0 {
			continue
		}
		if below+float64(c) >= rank {
			low, high := edge(i), edge(i+1)
			return low + time.Duration((rank-below)/float64(c)*float64(high-low))
		}
		below += float64(c)
	}
	return edge(len(h.counts))
}

// bucket returns the index of the bucket of d. Durations out of range get the
// first or the last bucket.
func bucket(d time.Duration) int {
	if d < 1<<minBits {
		return 0
	}
	octave := bits.Len64(uint64(d)) - 1
	sub := int(uint64(d)>>(octave-subBits)) & (1<<subBits - 1)
	return min((octave-minBits)<<subBits|sub, octaves<<subBits-1)
}

// edge returns the lower bound of bucket i.
func edge(i int) time.Duration {
	octave := i>>subBits + minBits
	return 1<<octave + time.Duration(i&(1<<subBits-1))<<(octave-subBits)
}
