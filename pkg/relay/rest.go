package relay

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// A host that answers another one with the shards received by the target may still
// have calls in flight for the others. If the query lacks too many shards without
// them, the other host asks for the rest: a late answer serves the caller, while a
// failure makes it send the whole query again. The calls, retries included, stay
// within the attempts of the first delegation.

// askForRest delegates the shards whose calls are in flight at other hosts once
// more, if these can bring the parts that are missing. It returns false if not, or
// if the caller should rather try again.
func (e *Engine) askForRest(q *query, missing int) bool {
	limit := float64(q.deadline.Sub(q.arrived))
	if e.now >= q.arrived.Add(time.Duration(restShare*limit)) {
		return false
	}
	var pending shardsByHost
	for _, p := range q.parts {
		if p.pendingAt != nil && !p.answered() && len(p.attempts) == 0 {
			pending.add(p.pendingAt, p)
		}
	}
	if pending.count < missing {
		return false
	}
	for _, s := range pending.hosts {
		for _, p := range pending.parts[s] {
			p.pendingAt, p.exhausted = nil, false
		}
		q.addGroup(group{
			domain: s.domain,
			helper: s.helper,
			rest:   true,
		}, pending.parts[s])
	}
	e.sendGroups(q)
	return true
}

// revive continues parts that were skipped since no answer was expected in time, or
// given up since the budget for extra calls was used up, if the query would fail
// without them: a late answer serves the caller, while a failure wastes what has run.
// It returns false if there are too few, or if the caller should rather try again.
func (e *Engine) revive(q *query, missing int) bool {
	limit := float64(q.deadline.Sub(q.arrived))
	if !e.admits() || e.now >= q.arrived.Add(time.Duration(restShare*limit)) || q.suspect || q.condemned || q.endsWithHost {
		return false
	}
	var revived []*part
	for _, p := range q.parts {
		if e.revivable(q, p) {
			revived = append(revived, p)
		}
	}
	if len(revived) < missing {
		return false
	}
	for _, p := range revived {
		p.skipped, p.exhausted, p.pausedUntil = false, false, e.after(budgetPause)
		q.wakeAt(p.pausedUntil)
	}
	return true
}

func (e *Engine) revivable(q *query, p *part) bool {
	if p.answered() || !p.exhausted || p.paused || p.limited || e.now < e.closedUntil[p.service] || p.pendingAt != nil || p.arrivals >= maxArrivals || p.runs >= max(1, q.route.Attempts) {
		return false
	}
	return slices.ContainsFunc(e.services[p.service], func(u *upstream) bool { return e.callable(u) && e.now >= u.downUntil })
}

// shardsByHost are parts of a query by the host that they were delegated to: the
// gatherer of a domain, or a helper.
type shardsByHost struct {
	hosts []delegatee
	parts map[delegatee][]*part
	count int
}

type delegatee struct {
	domain ident.Domain
	helper ident.HostID
}

func (s *shardsByHost) add(g *group, p *part) {
	to := delegatee{
		domain: g.domain,
		helper: g.helper,
	}
	if s.parts == nil {
		s.parts = make(map[delegatee][]*part)
	}
	if s.parts[to] == nil {
		s.hosts = append(s.hosts, to)
	}
	s.parts[to] = append(s.parts[to], p)
	s.count++
}

// abandon asks the hosts that have calls for a query in flight, or may have, to stop
// them. Cancelling a delegation does not suffice: the host may have answered without
// the shards whose calls it keeps.
func (e *Engine) abandon(q *query) {
	var left shardsByHost
	for _, p := range q.parts {
		switch {
		case p.answered():
		case p.delegated():
			left.add(p.group, p)
		case p.pendingAt != nil:
			left.add(p.pendingAt, p)
		}
	}
	for _, to := range left.hosts {
		a := Abandon{
			Request: q.request,
			Domain:  to.domain,
			Helper:  to.helper,
			Version: q.table.Version(),
		}
		for _, p := range left.parts[to] {
			a.Shards = append(a.Shards, p.shard)
		}
		e.emit(a)
	}
}

