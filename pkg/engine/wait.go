package engine

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
)

// waitingTask is a task that waits for room at the upstreams of its shard.
type waitingTask struct {
	query *query
	task  int
}

// waitForRoom lets a task wait until an upstream of its shard has room. Within
// a shard, tasks of classes that are shed later come first.
func (e *Engine) waitForRoom(now ident.Instant, q *query, i int, reason Reason) {
	t := &q.tasks[i]
	t.waitReason = reason
	t.checkAt = now.Add(roomPollInterval) // room can also appear without a result
	if t.inWaitList {
		return
	}
	t.inWaitList = true
	waiting := e.waitingTasks[t.shard]
	pos := len(waiting)
	for pos > 0 && waiting[pos-1].query.limits.ShedOrder > q.limits.ShedOrder {
		pos--
	}
	e.waitingTasks[t.shard] = slices.Insert(waiting, pos, waitingTask{
		query: q,
		task:  i,
	})
}

func (e *Engine) removeWaiting(q *query, i int) {
	t := &q.tasks[i]
	if !t.inWaitList {
		return
	}
	t.inWaitList = false
	waiting := slices.DeleteFunc(e.waitingTasks[t.shard], func(w waitingTask) bool { return w.query == q && w.task == i })
	if len(waiting) == 0 {
		delete(e.waitingTasks, t.shard)
		return
	}
	e.waitingTasks[t.shard] = waiting
}

// resumeWaiting resumes the tasks that wait for room at s, as long as there is
// room.
func (e *Engine) resumeWaiting(now ident.Instant, s *layout.Shard) {
	for len(e.waitingTasks[s]) > 0 {
		first := e.waitingTasks[s][0]
		e.resumeTask(now, first.query, first.task)
		e.finishIfSettled(now, first.query)
		e.armQueryTimer(first.query)
		if waiting := e.waitingTasks[s]; len(waiting) > 0 && waiting[0] == first {
			return
		}
	}
}

// resumeTask sends the attempt that a task waits for if there is room now, and
// otherwise lets it wait again.
func (e *Engine) resumeTask(now ident.Instant, q *query, i int) {
	t := &q.tasks[i]
	reason := t.waitReason
	t.waitReason, t.checkAt = "", 0
	switch {
	case t.state != taskRunning:
	case reason != Hedge:
		e.startAttempt(now, q, i, reason, "")
	case t.running[0] != nil && (e.hedgingSuppressed(now, q) || !e.hedgeTask(now, q, i)):
		t.checkAt = now.Add(max(retryDelay, t.lateAt.Sub(t.running[0].sentAt)/2))
	}
	if t.waitReason == "" {
		e.removeWaiting(q, i)
	}
}
