package layout

import "github.com/jujubethread/jujubethread/pkg/ident"

// Pin is the version at which all shards of a new query of an index are read.
type Pin struct {
	// Version is 0 if no shard can be served at any version.
	Version ident.IndexVersion
	// Shards is the number of shards that can serve Version.
	Shards int
	// Waiting is set while some shard has no known version, but an upstream
	// that has not reported its versions yet.
	Waiting bool
}

type versionShards struct {
	version ident.IndexVersion
	shards  int
}

// Pinned returns the version that the largest number of shards of ix can serve,
// the newest one among equals. The result is cached until a change.
func (m *Map) Pinned(ix *Index) Pin {
	if !ix.pinStale {
		return ix.pin
	}
	var buf [8]versionShards
	counts := buf[:0]
	waiting := false
	for _, s := range ix.Shards {
		known, unknown := false, false
		for i, r := range s.Replicas {
			if !m.canServe(r.Upstream) {
				continue
			}
			unknown = unknown || !r.reported
			for _, v := range r.versions {
				known = true
				if !m.anyHolds(s.Replicas[:i], v) {
					counts = addShard(counts, v)
				}
			}
		}
		waiting = waiting || (unknown && !known)
	}
	best := versionShards{}
	for _, c := range counts {
		if c.shards > best.shards || (c.shards == best.shards && c.version > best.version) {
			best = c
		}
	}
	ix.pinStale = false
	ix.pin = Pin{
		Version: best.version,
		Shards:  best.shards,
		Waiting: waiting,
	}
	return ix.pin
}

// canServe reports whether the versions of u count for the pin.
func (m *Map) canServe(u *Upstream) bool { return m.Eligible(u) && !u.unreachable }

func (m *Map) anyHolds(replicas []*Replica, v ident.IndexVersion) bool {
	for _, r := range replicas {
		if m.canServe(r.Upstream) && r.Holds(v) {
			return true
		}
	}
	return false
}

func addShard(counts []versionShards, v ident.IndexVersion) []versionShards {
	for i := range counts {
		if counts[i].version == v {
			counts[i].shards++
			return counts
		}
	}
	return append(counts, versionShards{
		version: v,
		shards:  1,
	})
}
