package layout

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// maxVersions bounds the known versions per replica.
const maxVersions = 16

// SetReach sets which upstreams the host may connect to.
func (m *Map) SetReach(reach Reach) {
	if reach == m.reach {
		return
	}
	m.reach = reach
	for _, u := range m.ordered {
		u.Index.pinStale = true
	}
}

// Reachable reports whether the host may connect to u.
func (m *Map) Reachable(u *Upstream) bool {
	return m.reach == ReachAll || (m.reach == ReachOwn && u.Conf.Domain == m.domain)
}

// Eligible reports whether u may get new requests: it is active, reachable and
// not draining.
func (m *Map) Eligible(u *Upstream) bool {
	return u.Conf.Phase == config.Active && !u.draining && m.Reachable(u)
}

// Contains reports whether u is part of the configuration applied last.
func (m *Map) Contains(u *Upstream) bool { return m.upstreams[u.Conf.ID] == u }

// SetDraining records whether u reports that it is draining.
func (u *Upstream) SetDraining(draining bool) {
	if draining != u.draining {
		u.draining = draining
		u.Index.pinStale = true
	}
}

// Unreachable reports whether the last probe of u failed and no answer was
// received since.
func (u *Upstream) Unreachable() bool { return u.unreachable }

// SetUnreachable records whether the last probe of u failed. The versions of an
// unreachable upstream do not count for the pin of new queries.
func (u *Upstream) SetUnreachable(unreachable bool) {
	if unreachable != u.unreachable {
		u.unreachable = unreachable
		u.Index.pinStale = true
	}
}

// Learn replaces the known versions of shard s on u by those that u reported.
// It does nothing if u does not have the shard.
func (u *Upstream) Learn(s ident.Shard, vs []ident.IndexVersion) {
	for _, r := range u.Replicas {
		if r.Shard.Name == s {
			r.Learn(vs)
		}
	}
}

// Learn replaces the known versions by the newest maxVersions of vs, without
// version 0.
func (r *Replica) Learn(vs []ident.IndexVersion) {
	if r.reported && slices.Equal(r.versions, vs) {
		return
	}
	r.reported = true
	r.versions = append(r.versions[:0], vs...)
	slices.Sort(r.versions)
	r.versions = slices.Compact(r.versions)
	if n := len(r.versions) - maxVersions; n > 0 {
		r.versions = slices.Clone(r.versions[n:])
	}
	if len(r.versions) > 0 && r.versions[0] == 0 {
		r.versions = r.versions[1:] // 0 is an unknown version
	}
	r.Shard.Index.pinStale = true
}

// Forget removes v from the known versions.
func (r *Replica) Forget(v ident.IndexVersion) {
	r.versions = slices.DeleteFunc(r.versions, func(o ident.IndexVersion) bool { return o == v })
	r.Shard.Index.pinStale = true
}

// Holds reports whether the upstream is known to hold version v of the shard.
func (r *Replica) Holds(v ident.IndexVersion) bool { return slices.Contains(r.versions, v) }

// LacksVersion reports whether the upstream is known to hold other versions of
// the shard, but not v.
func (r *Replica) LacksVersion(v ident.IndexVersion) bool { return len(r.versions) > 0 && !r.Holds(v) }
