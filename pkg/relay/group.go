package relay

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// group is the shards of a query that the gatherer of another domain or a
// helper has in hand. It alone calls, hedges and retries them until it ends, so
// that no shard is in an answer twice.
type group struct {
	id     int
	domain ident.Domain
	// helper, if set, is the host of this domain that has them.
	helper ident.HostID
	parts  []*part
	good   map[*part]bool
	ended  bool
	// due is when the other host is to answer with what it has.
	due ident.Instant
}

// shared reports whether helpers have shards of a query.
func (q *query) shared() bool {
	return slices.ContainsFunc(q.groups, func(g *group) bool { return g.helper != "" })
}

// handGroups hands shards of a query to the hosts that call them for less.
func (e *Engine) handGroups(q *query) {
	if q.direct {
		return
	}
	if !q.sub {
		e.handDomains(q)
	}
	e.handHelpers(q)
}

// handDomains hands the shards whose best upstream is in another domain to the
// gatherer there. One answer for all of them takes about a tenth of the bytes
// between domains that their own answers take.
func (e *Engine) handDomains(q *query) {
	if len(e.gatherers) == 0 {
		return
	}
	byDomain := make(map[ident.Domain][]*part)
	for _, p := range q.parts {
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
		if parts := byDomain[d]; len(parts) >= leastHand {
			q.addGroup(group{domain: d}, parts)
		}
	}
}

// handHelpers hands the shards that are left to the helpers, each of which
// always gets the same range. One small host needs longer to send and read all
// calls of a query over many shards than the upstreams need to answer.
func (e *Engine) handHelpers(q *query) {
	n := min(len(e.helpers), len(q.route.Shards)/leastSlice)
	open := 0
	for _, p := range q.parts {
		if p.group == nil {
			open++
		}
	}
	if n < 2 || open < leastSlice {
		return
	}
	ranges := make([][]*part, n)
	for _, p := range q.parts {
		if p.group == nil {
			i := p.shard * n / len(q.route.Shards)
			ranges[i] = append(ranges[i], p)
		}
	}
	for i, parts := range ranges {
		if len(parts) >= leastHand {
			q.addGroup(group{
				domain: e.cfg.Domain,
				helper: e.helpers[i],
			}, parts)
		}
	}
}

// domainOf returns the domain of the best upstream for a part.
func (e *Engine) domainOf(q *query, p *part) (ident.Domain, bool) {
	u, _ := e.pick(q, p)
	if u == nil {
		return "", false
	}
	return u.Domain, true
}

func (q *query) addGroup(g group, parts []*part) {
	g.id, g.parts, g.good = len(q.groups), parts, make(map[*part]bool)
	q.groups = append(q.groups, &g)
	for _, p := range parts {
		p.group = &g
	}
}

// sendGroups hands the groups of a query over.
func (e *Engine) sendGroups(q *query) {
	for _, g := range q.groups {
		h := Hand{
			Query:   q.id,
			Group:   g.id,
			Domain:  g.domain,
			Helper:  g.helper,
			Shards:  make([]int, 0, len(g.parts)),
			Version: q.table.Version(),
			Limit:   q.until.Sub(e.now),
			Target:  e.handTarget(q),
		}
		g.due = e.after(h.Target)
		for _, p := range g.parts {
			h.Shards = append(h.Shards, p.shard)
		}
		e.emit(h)
	}
}

// handTarget returns the time in which the answer of another host is useful. A
// query that cannot make its target any more gets the time of a late answer.
func (e *Engine) handTarget(q *query) time.Duration {
	whole := float64(q.route.Target)
	if left := q.target.Sub(e.now) - e.handLag.Margin(); left > time.Duration(leastLeft*whole) {
		return left
	}
	return time.Duration(lateGrace * whole)
}

// handed takes the answer of another host. The shards that it lacks are
// called from here.
func (e *Engine) handed(ev Handed) {
	q := e.queries[ev.Query]
	if q == nil || ev.Group < 0 || ev.Group >= len(q.groups) {
		return
	}
	g := q.groups[ev.Group]
	if g.ended {
		return
	}
	g.ended = true
	if !ev.Lost && len(ev.Tried) > 0 {
		e.handLag.Learn(e.now.Sub(g.due))
	}
	for _, p := range g.parts {
		if slices.Contains(ev.Good, p.shard) {
			g.good[p] = true
			q.ran = true
			delete(e.busy, p.service)
			continue
		}
		e.takeBack(q, p, ev)
	}
	e.advance(q)
}

// takeBack continues a part that another host had in hand with what is left
// of its attempts.
func (e *Engine) takeBack(q *query, p *part, ev Handed) {
	if ev.Lost {
		p.arrivals, p.runs = maxArrivals, q.route.Attempts
		q.ran = true
		return
	}
	for _, t := range ev.Tried {
		if t.Shard == p.shard && t.Skipped {
			p.skipped = true
			e.busy[p.service] = e.after(busyTime)
			return
		}
		if t.Shard == p.shard {
			// The other host has counted the request.
			p.arrivals, p.runs = t.Arrivals, t.Runs
			q.ran = q.ran || t.Runs > 0
			return
		}
	}
	e.window(p.service).CountRequest(e.now)
}

// tried tells what was done for the parts of another host's query that the
// answer lacks.
func (q *query) tried() []Tried {
	if !q.sub {
		return nil
	}
	var list []Tried
	for _, p := range q.parts {
		if p.has() {
			continue
		}
		t := Tried{
			Shard:    p.shard,
			Arrivals: p.arrivals + p.live(),
			Runs:     p.runs + p.live(),
			Skipped:  p.skipped,
		}
		if p.inHand() {
			// What the other host has called is not known here.
			t.Arrivals, t.Runs = maxArrivals, q.route.Attempts
		}
		list = append(list, t)
	}
	return list
}

// Local reports whether the upstreams of this host's own domain are enough to
// answer on every route over shards.
func (e *Engine) Local() bool {
	if e.table == nil {
		return false
	}
	for i := range e.table.Doc.Routes {
		r := &e.table.Doc.Routes[i]
		have := 0
		for _, s := range r.Shards {
			if slices.ContainsFunc(e.services[s], func(u *upstream) bool { return u.Domain == e.cfg.Domain }) {
				have++
			}
		}
		if r.Gathers() && have < r.MinParts() {
			return false
		}
	}
	return true
}