// abandoned stops the calls that are kept for shards of a request whose caller has left.
func (e *Engine) abandoned(ev Abandoned) {
	for _, q := range slices.Clone(e.partial[ev.Request]) {
		concerned := slices.ContainsFunc(ev.Shards, func(s int) bool { return q.has([]int{s}) })
		if q.table.Version() != ev.Version || !concerned {
			continue
		}
		e.stopCalls(q)
		e.dropPartial(q)
	}
}

// keepPartial keeps an ended query of another host whose calls are in flight.
func (e *Engine) keepPartial(q *query) {
	for len(e.partialOrder) > 0 && (e.now >= e.partialOrder[0].deadline || len(e.partialOrder) >= maxPartial) {
		e.dropPartial(e.partialOrder[0])
	}
	if !q.sub || q.suspect || q.condemned {
		return
	}
	k := Keep{}
	kept := false
	for _, p := range q.parts {
		if p.sent = p.answered(); p.sent {
			continue
		}
		kept = kept || p.pendingAt != nil
		for _, a := range p.attempts {
			if !a.ended {
				k.Attempts = append(k.Attempts, a.id)
			}
		}
	}
	if !kept && len(k.Attempts) == 0 {
		return
	}
	q.kept = k.Attempts
	e.partial[q.request] = append(e.partial[q.request], q)
	e.partialOrder = append(e.partialOrder, q)
	e.emit(k)
}

// dropPartial forgets a query whose rest nobody has asked for.
func (e *Engine) dropPartial(q *query) {
	e.removePartial(q)
	e.emit(Drop{Attempts: q.kept})
}

func (e *Engine) removePartial(q *query) {
	same := func(o *query) bool { return o == q }
	e.partialOrder = slices.DeleteFunc(e.partialOrder, same)
	e.partial[q.request] = slices.DeleteFunc(e.partial[q.request], same)
	if len(e.partial[q.request]) == 0 {
		delete(e.partial, q.request)
	}
}

// resume continues a query that was answered without some shards, for just these.
func (e *Engine) resume(ev Arrive) {
	var old *query
	for _, o := range e.partial[ev.Request] {
		if o.table.Version() == ev.Version && o.has(ev.Shards) {
			old = o
		}
	}
	if old == nil {
		e.emit(Refuse{
			Query:  ev.Query,
			Status: Failed,
			Reason: "the calls of the query are no longer in flight here",
		})
		return
	}
	e.removePartial(old)
	began := e.began(ev)
	q := &query{
		id:         ev.Query,
		route:      old.route,
		table:      old.table,
		stats:      old.stats,
		target:     began.Add(ev.Target),
		deadline:   min(old.deadline, began.Add(max(0, ev.Limit-deadlineMargin))),
		arrived:    began,
		sub:        true,
		direct:     old.direct,
		mayHaveRun: true,
		request:    old.request,
		print:      old.print,
		draw:       old.draw,
		account:    old.account,
		priority:   old.priority,

		answeredOnce: old.answeredOnce,
	}
	e.endWithHost(q)
	adopted, dropped := Keep{Query: q.id}, Drop{}
	for _, p := range old.parts {
		asked := slices.Contains(ev.Shards, p.shard)
		if asked {
			q.parts = append(q.parts, p)
		}
		for _, a := range p.attempts {
			switch kept := slices.Contains(old.kept, a.id); {
			case asked && kept:
				a.query = q
				adopted.Attempts = append(adopted.Attempts, a.id)
			case kept:
				dropped.Attempts = append(dropped.Attempts, a.id)
			}
		}
	}
	e.queries[q.id] = q
	e.order = append(e.order, q)
	e.emit(adopted)
	e.emit(dropped)
	e.askForRest(q, 0)
	e.advance(q)
}

// has reports whether a query has all the shards, each without an answer that was
// already sent.
func (q *query) has(shards []int) bool {
	for _, s := range shards {
		if !slices.ContainsFunc(q.parts, func(p *part) bool { return p.shard == s && !p.sent }) {
			return false
		}
	}
	return len(shards) > 0
}
