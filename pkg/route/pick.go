package route

import (
	"math/rand/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Candidate is an upstream that may get an attempt. Upstreams that are draining
// or retiring are not candidates.
type Candidate struct {
	Peer *Peer
	// SameDomain is set for upstreams in the failure domain of the host.
	SameDomain bool
	// Limit is the number of requests that may be in flight at once.
	Limit int
	// Tried excludes an upstream that already got an attempt for this shard. It
	// still counts for the panic rule of Pick.
	Tried bool
}

// Picker chooses among candidates. Its random choices depend on its seed only.
type Picker struct{ rng *rand.Rand }

// NewPicker returns a picker with the given seed.
func NewPicker(seed uint64) *Picker { return &Picker{rng: rand.New(rand.NewPCG(seed, 1))} }

// Pick returns the index of the best candidate, or -1 if none may be used now.
// Tried and full candidates are never used. Unhealthy ones are used only if
// more than half of all are unhealthy (panic rule), or if every untried
// candidate is unhealthy (the last replica is never ejected).
func (p *Picker) Pick(now ident.Instant, cands []Candidate) int {
	unhealthy := 0
	for i := range cands {
		if cands[i].Peer.Unhealthy(now) {
			unhealthy++
		}
	}
	panicking := 2*unhealthy > len(cands)
	if i := p.pick(now, cands, panicking); i >= 0 || panicking || unhealthy == 0 {
		return i
	}
	for i := range cands {
		if c := &cands[i]; !c.Tried && !c.Peer.Unhealthy(now) {
			return -1 // a healthy candidate is full; wait for it
		}
	}
	return p.pick(now, cands, true)
}

// Room is the capacity of a list of candidates: whether an attempt could be
// sent now.
type Room uint8

// Results of CheckRoom. With RoomUnhealthy every candidate is unhealthy and
// full, so waiting would be for an upstream that may never answer.
const (
	RoomNone Room = iota // no candidate
	RoomFree             // Pick would find a candidate
	RoomFull             // all usable candidates are at their limit
	RoomUnhealthy
)

// CheckRoom reports whether Pick would find a candidate, if none is marked as
// tried. It makes no random choice.
func CheckRoom(now ident.Instant, cands []Candidate) Room {
	unhealthy, unhealthyFree, healthyFull := 0, false, false
	for i := range cands {
		c := &cands[i]
		free := c.Peer.inFlight < c.Limit
		switch {
		case c.Peer.Unhealthy(now):
			unhealthy++
			unhealthyFree = unhealthyFree || free
		case free:
			return RoomFree
		default:
			healthyFull = true
		}
	}
	switch {
	case len(cands) == 0:
		return RoomNone
	case unhealthyFree && (!healthyFull || 2*unhealthy > len(cands)):
		return RoomFree
	case healthyFull:
		return RoomFull
	default:
		return RoomUnhealthy
	}
}

// pick returns the candidate with the lowest expected wait. Candidates in slow
// start are skipped at random, unless no other is left.
func (p *Picker) pick(now ident.Instant, cands []Candidate, allowUnhealthy bool) int {
	fallback := p.lowestLatency(now, cands)
	own, other := -1, -1
	var ownWait, otherWait float64
	skipped := -1
	for i := range cands {
		c := &cands[i]
		if c.Tried || c.Peer.inFlight >= c.Limit || (!allowUnhealthy && c.Peer.Unhealthy(now)) {
			continue
		}
		if share := c.Peer.slowStartShare(now); share < 1 && p.rng.Float64() >= share {
			skipped = i
			continue
		}
		wait := c.wait(now, fallback)
		if c.SameDomain {
			if own < 0 || p.better(now, c, wait, &cands[own], ownWait) {
				own, ownWait = i, wait
			}
		} else if other < 0 || p.better(now, c, wait, &cands[other], otherWait) {
			other, otherWait = i, wait
		}
	}
	switch {
	case own >= 0 && (other < 0 || ownWait <= crossDomainRatio*otherWait):
		return own
	case other >= 0:
		return other
	default:
		return skipped
	}
}

// better reports whether c is preferred to best. Within tieRatio the lower
// recently reported load wins; equals are chosen at random.
func (p *Picker) better(now ident.Instant, c *Candidate, wait float64, best *Candidate, bestWait float64) bool {
	if wait*tieRatio < bestWait {
		return true
	}
	if wait > bestWait*tieRatio {
		return false
	}
	if a, ok := c.Peer.freshLoad(now); ok {
		if b, ok := best.Peer.freshLoad(now); ok && a != b {
			return a < b
		}
	}
	return p.rng.Uint64()&1 == 0
}

// wait returns the expected wait in nanoseconds, latency x (in flight + 1) /
// limit, multiplied by (1 + failures)² after recent failures.
func (c *Candidate) wait(now ident.Instant, fallback float64) float64 {
	p := c.Peer
	l := p.Latency(now)
	if l == 0 {
		l = fallback
	}
	if p.inFlight > 0 {
		l = max(l, float64(now.Sub(p.lastProgress))) // a request in flight has already taken that long
	}
	wait := l * float64(p.inFlight+1) / float64(max(1, c.Limit))
	if p.Failing(now) {
		wait *= float64((1 + p.failures) * (1 + p.failures))
	}
	return wait
}

// lowestLatency returns the lowest estimated latency of the candidates, which
// is assumed for unmeasured ones.
func (p *Picker) lowestLatency(now ident.Instant, cands []Candidate) float64 {
	low := 0.0
	for i := range cands {
		if l := cands[i].Peer.Latency(now); l > 0 && (low == 0 || l < low) {
			low = l
		}
	}
	if low == 0 {
		return float64(defaultLatency)
	}
	return low
}

// freshLoad returns the reported load and whether it is younger than loadTTL.
func (p *Peer) freshLoad(now ident.Instant) (int, bool) {
	return p.reportedLoad, p.reported && now.Sub(p.reportedAt) < loadTTL
}
