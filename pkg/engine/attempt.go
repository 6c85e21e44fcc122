package engine

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// plan pins q to an index version and starts one attempt per shard. A new plan
// discards the attempts and answers of an earlier one, since an answer must not
// mix versions.
func (e *Engine) plan(now ident.Instant, q *query) {
	if q.planCount == 0 {
		q.startedAt = now
	}
	q.planCount++
	q.version = e.layout.Pinned(q.index.Index).Version
	for i := range q.tasks {
		e.cancelAttempts(now, &q.tasks[i])
		e.removeWaiting(q, i)
	}
	q.tasks = make([]task, len(q.index.Shards))
	q.openTasks = len(q.tasks)
	if e.effects == nil {
		e.effects = make([]Effect, 0, len(q.tasks)+2)
	}
	for i, s := range q.index.Shards {
		t := &q.tasks[i]
		t.shard = s
		t.tried = t.triedArray[:0]
	}
	q.suspect = !q.answeredOnce && e.blame.Verdict(now, q.print) == blame.Suspect
	for i := range q.tasks {
		e.startAttempt(now, q, i, First, "")
	}
	e.finishIfSettled(now, q)
	e.armQueryTimer(q)
}

// startAttempt sends an attempt for a task. If there is no room the task waits;
// if no upstream can serve it, or none in time, it becomes missing. lastFailure
// is the kind of the failure that caused the attempt, if any.
func (e *Engine) startAttempt(now ident.Instant, q *query, i int, reason Reason, lastFailure FailKind) {
	t := &q.tasks[i]
	if q.holdBack() {
		t.waitReason, t.checkAt = reason, now.Add(roomPollInterval)
		return
	}
	r, room := e.chooseReplica(now, q, t, reason, reason != First || q.planCount > 1)
	switch {
	case r != nil && !q.mayAnswerInTime(now, upstreamOf(r.Upstream), reason):
		e.markMissing(q, i, MissingTimedOut)
	case r != nil:
		e.send(now, q, i, r, reason)
	case room == route.RoomFull:
		e.waitForRoom(now, q, i, reason)
	case t.limited:
		e.markMissing(q, i, MissingShed)
	default:
		e.markMissing(q, i, e.missingReason(q, t, lastFailure))
	}
}

// collectCandidates fills e.candidates and e.candidateReplicas with the
// upstreams that can serve s at version v. An unreachable one is included only
// if the last attempt to it was sent at least trialInterval ago.
func (e *Engine) collectCandidates(now ident.Instant, s *layout.Shard, v ident.IndexVersion, tried []*upstream) {
	e.candidates, e.candidateReplicas = e.candidates[:0], e.candidateReplicas[:0]
	for _, r := range s.Replicas {
		u := upstreamOf(r.Upstream)
		if !e.layout.Eligible(r.Upstream) || !r.Holds(v) || (u.Unreachable() && now < u.nextTrial) {
			continue
		}
		e.candidates = append(e.candidates, route.Candidate{
			Peer:       &u.peer,
			SameDomain: u.Conf.Domain == e.cfg.Domain,
			Limit:      u.limit.Limit(),
			Tried:      slices.Contains(tried, u),
		})
		e.candidateReplicas = append(e.candidateReplicas, r)
	}
}

// chooseReplica returns the replica for the next attempt, or nil and the room
// at the untried ones. With fullShare, for retries and repeated plans, only the
// connection share limits the requests in flight and not the adaptive limit: the
// query already keeps answers of other shards, which waiting would hold up. An
// upstream whose limit is used up is passed over.
func (e *Engine) chooseReplica(now ident.Instant, q *query, t *task, reason Reason, fullShare bool) (*layout.Replica, route.Room) {
	e.collectCandidates(now, t.shard, q.version, t.tried)
	if e.cfg.Policy != PolicyTolerant {
		return e.randomReplica(), route.RoomNone
	}
	if fullShare {
		for i := range e.candidates {
			e.candidates[i].Limit = upstreamOf(e.candidateReplicas[i].Upstream).limit.Ceiling()
		}
	}
	t.limited = false
	for n := 0; ; n++ {
		i := e.picker.Pick(now, e.candidates)
		if i < 0 {
			break
		}
		if r := e.candidateReplicas[i]; e.takeShare(now, q, t, r, reason, n) {
			return r, route.RoomFree
		}
		t.limited = true
		e.candidates = slices.Delete(e.candidates, i, i+1)
		e.candidateReplicas = slices.Delete(e.candidateReplicas, i, i+1)
	}
	e.candidates = slices.DeleteFunc(e.candidates, func(c route.Candidate) bool { return c.Tried })
	return nil, route.CheckRoom(now, e.candidates)
}

// randomReplica returns a random untried candidate, or any candidate if all
// were tried. The baseline policies use it, which do not measure upstreams.
func (e *Engine) randomReplica() *layout.Replica {
	untried := 0
	for i := range e.candidates {
		if !e.candidates[i].Tried {
			untried++
		}
	}
	if len(e.candidates) == 0 {
		return nil
	}
	if untried == 0 {
		return e.candidateReplicas[e.rng.IntN(len(e.candidateReplicas))]
	}
	n := e.rng.IntN(untried)
	for i := range e.candidates {
		if e.candidates[i].Tried {
			continue
		}
		if n == 0 {
			return e.candidateReplicas[i]
		}
		n--
	}
	return nil
}

