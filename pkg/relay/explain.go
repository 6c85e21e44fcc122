package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Explanation tells where a request would go now, and why. Nothing is sent for it and
// no state changes.
type Explanation struct {
	Version rules.Version `json:"Version"`
	// Route is empty if no route matches. Priority ranks the request there, 0 first.
	Route    string `json:"Route"`
	Priority int    `json:"Priority"`
	// Refusal is why the request would be refused before any call, empty if it would
	// not.
	Refusal string            `json:"Refusal,omitempty"`
	Parts   []PartExplanation `json:"Parts,omitempty"`
}

// PartExplanation tells where the call to one service would go: a shard of a search, or
// one of the services among which a route is split.
type PartExplanation struct {
	Service ident.Service `json:"Service"`
	// Share is the part of the route's requests that the service gets.
	Share float64 `json:"Share"`
	// Upstream is the one that would be called, empty if none would. The request waits if
	// one of them is only in use.
	Upstream  ident.Upstream        `json:"Upstream,omitempty"`
	Upstreams []UpstreamExplanation `json:"Upstreams"`
}

// refused reports whether no upstream would be called and none is waited for.
func (p PartExplanation) refused() bool {
	return p.Upstream == "" && !slices.ContainsFunc(p.Upstreams, func(u UpstreamExplanation) bool { return obstacle(u.Obstacle).passes() })
}

// UpstreamExplanation tells for what reason an upstream would be called or not.
type UpstreamExplanation struct {
	Upstream ident.Upstream `json:"Upstream"`
	Domain   ident.Domain   `json:"Domain"`
	// Obstacle is why it may not be called, empty if it may. Those that may come first,
	// in the order in which they would be chosen.
	Obstacle string `json:"Obstacle,omitempty"`
	// Paced is set if its slow start leaves no room, so that others go before it.
	Paced bool `json:"Paced,omitempty"`
	// CostMicros is the expected latency with surcharges for failures, cold starts and
	// other domains; the lowest is called.
	CostMicros int64 `json:"CostMicros"`
	InFlight   int   `json:"InFlight"`
	// Queue is the number of calls expected to wait there before this one.
	Queue int `json:"Queue"`
	// Slow is its latency as a multiple of what is typical, Effort what its machine
	// states, FailRate the rate of failed calls.
	Slow     float64 `json:"Slow"`
	Effort   float64 `json:"Effort"`
	FailRate float64 `json:"FailRate"`
	// Limit is the rate in calls a second that it takes from all hosts, 0 for none.
	Limit float64 `json:"Limit,omitempty"`
}

// Explain returns where a request for a host and path would go now. Priority replaces
// that of the route unless it is nil.
func (e *Engine) Explain(now ident.Instant, host, path string, priority *int) Explanation {
	e.advanceTo(now)
	if e.table == nil {
		return Explanation{Refusal: "this host has no configuration yet"}
	}
	x := Explanation{Version: e.table.Version()}
	r := e.table.Find(host, path)
	if r == nil {
		x.Refusal = "no route matches the host and path"
		return x
	}
	x.Route = r.Name
	s := e.routes[r.Host+r.Prefix]
	if s == nil {
		s = newRouteStats(r)
	}
	q := &query{
		route:    r,
		table:    e.table,
		stats:    s,
		target:   e.now.Add(r.Target),
		deadline: e.now.Add(r.Timeout),
		priority: r.Priority,
	}
	if priority != nil {
		q.priority = *priority
	}
	x.Priority = q.priority
	if r.Gathers() {
		x.explainShards(e, q)
		return x
	}
	sum := 0.0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	for _, b := range r.Backends {
		if b.Weight > 0 {
			x.Parts = append(x.Parts, e.explainPart(q, b.Service, b.Weight/sum))
		}
	}
	if slices.ContainsFunc(x.Parts, PartExplanation.refused) {
		x.Refusal = "a service has no upstream that may be called now"
	}
	return x
}

func (x *Explanation) explainShards(e *Engine, q *query) {
	without := 0
	for _, shard := range q.route.Shards {
		p := e.explainPart(q, shard, 1)
		if p.refused() {
			without++
		}
		x.Parts = append(x.Parts, p)
	}
	if without > len(q.route.Shards)-q.route.MinParts() {
		x.Refusal = "more shards have no upstream that may be called now than an answer may lack"
	}
}

func (e *Engine) explainPart(q *query, s ident.Service, share float64) PartExplanation {
	x := PartExplanation{
		Service: s,
		Share:   share,
	}
	p := &part{service: s}
	for _, u := range e.services[s] {
		seen := *u // the cost brings estimates up to date
		_, queue := e.expect(q.stats, &seen)
		x.Upstreams = append(x.Upstreams, UpstreamExplanation{
			Upstream:   u.ID,
			Domain:     u.Domain,
			Obstacle:   string(e.obstacle(q, p, u)),
			Paced:      !e.paceAllows(q, p, u),
			CostMicros: int64(e.cost(q, &seen)) / int64(time.Microsecond),
			InFlight:   len(u.inFlight),
			Queue:      queue,
			Slow:       seen.slowdown,
			Effort:     e.effort(u),
			FailRate:   seen.failRate,
			Limit:      e.quota.Limit(e.now, u.key),
		})
	}
	slices.SortStableFunc(x.Upstreams, func(a, b UpstreamExplanation) int {
		return cmp.Or(compareBool(a.Obstacle != "", b.Obstacle != ""), compareBool(a.Paced, b.Paced), cmp.Compare(a.CostMicros, b.CostMicros), cmp.Compare(a.Upstream, b.Upstream))
	})
	if len(x.Upstreams) > 0 && x.Upstreams[0].Obstacle == "" {
		x.Upstream = x.Upstreams[0].Upstream
	}
	return x
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
