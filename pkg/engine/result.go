package engine

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/limit"
)

func (e *Engine) answered(now ident.Instant, ev AttemptAnswered) {
	a, ok := e.release(now, ev.Attempt)
	if !ok {
		return
	}
	q, t := a.query, &a.query.tasks[a.task]
	ans := &ev.Answer
	if ans.Request != q.ask.Request || ans.Attempt != a.id || ans.Shard != t.shard.Name || ans.Version != q.version {
		e.lost(now, &a, Malformed)
		return
	}
	u, latency := a.up, now.Sub(a.sentAt)
	e.hear(now, u, len(ans.Held) > 0)
	u.peer.Answered(now, latency)
	u.peer.LoadReported(now, ans.Load.Running+ans.Load.Waiting)
	u.index.observe(now, u.limit.Slowdown(latency))
	u.limit.Answered(now, latency, u.peer.Outstanding())
	u.service.delay.Observe(latency)
	if len(ans.Held) > 0 {
		u.learn(ans.Held)
	}
	t.state = taskAnswered
	t.docs = ans.Documents
	q.open--
	e.cancel(now, t)
	e.settle(now, q)
	e.freed(now, u)
}

func (e *Engine) failed(now ident.Instant, ev AttemptFailed) {
	a, ok := e.release(now, ev.Attempt)
	if !ok {
		return
	}
	u := a.up
	if len(ev.Held) > 0 {
		u.learn(ev.Held)
	}
	switch ev.Kind {
	case Draining:
		u.SetDraining(true)
	case VersionGone:
		a.replica.Forget(a.query.version)
	case WrongShard:
		a.replica.Learn(nil)
	}
	e.lost(now, &a, ev.Kind)
}

// lost judges the upstream of a failed attempt and decides what follows.
func (e *Engine) lost(now ident.Instant, a *attempt, kind FailKind) {
	e.judge(now, a, kind)
	q, t := a.query, &a.query.tasks[a.task]
	if t.running[0] == nil {
		e.retry(now, q, a.task, a.up, kind)
	}
	e.settle(now, q)
	e.schedule(q)
	e.freed(now, a.up)
}

func (e *Engine) judge(now ident.Instant, a *attempt, kind FailKind) {
	u := a.up
	switch kind {
	case Draining, VersionGone, WrongShard:
	case Shed:
		u.peer.Shed(now)
		u.index.observe(now, limit.MaxSlowdown)
		u.limit.Overloaded(now)
	case TimedOut:
		if elapsed := now.Sub(a.sentAt); elapsed >= lateFactor*u.service.delay.After() {
			u.peer.Failed(now)
			u.limit.Overloaded(now)
			u.service.delay.Observe(elapsed)
		}
	default:
		u.peer.Failed(now)
	}
}

// retry decides what follows the failure of a task's only attempt.
func (e *Engine) retry(now ident.Instant, q *query, i int, u *upstream, kind FailKind) {
	t := &q.tasks[i]
	if e.cfg.Policy == PolicyPlain {
		e.miss(q, i, missingFor(kind))
		return
	}
	switch kind {
	case Draining, VersionGone, WrongShard:
		// The upstream is no candidate any more, so these repeat at most once
		// per replica and need no budget.
		t.tries--
		if e.whyMissing(q, t, kind) == MissingVersionGone && !e.servable(now, q, t) {
			if !e.replan(now, q) {
				e.miss(q, i, MissingVersionGone)
			}
			return
		}
		e.try(now, q, i, Retry, kind)
		return
	}
	if !e.affordable(t, u) {
		e.miss(q, i, missingFor(kind))
		return
	}
	if e.untried(now, q, t) {
		e.try(now, q, i, Retry, kind)
		return
	}
	// All replicas were tried: begin a new round after a pause.
	t.tried = t.tried[:0]
	t.waiting = Retry
	t.check = now.Add(retryPause)
}

// affordable reports whether a task may be tried again, and pays for it.
func (e *Engine) affordable(t *task, u *upstream) bool {
	if e.cfg.Policy == PolicyNaiveRetry {
		return t.tries < naiveTries
	}
	return t.tries < maxTries && u.service.retries.Take()
}

// servable reports whether an upstream still holds the version of q.
func (e *Engine) servable(now ident.Instant, q *query, t *task) bool {
	e.gather(now, t.shard, q.version, nil)
	return len(e.cands) > 0
}

func (e *Engine) untried(now ident.Instant, q *query, t *task) bool {
	e.gather(now, t.shard, q.version, t.tried)
	for i := range e.cands {
		if !e.cands[i].Tried {
			return true
		}
	}
	return false
}

// replan starts q again at a newer version if there is one and time is left.
func (e *Engine) replan(now ident.Instant, q *query) bool {
	if q.plans >= maxPlans || e.places.Pinned(q.index.Index).Version <= q.version || q.remaining(now) < q.index.run {
		return false
	}
	e.plan(now, q)
	return true
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

// whyMissing says why no upstream can serve the shard of t.
func (e *Engine) whyMissing(q *query, t *task, last FailKind) MissingReason {
	cutOff, gone := false, false
	for _, r := range t.shard.Replicas {
		switch {
		case !e.places.Reachable(r.Upstream):
			cutOff = true
		case e.places.Eligible(r.Upstream) && r.LacksVersion(q.version):
			gone = true
		}
	}
	switch {
	case gone || last == VersionGone:
		return MissingVersionGone
	case cutOff:
		return MissingCutOff
	case last != "":
		return missingFor(last)
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

// settle ends q once no task is open.
func (e *Engine) settle(now ident.Instant, q *query) {
	if q.open == 0 && e.live(q) {
		e.finish(now, q, "")
	}
}
