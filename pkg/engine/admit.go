package engine

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// enqueue lets q wait for admission, which may come at once.
func (e *Engine) enqueue(now ident.Instant, q *query) {
	ix := q.index
	q.waiter = limit.Waiter[*query]{
		Item:     q,
		Class:    q.ask.Class,
		Deadline: q.deadline,
	}
	if ix.queue.Len() == 0 && now >= e.nextPaced(q) {
		switch e.admission(now, ix) {
		case admitNow:
			ix.admitted(now, q.rank)
			e.plan(now, q)
			return
		case admitNever:
			e.refuse(q, unserved)
			return
		}
	}
	switch ix.queue.Offer(now, &q.waiter, q.limits.QueueBound, ix.run) {
	case limit.Full:
		e.refuse(q, "the queue of class "+q.ask.Class.String()+" is full: send the request again later")
	case limit.Late:
		e.refuse(q, "the wait would pass the deadline: send the request again later or give it more time")
	case limit.Queued:
		e.pump(now, ix)
	}
}

const unserved = "no upstream that holds a shard of the index can be reached: check the upstreams"

func (e *Engine) pumpAll(now ident.Instant) {
	for _, ix := range e.indexes {
		e.pump(now, ix)
	}
}

// pump admits waiting queries while all their shards can be sent at once.
func (e *Engine) pump(now ident.Instant, ix *index) {
	for w := ix.queue.Head(); w != nil; w = ix.queue.Head() {
		q := w.Item
		if q.remaining(now) < ix.run {
			e.refuse(q, "too little time was left after the wait: send the request again later or give it more time")
			continue
		}
		if next := e.nextPaced(q); now < next {
			e.arm(&ix.timer, min(next, now.Add(pumpEvery)))
			return
		}
		switch e.admission(now, ix) {
		case admitNow:
			ix.admitted(now, q.rank)
			ix.queue.Admit(now, w)
			e.plan(now, q)
		case admitNever:
			e.refuse(q, unserved)
		case admitLater:
			e.arm(&ix.timer, now.Add(pumpEvery))
			return
		}
	}
	e.disarm(&ix.timer)
}

// nextPaced returns the time from which the pace of its class allows q. The
// foremost class is not paced.
func (e *Engine) nextPaced(q *query) ident.Instant {
	if q.rank == 0 || e.cfg.Policy != PolicyTolerant {
		return 0
	}
	p := q.index.paces[q.rank-1]
	if p.Sparse(q.index.run) {
		return 0
	}
	return p.Next()
}

// admitted notes an admission in the paces of all classes.
func (ix *index) admitted(now ident.Instant, rank int) {
	for _, p := range ix.paces {
		p.Admitted(now, rank)
	}
}

// observe tells the paces how much slower than usual an upstream answered.
func (ix *index) observe(now ident.Instant, slowdown float64) {
	for _, p := range ix.paces {
		p.Observe(now, slowdown, ix.run)
	}
}

// rank returns the number of classes that are shed later than c.
func rank(p *preset.Preset, c preset.Class) int {
	n := 0
	for _, o := range preset.Classes {
		if p.Limits(o).ShedOrder < p.Limits(c).ShedOrder {
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

// admission tells whether one attempt for every shard of ix can be sent now.
// Shards that no upstream can serve do not hold a query back.
func (e *Engine) admission(now ident.Instant, ix *index) admission {
	p := e.places.Pinned(ix.Index)
	if p.Waiting {
		return admitLater
	}
	if p.Version == 0 {
		return admitNever
	}
	if e.cfg.Policy != PolicyTolerant {
		return admitNow
	}
	if ix.blocked != nil && e.room(now, ix.blocked, p.Version) == route.RoomFull {
		return admitLater
	}
	ix.blocked = nil
	free := false
	for _, s := range ix.Shards {
		switch e.room(now, s, p.Version) {
		case route.RoomFull:
			ix.blocked = s
			return admitLater
		case route.RoomFree:
			free = true
		}
	}
	if !free {
		return admitLater // every upstream is bad and full
	}
	return admitNow
}

func (e *Engine) room(now ident.Instant, s *layout.Shard, v ident.IndexVersion) route.Room {
	if len(e.lists[s]) > 0 {
		return route.RoomFull
	}
	e.gather(now, s, v, nil)
	return route.CheckRoom(now, e.cands)
}

// freed gives the room of a request to u that ended to tasks that wait for
// it, and what is left to the queue.
func (e *Engine) freed(now ident.Instant, u *upstream) {
	if len(e.lists) > 0 {
		for _, r := range u.Replicas {
			e.serve(now, r.Shard)
		}
	}
	ix := u.index
	if ix.queue.Len() == 0 {
		return
	}
	if ix.blocked != nil {
		for _, r := range u.Replicas {
			if r.Shard == ix.blocked {
				e.pump(now, ix)
				return
			}
		}
		return
	}
	e.pump(now, ix)
}
