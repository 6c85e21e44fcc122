package engine

import (
	"github.com/jujubethread/jujubethread/pkg/hedge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// checkTasks handles every task of q whose check is due: a waiting one is
// resumed, a late one is hedged.
func (e *Engine) checkTasks(now ident.Instant, q *query) {
	suppressed := e.hedgingSuppressed(now, q)
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.state != taskRunning || t.checkAt == 0 || now < t.checkAt {
			continue
		}
		t.checkAt = 0
		switch {
		case t.waitReason != "":
			e.resumeTask(now, q, i)
		case suppressed || !e.hedgeTask(now, q, i):
			// Check again: the overload may end, or the budget may gain a token,
			// while the attempt still runs.
			t.checkAt = now.Add(max(retryDelay, t.lateAt.Sub(t.running[0].sentAt)/2))
		}
	}
	e.finishIfSettled(now, q)
	e.armQueryTimer(q)
}

// hedgingSuppressed reports whether so many tasks of q are late that overload
// is the likely cause, which hedges would make worse.
func (e *Engine) hedgingSuppressed(now ident.Instant, q *query) bool {
	return hedge.Suppressed(e.countLateTasks(now, q), len(q.tasks), q.preset.SuppressPercent)
}

// countLateTasks counts the tasks whose first attempt is late, except those at
// failing or unhealthy upstreams, which are not late because of overload.
func (e *Engine) countLateTasks(now ident.Instant, q *query) int {
	n := 0
	for i := range q.tasks {
		t := &q.tasks[i]
		if t.state == taskRunning && t.running[0] != nil && now >= t.lateAt &&
			!t.running[0].upstream.peer.Failing(now) && !t.running[0].upstream.peer.Unhealthy(now) {
			n++
		}
	}
	return n
}

// hedgeTask sends a second attempt for a late task, or lets the task wait if
// there is no room. It returns false if it did neither.
func (e *Engine) hedgeTask(now ident.Instant, q *query, i int) bool {
	t := &q.tasks[i]
	if q.suspect {
		return false
	}
	reserve := 0
	if q.rank > 0 {
		reserve = hedgeReserve
	}
	if !q.index.hedgeBudget.CanTake(reserve) {
		return false
	}
	r, room := e.chooseReplica(now, q, t, Hedge, false)
	if r == nil && room == route.RoomFull {
		e.waitForRoom(now, q, i, Hedge)
		return true
	}
	if r == nil || upstreamOf(r.Upstream).peer.Unhealthy(now) || !q.mayAnswerInTime(now, upstreamOf(r.Upstream), Hedge) || !q.index.hedgeBudget.Take() {
		return false
	}
	t.hedged = true
	e.send(now, q, i, r, Hedge)
	return true
}
