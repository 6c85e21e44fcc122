package follow

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// addSource adds a host. The tier is ownControl or ownPeer; hosts of other
// domains go one tier lower.
func (r *Reducer) addSource(s Source, tier int) {
	if s.Domain != r.cfg.Domain {
		tier++
	}
	r.sources = append(r.sources, &source{
		Source: s,
		tier:   tier,
	})
}

// setPeers replaces the peers and keeps what is known of those that stay.
func (r *Reducer) setPeers(peers []Source) {
	old := r.sources
	r.sources = r.sources[:len(r.cfg.Controls):len(r.cfg.Controls)]
	r.peers = slices.Clone(peers)
	for _, p := range r.peers {
		i := slices.IndexFunc(old, func(s *source) bool { return s.tier >= ownPeer && s.Source == p })
		if i >= 0 {
			r.sources = append(r.sources, old[i])
			continue
		}
		r.addSource(p, ownPeer)
	}
}

// watchNext watches a source of the best tier that has one which is not left
// alone. Within a tier the choice is random, so that load spreads.
func (r *Reducer) watchNext(now ident.Instant) {
	var best []*source
	for _, s := range r.sources {
		switch {
		case s.until > now:
		case len(best) == 0 || s.tier < best[0].tier:
			best = []*source{s}
		case s.tier == best[0].tier:
			best = append(best, s)
		}
	}
	if len(best) == 0 && now >= r.retryAt {
		best = r.sources
	}
	if len(best) > 0 {
		r.retryAt = now.Add(retryEvery)
		r.openWatch(now, best[r.random.IntN(len(best))], false)
	}
}

// fail leaves a source alone for a time that doubles with every failure.
func (r *Reducer) fail(now ident.Instant, s *source) {
	s.failures++
	s.until = now.Add(min(minBackoff<<min(s.failures-1, 10), maxBackoff))
}

func (r *Reducer) ticked(now ident.Instant) {
	switch {
	case r.watch.id == 0:
		r.watchNext(now)
	case now.Sub(r.watch.heard) >= silentAfter:
		r.close(now, &r.watch, true)
	case r.behind && now.Sub(r.behindSince) >= staleAfter:
		r.close(now, &r.watch, true)
	}
	if r.pull.id != 0 && now.Sub(r.pull.heard) >= pullTimeout {
		r.close(now, &r.pull, true)
	}
	if now >= r.askAt {
		r.askAt = now.Add(askEvery)
		if len(r.peers) > 0 {
			r.ask = r.question(now, r.peers[r.random.IntN(len(r.peers))].Address)
		}
	}
	if now >= r.preferAt {
		r.preferAt = now.Add(preferEvery)
		if s := r.better(); s != nil {
			r.prefer = r.question(now, s.Address)
		}
	}
}

// better returns the sources of a better tier than the watched one in turn, or
// nil if there is none.
func (r *Reducer) better() *source {
	if r.watch.id == 0 {
		return nil
	}
	var list []*source
	for _, s := range r.sources {
		if s.tier < r.watch.from.tier {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	r.turn++
	return list[r.turn%len(list)]
}

func (r *Reducer) question(now ident.Instant, to string) question {
	r.last++
	r.emit(AskVersion{
		Try: r.last,
		To:  to,
	})
	return question{
		try: r.last,
		to:  to,
		at:  now,
	}
}

func (r *Reducer) answered(now ident.Instant, e VersionAnswered) {
	switch e.Try {
	case r.ask.try:
		from := r.find(r.ask.to)
		r.ask = question{}
		if from != nil && r.pull.id == 0 && (r.state == nil || r.version().Less(e.Version)) {
			r.openPull(now, from, false)
		}
	case r.prefer.try:
		from := r.find(r.prefer.to)
		r.prefer = question{}
		// A better source that is behind would be given up again.
		if from != nil && r.watch.id != 0 && from.tier < r.watch.from.tier && !e.Version.Less(r.version()) {
			r.emit(CloseStream{Stream: r.watch.id})
			from.until = 0
			r.openWatch(now, from, false)
		}
	}
}

func (r *Reducer) unanswered(e VersionFailed) {
	switch e.Try {
	case r.ask.try:
		r.ask = question{}
	case r.prefer.try:
		r.prefer = question{}
	}
}

func (r *Reducer) find(address string) *source {
	i := slices.IndexFunc(r.sources, func(s *source) bool { return s.Address == address })
	if i < 0 {
		return nil
	}
	return r.sources[i]
}

// nextWake is the next time at which ticked has something to do.
func (r *Reducer) nextWake(now ident.Instant) ident.Instant {
	at := min(r.askAt, r.preferAt)
	if r.watch.id != 0 {
		at = min(at, r.watch.heard.Add(silentAfter))
		if r.behind {
			at = min(at, r.behindSince.Add(staleAfter))
		}
	} else {
		at = min(at, max(r.retryAt, now.Add(retryEvery/10)))
	}
	if r.pull.id != 0 {
		at = min(at, r.pull.heard.Add(pullTimeout))
	}
	return max(at, now)
}
