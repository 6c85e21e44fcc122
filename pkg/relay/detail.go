package relay

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Detail explains the end of a query for a log.
type Detail struct {
	Route   string        `json:"Route"`
	Version rules.Version `json:"Version"`
	// TookMicros is the time since the arrival, LateMicros that since the
	// target; it is negative before the target.
	TookMicros int64        `json:"TookMicros"`
	LateMicros int64        `json:"LateMicros"`
	Parts      []PartDetail `json:"Parts,omitempty"`
}

// PartDetail explains one part that is missing or that took several calls.
type PartDetail struct {
	Service ident.Service `json:"Service"`
	Good    bool          `json:"Good,omitempty"`
	// Skipped is set if no upstream was expected to answer in time, Waiting if
	// the part was waiting for a free connection.
	Skipped bool `json:"Skipped,omitempty"`
	Waiting bool `json:"Waiting,omitempty"`
	// Limited is set if the limits of all upstreams were used up.
	Limited bool `json:"Limited,omitempty"`
	// Paused is set if the upstreams want no calls for a while.
	Paused bool `json:"Paused,omitempty"`
	// Evacuated is set if the domains of the upstreams are evacuated.
	Evacuated bool `json:"Evacuated,omitempty"`
	// None is set if no upstream may be called.
	None bool `json:"None,omitempty"`
	// HandedTo is the domain of the host that the part was delegated to. Helper
	// is that host, if it belongs to this domain.
	HandedTo ident.Domain `json:"HandedTo,omitempty"`
	Helper   ident.HostID `json:"Helper,omitempty"`
	Arrivals int          `json:"Arrivals,omitempty"`
	Calls    []CallDetail `json:"Calls,omitempty"`
	// BudgetLeft is the number of extra calls to the service that the budget
	// still allowed.
	BudgetLeft float64 `json:"BudgetLeft"`
}

// CallDetail explains one call.
type CallDetail struct {
	Upstream ident.Upstream `json:"Upstream"`
	Domain   ident.Domain   `json:"Domain"`
	// AgoMicros is how long before the end of the query the call was made.
	AgoMicros int64 `json:"AgoMicros"`
	// ExpectMicros is the expected latency of the call, and Queue the number of
	// calls that were queued at the upstream before it.
	ExpectMicros int64 `json:"ExpectMicros"`
	Queue        int   `json:"Queue,omitempty"`
	// Slow is the upstream's latency as a multiple of what is typical for the
	// route.
	Slow float64 `json:"Slow"`
	// Result is empty while the call is in flight.
	Result string `json:"Result,omitempty"`
}

// detail explains a query. It omits parts that were answered by their first
// call, and parts that were not started when the query was refused.
func (e *Engine) detail(q *query) *Detail {
	d := &Detail{
		Route:      q.route.Name,
		Version:    q.table.Version(),
		TookMicros: e.now.Sub(q.arrived).Microseconds(),
		LateMicros: e.now.Sub(q.target).Microseconds(),
	}
	for _, p := range q.parts {
		started := len(p.attempts) > 0 || p.skipped || p.limited || p.paused || p.evacuated || q.mayHaveRun || p.unavailable()
		if p.success != nil && len(p.attempts) == 1 || p.success == nil && p.answered() || !started {
			continue
		}
		pd := PartDetail{
			Service:    p.service,
			Good:       p.success != nil,
			Skipped:    p.skipped,
			Waiting:    p.waits(),
			Limited:    p.limited,
			Paused:     p.paused,
			Evacuated:  p.evacuated,
			None:       p.unavailable(),
			Arrivals:   p.arrivals,
			BudgetLeft: e.window(p.service).Remaining(e.now, e.share(q)),
		}
		if p.group != nil {
			pd.HandedTo, pd.Helper = p.group.domain, p.group.helper
		}
		for _, a := range p.attempts {
			pd.Calls = append(pd.Calls, CallDetail{
				Upstream:     a.upstream.ID,
				Domain:       a.upstream.Domain,
				AgoMicros:    e.now.Sub(a.sentAt).Microseconds(),
				ExpectMicros: int64(a.baseLatency*a.upstream.slowdown) / 1000,
				Queue:        a.queue,
				Slow:         a.upstream.slowdown,
				Result:       a.result.String(),
			})
		}
		d.Parts = append(d.Parts, pd)
	}
	return d
}
