package engine

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
)

// waiter is a task that waits for room at the upstreams of its shard.
type waiter struct {
	query *query
	task  int
}

// await lists a task until an upstream of its shard has room.
func (e *Engine) await(now ident.Instant, q *query, i int, why Reason) {
	t := &q.tasks[i]
	t.waiting = why
	t.check = now.Add(pumpEvery) // room can also come without a result
	if t.listed {
		return
	}
	t.listed = true
	list := e.lists[t.shard]
	at := len(list)
	for at > 0 && list[at-1].query.limits.ShedOrder > q.limits.ShedOrder {
		at--
	}
	e.lists[t.shard] = slices.Insert(list, at, waiter{
		query: q,
		task:  i,
	})
}

func (e *Engine) unlist(q *query, i int) {
	t := &q.tasks[i]
	if !t.listed {
		return
	}
	t.listed = false
	list := slices.DeleteFunc(e.lists[t.shard], func(w waiter) bool { return w.query == q && w.task == i })
	if len(list) == 0 {
		delete(e.lists, t.shard)
		return
	}
	e.lists[t.shard] = list
}

// serve resumes the tasks that wait for room at s, as long as there is room.
func (e *Engine) serve(now ident.Instant, s *layout.Shard) {
	for len(e.lists[s]) > 0 {
		w := e.lists[s][0]
		e.resume(now, w.query, w.task)
		e.settle(now, w.query)
		e.schedule(w.query)
		if list := e.lists[s]; len(list) > 0 && list[0] == w {
			return
		}
	}
}

// resume makes the attempt that a task waits for, or lets it wait on.
func (e *Engine) resume(now ident.Instant, q *query, i int) {
	t := &q.tasks[i]
	why := t.waiting
	t.waiting, t.check = "", 0
	switch {
	case t.state != taskRunning:
	case why != Hedge:
		e.try(now, q, i, why, "")
	case t.running[0] != nil && (e.suppressed(now, q) || !e.hedge(now, q, i)):
		t.check = now.Add(max(retryPause, t.late.Sub(t.running[0].sentAt)/2))
	}
	if t.waiting == "" {
		e.unlist(q, i)
	}
}
