package watch

import (
	"cmp"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// kept is the number of earlier rosters and lists against which a board can
// tell what has changed. Hosts that lag further get the whole.
const kept = 32

// HostDelta is what differs between two rosters.
type HostDelta = Delta[Host, ident.HostID]

// UpstreamDelta is what differs between two lists of upstreams.
type UpstreamDelta = Delta[relay.Upstream, ident.Upstream]

// Delta is what differs between two lists that are sorted by key. Whole rosters
// of hundreds of hosts for each change would take most of the bytes of control.
type Delta[T any, K cmp.Ordered] struct {
	// Put holds the entries that are new or have changed.
	Put  []T `cbor:",omitempty"`
	Gone []K `cbor:",omitempty"`
}

func hostKey(h Host) ident.HostID { return h.ID }

func sameHost(a, b Host) bool { return a == b }

func upstreamKey(u relay.Upstream) ident.Upstream { return u.ID }

// sameUpstream leaves out how long an upstream stays cold, which changes with
// each reading.
func sameUpstream(a, b relay.Upstream) bool {
	a.Cold, b.Cold = 0, 0
	return a == b
}

func diff[T any, K cmp.Ordered](old, next []T, key func(T) K, same func(a, b T) bool) *Delta[T, K] {
	before := make(map[K]T, len(old))
	for _, e := range old {
		before[key(e)] = e
	}
	d := &Delta[T, K]{}
	for _, e := range next {
		k := key(e)
		if o, ok := before[k]; !ok || !same(o, e) {
			d.Put = append(d.Put, e)
		}
		delete(before, k)
	}
	for k := range before {
		d.Gone = append(d.Gone, k)
	}
	slices.Sort(d.Gone)
	return d
}

// apply returns old as changed by the delta, sorted by key.
func (d *Delta[T, K]) apply(old []T, key func(T) K) []T {
	replaced := make(map[K]bool, len(d.Put)+len(d.Gone))
	for _, e := range d.Put {
		replaced[key(e)] = true
	}
	for _, k := range d.Gone {
		replaced[k] = true
	}
	next := slices.DeleteFunc(slices.Clone(old), func(e T) bool { return replaced[key(e)] })
	next = append(next, d.Put...)
	slices.SortFunc(next, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return next
}

// past holds earlier versions of a list by their digests.
type past[T any] struct {
	digests []uint64
	lists   [][]T
}

func (p *past[T]) add(digest uint64, list []T) {
	p.digests, p.lists = append(p.digests, digest), append(p.lists, list)
	if len(p.lists) > kept {
		p.digests, p.lists = slices.Clone(p.digests[1:]), slices.Clone(p.lists[1:])
	}
}

func (p *past[T]) find(digest uint64) ([]T, bool) {
	i := slices.Index(p.digests, digest)
	if i < 0 {
		return nil, false
	}
	return p.lists[i], true
}

// NewHosts returns the roster of a reply to a host that holds old. It returns
// false if the delta does not fit; the host then has to ask without a digest.
func (r *Reply) NewHosts(old []Host) ([]Host, bool) {
	if r.HostDelta == nil {
		return r.Hosts, true
	}
	next := r.HostDelta.apply(old, hostKey)
	return next, rosterDigest(next) == r.Roster
}

// NewList returns the list of a reply to a host that holds old, and whether
// the reply has one that fits.
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

// NewList returns a list as boards exchange it, sorted by ID.
func NewList(ups []relay.Upstream) List {
	ups = slices.Clone(ups)
	slices.SortStableFunc(ups, func(a, b relay.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return List{
		Digest:    ListDigest(ups),
		Upstreams: ups,
	}
}
