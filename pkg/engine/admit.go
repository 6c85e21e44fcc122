package engine

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// enqueue admits q at once if possible, queues it if there is no room yet, and
// otherwise rejects it.
func (e *Engine) enqueue(now ident.Instant, q *query) {
	ix := q.index
	q.waiter = limit.Waiter[*query]{
		Item:     q,
		Class:    q.arrival.Class,
		Deadline: q.deadline,
	}
	if ix.queue.Len() == 0 && now >= e.earliestAdmission(q) {
		switch e.admission(now, ix) {
		case admitNow:
			ix.recordAdmission(now, q.rank)
			e.plan(now, q)
			return
		case admitNever:
			e.reject(q, remedyNoUpstream)
			return
		}
	}
	switch ix.queue.Offer(now, &q.waiter, q.limits.QueueBound, ix.meanRunTime) {
	case limit.Full:
		e.reject(q, "the queue of class "+q.arrival.Class.String()+" is full: send the request again later")
	case limit.Late:
		e.reject(q, "the wait would pass the deadline: send the request again later or give it more time")
	case limit.Queued:
		e.admitQueued(now, ix)
	}
}

const remedyNoUpstream = "no upstream that holds a shard of the index can be reached: check the upstreams"

func (e *Engine) admitAllQueued(now ident.Instant) {
	for _, ix := range e.indexes {
		e.admitQueued(now, ix)
	}
}

// admitQueued admits queued queries as long as an attempt for each of their
// shards can be sent.
func (e *Engine) admitQueued(now ident.Instant, ix *index) {
	for w := ix.queue.Head(); w != nil; w = ix.queue.Head() {
		q := w.Item
		if q.remaining(now) < ix.meanRunTime {
			e.reject(q, "too little time was left after the wait: send the request again later or give it more time")
			continue
		}
		if next := e.earliestAdmission(q); now < next {
			e.arm(&ix.queueTimer, min(next, now.Add(roomPollInterval)))
			return
		}
		switch e.admission(now, ix) {
		case admitNow:
			ix.recordAdmission(now, q.rank)
			ix.queue.Admit(now, w)
			e.plan(now, q)
		case admitNever:
			e.reject(q, remedyNoUpstream)
		case admitLater:
			e.arm(&ix.queueTimer, now.Add(roomPollInterval))
			return
		}
	}
	e.disarm(&ix.queueTimer)
}

// earliestAdmission returns the time from which the pace of its class permits
// the admission of q. The class that is shed last is not paced.
func (e *Engine) earliestAdmission(q *query) ident.Instant {
	if q.rank == 0 || e.cfg.Policy != PolicyTolerant {
		return 0
	}
	pace := q.index.paces[q.rank-1]
	if pace.Sparse(q.index.meanRunTime) {
		return 0
	}
	return pace.Next()
}

// recordAdmission records an admission in the paces of all classes.
func (ix *index) recordAdmission(now ident.Instant, rank int) {
	for _, p := range ix.paces {
		p.Admitted(now, rank)
	}
}

// observeSlowdown feeds the paces with the ratio of an answer's latency to the
// latency without load.
func (ix *index) observeSlowdown(now ident.Instant, slowdown float64) {
	for _, p := range ix.paces {
		p.Observe(now, slowdown, ix.meanRunTime)
	}
}

// rank returns the number of classes that are shed later than c.
func rank(p *preset.Preset, c preset.Class) int {
	n := 0
	for _, other := range preset.Classes {
		if p.Limits(other).ShedOrder < p.Limits(c).ShedOrder {
			n++
		}
	}
	return n
}

type admission uint8

const (
	admitNow admission = iota
	admitLater
	admitNever
)

// admission reports whether one attempt for each shard of ix can be sent now.
// Shards that no upstream can serve do not block admission.
func (e *Engine) admission(now ident.Instant, ix *index) admission {
	pin := e.layout.Pinned(ix.Index)
	if pin.Waiting {
		return admitLater
	}
	if pin.Version == 0 {
		return admitNever
	}
	if e.cfg.Policy != PolicyTolerant {
		return admitNow
	}
	if ix.fullShard != nil && e.shardRoom(now, ix.fullShard, pin.Version) == route.RoomFull {
		return admitLater
	}
	ix.fullShard = nil
	anyFree := false
	for _, s := range ix.Shards {
		switch e.shardRoom(now, s, pin.Version) {
		case route.RoomFull:
			ix.fullShard = s
			return admitLater
		case route.RoomFree:
			anyFree = true
		}
	}
	if !anyFree {
		return admitLater // every upstream is unhealthy and full
	}
	return admitNow
}

func (e *Engine) shardRoom(now ident.Instant, s *layout.Shard, v ident.IndexVersion) route.Room {
	if len(e.waitingTasks[s]) > 0 {
		return route.RoomFull
	}
	e.collectCandidates(now, s, v, nil)
	return route.CheckRoom(now, e.candidates)
}

// reuseRoom uses the room that the end of a request to u left: first for tasks
// that wait for it, then for queued queries.
func (e *Engine) reuseRoom(now ident.Instant, u *upstream) {
	if len(e.waitingTasks) > 0 {
		for _, r := range u.Replicas {
			e.resumeWaiting(now, r.Shard)
		}
	}
	ix := u.index
	if ix.queue.Len() == 0 {
		return
	}
	if ix.fullShard != nil {
		for _, r := range u.Replicas {
			if r.Shard == ix.fullShard {
				e.admitQueued(now, ix)
				return
			}
		}
		return
	}
	e.admitQueued(now, ix)
}
