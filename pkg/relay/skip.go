package relay

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// skip decides about the shards of a query that no upstream is expected to
// deliver in time. As many as the route allows are left out, which takes load
// off just the overloaded shards; with more, the query is refused before any
// call is made, and false is returned.
func (e *Engine) skip(q *query) bool {
	left := float64(q.target.Sub(e.now)) * skipShare
	if left <= 0 {
		e.sendGroups(q)
		return true
	}
	e.countWaiting(q)
	var late []*part
	for _, p := range q.parts {
		if e.overloaded(q, p, left) {
			late = append(late, p)
		}
	}
	for _, p := range late {
		p.skipped = true
	}
	if !q.sub && len(late) > len(q.parts)-q.route.MinParts() {
		e.emit(Refuse{
			Query:  q.id,
			Status: NotNow,
			After:  retryAfter,
			Reason: "too many shards are overloaded",
			Detail: e.detail(q),
		})
		e.end(q)
		return false
	}
	for _, p := range late {
		if g := p.group; g != nil {
			g.parts = slices.DeleteFunc(g.parts, func(o *part) bool { return o == p })
			p.group = nil
		}
	}
	q.groups = slices.DeleteFunc(q.groups, func(g *group) bool { return len(g.parts) == 0 })
	for i, g := range q.groups {
		g.id = i
	}
	e.sendGroups(q)
	return true
}

// overloaded reports whether no upstream of a part is expected to answer
// within left nanoseconds. One without a queue is called in any case: it is not
// overloaded, and only a call can tell that it has become faster.
func (e *Engine) overloaded(q *query, p *part, left float64) bool {
	if p.group != nil {
		return e.now < e.busy[p.service]
	}
	found := false
	for _, u := range e.services[p.service] {
		if u.Draining || e.now < u.goneUntil || e.now < u.downUntil {
			continue
		}
		found = true
		if c, queue := e.expect(q.stats, u); queue == 0 || c*u.slow <= left {
			return false
		}
	}
	return found
}

// countWaiting counts the parts of other queries that no connection is free for.
func (e *Engine) countWaiting(arrived *query) {
	e.waiting = make(map[ident.Service]int)
	for _, q := range e.order {
		if q == arrived {
			continue
		}
		for _, p := range q.parts {
			if p.waits() {
				e.waiting[p.service]++
			}
		}
	}
}
