package follow

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// addSource adds a host. The tier is ownDomainControl or ownDomainPeer; hosts
// of other domains are placed one tier lower.
func (r *Reducer) addSource(s Source, tier int) {
	if s.Domain != r.cfg.Domain {
		tier++
	}
	r.sources = append(r.sources, &source{
		Source: s,
		tier:   tier,
	})
}

// setPeers replaces the peers. Peers that remain keep their failure state.
func (r *Reducer) setPeers(peers []Source) {
	old := r.sources
	r.sources = r.sources[:len(r.cfg.Controls):len(r.cfg.Controls)]
	r.peers = slices.Clone(peers)
	for _, p := range r.peers {
		i := slices.IndexFunc(old, func(s *source) bool { return s.tier >= ownDomainPeer && s.Source == p })
		if i >= 0 {
			r.sources = append(r.sources, old[i])
			continue
		}
		r.addSource(p, ownDomainPeer)
	}
}

// watchNext watches a source of the best tier in which not all are ejected.
// Within a tier the choice is random, to balance the load of the sources.
func (r *Reducer) watchNext(now ident.Instant) {
	var candidates []*source
	for _, s := range r.sources {
		switch {
		case s.ejectedUntil > now:
		case len(candidates) == 0 || s.tier < candidates[0].tier:
			candidates = []*source{s}
		case s.tier == candidates[0].tier:
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 && now >= r.retryAt {
		candidates = r.sources
	}
	if len(candidates) > 0 {
		r.retryAt = now.Add(retryInterval)
		r.openWatch(now, candidates[r.rng.IntN(len(candidates))], false)
	}
}

// eject excludes a source for a backoff that doubles with every consecutive
// failure.
func (r *Reducer) eject(now ident.Instant, s *source) {
	s.failures++
	s.ejectedUntil = now.Add(min(minBackoff<<min(s.failures-1, 10), maxBackoff))
}

func (r *Reducer) onTick(now ident.Instant) {
	switch {
	case r.watch.id == 0:
		r.watchNext(now)
	case now.Sub(r.watch.lastMessageAt) >= sourceTimeout:
		r.closeStream(now, &r.watch, true)
	case r.sourceBehind && now.Sub(r.sourceBehindSince) >= staleTimeout:
		r.closeStream(now, &r.watch, true)
	}
	if r.pull.id != 0 && now.Sub(r.pull.lastMessageAt) >= pullTimeout {
		r.closeStream(now, &r.pull, true)
	}
	if now >= r.pollAt {
		r.pollAt = now.Add(pollInterval)
		if len(r.peers) > 0 {
			r.poll = r.requestVersion(now, r.peers[r.rng.IntN(len(r.peers))].Address)
		}
	}
	if now >= r.failbackAt {
		r.failbackAt = now.Add(failbackInterval)
		if s := r.nextBetterSource(); s != nil {
			r.failback = r.requestVersion(now, s.Address)
		}
	}
}

// nextBetterSource returns the next source, in rotation, of a better tier than
// that of the watched one, or nil if there is none.
func (r *Reducer) nextBetterSource() *source {
	if r.watch.id == 0 {
		return nil
	}
	var list []*source
	for _, s := range r.sources {
		if s.tier < r.watch.source.tier {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	r.failbackTurn++
	return list[r.failbackTurn%len(list)]
}

func (r *Reducer) requestVersion(now ident.Instant, to string) versionRequest {
	r.lastID++
	r.emit(AskVersion{
		Attempt: r.lastID,
		To:      to,
	})
	return versionRequest{
		attempt: r.lastID,
		to:      to,
		at:      now,
	}
}

func (r *Reducer) onVersion(now ident.Instant, e VersionAnswered) {
	switch e.Attempt {
	case r.poll.attempt:
		src := r.findSource(r.poll.to)
		r.poll = versionRequest{}
		if src != nil && r.pull.id == 0 && (r.state == nil || r.version().Less(e.Version)) {
			r.openPull(now, src, false)
		}
	case r.failback.attempt:
		src := r.findSource(r.failback.to)
		r.failback = versionRequest{}
		// A better source that is behind this host would be ejected again as
		// stale.
		if src != nil && r.watch.id != 0 && src.tier < r.watch.source.tier && !e.Version.Less(r.version()) {
			r.emit(CloseStream{Stream: r.watch.id})
			src.ejectedUntil = 0
			r.openWatch(now, src, false)
		}
	}
}

func (r *Reducer) onVersionFailed(e VersionFailed) {
	switch e.Attempt {
	case r.poll.attempt:
		r.poll = versionRequest{}
	case r.failback.attempt:
		r.failback = versionRequest{}
	}
}

func (r *Reducer) findSource(address string) *source {
	i := slices.IndexFunc(r.sources, func(s *source) bool { return s.Address == address })
	if i < 0 {
		return nil
	}
	return r.sources[i]
}

// nextWake returns the next time at which onTick has something to do.
func (r *Reducer) nextWake(now ident.Instant) ident.Instant {
	at := min(r.pollAt, r.failbackAt)
	if r.watch.id != 0 {
		at = min(at, r.watch.lastMessageAt.Add(sourceTimeout))
		if r.sourceBehind {
			at = min(at, r.sourceBehindSince.Add(staleTimeout))
		}
	} else {
		at = min(at, max(r.retryAt, now.Add(retryInterval/10)))
	}
	if r.pull.id != 0 {
		at = min(at, r.pull.lastMessageAt.Add(pullTimeout))
	}
	return max(at, now)
}
