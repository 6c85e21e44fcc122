package board

import (
	"cmp"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// historySize is the number of recent rosters and lists from which deltas can be
// computed. Hosts that are further behind get a full copy.
const historySize = 32

// HostDelta is the difference between two rosters.
type HostDelta = Delta[Host, ident.HostID]

// UpstreamDelta is the difference between two lists of upstreams.
type UpstreamDelta = Delta[relay.Upstream, ident.Upstream]

// Delta is the difference between two lists that are sorted by key. Sending full
// rosters of hundreds of hosts on each change would take most of the bandwidth
// between hosts.
type Delta[T any, K cmp.Ordered] struct {
	// Put holds the entries that are new or have changed, Removed the keys of the
	// removed ones.
	Put     []T `cbor:",omitempty"`
	Removed []K `cbor:"Gone,omitempty"`
}

func hostKey(h Host) ident.HostID { return h.ID }

func equalHosts(a, b Host) bool { return a == b }

func upstreamKey(u relay.Upstream) ident.Upstream { return u.ID }

// equalUpstreams ignores Cold, the remaining warm-up time, since it changes with
// each reading of the platform's list.
func equalUpstreams(a, b relay.Upstream) bool {
	a.Cold, b.Cold = 0, 0
	return a == b
}

func diff[T any, K cmp.Ordered](old, next []T, key func(T) K, equal func(a, b T) bool) *Delta[T, K] {
	unmatched := make(map[K]T, len(old))
	for _, e := range old {
		unmatched[key(e)] = e
	}
	d := &Delta[T, K]{}
	for _, e := range next {
		k := key(e)
		if o, ok := unmatched[k]; !ok || !equal(o, e) {
			d.Put = append(d.Put, e)
		}
		delete(unmatched, k)
	}
	for k := range unmatched {
		d.Removed = append(d.Removed, k)
	}
	slices.Sort(d.Removed)
	return d
}

// apply returns a copy of old with the delta applied, sorted by key.
func (d *Delta[T, K]) apply(old []T, key func(T) K) []T {
	replaced := make(map[K]bool, len(d.Put)+len(d.Removed))
	for _, e := range d.Put {
		replaced[key(e)] = true
	}
	for _, k := range d.Removed {
		replaced[k] = true
	}
	next := slices.DeleteFunc(slices.Clone(old), func(e T) bool { return replaced[key(e)] })
	next = append(next, d.Put...)
	slices.SortFunc(next, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return next
}

// history holds the most recent versions of a list, with their digests.
type history[T any] struct {
	digests []uint64
	lists   [][]T
}

func (p *history[T]) add(digest uint64, list []T) {
	p.digests, p.lists = append(p.digests, digest), append(p.lists, list)
	if len(p.lists) > historySize {
		p.digests, p.lists = slices.Clone(p.digests[1:]), slices.Clone(p.lists[1:])
	}
}

func (p *history[T]) find(digest uint64) ([]T, bool) {
	i := slices.Index(p.digests, digest)
	if i < 0 {
		return nil, false
	}
	return p.lists[i], true
}

// NewHosts returns the roster that results from a reply to a host with the roster
// old. It returns false if the delta does not apply to old; the host must then
// request a full copy by sending no digest.
func (r *Reply) NewHosts(old []Host) ([]Host, bool) {
	if r.HostDelta == nil {
		return r.Hosts, true
	}
	next := r.HostDelta.apply(old, hostKey)
	return next, rosterDigest(next) == r.Roster
}

// NewList returns the list that results from a reply to a host with the list old.
// It returns false if the reply has no list, or a delta that does not apply.
func (r *Reply) NewList(old List) (List, bool) {
	switch {
	case r.List != nil:
		return *r.List, true
	case r.ListDelta == nil:
		return old, false
	}
	next := List{Upstreams: r.ListDelta.apply(old.Upstreams, upstreamKey)}
	next.Digest = ListDigest(next.Upstreams)
	return next, next.Digest == r.ListDigest
}

// NewList returns a list with its digest and with the upstreams sorted by ID, as
// deltas require.
func NewList(ups []relay.Upstream) List {
	ups = slices.Clone(ups)
	slices.SortStableFunc(ups, func(a, b relay.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return List{
		Digest:    ListDigest(ups),
		Upstreams: ups,
	}
}
