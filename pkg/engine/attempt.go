package engine

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// plan pins q to a version and sends one attempt per shard. A new plan drops
// everything an earlier one got.
func (e *Engine) plan(now ident.Instant, q *query) {
	if q.plans == 0 {
		q.began = now
	}
	q.plans++
	q.version = e.places.Pinned(q.index.Index).Version
	for i := range q.tasks {
		e.cancel(now, &q.tasks[i])
		e.unlist(q, i)
	}
	q.tasks = make([]task, len(q.index.Shards))
	q.open = len(q.tasks)
	if e.out == nil {
		e.out = make([]Effect, 0, len(q.tasks)+2)
	}
	for i, s := range q.index.Shards {
		t := &q.tasks[i]
		t.shard = s
		t.tried = t.tried0[:0]
	}
	for i := range q.tasks {
		e.try(now, q, i, First, "")
	}
	e.settle(now, q)
	e.schedule(q)
}

// try sends one attempt for a task. If there is no room the task waits, and if
// no upstream is left it is missing; last is the failure that led here, if any.
func (e *Engine) try(now ident.Instant, q *query, i int, why Reason, last FailKind) {
	t := &q.tasks[i]
	r, room := e.choose(now, q, t, why != First || q.plans > 1)
	switch {
	case r != nil && !q.worthwhile(now, up(r.Upstream), why):
		e.miss(q, i, MissingTimedOut)
	case r != nil:
		e.send(now, q, i, r, why)
	case room == route.RoomFull:
		e.await(now, q, i, why)
	default:
		e.miss(q, i, e.whyMissing(q, t, last))
	}
}

// gather fills e.cands and e.holders with the upstreams that may serve s at v.
func (e *Engine) gather(now ident.Instant, s *layout.Shard, v ident.IndexVersion, tried []*upstream) {
	e.cands, e.holders = e.cands[:0], e.holders[:0]
	for _, r := range s.Replicas {
		u := up(r.Upstream)
		if !e.places.Eligible(r.Upstream) || !r.Holds(v) || (u.Unreachable() && now < u.trial) {
			continue
		}
		e.cands = append(e.cands, route.Candidate{
			Peer:       &u.peer,
			SameDomain: u.Conf.Domain == e.cfg.Domain,
			Limit:      u.limit.Limit(),
			Tried:      slices.Contains(tried, u),
		})
		e.holders = append(e.holders, r)
	}
}

// choose returns the replica for the next attempt, or nil and why there is
// none. A retry may use the whole connection share, since the query holds
// what other shards answered.
func (e *Engine) choose(now ident.Instant, q *query, t *task, whole bool) (*layout.Replica, route.Room) {
	e.gather(now, t.shard, q.version, t.tried)
	if e.cfg.Policy != PolicyTolerant {
		return e.chance(), route.RoomNone
	}
	if whole {
		for i := range e.cands {
			e.cands[i].Limit = up(e.holders[i].Upstream).limit.Ceiling()
		}
	}
	if i := e.picker.Pick(now, e.cands); i >= 0 {
		return e.holders[i], route.RoomFree
	}
	e.cands = slices.DeleteFunc(e.cands, func(c route.Candidate) bool { return c.Tried })
	return nil, route.CheckRoom(now, e.cands)
}

// chance returns a random holder that was not tried, or any if all were. The
// baselines use it: they learn nothing about upstreams.
func (e *Engine) chance() *layout.Replica {
	untried := 0
	for i := range e.cands {
		if !e.cands[i].Tried {
			untried++
		}
	}
	if len(e.cands) == 0 {
		return nil
	}
	if untried == 0 {
		return e.holders[e.rng.IntN(len(e.holders))]
	}
	n := e.rng.IntN(untried)
	for i := range e.cands {
		if e.cands[i].Tried {
			continue
		}
		if n == 0 {
			return e.holders[i]
		}
		n--
	}
	return nil
}

