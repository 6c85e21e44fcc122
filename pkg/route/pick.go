package route

import (
	"math/rand/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Candidate is an upstream that may get an attempt. Upstreams that drain or
// retire are not candidates.
type Candidate struct {
	Peer *Peer
	// Own is set for upstreams of the host's own failure domain.
	Own bool
	// Limit is the number of requests that may be outstanding at once.
	Limit int
	// Tried excludes an upstream that already got an attempt for this shard;
	// it still counts for the panic rule.
	Tried bool
}

// Picker chooses among candidates. Its random choices follow from its seed.
type Picker struct{ rng *rand.Rand }

// NewPicker returns a picker with the given seed.
func NewPicker(seed uint64) *Picker { return &Picker{rng: rand.New(rand.NewPCG(seed, 1))} }

// Pick returns the index of the best candidate, or -1 if all are tried or
// full. Bad candidates are used only if more than half of all are bad (panic
// rule), or if nothing else is left (the last replica is never ejected).
func (p *Picker) Pick(now ident.Instant, cands []Candidate) int {
	out := 0
	for i := range cands {
		if cands[i].Peer.Bad(now) {
			out++
		}
	}
	panicking := 2*out > len(cands)
	if i := p.pick(now, cands, panicking); i >= 0 || panicking || out == 0 {
		return i
	}
	for i := range cands {
		if c := &cands[i]; !c.Tried && !c.Peer.Bad(now) {
			return -1 // a good candidate is only full
		}
	}
	return p.pick(now, cands, true)
}

// Room tells whether an attempt could be sent now.
type Room uint8

// The answers of Free. RoomBad means that every candidate is bad and full, so
// that waiting for one would wait for an upstream that does not answer.
const (
	RoomNone Room = iota // no candidate
	RoomFree
	RoomFull
	RoomBad
)

// Free tells whether Pick would find a candidate. It makes no random choice.
func Free(now ident.Instant, cands []Candidate) Room {
	bad, badFree, goodFull := 0, false, false
	for i := range cands {
		c := &cands[i]
		free := c.Peer.outstanding < c.Limit
		switch {
		case c.Peer.Bad(now):
			bad++
			badFree = badFree || free
		case free:
			return RoomFree
		default:
			goodFull = true
		}
	}
	switch {
	case len(cands) == 0:
		return RoomNone
	case badFree && (!goodFull || 2*bad > len(cands)):
		return RoomFree
	case goodFull:
		return RoomFull
	default:
		return RoomBad
	}
}

func (p *Picker) pick(now ident.Instant, cands []Candidate, bad bool) int {
	fallback := p.fallback(now, cands)
	own, other := -1, -1
	var ownWait, otherWait float64
	skipped := -1
	for i := range cands {
		c := &cands[i]
		if c.Tried || c.Peer.outstanding >= c.Limit || (!bad && c.Peer.Bad(now)) {
			continue
		}
		if w := c.Peer.warmth(now); w < 1 && p.rng.Float64() >= w {
			skipped = i
			continue
		}
		wait := c.wait(now, fallback)
		if c.Own {
			if own < 0 || p.better(now, c, wait, &cands[own], ownWait) {
				own, ownWait = i, wait
			}
		} else if other < 0 || p.better(now, c, wait, &cands[other], otherWait) {
			other, otherWait = i, wait
		}
	}
	switch {
	case own >= 0 && (other < 0 || ownWait <= spill*otherWait):
		return own
	case other >= 0:
		return other
	default:
		return skipped
	}
}

// better reports whether c goes before best. Within a tie the lower fresh
// load wins, and chance decides between equals.
func (p *Picker) better(now ident.Instant, c *Candidate, wait float64, best *Candidate, bestWait float64) bool {
	if wait*tie < bestWait {
		return true
	}
	if wait > bestWait*tie {
		return false
	}
	if a, ok := c.Peer.freshLoad(now); ok {
		if b, ok := best.Peer.freshLoad(now); ok && a != b {
			return a < b
		}
	}
	return p.rng.Uint64()&1 == 0
}

// wait returns the expected wait: latency x (outstanding + 1) / limit, more
// after failures in a row.
func (c *Candidate) wait(now ident.Instant, fallback float64) float64 {
	p := c.Peer
	l := p.Latency(now)
	if l == 0 {
		l = fallback
	}
	if p.outstanding > 0 {
		l = max(l, float64(now.Sub(p.progress))) // the running request takes that long already
	}
	wait := l * float64(p.outstanding+1) / float64(max(1, c.Limit))
	if p.Failing(now) {
		wait *= float64((1 + p.streak) * (1 + p.streak))
	}
	return wait
}

// fallback is the latency assumed for unmeasured candidates: the lowest one.
func (p *Picker) fallback(now ident.Instant, cands []Candidate) float64 {
	low := 0.0
	for i := range cands {
		if l := cands[i].Peer.Latency(now); l > 0 && (low == 0 || l < low) {
			low = l
		}
	}
	if low == 0 {
		return float64(unmeasured)
	}
	return low
}

func (p *Peer) freshLoad(now ident.Instant) (int, bool) {
	return p.load, p.loaded && now.Sub(p.loadedAt) < loadTTL
}
