package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// query is one search that was not answered yet.
type query struct {
	arrival   QueryArrived
	preset    *preset.Preset
	limits    preset.Limits
	rank      int // 0 for the class that is shed last
	timer     timer
	waiter    limit.Waiter[*query]
	deadline  ident.Instant
	startedAt ident.Instant // start of the first plan
	index     *index
	version   ident.IndexVersion
	planCount int
	tasks     []task // sorted by shard; empty until the first plan
	openTasks int    // tasks neither answered nor missing
	anySent   bool
	draw      quota.Draw // 0 until an upstream with a limit is considered

	print blame.Print
	// suspect is set while the search is held to crash upstreams, crashes counts
	// the crashes under its attempts. answeredOnce is set once an upstream has
	// answered it.
	suspect      bool
	crashes      int
	answeredOnce bool
}

// task is the work for one shard of a query.
type task struct {
	shard   *layout.Shard
	state   taskState
	reason  MissingReason // if taskMissing
	docs    []Document
	running [2]*attempt
	// tried lists the upstreams that already got an attempt in the current
	// round over all replicas. triedArray is its first backing array.
	tried        []*upstream
	triedArray   [3]*upstream
	attemptCount int // see maxAttempts
	// lateAt is when the first attempt becomes late. checkAt is the time of the
	// next checkTasks for this task, 0 for never.
	lateAt  ident.Instant
	checkAt ident.Instant
	hedged  bool
	// waitReason is the reason of the attempt that waits to be sent, empty if
	// none does.
	waitReason Reason
	// inWaitList is set while the task is in Engine.waitingTasks.
	inWaitList bool
	// limited is set if the limits of all upstreams with room were used up.
	limited bool
}

type taskState uint8

const (
	taskRunning taskState = iota
	taskAnswered
	taskMissing
)

// attempt is one request to one upstream. It is kept until its result arrives,
// also after it was cancelled, since it occupies a connection until then.
type attempt struct {
	id       ident.AttemptID
	query    *query // nil once cancelled
	task     int
	replica  *layout.Replica
	upstream *upstream
	reason   Reason
	sentAt   ident.Instant
	// alone is set if no other attempt of the query was in flight, so that a crash
	// is its own.
	alone bool
}

func (e *Engine) queryArrived(now ident.Instant, ev QueryArrived) {
	if e.queries[ev.Query] != nil {
		return // duplicate event; the runtime assigns unique ids
	}
	q := &query{
		arrival: ev,
		preset:  e.preset,
		limits:  e.preset.Limits(ev.Class),
		rank:    rank(e.preset, ev.Class),
		print:   printOf(ev),
	}
	if li := e.layout.Index(ev.Index); li != nil {
		q.index = e.indexOf(li)
	}
	q.timer.query = q
	budget := q.limits.DeadlineMillis.Duration()
	if ev.Budget > 0 {
		budget = min(budget, ev.Budget)
	}
	q.deadline = now.Add(budget - min(replyMargin, budget/replyMarginDivisor))
	e.queries[ev.Query] = q
	switch {
	case e.draining:
		e.reject(q, "this host is shutting down: send the request to another entry host")
	case e.seat == SeatNone:
		e.reject(q, "this host has no connection seat: send the request to another entry host")
	case q.index == nil || len(q.index.Shards) == 0:
		e.reject(q, "index "+string(ev.Index)+" has no shard in the configuration: name one that exists")
	case e.blame.Verdict(now, q.print) == blame.Refused:
		e.reject(q, remedyCrasher)
	case q.deadline <= now:
		e.reject(q, "the deadline has passed: give the request more time")
	default:
		e.arm(&q.timer, q.deadline)
		e.enqueue(now, q)
	}
}

func (e *Engine) queryCancelled(now ident.Instant, id ident.QueryID) {
	q := e.queries[id]
	switch {
	case q == nil:
	case q.planCount == 0:
		e.reject(q, "the caller went away before anything was sent")
	default:
		e.finish(now, q, "the caller went away: send the request again")
	}
}

// queryDue handles the timer of q: the check of a task or the deadline.
func (e *Engine) queryDue(now ident.Instant, q *query) {
	switch {
	case now < q.deadline:
		e.checkTasks(now, q)
	case q.planCount == 0:
		e.reject(q, "nothing was sent before the deadline: send the request again later or give it more time")
	default:
		e.finish(now, q, "")
	}
}

// armQueryTimer sets the timer of q to the next check of a task or the
// deadline.
func (e *Engine) armQueryTimer(q *query) {
	if !e.unanswered(q) {
		return
	}
	at := q.deadline
	for i := range q.tasks {
		if t := &q.tasks[i]; t.state == taskRunning && t.checkAt != 0 && t.checkAt < at {
			at = t.checkAt
		}
	}
	e.arm(&q.timer, at)
}

func (q *query) remaining(now ident.Instant) time.Duration { return q.deadline.Sub(now) }

// unanswered reports whether q got no reply yet.
func (e *Engine) unanswered(q *query) bool { return e.queries[q.arrival.Query] == q }
