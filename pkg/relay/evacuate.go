package relay

import "github.com/jujubethread/jujubethread/pkg/ident"

// An upstream in an evacuated domain gets no call of any kind; calls in flight there
// go on. What this host has learned of the upstream is kept until the evacuation ends.

// evacuate replaces the evacuated domains. Queries that wait follow at once.
func (e *Engine) evacuate(domains []ident.Domain) {
	e.evacuated = make(map[ident.Domain]bool, len(domains))
	for _, d := range domains {
		e.evacuated[d] = true
	}
	e.advanceAll()
}

// evacuatedOut reports whether no upstream of a service may be called, and at least
// one of them is in an evacuated domain.
func (e *Engine) evacuatedOut(s ident.Service) (out bool) {
	if len(e.evacuated) == 0 {
		return false
	}
	for _, u := range e.services[s] {
		if e.callable(u) {
			return false
		}
		out = out || e.evacuated[u.Domain]
	}
	return out
}

// skipReason returns why a query is refused that may lack most shards and would lack
// more. down is set if some of them have no upstream that can be called.
func (q *query) skipReason(most int, down bool) string {
	evacuated := 0
	for _, p := range q.parts {
		if p.evacuated {
			evacuated++
		}
	}
	switch {
	case evacuated > most:
		return "the domains of too many shards are evacuated"
	case down:
		return "too many shards have no upstream that can be called, are overloaded or want no calls"
	}
	return "too many shards are overloaded or want no calls"
}
