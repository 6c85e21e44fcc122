package engine

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/limit"
)

func (e *Engine) attemptAnswered(now ident.Instant, ev AttemptAnswered) {
	a, ok := e.finishAttempt(now, ev.Attempt)
	if !ok {
		return
	}
	q, t := a.query, &a.query.tasks[a.task]
	ans := &ev.Answer
	if ans.Request != q.arrival.Request || ans.Attempt != a.id || ans.Shard != t.shard.Name || ans.Version != q.version {
		e.handleFailure(now, &a, Malformed)
		return
	}
	e.learnLimit(now, &a, ans.PerSecond)
	u, latency := a.upstream, now.Sub(a.sentAt)
	e.markResponsive(now, u, len(ans.Held) > 0)
	u.peer.Answered(now, latency)
	u.peer.LoadReported(now, ans.Load.Running+ans.Load.Waiting)
	u.index.observeSlowdown(now, u.limit.Slowdown(latency))
	u.limit.Answered(now, latency, u.peer.Outstanding())
	u.service.hedgeDelay.Observe(latency)
	if len(ans.Held) > 0 {
		u.learnVersions(ans.Held)
	}
	e.exonerate(now, q)
	t.state = taskAnswered
	t.docs = ans.Documents
	q.openTasks--
	e.cancelAttempts(now, t)
	e.finishIfSettled(now, q)
	e.reuseRoom(now, u)
}

func (e *Engine) attemptFailed(now ident.Instant, ev AttemptFailed) {
	a, ok := e.finishAttempt(now, ev.Attempt)
	if !ok {
		return
	}
	u := a.upstream
	if len(ev.Held) > 0 {
		u.learnVersions(ev.Held)
	}
	switch ev.Kind {
	case Draining:
		u.SetDraining(true)
	case VersionGone:
		a.replica.Forget(a.query.version)
	case WrongShard:
		a.replica.Learn(nil)
	case Crashed:
		if e.crashed(now, &a) {
			e.recordFailure(now, &a, ev.Kind)
			e.reuseRoom(now, u)
			return
		}
	}
	e.handleFailure(now, &a, ev.Kind)
}

// handleFailure records the failure of an attempt at its upstream and retries
// the task unless another attempt for it is running.
func (e *Engine) handleFailure(now ident.Instant, a *attempt, kind FailKind) {
	e.recordFailure(now, a, kind)
	q, t := a.query, &a.query.tasks[a.task]
	if t.running[0] == nil {
		e.retryTask(now, q, a.task, a.upstream, kind)
	}
	e.finishIfSettled(now, q)
	e.armQueryTimer(q)
	e.reuseRoom(now, a.upstream)
}

func (e *Engine) recordFailure(now ident.Instant, a *attempt, kind FailKind) {
	u := a.upstream
	switch kind {
	case Draining, VersionGone, WrongShard:
	case Shed:
		u.peer.Shed(now)
		u.index.observeSlowdown(now, limit.MaxSlowdown)
		u.limit.Overloaded(now)
	case TimedOut:
		if elapsed := now.Sub(a.sentAt); elapsed >= lateFactor*u.service.hedgeDelay.After() {
			u.peer.Failed(now)
			u.limit.Overloaded(now)
			u.service.hedgeDelay.Observe(elapsed)
		}
	default:
		u.peer.Failed(now)
	}
}

// retryTask handles the failure of the only running attempt of a task: it
// starts another one, plans the query again or gives the shard up.
func (e *Engine) retryTask(now ident.Instant, q *query, i int, u *upstream, kind FailKind) {
	t := &q.tasks[i]
	if e.cfg.Policy == PolicyPlain {
		e.markMissing(q, i, missingReasonOf(kind))
		return
	}
	switch kind {
	case Draining, VersionGone, WrongShard:
		// The upstream is no longer a candidate, so these failures occur at most
		// once per replica and need no budget.
		t.attemptCount--
		if e.missingReason(q, t, kind) == MissingVersionGone && !e.versionAvailable(now, q, t) {
			if !e.replan(now, q) {
				e.markMissing(q, i, MissingVersionGone)
			}
			return
		}
		e.startAttempt(now, q, i, Retry, kind)
		return
	}
	if !e.takeRetry(t, u) {
		e.markMissing(q, i, missingReasonOf(kind))
		return
	}
	if e.hasUntriedReplica(now, q, t) {
		e.startAttempt(now, q, i, Retry, kind)
		return
	}
	// All replicas were tried: start a new round after retryDelay.
	t.tried = t.tried[:0]
	t.waitReason = Retry
	t.checkAt = now.Add(retryDelay)
}

// takeRetry reports whether a task may get another attempt, and takes a token
// from the retry budget of the service for it.
func (e *Engine) takeRetry(t *task, u *upstream) bool {
	if e.cfg.Policy == PolicyNaiveRetry {
		return t.attemptCount < naiveMaxAttempts
	}
	return t.attemptCount < maxAttempts && u.service.retryBudget.Take()
}

// versionAvailable reports whether an upstream of the shard can still serve the
// version of q.
func (e *Engine) versionAvailable(now ident.Instant, q *query, t *task) bool {
	e.collectCandidates(now, t.shard, q.version, nil)
	return len(e.candidates) > 0
}

func (e *Engine) hasUntriedReplica(now ident.Instant, q *query, t *task) bool {
	e.collectCandidates(now, t.shard, q.version, t.tried)
	for i := range e.candidates {
		if !e.candidates[i].Tried {
			return true
		}
	}
	return false
}

// replan starts q again at a newer version if there is one and enough time is
// left.
func (e *Engine) replan(now ident.Instant, q *query) bool {
	if q.planCount >= maxPlans || e.layout.Pinned(q.index.Index).Version <= q.version || q.remaining(now) < q.index.meanRunTime {
		return false
	}
	e.plan(now, q)
	return true
}

// missingReasonOf returns the reason for a shard whose last attempt failed with
// kind.
func missingReasonOf(kind FailKind) MissingReason {
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

// missingReason returns the reason why no upstream can serve the shard of t.
func (e *Engine) missingReason(q *query, t *task, lastFailure FailKind) MissingReason {
	cutOff, versionGone := false, false
	for _, r := range t.shard.Replicas {
		switch {
		case !e.layout.Reachable(r.Upstream):
			cutOff = true
		case e.layout.Eligible(r.Upstream) && r.LacksVersion(q.version):
			versionGone = true
		}
	}
	switch {
	case versionGone || lastFailure == VersionGone:
		return MissingVersionGone
	case cutOff:
		return MissingCutOff
	case lastFailure != "":
		return missingReasonOf(lastFailure)
	default:
		return MissingLost
	}
}

func (e *Engine) markMissing(q *query, i int, reason MissingReason) {
	t := &q.tasks[i]
	t.state = taskMissing
	t.reason = reason
	q.openTasks--
}

// finishIfSettled answers q once every task is answered or missing.
func (e *Engine) finishIfSettled(now ident.Instant, q *query) {
	if q.openTasks == 0 && e.unanswered(q) {
		e.finish(now, q, "")
	}
}
