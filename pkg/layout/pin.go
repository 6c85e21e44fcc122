package layout

import "github.com/jujubethread/jujubethread/pkg/ident"

// Pin is the version that new queries of an index are pinned to.
type Pin struct {
	// Version is 0 if no shard can be served.
	Version ident.IndexVersion
	// Shards is the number of shards that can serve Version.
	Shards int
	// Waiting is set while a shard has no known version but an upstream that
	// has not reported yet.
	Waiting bool
}

type versionCount struct {
	version ident.IndexVersion
	shards  int
}

// Pinned returns the version that most shards of ix can serve, and the newest
// of these.
func (m *Map) Pinned(ix *Index) Pin {
	if !ix.dirty {
		return ix.pin
	}
	var space [8]versionCount
	counts := space[:0]
	waiting := false
	for _, s := range ix.Shards {
		known, unknown := false, false
		for i, r := range s.Replicas {
			if !m.serves(r.Up) {
				continue
			}
			unknown = unknown || !r.known
			for _, v := range r.versions {
				known = true
				if !m.servedBefore(s.Replicas[:i], v) {
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
	ix.dirty = false
	ix.pin = Pin{
		Version: best.version,
		Shards:  best.shards,
		Waiting: waiting,
	}
	return ix.pin
}

func (m *Map) serves(u *Upstream) bool { return m.Eligible(u) && !u.unreachable }

func (m *Map) servedBefore(earlier []*Replica, v ident.IndexVersion) bool {
	for _, r := range earlier {
		if m.serves(r.Up) && r.Holds(v) {
			return true
		}
	}
	return false
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