// worthwhile reports whether u can be expected to answer before the deadline.
// A first attempt is always made: the usual latency may not be known yet.
func (q *query) worthwhile(now ident.Instant, u *upstream, why Reason) bool {
	if why == First {
		return q.remaining(now) > 0
	}
	return q.remaining(now) > u.service.delay.After()/2
}

func (e *Engine) send(now ident.Instant, q *query, i int, r *layout.Replica, why Reason) {
	t := &q.tasks[i]
	u := up(r.Upstream)
	a := e.newAttempt()
	*a = attempt{
		id:      a.id,
		query:   q,
		task:    i,
		replica: r,
		up:      u,
		reason:  why,
		sentAt:  now,
	}
	e.attempts[a.id] = a
	slot := 0
	if t.running[0] != nil {
		slot = 1
	}
	t.running[slot] = a
	t.tried = append(t.tried, u)
	t.tries++
	q.sent = true
	if why == First {
		q.index.hedges.Deposit()
		u.service.retries.Deposit()
	}
	if why != Hedge {
		t.late = now.Add(u.service.delay.After())
		t.check = 0
		if q.limits.Hedge && !t.hedged && e.cfg.Policy == PolicyTolerant {
			t.check = t.late
		}
	}
	if u.Unreachable() {
		u.trial = now.Add(trialEvery)
	}
	u.peer.Sent(now)
	e.emit(Send{
		Attempt:   a.id,
		Query:     q.ask.Query,
		Request:   q.ask.Request,
		Upstream:  u.Conf.ID,
		Address:   u.Conf.Address,
		Index:     q.ask.Index,
		Shard:     t.shard.Name,
		Version:   q.version,
		Terms:     q.ask.Terms,
		Limit:     q.ask.Limit,
		Class:     q.ask.Class,
		Reason:    why,
		Remaining: q.remaining(now),
	})
}

// newAttempt returns a free attempt with a new id.
func (e *Engine) newAttempt() *attempt {
	a := &attempt{}
	if n := len(e.spare); n > 0 {
		a = e.spare[n-1]
		e.spare = e.spare[:n-1]
	}
	e.last++
	a.id = e.last
	return a
}

// release ends the attempt with the given id and frees its place. It returns
// false if the attempt is unknown, or if it was cancelled and its result does
// not matter.
func (e *Engine) release(now ident.Instant, id ident.AttemptID) (attempt, bool) {
	a := e.attempts[id]
	if a == nil {
		return attempt{}, false
	}
	delete(e.attempts, id)
	ended := *a
	a.up.peer.Released()
	if ended.query != nil {
		e.detach(a)
	}
	*a = attempt{}
	e.spare = append(e.spare, a)
	if ended.query == nil {
		e.freed(now, ended.up)
		return attempt{}, false
	}
	return ended, true
}

// detach takes an attempt out of its task; its result will not matter.
func (e *Engine) detach(a *attempt) {
	t := &a.query.tasks[a.task]
	if t.running[0] == a {
		t.running[0] = t.running[1]
	}
	t.running[1] = nil
	a.query = nil
}

// cancel stops the running attempts of a task.
func (e *Engine) cancel(now ident.Instant, t *task) {
	for i, a := range t.running {
		if a == nil {
			continue
		}
		t.running[i] = nil
		a.query = nil
		e.emit(Cancel{Attempt: a.id})
		if now >= t.late && a.reason != Hedge && t.state == taskAnswered {
			a.up.peer.Superseded(now, now.Sub(a.sentAt))
			a.up.service.delay.Observe(now.Sub(a.sentAt))
		}
	}
}

// expire notes that the deadline cuts off the running attempts of a task.
func (e *Engine) expire(now ident.Instant, t *task) {
	for _, a := range t.running {
		if a == nil {
			continue
		}
		elapsed := now.Sub(a.sentAt)
		if elapsed >= lateFactor*a.up.service.delay.After() {
			a.up.peer.Failed(now)
			a.up.limit.Overloaded(now)
			a.up.service.delay.Observe(elapsed)
		}
	}
	e.cancel(now, t)
}
