package relay

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// refuseShare is the part of the target within which a caller must know that its
	// request is refused; refuseMargin of it is for the way to the caller.
	refuseShare  = 0.25
	refuseMargin = 3 * time.Millisecond

	// unfinishedShare is the part of the target after which a query that ends without
	// half of its parts shows how long these take. Others have ended for other reasons.
	unfinishedShare = 0.5

	// returnedShare is the part of retryAfter by which the time limit of a caller that
	// was refused before is shorter than that of a first attempt.
	returnedShare = 0.8
)

// gateReason is the reason of a refusal by the gate.
const gateReason = "as many searches are in progress as the upstreams take"

// admits reports whether admission is controlled under load: where accounts compete, or
// where upstreams state the effort of shared machines, so that their slots do not tell
// how much they take. Elsewhere queues bounded by slots suffice, and a gate that has to
// find the limit costs up to 0.1 of the answers near the capacity.
func (e *Engine) admits() bool {
	return e.sharedMachines || e.table != nil && e.table.Doc.RequiresKey
}

// offer asks the gate whether a query of a caller may begin. It returns false if the
// query waits or was refused.
func (e *Engine) offer(q *query) bool {
	if q.sub || q.mayHaveRun || !e.admits() {
		return true
	}
	d := e.gate.Offer(e.now, gate.Search{
		Query:    q.id,
		Priority: q.priority,
		Account:  q.account,
		Cost:     q.cost(),
		Returned: q.returned,
		Late:     q.target.Sub(e.now) < time.Duration(minRemainingShare*float64(q.route.Target)),
		Until:    q.refuseBy,
	})
	switch d.Verdict {
	case gate.Admitted:
		return true
	case gate.Waiting:
		q.waitsAtGate = true
		q.wake = q.deadline
	case gate.Refused:
		e.refuseAtGate(q, d.After)
	}
	return false
}

// cost returns the work of a query over shards at the upstreams, in nanoseconds.
func (q *query) cost() float64 { return q.stats.typical * float64(len(q.route.Shards)) }

// passGate starts or refuses the queries that wait at the gate, when due.
func (e *Engine) passGate() {
	for {
		d, ok := e.gate.Due(e.now)
		if !ok {
			return
		}
		q := e.queries[d.Query]
		if q == nil {
			e.gate.End(e.now, d.Query)
			continue
		}
		q.waitsAtGate = false
		if d.Verdict == gate.Refused {
			e.refuseAtGate(q, d.After)
			continue
		}
		e.start(q)
	}
}

// refuseAtGate refuses a query that the gate does not admit. Under overload these are
// most of all queries: the effect has no detail, which would say nothing more.
func (e *Engine) refuseAtGate(q *query, after time.Duration) {
	e.emit(Refuse{
		Query:  q.id,
		Status: NotNow,
		After:  after,
		Reason: gateReason,
		Cause:  CauseGate,
	})
	e.end(q)
}

// recordAnswered records that a part of a query over shards was answered by a call of
// this host.
func (e *Engine) recordAnswered(q *query) {
	if !q.route.Gathers() {
		return
	}
	e.gate.Reduce(q.id, 1/float64(len(q.parts)))
	if q.answers++; q.usual == 0 && 2*q.answers >= q.ownParts() {
		q.usual = e.now.Sub(q.startedAt)
	}
}

// ownParts returns the number of parts that this host calls.
func (q *query) ownParts() int {
	n := len(q.parts)
	for _, g := range q.groups {
		if !g.rest {
			n -= len(g.parts)
		}
	}
	return n
}

// recordShed reports and records whether an upstream has shed a call for a part.
func (p *part) recordShed(ev Ended) bool {
	shed := ev.Result == Rejected && !ev.Moved && !ev.Leaving && ev.Pause <= 0
	p.shed = p.shed || shed
	return shed
}

// usualTime returns the time that the usual part of a query took which was called by
// this host or by those that it delegated to, and the number of parts whose calls
// upstreams have shed. The time is 0 if it is unknown.
func (e *Engine) usualTime(q *query) (usual time.Duration, shed int) {
	type sample struct {
		took  time.Duration
		parts int
	}
	var samples []sample
	total, elapsed := 0, e.now.Sub(q.startedAt)
	add := func(took time.Duration, parts int) {
		if took > 0 && parts > 0 {
			samples = append(samples, sample{took, parts})
			total += parts
		}
	}
	add(e.ownUsual(q, elapsed), q.ownParts())
	for _, p := range q.parts {
		if p.shed {
			shed++
		}
	}
	for _, g := range q.groups {
		switch {
		case g.rest:
		case g.ended:
			add(g.usual, len(g.parts))
			shed += g.shed
		case g.sent:
			add(elapsed, len(g.parts))
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return int(a.took - b.took) })
	n := 0
	for _, s := range samples {
		if n += s.parts; 2*n >= total {
			return s.took, shed
		}
	}
	return 0, shed
}

// ownUsual returns the time until half of the parts were answered that this host
// calls, or the time elapsed if that many still wait for upstreams after a large part
// of the target. It is 0 if they failed otherwise, which is no sign of load.
func (e *Engine) ownUsual(q *query, elapsed time.Duration) time.Duration {
	if q.usual > 0 || float64(elapsed) < unfinishedShare*float64(q.route.Target) {
		return q.usual
	}
	waiting := 0
	for _, p := range q.parts {
		if p.group == nil && !p.answered() && (p.inFlight() > 0 || p.shed || p.waits()) {
			waiting++
		}
	}
	if 2*(q.answers+waiting) <= q.ownParts() || q.answers+waiting == 0 {
		return 0
	}
	return elapsed
}

// leaveGate tells the gate what an ended query shows.
func (e *Engine) leaveGate(q *query) {
	if q.sub || !q.route.Gathers() {
		return
	}
	if q.startedAt > 0 {
		usual, shed := e.usualTime(q)
		for _, p := range q.parts {
			if p.skipped && !p.paused && !p.shed {
				shed++
			}
		}
		e.gate.Observe(e.now, q.id, gate.Sample{
			Route:  q.route.Name,
			Target: q.route.Target,
			Usual:  usual,
			Short:  float64(shed) / max(0.5, float64(len(q.parts)-q.route.MinParts())),
		})
	}
	e.gate.End(e.now, q.id)
}

// refuseTime returns when a query must be refused if it was not started.
func refuseTime(r *rules.Route, ev Arrive) time.Duration {
	return time.Duration(refuseShare*float64(r.Target)) - refuseMargin - ev.Spent
}

// Gate returns the state of the gate.
func (e *Engine) Gate() gate.Status { return e.gate.Status() }
