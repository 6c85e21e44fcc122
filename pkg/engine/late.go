package engine

import (
	"github.com/jujubethread/jujubethread/pkg/hedge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// checkTasks looks at every task of q that is due: a waiting one looks for
// room again, a late one is hedged.
func (e *Engine) checkTasks(now ident.Instant, q *query) {
	suppressed := e.suppressed(now, q)
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.state != taskRunning || t.check == 0 || now < t.check {
			continue
		}
		t.check = 0
		switch {
		case t.waiting != "":
			e.resume(now, q, i)
		case suppressed || !e.hedge(now, q, i):
			// The attempt may outlast the overload, or a token may come in.
			t.check = now.Add(max(retryPause, t.late.Sub(t.running[0].sentAt)/2))
		}
	}
	e.settle(now, q)
	e.schedule(q)
}

// suppressed reports whether so many tasks of q are late that hedges would
// only add to an overload.
func (e *Engine) suppressed(now ident.Instant, q *query) bool {
	return hedge.Suppressed(e.lateTasks(now, q), len(q.tasks), q.preset.SuppressPercent)
}

// lateTasks counts the tasks whose first attempt is late. Upstreams that fail
// do not count, since their lateness does not come from overload.
func (e *Engine) lateTasks(now ident.Instant, q *query) int {
	n := 0
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.state == taskRunning && t.running[0] != nil && now >= t.late &&
			!t.running[0].up.peer.Failing(now) && !t.running[0].up.peer.Unhealthy(now) {
			n++
		}
	}
	return n
}

// hedge sends a second attempt for a late task, or lists it if there is no
// room. It reports whether it did one of both.
func (e *Engine) hedge(now ident.Instant, q *query, i int) bool {
	t := &q.tasks[i]
	spare := 0
	if q.rank > 0 {
		spare = hedgeSpare
	}
	if !q.index.hedges.CanTake(spare) {
		return false
	}
	r, room := e.choose(now, q, t, false)
	if r == nil && room == route.RoomFull {
		e.await(now, q, i, Hedge)
		return true
	}
	if r == nil || up(r.Upstream).peer.Unhealthy(now) || !q.worthwhile(now, up(r.Upstream), Hedge) || !q.index.hedges.Take() {
		return false
	}
	t.hedged = true
	e.send(now, q, i, r, Hedge)
	return true
}
