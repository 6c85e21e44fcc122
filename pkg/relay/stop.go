package relay

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// A host that stops answers every query before it ends. A query that waits for an
// upstream is refused as soon as no answer is expected by then, while its caller
// still has time to try another host; what is in flight at the end is answered as
// timed out instead of being cut off.

// stopReason is the reason of a refusal by a host that stops.
const stopReason = "this host stops before an answer is expected"

// stop shortens all deadlines to the end of the host.
func (e *Engine) stop(ev Stopping) {
	if !e.stopping {
		e.stopping, e.endsAt = true, ev.End
	}
	for _, q := range e.order {
		e.endWithHost(q)
	}
	e.advanceAll()
}

// endWithHost ends a query before this host does, if that stops.
func (e *Engine) endWithHost(q *query) {
	if e.stopping && q.deadline > e.endsAt {
		q.deadline, q.endsWithHost = e.endsAt, true
	}
}

// latestStart returns when a call of a part must be sent at the latest to be
// answered before this host ends. A request that may run once only gets more room,
// since its caller may not repeat it if the answer is missed.
func (e *Engine) latestStart(q *query, p *part) ident.Instant {
	return e.endsAt.Add(-max(q.stats.timeNeeded(q.route), e.oldestCall(q, p)))
}

// timeNeeded returns the time that a call must have to be sent by a host that stops.
func (s *routeStats) timeNeeded(r *rules.Route) time.Duration {
	known, once := s.mean > 0, r.Kind != rules.Idempotent
	switch {
	case once && known:
		return min(stopMargin*s.longest, r.Timeout)
	case once:
		return r.Timeout
	case known:
		return s.mean
	}
	return r.Target
}

// oldestCall returns the time for which the oldest call of a query's route has been
// in flight at the upstreams of a part.
func (e *Engine) oldestCall(q *query, p *part) time.Duration {
	oldest := time.Duration(0)
	for _, u := range e.services[p.service] {
		for _, a := range u.inFlight {
			if a.query.stats == q.stats {
				oldest = max(oldest, e.now.Sub(a.sentAt))
			}
		}
	}
	return oldest
}

// expectedWait returns how long a part is expected to wait for a connection, given
// the parts that precede it and the calls in flight.
func (e *Engine) expectedWait(q *query, p *part) time.Duration {
	ahead, running := 1, 0
	for _, o := range e.order {
		if o != q && e.precedes(o, q) && o.waitsFor(p.service) {
			ahead++
		}
	}
	for _, u := range e.services[p.service] {
		running += len(u.inFlight)
	}
	if running == 0 {
		return 0
	}
	return max(q.stats.mean, e.oldestCall(q, p)) * time.Duration(ahead) / time.Duration(running)
}

// tooLate gives up a part that has no call in flight if none is expected to be
// answered before this host ends. busy is set if the part waits for a connection.
func (e *Engine) tooLate(q *query, p *part, busy bool) bool {
	if !q.endsWithHost {
		return false
	}
	latest, start := e.latestStart(q, p), e.now
	if busy {
		start = start.Add(e.expectedWait(q, p))
	}
	if start <= latest {
		q.wakeAt(max(latest, e.now+1))
		return false
	}
	p.exhausted, p.tooLate = true, true
	return true
}
