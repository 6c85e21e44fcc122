package relay

import (
	"fmt"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// finish ends a query if its answer is complete or sufficient, or if it cannot
// succeed any more.
func (e *Engine) finish(q *query, timeout bool) {
	if q.route.Gathers() {
		e.finishGather(q, timeout)
		return
	}
	p := q.parts[0]
	switch {
	case p.success != nil:
		e.emit(Pass{
			Query:   q.id,
			Attempt: p.success.id,
		})
	case p.inFlight() > 0 && !timeout:
		return
	case p.failure != nil:
		e.emit(Pass{
			Query:   q.id,
			Attempt: p.failure.id,
		})
	case timeout || p.exhausted:
		e.refuse(q, timeout)
	default:
		return
	}
	e.end(q)
}

func (e *Engine) refuse(q *query, timeout bool) {
	sent := q.mayHaveRun
	var without []ident.Service
	var limited, paused, evacuated *part
	tooLate := timeout && q.endsWithHost
	for _, p := range q.parts {
		sent = sent || p.inFlight() > 0 || p.delegated()
		if p.limited && limited == nil {
			limited = p
		}
		if p.paused && !p.skipped && paused == nil {
			paused = p
		}
		if p.evacuated && !p.skipped && evacuated == nil {
			evacuated = p
		}
		tooLate = tooLate || p.tooLate
		if p.unavailable() {
			without = append(without, p.service)
		}
	}
	r := Refuse{
		Query:  q.id,
		Status: NotNow,
		After:  retryAfter,
		Reason: "no upstream took the request",
		Tried:  e.tried(q),
		Detail: e.detail(q),
	}
	if q.sub && q.startedAt > 0 {
		r.Usual, r.Shed = e.usualTime(q)
	}
	switch {
	case q.condemned && sent:
		r.Status, r.Reason = Failed, CrasherReason
	case q.condemned:
		r.After, r.Reason = crasherRetry, CrasherReason
	case sent && timeout && q.endsWithHost:
		r.Status, r.Reason = TimedOut, "this host stopped before an answer came"
	case sent && timeout:
		r.Status, r.Reason = TimedOut, "the time ended before an answer came"
	case sent:
		r.Status, r.Reason = Failed, "upstreams failed"
	case tooLate:
		r.After, r.Reason, r.Stopping = stopRetry, stopReason, true
	case evacuated != nil:
		r.After = evacuatedRetry
		r.Reason = fmt.Sprintf("the domains of the upstreams of %s are evacuated", evacuated.service)
	case limited != nil:
		r.After, r.Cause = e.limitWait(limited), CauseLimits
		r.Reason = fmt.Sprintf("the limits of the upstreams of %s are used up", limited.service)
	case paused != nil:
		wait, _ := e.pause(paused.service)
		r.After = max(wait, retryAfter)
		r.Reason = fmt.Sprintf("the upstreams of %s want no calls for a while", paused.service)
	case e.admits() && !q.route.Gathers() && (q.parts[0].shed || q.parts[0].overfull):
		r.After, r.Cause = e.comeBack(q, q.parts[0]), CauseFull
		r.Reason = fmt.Sprintf("the upstreams of %s are full", q.parts[0].service)
	case len(without) > 0:
		r.Reason = fmt.Sprintf("no upstream of %s may be called, nor of %d other services", without[0], len(without)-1)
	}
	e.emit(r)
}

func (e *Engine) finishGather(q *query, timeout bool) {
	answered, pending := 0, 0
	for _, p := range q.parts {
		switch {
		case p.answered():
			answered++
		case !p.exhausted:
			pending++
		}
	}
	minParts := q.route.MinParts()
	if q.sub {
		minParts = min(1, answered)
	}
	enough := answered >= minParts && answered > 0
	switch {
	case enough && (pending == 0 || timeout || q.sub && e.now >= q.target || e.timely(q)):
		e.merge(q, answered)
	case !timeout && !q.sub && answered+pending < minParts && e.askForRest(q, minParts-answered-pending):
		return
	case !timeout && !q.sub && answered > 0 && answered+pending < minParts && e.revive(q, minParts-answered-pending):
		return
	case timeout || answered+pending < minParts || pending == 0 || q.sub && e.now >= q.target:
		e.refuse(q, timeout)
	default:
		if q.sub {
			q.wakeAt(q.target)
		}
		return
	}
	e.end(q)
	e.keepPartial(q)
}

// timely reports whether an answer with enough parts should be sent now: at the
// target or, if that has clearly been missed already, lateGrace after it.
func (e *Engine) timely(q *query) bool {
	late := q.target.Add(time.Duration(lateGrace * float64(q.route.Target)))
	switch {
	case e.now < q.target:
		q.wakeAt(q.target)
		return false
	case e.now < q.target.Add(minTargetMargin) || e.now >= late:
		return true
	}
	q.wakeAt(late)
	return false
}

func (e *Engine) merge(q *query, answered int) {
	m := Merge{
		Query:    q.id,
		Attempts: make([]ident.AttemptID, 0, answered),
		Missing:  len(q.parts) - answered,
		Top:      q.route.TopK,
		Shards:   make([]int, 0, answered),
		Tried:    e.tried(q),
	}
	if q.sub && q.startedAt > 0 {
		m.Usual, m.Shed = e.usualTime(q)
	}
	if m.Missing > 0 || e.now >= q.target {
		m.Detail = e.detail(q)
	}
	for _, p := range q.parts {
		if !p.answered() {
			continue
		}
		m.Shards = append(m.Shards, p.shard)
		if p.success != nil {
			m.Attempts = append(m.Attempts, p.success.id)
		}
	}
	for _, g := range q.groups {
		if len(g.answered) > 0 {
			m.Groups = append(m.Groups, g.id)
		}
	}
	e.emit(m)
}
