// Package layout tracks which upstreams hold which shards at which index
// versions, as one host knows it from the configuration, the reports of the
// upstreams and its seat, which is its permission to connect to them. From that
// it derives the version that new queries are pinned to.
package layout

import (
	"slices"
	"strings"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Reach is the set of upstreams that a host may connect to. It follows from the
// state of the host's seat.
type Reach uint8

// The values of Reach: no upstream, those in the host's failure domain, all.
const (
	ReachNone Reach = iota
	ReachOwn
	ReachAll
)

// Upstream is one upstream with its replicas.
type Upstream struct {
	Conf     config.Upstream
	Index    *Index
	Replicas []*Replica
	// Data is for the caller's state of the upstream; the package ignores it.
	Data any

	draining    bool
	unreachable bool
}

// Shard is one shard with the upstreams that hold it. It stays the same object
// across configurations, so queries in flight see the new placement.
type Shard struct {
	Name     ident.Shard
	Index    *Index
	Replicas []*Replica // sorted by upstream
}

// Replica is one shard on one upstream, with the versions known there.
type Replica struct {
	Upstream *Upstream
	Shard    *Shard

	versions []ident.IndexVersion // sorted
	reported bool                 // whether versions were received
}

// Index is one index with its shards and the cached pin.
type Index struct {
	Name   ident.Index
	Shards []*Shard // sorted by name
	// Data is for the caller's state of the index; the package ignores it.
	Data any

	pin      Pin
	pinStale bool // pin must be recomputed
}

type shardKey struct {
	index ident.Index
	shard ident.Shard
}

// Map is the placement of all shards as known to one host.
type Map struct {
	domain     ident.Domain
	reach      Reach
	upstreams  map[ident.Upstream]*Upstream
	ordered    []*Upstream // sorted by id
	indexes    map[ident.Index]*Index
	shards     map[shardKey]*Shard
	maybeEmpty []*Shard
}

// NewMap returns an empty map for a host in the given domain.
func NewMap(domain ident.Domain) *Map {
	return &Map{
		domain:    domain,
		upstreams: map[ident.Upstream]*Upstream{},
		indexes:   map[ident.Index]*Index{},
		shards:    map[shardKey]*Shard{},
	}
}

// Upstream returns the upstream with the given id, or nil.
func (m *Map) Upstream(id ident.Upstream) *Upstream { return m.upstreams[id] }

// Upstreams returns all upstreams, sorted by id.
func (m *Map) Upstreams() []*Upstream { return m.ordered }

// Index returns the index with the given name, or nil.
func (m *Map) Index(name ident.Index) *Index { return m.indexes[name] }

// Kind is the way in which an upstream changed.
type Kind uint8

// The kinds of change. Moved means that the index or the shards of the upstream
// changed, Changed that only other settings did.
const (
	Added Kind = iota
	Removed
	Changed
	Moved
)

// Change is one changed upstream.
type Change struct {
	Kind     Kind
	Upstream *Upstream
}

// Apply replaces the configured upstreams by a list sorted by id and returns
// the changes. Only upstreams that differ are touched, since one change among
// many upstreams is the usual case. Replicas that remain keep their known
// versions.
func (m *Map) Apply(upstreams []config.Upstream) []Change {
	var changes []Change
	old := m.ordered
	m.ordered = make([]*Upstream, 0, len(upstreams))
	i := 0
	for j := range upstreams {
		for i < len(old) && old[i].Conf.ID < upstreams[j].ID {
			changes = append(changes, m.remove(old[i]))
			i++
		}
		if i < len(old) && old[i].Conf.ID == upstreams[j].ID {
			if c, ok := m.update(old[i], upstreams[j]); ok {
				changes = append(changes, c)
			}
			m.ordered = append(m.ordered, old[i])
			i++
			continue
		}
		c := m.add(upstreams[j])
		m.ordered = append(m.ordered, c.Upstream)
		changes = append(changes, c)
	}
	for ; i < len(old); i++ {
		changes = append(changes, m.remove(old[i]))
	}
	m.removeEmptyShards()
	return changes
}

func (m *Map) add(conf config.Upstream) Change {
	u := &Upstream{Conf: conf}
	m.upstreams[conf.ID] = u
	u.Index = m.ensureIndex(conf.Index)
	for _, s := range conf.Shards {
		m.addReplica(u, s)
	}
	return Change{
		Kind:     Added,
		Upstream: u,
	}
}

func (m *Map) remove(u *Upstream) Change {
	delete(m.upstreams, u.Conf.ID)
	u.Conf.Phase = config.Retiring // attempts in flight may still refer to it
	for _, s := range u.Conf.Shards {
		m.removeReplica(u, s)
	}
	return Change{
		Kind:     Removed,
		Upstream: u,
	}
}

func (m *Map) update(u *Upstream, conf config.Upstream) (Change, bool) {
	old := u.Conf
	unchanged := old.Address == conf.Address && old.Domain == conf.Domain && old.Index == conf.Index &&
		old.Service == conf.Service && old.ConnLimit == conf.ConnLimit && old.Phase == conf.Phase
	moved := old.Index != conf.Index || !slices.Equal(old.Shards, conf.Shards)
	u.Conf = conf
	if unchanged && !moved {
		return Change{}, false
	}
	for _, s := range old.Shards {
		if old.Index != conf.Index || !slices.Contains(conf.Shards, s) {
			m.removeReplica(u, s)
		}
	}
	u.Index.pinStale = true
	u.Index = m.ensureIndex(conf.Index)
	u.Index.pinStale = true
	for _, s := range conf.Shards {
		if old.Index != conf.Index || !slices.Contains(old.Shards, s) {
			m.addReplica(u, s)
		}
	}
	c := Change{
		Kind:     Changed,
		Upstream: u,
	}
	if moved {
		c.Kind = Moved
	}
	return c, true
}

func (m *Map) ensureIndex(name ident.Index) *Index {
	ix := m.indexes[name]
	if ix == nil {
		ix = &Index{Name: name}
		m.indexes[name] = ix
	}
	return ix
}

func (m *Map) addReplica(u *Upstream, name ident.Shard) {
	ix := u.Index
	s := m.shards[shardKey{ix.Name, name}]
	if s == nil {
		s = &Shard{
			Name:  name,
			Index: ix,
		}
		m.shards[shardKey{ix.Name, name}] = s
		pos, _ := slices.BinarySearchFunc(ix.Shards, name, compareShard)
		ix.Shards = slices.Insert(ix.Shards, pos, s)
	}
	r := &Replica{
		Upstream: u,
		Shard:    s,
	}
	u.Replicas = append(u.Replicas, r)
	pos, _ := slices.BinarySearchFunc(s.Replicas, u.Conf.ID, compareUpstream)
	s.Replicas = slices.Insert(s.Replicas, pos, r)
	ix.pinStale = true
}

func (m *Map) removeReplica(u *Upstream, name ident.Shard) {
	s := m.shards[shardKey{u.Index.Name, name}]
	u.Replicas = slices.DeleteFunc(u.Replicas, func(r *Replica) bool { return r.Shard == s })
	s.Replicas = slices.DeleteFunc(s.Replicas, func(r *Replica) bool { return r.Upstream == u })
	s.Index.pinStale = true
	if len(s.Replicas) == 0 {
		m.maybeEmpty = append(m.maybeEmpty, s)
	}
}

// removeEmptyShards removes shards without replicas. It runs after all changes,
// since a shard that moves may be without a replica in between.
func (m *Map) removeEmptyShards() {
	for _, s := range m.maybeEmpty {
		if len(s.Replicas) > 0 {
			continue
		}
		delete(m.shards, shardKey{s.Index.Name, s.Name})
		s.Index.Shards = slices.DeleteFunc(s.Index.Shards, func(o *Shard) bool { return o == s })
	}
	m.maybeEmpty = m.maybeEmpty[:0]
}

func compareShard(s *Shard, name ident.Shard) int {
	return strings.Compare(string(s.Name), string(name))
}

func compareUpstream(r *Replica, id ident.Upstream) int {
	return strings.Compare(string(r.Upstream.Conf.ID), string(id))
}
