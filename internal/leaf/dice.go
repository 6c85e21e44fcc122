package leaf

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// dice draws service times and faults from the seed.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64, id ident.Upstream) *dice {
	return &dice{rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(id))))}
}

func (d *dice) hit(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < fraction
}

func (d *dice) serviceTime(s Service) time.Duration {
	if s.Sigma == 0 {
		return s.Median
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(s.Median) * math.Exp(s.Sigma*d.rng.NormFloat64()))
}
