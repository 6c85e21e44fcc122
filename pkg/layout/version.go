package layout

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// maxVersions bounds the versions remembered per upstream and shard.
const maxVersions = 16

// SetReach changes which upstreams the host may connect to.
func (m *Map) SetReach(r Reach) {
	if r == m.reach {
		return
	}
	m.reach = r
	for _, u := range m.ordered {
		u.Index.dirty = true
	}
}

// Reachable reports whether the host may connect to u.
func (m *Map) Reachable(u *Upstream) bool {
	return m.reach == ReachAll || (m.reach == ReachOwn && u.Conf.Domain == m.domain)
}

// Eligible reports whether u may get new work.
func (m *Map) Eligible(u *Upstream) bool {
	return u.Conf.Phase == config.Active && !u.draining && m.Reachable(u)
}

// Current reports whether u is still in the configuration.
func (m *Map) Current(u *Upstream) bool { return m.upstreams[u.Conf.ID] == u }

// SetDraining notes whether u says that it shuts down.
func (u *Upstream) SetDraining(draining bool) {
	if draining != u.draining {
		u.draining = draining
		u.Index.dirty = true
	}
}

// Unreachable reports whether the last probe of u failed and nothing was heard since.
func (u *Upstream) Unreachable() bool { return u.unreachable }

// SetUnreachable notes whether the last probe of u failed. New queries are not
// pinned to a version for its sake.
func (u *Upstream) SetUnreachable(unreachable bool) {
	if unreachable != u.unreachable {
		u.unreachable = unreachable
		u.Index.dirty = true
	}
}

// Learn takes over the versions that u says it holds of a shard.
func (u *Upstream) Learn(s ident.Shard, vs []ident.IndexVersion) {
	for _, r := range u.Replicas {
		if r.Shard.Name == s {
			r.Learn(vs)
		}
	}
}

// Learn replaces the known versions by the newest of vs.
func (r *Replica) Learn(vs []ident.IndexVersion) {
	if r.known && slices.Equal(r.versions, vs) {
		return
	}
	r.known = true
	r.versions = append(r.versions[:0], vs...)
	slices.Sort(r.versions)
	r.versions = slices.Compact(r.versions)
	if n := len(r.versions) - maxVersions; n > 0 {
		r.versions = slices.Clone(r.versions[n:])
	}
	if len(r.versions) > 0 && r.versions[0] == 0 {
		r.versions = r.versions[1:] // zero means unknown
	}
	r.Shard.Index.dirty = true
}

// Forget notes that the upstream does not hold version v.
func (r *Replica) Forget(v ident.IndexVersion) {
	r.versions = slices.DeleteFunc(r.versions, func(o ident.IndexVersion) bool { return o == v })
	r.Shard.Index.dirty = true
}

// Holds reports whether the upstream is known to hold version v of the shard.
func (r *Replica) Holds(v ident.IndexVersion) bool { return slices.Contains(r.versions, v) }

// Elsewhere reports whether the upstream holds the shard, but not version v.
func (r *Replica) Elsewhere(v ident.IndexVersion) bool { return len(r.versions) > 0 && !r.Holds(v) }
