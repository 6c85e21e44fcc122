package engine

import "github.com/jujubethread/jujubethread/pkg/ident"

// pin caches the version that new queries of an index are pinned to.
type pin struct {
	dirty   bool
	version ident.IndexVersion // 0 if no shard can be served
	shards  int                // shards that can serve version
	// waiting is set while a shard has no known version but an upstream that
	// has not reported yet.
	waiting bool
}

// pinned returns the version to pin a query of ix to: the one that most
// shards can serve, and the newest of these.
func (e *Engine) pinned(ix *index) pin {
	if !ix.pin.dirty {
		return ix.pin
	}
	var space [8]versionCount
	counts := space[:0]
	waiting := false
	for _, s := range ix.shards {
		known, unknown := false, false
		for i, r := range s.replicas {
			if !e.eligible(r.up) {
				continue
			}
			if r.up.unreachable {
				continue
			}
			unknown = unknown || !r.known
			for _, v := range r.versions {
				known = true
				if !e.servedBefore(s.replicas[:i], v) {
					counts = count(counts, v)
				}
			}
		}
		waiting = waiting || (unknown && !known)
	}
	best := versionCount{}
	for _, c := range counts {
		if c.shards > best.shards || (c.shards == best.shards && c.version > best.version) {
			best = c
		}
	}
	ix.pin = pin{
		version: best.version,
		shards:  best.shards,
		waiting: waiting,
	}
	return ix.pin
}

type versionCount struct {
	version ident.IndexVersion
	shards  int
}

func count(counts []versionCount, v ident.IndexVersion) []versionCount {
	for i := range counts {
		if counts[i].version == v {
			counts[i].shards++
			return counts
		}
	}
	return append(counts, versionCount{
		version: v,
		shards:  1,
	})
}

func (e *Engine) servedBefore(earlier []*replica, v ident.IndexVersion) bool {
	for _, r := range earlier {
		if e.eligible(r.up) && !r.up.unreachable && r.holds(v) {
			return true
		}
	}
	return false
}
