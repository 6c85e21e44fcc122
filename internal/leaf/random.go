package leaf

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// random draws service times and faults from a generator seeded with the seed
// and the upstream id.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64, id ident.Upstream) *random {
	return &random{rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(id))))}
}

// chance returns true with the given probability.
func (r *random) chance(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < fraction
}

func (r *random) serviceTime(s ServiceTime) time.Duration {
	if s.Sigma == 0 {
		return s.Median
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(s.Median) * math.Exp(s.Sigma*r.rng.NormFloat64()))
}
