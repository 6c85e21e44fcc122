package relay

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// skipSpread is the part by which callers are told at random to wait longer for shards
// that are overloaded or unreachable, so that they do not all come back at once.
const skipSpread = 0.5

// skipHopeless skips the shards of a query that no upstream is expected to answer
// in time, or whose upstreams want no calls, which sheds load only from those
// shards. If more are skipped than the route allows, it refuses the query before
// any call is made and returns false. A query that has already missed its target
// skips no overloaded shards.
func (e *Engine) skipHopeless(q *query) bool {
	remaining := float64(q.target.Sub(e.now)) * skipShare
	if remaining > 0 {
		e.countWaiting(q)
	}
	var waits, down []time.Duration
	probed, overloaded := 0, false
	for _, p := range q.parts {
		if p.answered() {
			continue
		}
		if e.evacuatedOut(p.service) {
			p.skipped, p.evacuated = true, true
			waits = append(waits, evacuatedRetry)
			continue
		}
		wait := retryAfter
		if p.group == nil {
			if left, paused := e.pause(p.service); paused {
				p.paused, wait = true, max(wait, left)
			}
		}
		if left, known := e.knownDown(p); known && q.sub {
			p.skipped, p.downFor = true, left
			continue
		} else if known {
			// Called all the same if the answer may miss it: it may be back.
			down = append(down, max(retryAfter, left))
			continue
		}
		closed := e.admits() && p.group != nil && e.now < e.closedUntil[p.service]
		if closed {
			wait = max(wait, e.closedUntil[p.service].Sub(e.now))
		}
		if p.skipped = p.paused || closed || remaining > 0 && e.overloaded(q, p, remaining); p.skipped {
			waits = append(waits, wait)
			overloaded = overloaded || !p.paused && !closed
		} else if p.group == nil && e.probed(p.service) {
			probed++
		}
	}
	if most := len(q.parts) - q.route.MinParts(); !q.sub && len(waits)+probed+len(down) > most {
		waits = append(waits, slices.Repeat([]time.Duration{retryAfter}, probed)...)
		waits = append(waits, down...)
		slices.Sort(waits)
		after := waits[len(waits)-most-1]
		if e.admits() && (overloaded || len(down) > 0) {
			after += time.Duration(skipSpread * e.rand.Float64() * float64(after))
		}
		e.refuseEarly(q, Refuse{
			After:  after,
			Reason: q.skipReason(most, len(down) > 0),
			Cause:  CauseShards,
		})
		return false
	}
	q.dropSkipped()
	return true
}

// knownDown reports whether no upstream of a part can answer: none may be called, or
// all of them have refused a connection of this host of late; left is when the first
// of these is tried again. What this host has seen counts only for parts that it calls
// itself: those that other hosts call may be reachable from there, and these report what
// they have seen.
func (e *Engine) knownDown(p *part) (left time.Duration, known bool) {
	if !e.admits() || p.group != nil && p.group.helper == "" {
		return 0, false
	}
	tried, due := false, false
	for _, u := range e.services[p.service] {
		wait := u.downUntil.Sub(e.now)
		switch {
		case !e.callable(u):
		case !u.refused || p.group != nil:
			return 0, false
		case wait <= 0:
			due, tried = true, tried || len(u.inFlight) > 0
		case left == 0 || wait < left:
			left = wait
		}
	}
	if due {
		return retryAfter, tried // another query tries whether they are back
	}
	return left, true
}

// dropSkipped removes the skipped shards from the delegated groups.
func (q *query) dropSkipped() {
	for _, p := range q.parts {
		if g := p.group; p.skipped && g != nil {
			g.parts = slices.DeleteFunc(g.parts, func(o *part) bool { return o == p })
			p.group = nil
		}
	}
	q.groups = slices.DeleteFunc(q.groups, func(g *group) bool { return len(g.parts) == 0 })
	for i, g := range q.groups {
		g.id = i
	}
}

// admitAll chooses the upstreams for the first calls of a query. If the limits
// of more shards are used up than the route allows to be missing, it refuses the
// query before any call is made and returns false.
func (e *Engine) admitAll(q *query) bool {
	limited, wait := 0, time.Duration(0)
	for _, p := range q.parts {
		if p.group != nil || p.skipped || p.answered() {
			continue
		}
		busy := false
		if p.admitted, busy = e.admit(q, p, false); p.limited && !busy {
			p.exhausted = true
			limited++
			wait = max(wait, e.limitWait(p))
		}
	}
	if q.sub || limited <= len(q.parts)-q.route.MinParts() {
		return true
	}
	for _, p := range q.parts {
		if p.admitted != nil {
			e.quota.Return(e.now, p.admitted.key)
		}
	}
	e.refuseEarly(q, Refuse{
		After:  wait,
		Reason: "the limits of too many shards are used up",
		Cause:  CauseLimits,
	})
	return false
}

// refuseEarly refuses a query before its shards are called. The trial of a
// suspect has run.
func (e *Engine) refuseEarly(q *query, r Refuse) {
	r.Query, r.Status, r.Detail = q.id, NotNow, e.detail(q)
	if q.mayHaveRun {
		r.Status, r.Stopping = Failed, false
	}
	e.emit(r)
	e.end(q)
}

// overloaded reports whether no upstream of a part is expected to answer within
// remaining nanoseconds. An upstream without a queue is never overloaded: it
// must be called, since only a call can show that it has become faster.
func (e *Engine) overloaded(q *query, p *part, remaining float64) bool {
	if p.group != nil {
		return e.now < e.overloadedUntil[p.service]
	}
	found := false
	for _, u := range e.services[p.service] {
		if u.leaving || e.evacuated[u.Domain] || e.now < u.excludedUntil || e.now < u.downUntil {
			continue
		}
		found = true
		if c, queue := e.expect(q.stats, u); queue == 0 || c*u.slowdown <= remaining {
			return false
		}
	}
	return found
}

// countWaiting counts the parts of other queries that wait for a connection.
func (e *Engine) countWaiting(arrived *query) {
	e.waiting = make(map[ident.Service]int)
	for _, q := range e.order {
		if q == arrived || q.waitsAtGate {
			continue
		}
		for _, p := range q.parts {
			if p.waits() {
				e.waiting[p.service]++
			}
		}
	}
}
