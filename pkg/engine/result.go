package engine

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func (e *Engine) answered(now ident.Instant, ev AttemptAnswered) {
	a := e.release(ev.Attempt)
	if a == nil {
		return
	}
	q, t := a.query, &a.query.tasks[a.task]
	ans := ev.Answer
	if ans.Request != q.ask.Request || ans.Attempt != a.id || ans.Shard != t.shard.name || ans.Version != q.version {
		e.lost(now, a, Malformed)
		return
	}
	a.up.heard = now
	e.learn(a.up, ans.Held)
	t.state = taskAnswered
	t.docs = ans.Documents
	q.open--
	e.cancel(t)
	e.settle(now, q)
	e.pump(now, e.indexes[a.up.index])
}

func (e *Engine) failed(now ident.Instant, ev AttemptFailed) {
	a := e.release(ev.Attempt)
	if a == nil {
		return
	}
	e.learn(a.up, ev.Held)
	switch ev.Kind {
	case Draining:
		a.up.draining = true
		e.indexes[a.up.index].pin.dirty = true
	case VersionGone:
		a.replica.forget(a.query.version)
	case WrongShard:
		a.replica.learn(nil)
		a.replica.shard.index.pin.dirty = true
	}
	e.lost(now, a, ev.Kind)
}

// lost decides what follows the failure of an attempt.
func (e *Engine) lost(now ident.Instant, a *attempt, kind FailKind) {
	q, t := a.query, &a.query.tasks[a.task]
	if len(t.running) == 0 {
		switch kind {
		case Draining, VersionGone, WrongShard:
			e.try(now, q, a.task, Retry)
		default:
			e.miss(q, a.task, missingFor(kind))
		}
	}
	e.settle(now, q)
	e.pump(now, e.indexes[a.up.index])
}

// missingFor returns the reason for a shard whose last attempt failed.
func missingFor(kind FailKind) MissingReason {
	switch kind {
	case Shed:
		return MissingShed
	case TimedOut:
		return MissingTimedOut
	case VersionGone:
		return MissingVersionGone
	default:
		return MissingLost
	}
}

func (e *Engine) miss(q *query, i int, why MissingReason) {
	t := &q.tasks[i]
	t.state = taskMissing
	t.reason = why
	q.open--
}

// settle ends q once no task runs any more.
func (e *Engine) settle(now ident.Instant, q *query) {
	if q.open == 0 && e.queries[q.ask.Query] == q {
		e.finish(now, q, MissingTimedOut, "")
	}
}
