package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// query is one search in flight.
type query struct {
	ask      QueryArrived
	preset   *preset.Preset
	limits   preset.Limits
	rank     int // 0 for the class that is shed last
	timer    timer
	waiter   limit.Waiter[*query]
	deadline ident.Instant
	began    ident.Instant // first attempts sent
	index    *index
	version  ident.IndexVersion
	plans    int
	tasks    []task // sorted by shard; empty until the first plan
	open     int    // tasks without an end
	sent     bool
}

// task is one shard of a query.
type task struct {
	shard   *layout.Shard
	state   taskState
	reason  MissingReason // while missing
	docs    []Document
	running [2]*attempt
	// tried lists the upstreams that get no further attempt in this round.
	tried  []*upstream
	tried0 [3]*upstream
	tries  int // attempts that may have run
	// late is when the first attempt is late; check is the next time to look
	// at the task, 0 for never.
	late   ident.Instant
	check  ident.Instant
	hedged bool
	// waiting is the reason of the attempt that waits for room, empty if none.
	waiting Reason
	// listed is set while the task is in the waiting list of its shard.
	listed bool
}

type taskState uint8

const (
	taskRunning taskState = iota
	taskAnswered
	taskMissing
)

// attempt is one request to one upstream. It lives until its result arrives,
// also after it was cancelled, since it occupies a connection.
type attempt struct {
	id      ident.AttemptID
	query   *query // nil once cancelled
	task    int
	replica *layout.Replica
	up      *upstream
	reason  Reason
	sentAt  ident.Instant
}

func (e *Engine) arrived(now ident.Instant, ev QueryArrived) {
	if e.queries[ev.Query] != nil {
		return // the runtime numbers queries; a second one would get the same answer
	}
	q := &query{
		ask:    ev,
		preset: e.preset,
		limits: e.preset.Limits(ev.Class),
		rank:   rank(e.preset, ev.Class),
	}
	if p := e.places.Index(ev.Index); p != nil {
		q.index = e.indexOf(p)
	}
	q.timer.query = q
	budget := q.limits.DeadlineMillis.Duration()
	if ev.Budget > 0 {
		budget = min(budget, ev.Budget)
	}
	q.deadline = now.Add(budget - min(replyMargin, budget/replyMarginShare))
	e.queries[ev.Query] = q
	switch {
	case e.draining:
		e.refuse(q, "this host is shutting down: send the request to another entry host")
	case e.seat == SeatNone:
		e.refuse(q, "this host has no connection seat: send the request to another entry host")
	case q.index == nil || len(q.index.Shards) == 0:
		e.refuse(q, "index "+string(ev.Index)+" has no shard in the configuration: name one that exists")
	case q.deadline <= now:
		e.refuse(q, "the deadline has passed: give the request more time")
	default:
		e.arm(&q.timer, q.deadline)
		e.enqueue(now, q)
	}
}

func (e *Engine) callerGone(now ident.Instant, id ident.QueryID) {
	q := e.queries[id]
	switch {
	case q == nil:
	case q.plans == 0:
		e.refuse(q, "the caller went away before anything was sent")
	default:
		e.finish(now, q, "the caller went away: send the request again")
	}
}

// queryDue handles the timer of a query.
func (e *Engine) queryDue(now ident.Instant, q *query) {
	switch {
	case now < q.deadline:
		e.checkTasks(now, q)
	case q.plans == 0:
		e.refuse(q, "nothing was sent before the deadline: send the request again later or give it more time")
	default:
		e.finish(now, q, "")
	}
}

// schedule sets the timer of q to the next check of a task or the deadline.
func (e *Engine) schedule(q *query) {
	if !e.live(q) {
		return
	}
	at := q.deadline
	for i := range q.tasks {
		if t := &q.tasks[i]; t.state == taskRunning && t.check != 0 && t.check < at {
			at = t.check
		}
	}
	e.arm(&q.timer, at)
}

func (q *query) remaining(now ident.Instant) time.Duration { return q.deadline.Sub(now) }

// live reports whether q has not been answered.
func (e *Engine) live(q *query) bool { return e.queries[q.ask.Query] == q }
