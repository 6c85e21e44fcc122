package notice

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

const (
	// MaxPause bounds a pause. An upstream that names a longer one is called again
	// after that.
	MaxPause = 10 * time.Minute

	// UnreadablePause replaces a pause that cannot be read: the upstream wants one,
	// but its length is unknown.
	UnreadablePause = time.Second

	// returnShare of a pause, but at most maxReturnDelay, is the time over which the
	// hosts return after it, so that they do not all come at the same moment.
	returnShare    = 0.25
	maxReturnDelay = time.Second

	// maxPauses bounds the upstreams whose pauses are remembered.
	maxPauses = 4096
)

// Pauses holds which upstreams have asked this host not to call them for a while.
// After a pause the host returns with one call at a time, until one succeeds.
type Pauses struct {
	rand *rand.Rand
	// known holds when each upstream may be called again by this host.
	known map[quota.Key]ident.Instant
}

// NewPauses returns an empty Pauses. The seed decides when the host returns.
func NewPauses(seed uint64) *Pauses {
	return &Pauses{
		rand:  rand.New(rand.NewPCG(seed, 17)),
		known: make(map[quota.Key]ident.Instant),
	}
}

// Record records that an upstream asks for a pause. It returns when the pause ends
// for this host. A pause that is already known is never shortened, as calls that
// were sent before it may be answered with shorter ones.
func (p *Pauses) Record(now ident.Instant, k quota.Key, length time.Duration) ident.Instant {
	length = min(length, MaxPause)
	spread := min(time.Duration(returnShare*float64(length)), maxReturnDelay)
	until := now.Add(length + time.Duration(p.rand.Float64()*float64(spread)))
	old, known := p.known[k]
	until = max(until, old)
	if !known && len(p.known) >= maxPauses {
		p.evict(now)
	}
	p.known[k] = until
	return until
}

// Paused returns when an upstream may be called again, and false if it may be
// called now.
func (p *Pauses) Paused(now ident.Instant, k quota.Key) (until ident.Instant, paused bool) {
	until = p.known[k]
	return until, now < until
}

// Returning reports whether the pause of an upstream has ended and no call has
// succeeded since.
func (p *Pauses) Returning(now ident.Instant, k quota.Key) bool {
	until, known := p.known[k]
	return known && now >= until
}

// Succeeded records a success of an upstream. It ends the return after a pause,
// but never the pause itself.
func (p *Pauses) Succeeded(now ident.Instant, k quota.Key) {
	if p.Returning(now, k) {
		delete(p.known, k)
	}
}

// Len returns the number of upstreams that are paused.
func (p *Pauses) Len(now ident.Instant) (n int) {
	for _, until := range p.known {
		if now < until {
			n++
		}
	}
	return n
}

// evict drops the pauses that have ended, or else those that end first.
func (p *Pauses) evict(now ident.Instant) {
	maps.DeleteFunc(p.known, func(_ quota.Key, until ident.Instant) bool { return now >= until })
	if len(p.known) < maxPauses {
		return
	}
	keys := slices.SortedFunc(maps.Keys(p.known), func(x, y quota.Key) int {
		return cmp.Or(cmp.Compare(p.known[x], p.known[y]), cmp.Compare(x, y))
	})
	for _, k := range keys[:maxPauses/evictedShare] {
		delete(p.known, k)
	}
}