// mayAnswerInTime reports whether u can be expected to answer before the
// deadline. For a first attempt any remaining time suffices, since the usual
// latency may not be known yet.
func (q *query) mayAnswerInTime(now ident.Instant, u *upstream, reason Reason) bool {
	if reason == First {
		return q.remaining(now) > 0
	}
	return q.remaining(now) > u.service.hedgeDelay.After()/2
}

func (e *Engine) send(now ident.Instant, q *query, i int, r *layout.Replica, reason Reason) {
	t := &q.tasks[i]
	u := upstreamOf(r.Upstream)
	a := e.newAttempt()
	*a = attempt{
		id:       a.id,
		query:    q,
		task:     i,
		replica:  r,
		upstream: u,
		reason:   reason,
		sentAt:   now,
		alone:    (q.suspect || len(q.tasks) == 1) && q.running() == 0,
	}
	e.attempts[a.id] = a
	slot := 0
	if t.running[0] != nil {
		slot = 1
	}
	t.running[slot] = a
	t.tried = append(t.tried, u)
	t.attemptCount++
	q.anySent = true
	if reason == First {
		q.index.hedgeBudget.Deposit()
		u.service.retryBudget.Deposit()
	}
	if reason != Hedge {
		t.lateAt = now.Add(u.service.hedgeDelay.After())
		t.checkAt = 0
		if q.limits.Hedge && !t.hedged && e.cfg.Policy == PolicyTolerant {
			t.checkAt = t.lateAt
		}
	}
	if u.Unreachable() {
		u.nextTrial = now.Add(trialInterval)
	}
	u.peer.Sent(now)
	e.emit(Send{
		Attempt:   a.id,
		Query:     q.arrival.Query,
		Request:   q.arrival.Request,
		Upstream:  u.Conf.ID,
		Address:   u.Conf.Address,
		Index:     q.arrival.Index,
		Shard:     t.shard.Name,
		Version:   q.version,
		Terms:     q.arrival.Terms,
		Limit:     q.arrival.Limit,
		Class:     q.arrival.Class,
		Reason:    reason,
		Remaining: q.remaining(now),
	})
}

// newAttempt returns a new or reused attempt with a new id.
func (e *Engine) newAttempt() *attempt {
	a := &attempt{}
	if n := len(e.freeAttempts); n > 0 {
		a = e.freeAttempts[n-1]
		e.freeAttempts = e.freeAttempts[:n-1]
	}
	e.lastAttempt++
	a.id = e.lastAttempt
	return a
}

// finishAttempt removes the attempt with the given id, which got its result,
// and frees its room. It returns false if the result must be ignored because the
// attempt is unknown or was cancelled.
func (e *Engine) finishAttempt(now ident.Instant, id ident.AttemptID) (attempt, bool) {
	a := e.attempts[id]
	if a == nil {
		return attempt{}, false
	}
	delete(e.attempts, id)
	finished := *a
	a.upstream.peer.Released()
	if finished.query != nil {
		e.detachAttempt(a)
	}
	*a = attempt{}
	e.freeAttempts = append(e.freeAttempts, a)
	if finished.query == nil {
		e.reuseRoom(now, finished.upstream)
		return attempt{}, false
	}
	return finished, true
}

// detachAttempt removes an attempt from its task. A later result is ignored.
func (e *Engine) detachAttempt(a *attempt) {
	t := &a.query.tasks[a.task]
	if t.running[0] == a {
		t.running[0] = t.running[1]
	}
	t.running[1] = nil
	a.query = nil
}

// cancelAttempts cancels the running attempts of a task. If another upstream
// answered first, a late attempt counts against its upstream.
func (e *Engine) cancelAttempts(now ident.Instant, t *task) {
	for i, a := range t.running {
		if a == nil {
			continue
		}
		t.running[i] = nil
		a.query = nil
		e.emit(Cancel{Attempt: a.id})
		if now >= t.lateAt && a.reason != Hedge && t.state == taskAnswered {
			a.upstream.peer.Superseded(now, now.Sub(a.sentAt))
			a.upstream.service.hedgeDelay.Observe(now.Sub(a.sentAt))
		}
	}
}

// expireAttempts cancels the running attempts of a task at the deadline of its
// query. An attempt that ran for lateFactor hedge delays counts as a failure of
// its upstream.
func (e *Engine) expireAttempts(now ident.Instant, t *task) {
	for _, a := range t.running {
		if a == nil {
			continue
		}
		elapsed := now.Sub(a.sentAt)
		if elapsed >= lateFactor*a.upstream.service.hedgeDelay.After() {
			a.upstream.peer.Failed(now)
			a.upstream.limit.Overloaded(now)
			a.upstream.service.hedgeDelay.Observe(elapsed)
		}
	}
	e.cancelAttempts(now, t)
}
