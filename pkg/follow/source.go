package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Tiers of sources, best first. A control host or peer of another domain is one
// tier below one of this domain.
const (
	ownDomainControl = iota
	otherDomainControl
	ownDomainPeer
	otherDomainPeer
	// seed is an address from the settings, of unknown domain and perhaps stale.
	seed
)

// source is a host that serves the configuration.
type source struct {
	Source
	tier         int
	failures     int // consecutive
	ejectedUntil ident.Instant
}

// sources is a list of sources with what is known of their failures. It chooses
// among those of the best tier.
type sources struct {
	domain ident.Domain
	rng    *rand.Rand
	list   []*source
	// retryInterval is the time between choices while every source is ejected;
	// the next such choice is at retryAt.
	retryInterval time.Duration
	retryAt       ident.Instant
	// turn rotates better over the better sources.
	turn int
}

func newSources(domain ident.Domain, seedValue uint64, retryInterval time.Duration) sources {
	return sources{
		domain:        domain,
		rng:           rand.New(rand.NewPCG(seedValue, 0)),
		retryInterval: retryInterval,
	}
}

// replace sets the sources from the given tier up to the next kind of source.
// Those that remain keep their failure state.
func (l *sources) replace(tier int, next []Source) {
	isKind := func(s *source) bool { return s.tier == tier || tier != seed && s.tier == tier+1 }
	var kept, old []*source
	for _, s := range l.list {
		if isKind(s) {
			old = append(old, s)
		} else {
			kept = append(kept, s)
		}
	}
	for _, s := range next {
		if i := slices.IndexFunc(old, func(o *source) bool { return o.Source == s }); i >= 0 {
			kept = append(kept, old[i])
			continue
		}
		t := tier
		if tier != seed && s.Domain != l.domain {
			t++
		}
		kept = append(kept, &source{
			Source: s,
			tier:   t,
		})
	}
	l.list = kept
}

// choose returns a source of the best tier in which not all are ejected, or nil.
// Within a tier the choice is random, to balance the load of the sources.
func (l *sources) choose(now ident.Instant) *source {
	var candidates []*source
	for _, s := range l.list {
		switch {
		case s.ejectedUntil > now:
		case len(candidates) == 0 || s.tier < candidates[0].tier:
			candidates = []*source{s}
		case s.tier == candidates[0].tier:
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 && now >= l.retryAt {
		candidates = l.list
	}
	if len(candidates) == 0 {
		return nil
	}
	l.retryAt = now.Add(l.retryInterval)
	return candidates[l.rng.IntN(len(candidates))]
}

// hasAlternative reports whether another source is not ejected.
func (l *sources) hasAlternative(now ident.Instant, to *source) bool {
	return slices.ContainsFunc(l.list, func(s *source) bool { return s != to && s.ejectedUntil <= now })
}

// eject excludes a source for a backoff that doubles with every consecutive
// failure.
func (l *sources) eject(now ident.Instant, s *source) {
	s.failures++
	s.ejectedUntil = now.Add(min(minBackoff<<min(s.failures-1, 10), maxBackoff))
}

// readmit ends the ejection of a source that has answered well.
func (l *sources) readmit(s *source) { s.failures, s.ejectedUntil = 0, 0 }

// better returns the next source, in rotation, of a better tier than the given
// one, or nil if there is none.
func (l *sources) better(than *source) *source {
	return l.nextWhere(func(s *source) bool { return s.tier < than.tier })
}

// next returns the next source of a tier, in rotation, or nil if there is none.
func (l *sources) next(tier int) *source {
	return l.nextWhere(func(s *source) bool { return s.tier == tier })
}

func (l *sources) nextWhere(match func(*source) bool) *source {
	var list []*source
	for _, s := range l.list {
		if match(s) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	l.turn++
	return list[l.turn%len(list)]
}

func (l *sources) find(address string) *source {
	i := slices.IndexFunc(l.list, func(s *source) bool { return s.Address == address })
	if i < 0 {
		return nil
	}
	return l.list[i]
}
