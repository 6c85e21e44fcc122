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

// PartDetail explains one part that is missing, or that took several calls.
type PartDetail struct {
	Service ident.Service `json:"Service"`
	Good    bool          `json:"Good,omitempty"`
	// Skipped is set if no upstream was expected to answer in time, Waiting if
	// no connection was free.
	Skipped bool `json:"Skipped,omitempty"`
	Waiting bool `json:"Waiting,omitempty"`
	// HandedTo is the domain whose gatherer had the part in hand, or Helper the
	// host of this domain.
	HandedTo ident.Domain `json:"HandedTo,omitempty"`
	Helper   ident.HostID `json:"Helper,omitempty"`
	Arrivals int          `json:"Arrivals,omitempty"`
	Calls    []CallDetail `json:"Calls,omitempty"`
	// BudgetLeft is what was left for extra calls to the service.
	BudgetLeft float64 `json:"BudgetLeft"`
}

// CallDetail explains one call.
type CallDetail struct {
	Upstream ident.Upstream `json:"Upstream"`
	Domain   ident.Domain   `json:"Domain"`
	// AgoMicros is how long before the end of the query the call was made.
	AgoMicros int64 `json:"AgoMicros"`
	// ExpectMicros is the latency that was expected of it, and Queue the calls
	// that waited there before it.
	ExpectMicros int64   `json:"ExpectMicros"`
	Queue        int     `json:"Queue,omitempty"`
	Slow         float64 `json:"Slow"`
	// Result is empty while the call is in progress.
	Result string `json:"Result,omitempty"`
}

// detail explains a query. Parts that were answered by their first call are
// left out, and those that were not begun when a query was refused.
func (e *Engine) detail(q *query) *Detail {
	d := &Detail{
		Route:      q.route.Name,
		Version:    q.table.Version(),
		TookMicros: e.now.Sub(q.arrived).Microseconds(),
		LateMicros: e.now.Sub(q.target).Microseconds(),
	}
	for _, p := range q.parts {
		began := len(p.attempts) > 0 || p.skipped || q.ran
		if p.good != nil && len(p.attempts) == 1 || p.good == nil && p.has() || !began {
			continue
		}
		pd := PartDetail{
			Service:    p.service,
			Good:       p.good != nil,
			Skipped:    p.skipped,
			Waiting:    p.waits(),
			Arrivals:   p.arrivals,
			BudgetLeft: e.window(p.service).Remaining(e.now, e.share(q)),
		}
		if p.group != nil {
			pd.HandedTo, pd.Helper = p.group.domain, p.group.helper
		}
		for _, a := range p.attempts {
			pd.Calls = append(pd.Calls, CallDetail{
				Upstream:     a.up.ID,
				Domain:       a.up.Domain,
				AgoMicros:    e.now.Sub(a.at).Microseconds(),
				ExpectMicros: int64(a.unit*a.up.slow) / 1000,
				Queue:        a.queue,
				Slow:         a.up.slow,
				Result:       a.result.String(),
			})
		}
		d.Parts = append(d.Parts, pd)
	}
	return d
}
