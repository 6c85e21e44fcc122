package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/hedge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// shard is one shard with the upstreams that hold it. It stays the same object
// over configurations, so queries in flight see the new placement.
type shard struct {
	name     ident.Shard
	index    *index
	replicas []*replica // sorted by upstream
	// waiting lists the tasks that wait for room, the most important class
	// first. They go before queries that were not admitted yet.
	waiting []waiter
}

type shardKey struct {
	index ident.Index
	shard ident.Shard
}

// replica is one shard on one upstream.
type replica struct {
	up    *upstream
	shard *shard
	// versions is sorted; it is meaningful once known is set.
	versions []ident.IndexVersion
	known    bool
}

// index is one index with its shards, sorted by name.
type index struct {
	name   ident.Index
	shards []*shard
	pin    pin
	queue  *limit.Queue[*query]
	timer  timer // next look at a blocked queue
	// blocked is the shard without room that the queue waits for.
	blocked *shard
	hedges  *limit.Bucket
	pace    limit.Pace
	run     time.Duration // mean time from the first attempt to the answer
}

type serviceKey struct {
	index   ident.Index
	service ident.Service
}

// service is what is learned per service.
type service struct {
	delay   *hedge.Delay
	retries *limit.Bucket
}

func (e *Engine) newIndex(name ident.Index) *index {
	ix := &index{
		name:   name,
		queue:  limit.NewQueue[*query](&e.waiting),
		hedges: hedge.NewBudget(e.preset.HedgePercent),
	}
	ix.queue.SetOrder(limit.Order(*e.preset))
	ix.timer.index = ix
	e.indexes[name] = ix
	return ix
}

func (e *Engine) newService(key serviceKey) *service {
	s := &service{
		delay:   hedge.NewDelay(e.preset.HedgePercent),
		retries: limit.NewBucket(e.preset.RetryPercent, retryBurst, retryStart),
	}
	e.services[key] = s
	return s
}

// applyPreset sets the budgets and the order of classes for new attempts.
// Queries in flight keep the deadline and the hedging of their own preset.
func (e *Engine) applyPreset(p preset.Preset) {
	e.preset = &p
	for _, ix := range e.indexes {
		ix.hedges.SetPercent(p.HedgePercent)
		ix.queue.SetOrder(limit.Order(p))
	}
	for _, s := range e.services {
		s.delay.SetPercent(p.HedgePercent)
		s.retries.SetPercent(p.RetryPercent)
	}
}

func (r *replica) holds(v ident.IndexVersion) bool {
	return r.known && slices.Contains(r.versions, v)
}

// applied puts a configuration in force. Only upstreams that differ are
// touched, since one change among many upstreams is the usual case.
func (e *Engine) applied(now ident.Instant, next *config.State) {
	if next == nil || next.Version.Less(e.state.Version) {
		return
	}
	old := e.state
	e.state = next
	if p := next.Preset(); p != *e.preset {
		e.applyPreset(p)
	}
	i, j := 0, 0
	for i < len(old.Upstreams) || j < len(next.Upstreams) {
		order := 0
		switch {
		case i == len(old.Upstreams):
			order = 1
		case j == len(next.Upstreams):
			order = -1
		default:
			order = strings.Compare(string(old.Upstreams[i].ID), string(next.Upstreams[j].ID))
		}
		switch {
		case order < 0:
			e.remove(old.Upstreams[i].ID)
			i++
		case order > 0:
			e.add(now, next.Upstreams[j])
			j++
		default:
			e.change(now, next.Upstreams[j])
			i++
			j++
		}
	}
	e.sweepShards()
	if old.Seats != next.Seats {
		e.share()
	}
	e.pumpAll(now)
}

// sweepShards forgets shards that no upstream holds any more. It runs after
// all changes, since a shard that moves is without upstream in between.
func (e *Engine) sweepShards() {
	for _, s := range e.emptied {
		if len(s.replicas) > 0 {
			continue
		}
		ix := s.index
		delete(e.shards, shardKey{ix.name, s.name})
		ix.shards = slices.DeleteFunc(ix.shards, func(o *shard) bool { return o == s })
	}
	e.emptied = e.emptied[:0]
}

func (e *Engine) add(now ident.Instant, conf config.Upstream) {
	u := e.newUpstream(conf)
	e.upstreams[conf.ID] = u
	for _, s := range conf.Shards {
		e.place(u, s)
	}
	e.warm(u)
	e.arm(&u.timer, now)
}

func (e *Engine) remove(id ident.Upstream) {
	u := e.upstreams[id]
	delete(e.upstreams, id)
	e.disarm(&u.timer)
	u.conf.Phase = config.Retiring // queries in flight may still refer to it
	for _, s := range u.conf.Shards {
		e.unplace(u, s)
	}
	e.warm(u)
}

// change takes over the new description of an upstream; what it is known to
// hold of shards that stay is kept.
func (e *Engine) change(now ident.Instant, conf config.Upstream) {
	u := e.upstreams[conf.ID]
	old := u.conf
	same := old.Address == conf.Address && old.Domain == conf.Domain && old.Index == conf.Index &&
		old.Service == conf.Service && old.ConnLimit == conf.ConnLimit && old.Phase == conf.Phase
	moved := !slices.Equal(old.Shards, conf.Shards)
	if same && !moved {
		u.conf = conf
		return
	}
	if old.Index != conf.Index {
		e.remove(conf.ID)
		e.add(now, conf)
		return
	}
	u.conf = conf
	e.describe(u)
	for _, s := range old.Shards {
		if !slices.Contains(conf.Shards, s) {
			e.unplace(u, s)
		}
	}
	for _, s := range conf.Shards {
		if !slices.Contains(old.Shards, s) {
			e.place(u, s)
		}
	}
	if moved {
		e.arm(&u.timer, now)
		u.heard = 0
	}
	e.indexes[conf.Index].pin.dirty = true
	e.warm(u)
}

func (e *Engine) place(u *upstream, name ident.Shard) {
	ix := e.indexes[u.conf.Index]
	if ix == nil {
		ix = e.newIndex(u.conf.Index)
	}
	s := e.shards[shardKey{ix.name, name}]
	if s == nil {
		s = &shard{
			name:  name,
			index: ix,
		}
		e.shards[shardKey{ix.name, name}] = s
		at, _ := slices.BinarySearchFunc(ix.shards, name, byShard)
		ix.shards = slices.Insert(ix.shards, at, s)
	}
	r := &replica{
		up:    u,
		shard: s,
	}
	u.replicas = append(u.replicas, r)
	at, _ := slices.BinarySearchFunc(s.replicas, u.conf.ID, byUpstream)
	s.replicas = slices.Insert(s.replicas, at, r)
	ix.pin.dirty = true
}

func (e *Engine) unplace(u *upstream, name ident.Shard) {
	s := e.shards[shardKey{u.index.name, name}]
	u.replicas = slices.DeleteFunc(u.replicas, func(r *replica) bool { return r.shard == s })
	s.replicas = slices.DeleteFunc(s.replicas, func(r *replica) bool { return r.up == u })
	s.index.pin.dirty = true
	if len(s.replicas) == 0 {
		e.emptied = append(e.emptied, s)
	}
}

func byShard(s *shard, name ident.Shard) int {
	return strings.Compare(string(s.name), string(name))
}

func byUpstream(r *replica, id ident.Upstream) int {
	return strings.Compare(string(r.up.conf.ID), string(id))
}
