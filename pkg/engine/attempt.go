package engine

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// plan pins q to a version and sends one attempt per shard.
func (e *Engine) plan(now ident.Instant, q *query) {
	q.version = e.pinned(q.index).version
	q.plans++
	q.tasks = make([]task, len(q.index.shards))
	q.open = len(q.tasks)
	for i, s := range q.index.shards {
		q.tasks[i].shard = s
	}
	for i := range q.tasks {
		e.try(now, q, i, First)
	}
	e.settle(now, q)
}

// try sends one attempt for a task, or marks it missing if no upstream is left.
func (e *Engine) try(now ident.Instant, q *query, i int, why Reason) {
	t := &q.tasks[i]
	r := e.choose(q, t)
	if r == nil {
		if len(t.running) == 0 {
			e.miss(q, i, e.whyMissing(q, t))
		}
		return
	}
	e.send(now, q, i, r, why)
}

// choose returns the replica for the next attempt, or nil.
func (e *Engine) choose(q *query, t *task) *replica {
	var best *replica
	for _, r := range t.shard.replicas {
		if !e.eligible(r.up) || !r.holds(q.version) || slices.Contains(t.tried, r.up) {
			continue
		}
		if best == nil || r.up.outstanding < best.up.outstanding {
			best = r
		}
	}
	return best
}

func (e *Engine) send(now ident.Instant, q *query, i int, r *replica, why Reason) {
	t := &q.tasks[i]
	e.last++
	a := &attempt{
		id:      e.last,
		query:   q,
		task:    i,
		replica: r,
		up:      r.up,
		reason:  why,
		sentAt:  now,
	}
	e.attempts[a.id] = a
	t.running = append(t.running, a)
	t.tried = append(t.tried, r.up)
	r.up.outstanding++
	e.emit(Send{
		Attempt:   a.id,
		Query:     q.ask.Query,
		Request:   q.ask.Request,
		Upstream:  r.up.conf.ID,
		Address:   r.up.conf.Address,
		Index:     q.ask.Index,
		Shard:     t.shard.name,
		Version:   q.version,
		Terms:     q.ask.Terms,
		Limit:     q.ask.Limit,
		Class:     q.ask.Class,
		Reason:    why,
		Remaining: q.remaining(now),
	})
}

// whyMissing says why no upstream can serve the shard of t.
func (e *Engine) whyMissing(q *query, t *task) MissingReason {
	cutOff, gone := false, false
	for _, r := range t.shard.replicas {
		switch {
		case !e.reachable(r.up):
			cutOff = true
		case e.eligible(r.up) && r.known && len(r.versions) > 0 && !r.holds(q.version):
			gone = true
		}
	}
	switch {
	case gone:
		return MissingVersionGone
	case cutOff:
		return MissingCutOff
	default:
		return MissingLost
	}
}

// release ends the attempt with the given id. It returns nil if the attempt
// is unknown, or if it was cancelled and its result does not matter.
func (e *Engine) release(id ident.AttemptID) *attempt {
	a := e.attempts[id]
	if a == nil {
		return nil
	}
	delete(e.attempts, id)
	a.up.outstanding--
	if a.query == nil {
		return nil
	}
	t := &a.query.tasks[a.task]
	t.running = slices.DeleteFunc(t.running, func(o *attempt) bool { return o == a })
	return a
}

// cancel stops the running attempts of a task.
func (e *Engine) cancel(t *task) {
	for _, a := range t.running {
		a.query = nil
		e.emit(Cancel{Attempt: a.id})
	}
	t.running = nil
}
