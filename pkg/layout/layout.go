// Package place knows which upstreams hold which shards at which index
// versions, as far as the configuration, the upstreams' own reports and the
// host's connection seat tell. From that it derives the version that new
// queries are pinned to.
package layout

import (
	"slices"
	"strings"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Reach tells which upstreams a host may connect to.
type Reach uint8

// The reaches: no upstream, those of the own domain, all.
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
	// Own holds what the user of the package keeps per upstream.
	Own any

	draining    bool
	unreachable bool
}

// Shard is one shard with the upstreams that hold it. It stays the same object
// over configurations, so queries in flight see the new placement.
type Shard struct {
	Name     ident.Shard
	Index    *Index
	Replicas []*Replica // sorted by upstream
}

// Replica is one shard on one upstream.
type Replica struct {
	Up    *Upstream
	Shard *Shard

	versions []ident.IndexVersion // sorted; meaningful once known
	known    bool
}

// Index is one index.
type Index struct {
	Name   ident.Index
	Shards []*Shard // sorted by name
	// Own holds what the user of the package keeps per index.
	Own any

	pin   Pin
	dirty bool // pin has to be computed again
}

type shardKey struct {
	index ident.Index
	shard ident.Shard
}

// Map is the placement as one host sees it.
type Map struct {
	domain    ident.Domain
	reach     Reach
	upstreams map[ident.Upstream]*Upstream
	ordered   []*Upstream // sorted by id
	indexes   map[ident.Index]*Index
	shards    map[shardKey]*Shard
	emptied   []*Shard
}

// NewMap returns an empty map of a host of the given domain.
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

// Kind tells how an upstream changed.
type Kind uint8

// The kinds of change. Moved means that an upstream got other shards.
const (
	Added Kind = iota
	Removed
	Changed
	Moved
)

// Change is one changed upstream.
type Change struct {
	Kind Kind
	Up   *Upstream
}

// Apply takes over a list of upstreams that is sorted by id and returns what
// changed. Only upstreams that differ are touched, since one change among many
// upstreams is the usual case. What stays placed keeps its known versions.
func (m *Map) Apply(next []config.Upstream) []Change {
	var changes []Change
	old := m.ordered
	m.ordered = make([]*Upstream, 0, len(next))
	i := 0
	for j := range next {
		for i < len(old) && old[i].Conf.ID < next[j].ID {
			changes = append(changes, m.remove(old[i]))
			i++
		}
		if i < len(old) && old[i].Conf.ID == next[j].ID {
			if c, ok := m.change(old[i], next[j]); ok {
				changes = append(changes, c)
			}
			m.ordered = append(m.ordered, old[i])
			i++
			continue
		}
		c := m.add(next[j])
		m.ordered = append(m.ordered, c.Up)
		changes = append(changes, c)
	}
	for ; i < len(old); i++ {
		changes = append(changes, m.remove(old[i]))
	}
	m.sweep()
	return changes
}

func (m *Map) add(conf config.Upstream) Change {
	u := &Upstream{Conf: conf}
	m.upstreams[conf.ID] = u
	u.Index = m.index(conf.Index)
	for _, s := range conf.Shards {
		m.place(u, s)
	}
	return Change{
		Kind: Added,
		Up:   u,
	}
}

func (m *Map) remove(u *Upstream) Change {
	delete(m.upstreams, u.Conf.ID)
	u.Conf.Phase = config.Retiring // attempts in flight may still refer to it
	for _, s := range u.Conf.Shards {
		m.unplace(u, s)
	}
	return Change{
		Kind: Removed,
		Up:   u,
	}
}

func (m *Map) change(u *Upstream, conf config.Upstream) (Change, bool) {
	old := u.Conf
	same := old.Address == conf.Address && old.Domain == conf.Domain && old.Index == conf.Index &&
		old.Service == conf.Service && old.ConnLimit == conf.ConnLimit && old.Phase == conf.Phase
	moved := old.Index != conf.Index || !slices.Equal(old.Shards, conf.Shards)
	u.Conf = conf
	if same && !moved {
		return Change{}, false
	}
	for _, s := range old.Shards {
		if old.Index != conf.Index || !slices.Contains(conf.Shards, s) {
			m.unplace(u, s)
		}
	}
	u.Index.dirty = true
	u.Index = m.index(conf.Index)
	u.Index.dirty = true
	for _, s := range conf.Shards {
		if old.Index != conf.Index || !slices.Contains(old.Shards, s) {
			m.place(u, s)
		}
	}
	c := Change{
		Kind: Changed,
		Up:   u,
	}
	if moved {
		c.Kind = Moved
	}
	return c, true
}

func (m *Map) index(name ident.Index) *Index {
	ix := m.indexes[name]
	if ix == nil {
		ix = &Index{Name: name}
		m.indexes[name] = ix
	}
	return ix
}

func (m *Map) place(u *Upstream, name ident.Shard) {
	ix := u.Index
	s := m.shards[shardKey{ix.Name, name}]
	if s == nil {
		s = &Shard{
			Name:  name,
			Index: ix,
		}
		m.shards[shardKey{ix.Name, name}] = s
		at, _ := slices.BinarySearchFunc(ix.Shards, name, byShard)
		ix.Shards = slices.Insert(ix.Shards, at, s)
	}
	r := &Replica{
		Up:    u,
		Shard: s,
	}
	u.Replicas = append(u.Replicas, r)
	at, _ := slices.BinarySearchFunc(s.Replicas, u.Conf.ID, byUpstream)
	s.Replicas = slices.Insert(s.Replicas, at, r)
	ix.dirty = true
}

func (m *Map) unplace(u *Upstream, name ident.Shard) {
	s := m.shards[shardKey{u.Index.Name, name}]
	u.Replicas = slices.DeleteFunc(u.Replicas, func(r *Replica) bool { return r.Shard == s })
	s.Replicas = slices.DeleteFunc(s.Replicas, func(r *Replica) bool { return r.Up == u })
	s.Index.dirty = true
	if len(s.Replicas) == 0 {
		m.emptied = append(m.emptied, s)
	}
}

// sweep forgets shards that no upstream holds any more. It runs after all
// changes, since a shard that moves may be without upstream in between.
func (m *Map) sweep() {
	for _, s := range m.emptied {
		if len(s.Replicas) > 0 {
			continue
		}
		delete(m.shards, shardKey{s.Index.Name, s.Name})
		s.Index.Shards = slices.DeleteFunc(s.Index.Shards, func(o *Shard) bool { return o == s })
	}
	m.emptied = m.emptied[:0]
}

func byShard(s *Shard, name ident.Shard) int {
	return strings.Compare(string(s.Name), string(name))
}

func byUpstream(r *Replica, id ident.Upstream) int {
	return strings.Compare(string(r.Up.Conf.ID), string(id))
}
