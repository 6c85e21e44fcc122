package relay

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// group is a set of shards of a query that is delegated to the gatherer of
// another domain or to a helper. Until the group ends, only that host calls,
// hedges and retries them, so that no shard is in an answer twice.
type group struct {
	id     int
	domain ident.Domain
	// helper, if set, is the host of this domain that the group is delegated to.
	helper   ident.HostID
	parts    []*part
	answered map[*part]bool
	ended    bool
	// due is when the other host should answer with the shards received so far.
	due ident.Instant
	// rest is set if the group consists of shards that an earlier one left out.
	rest bool
	// usual and shed are those of the other host's answer.
	usual time.Duration
	shed  int
	// sent is set once the group has been delegated.
	sent bool
}

// usesHelpers reports whether shards of a query are delegated to helpers.
func (q *query) usesHelpers() bool {
	return slices.ContainsFunc(q.groups, func(g *group) bool { return g.helper != "" })
}

// delegateShards groups the shards that other hosts can call at a lower cost.
func (e *Engine) delegateShards(q *query) {
	if q.direct {
		return
	}
	if !q.sub {
		e.delegateToGatherers(q)
	}
	e.delegateToHelpers(q)
}

// delegateToGatherers groups the shards whose best upstream is in another domain
// for the gatherer there. One merged answer takes about a tenth of the bytes
// between domains that separate answers would take.
func (e *Engine) delegateToGatherers(q *query) {
	if len(e.gatherers) == 0 {
		return
	}
	byDomain := make(map[ident.Domain][]*part)
	for _, p := range q.parts {
		if p.answered() {
			continue
		}
		if d, ok := e.domainOf(q, p); ok && d != e.cfg.Domain && e.gatherers[d] {
			byDomain[d] = append(byDomain[d], p)
		}
	}
	domains := make([]ident.Domain, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	for _, d := range domains {
		if parts := byDomain[d]; len(parts) >= minDelegatedShards {
			q.addGroup(group{domain: d}, parts)
		}
	}
}

// delegateToHelpers groups the remaining shards for the helpers. Each helper
// always gets the same range of shards. A small host alone would take longer to
// send and read all calls of a query over many shards than the upstreams take
// to answer.
func (e *Engine) delegateToHelpers(q *query) {
	n := min(len(e.helpers), len(q.route.Shards)/minHelperShards)
	remaining := 0
	for _, p := range q.parts {
		if p.group == nil && !p.answered() {
			remaining++
		}
	}
	if n < 2 || remaining < minHelperShards {
		return
	}
	ranges := make([][]*part, n)
	for _, p := range q.parts {
		if p.group == nil && !p.answered() {
			i := p.shard * n / len(q.route.Shards)
			ranges[i] = append(ranges[i], p)
		}
	}
	for i, parts := range ranges {
		if len(parts) >= minDelegatedShards {
			q.addGroup(group{
				domain: e.cfg.Domain,
				helper: e.helpers[i],
			}, parts)
		}
	}
}

// domainOf returns the domain of the best upstream for a part.
func (e *Engine) domainOf(q *query, p *part) (ident.Domain, bool) {
	u, _ := e.pick(q, p, nil)
	if u == nil {
		return "", false
	}
	return u.Domain, true
}

func (q *query) addGroup(g group, parts []*part) {
	g.id, g.parts, g.answered = len(q.groups), parts, make(map[*part]bool)
	q.groups = append(q.groups, &g)
	for _, p := range parts {
		p.group = &g
	}
}

// sendGroups delegates the groups of a query.
func (e *Engine) sendGroups(q *query) {
	for _, g := range q.groups {
		if g.sent {
			continue
		}
		g.sent = true
		d := Delegate{
			Query:   q.id,
			Group:   g.id,
			Domain:  g.domain,
			Helper:  g.helper,
			Shards:  make([]int, 0, len(g.parts)),
			Version: q.table.Version(),
			Limit:   q.deadline.Sub(e.now),
			Target:  e.delegateTarget(q),
			Cleared: q.answeredOnce,
			Draw:    q.draw,
			Rest:    g.rest,
		}
		g.due = e.after(d.Target)
		for _, p := range g.parts {
			d.Shards = append(d.Shards, p.shard)
		}
		e.emit(d)
	}
}

// delegateTarget returns how long another host may take to answer in time. A
// query that cannot meet its target any more gets the grace of a late answer.
func (e *Engine) delegateTarget(q *query) time.Duration {
	target := float64(q.route.Target)
	if remaining := q.target.Sub(e.now) - e.delegateLag.Margin(); remaining > time.Duration(minRemainingShare*target) {
		return remaining
	}
	return time.Duration(lateGrace * target)
}

// delegateEnded processes the answer of another host. This host calls the shards
// that the answer lacks.
func (e *Engine) delegateEnded(ev DelegateEnded) {
	q := e.queries[ev.Query]
	if q == nil || ev.Group < 0 || ev.Group >= len(q.groups) {
		return
	}
	g := q.groups[ev.Group]
	if g.ended {
		return
	}
	g.ended, g.usual, g.shed = true, ev.Usual, ev.Shed
	if !g.rest {
		e.gate.Reduce(q.id, float64(len(g.parts))/float64(len(q.parts)))
	}
	if !ev.Lost && !g.rest && len(ev.Tried) > 0 {
		e.delegateLag.Learn(e.now.Sub(g.due))
	}
	for _, p := range g.parts {
		if slices.Contains(ev.Answered, p.shard) {
			g.answered[p] = true
			q.mayHaveRun = true
			e.exonerate(q)
			delete(e.overloadedUntil, p.service)
			delete(e.closedUntil, p.service)
			continue
		}
		e.reclaim(q, p, ev)
	}
	if q.inFlight() == 0 {
		e.holdCrashes(q)
	}
	if !q.done {
		e.advance(q)
	}
}

// reclaim continues a part that was delegated to another host, with the attempts
// that the other host has not used.
func (e *Engine) reclaim(q *query, p *part, ev DelegateEnded) {
	if ev.Lost {
		p.arrivals, p.runs = maxArrivals, q.route.Attempts
		q.mayHaveRun = true
		return
	}
	for _, t := range ev.Tried {
		if t.Shard == p.shard && t.Skipped {
			p.skipped = true
			e.overloadedUntil[p.service] = e.after(max(overloadTime, min(t.Pause, maxPauseTold)))
			if t.Pause > 0 {
				e.closedUntil[p.service] = e.overloadedUntil[p.service]
			}
			return
		}
		if t.Shard == p.shard {
			if t.Pending {
				p.pendingAt = p.group
			}
			// The other host has counted the request in its budget.
			p.arrivals, p.runs = t.Arrivals, t.Runs
			if t.Crashed && !q.answeredOnce && !e.blame.Trusts(e.now, q.print) {
				q.suspect = true
				q.crashes++
			}
			q.mayHaveRun = q.mayHaveRun || t.Runs > 0
			return
		}
	}
	if !p.group.rest {
		e.window(p.service).CountRequest(e.now)
	}
}

// tried lists the calls for the parts that the answer to another host's query
// lacks. It is nil for a query of a caller.
func (e *Engine) tried(q *query) []Tried {
	if !q.sub {
		return nil
	}
	var list []Tried
	for _, p := range q.parts {
		if p.answered() {
			continue
		}
		t := Tried{
			Shard:    p.shard,
			Arrivals: p.arrivals + p.inFlight(),
			Runs:     p.runs + p.inFlight(),
			Skipped:  p.skipped || p.limited && len(p.attempts) == 0 && p.arrivals == 0,
			Crashed:  p.crashed,
			Pending:  !q.suspect && (p.inFlight() > 0 || p.pendingAt != nil),
		}
		if p.skipped && p.paused {
			t.Pause, _ = e.pause(p.service)
		}
		t.Pause = max(t.Pause, p.downFor)
		if p.delegated() {
			// The calls of the other host are unknown: assume the maximum.
			t.Arrivals, t.Runs = maxArrivals, q.route.Attempts
		}
		list = append(list, t)
	}
	return list
}

// Local reports whether the upstreams in this host's own domain cover the
// minimum number of shards of every route over shards. It is false without a
// document, and while the domain is evacuated.
func (e *Engine) Local() bool {
	if e.table == nil || e.evacuated[e.cfg.Domain] {
		return false
	}
	for i := range e.table.Doc.Routes {
		r := &e.table.Doc.Routes[i]
		covered := 0
		for _, s := range r.Shards {
			if slices.ContainsFunc(e.services[s], func(u *upstream) bool { return u.Domain == e.cfg.Domain }) {
				covered++
			}
		}
		if r.Gathers() && covered < r.MinParts() {
			return false
		}
	}
	return true
}
