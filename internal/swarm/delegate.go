package swarm

import (
	"fmt"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// sub is a query that another host has delegated.
type sub struct {
	flow  *Flow
	id    ident.RequestID
	from  *host
	life  int
	query ident.QueryID
	group int
}

// gatherers returns the number of hosts that gather.
func (s *Swarm) gatherers() int { return max(1, s.setup.Hosts/(1+s.setup.Helpers)) }

// meetOthers tells a host which others it can delegate to. Without helpers it
// delegates nothing.
func (h *host) meetOthers() {
	s := h.swarm
	if s.setup.Helpers == 0 {
		return
	}
	ev := relay.Gatherers{Now: s.now}
	if h.index < s.gatherers() {
		for i := h.index + s.gatherers(); i < s.setup.Hosts; i += s.gatherers() {
			ev.Helpers = append(ev.Helpers, s.hosts[i].id())
		}
		for i := range max(2, s.setup.Domains) {
			if d := s.domainOf(i); d != h.domain() {
				ev.Domains = append(ev.Domains, d)
			}
		}
	}
	h.step(ev)
}

// flowOf returns the flow of a query, or nil.
func (h *host) flowOf(id ident.QueryID) *Flow {
	if v := h.visits[id]; v != nil {
		return v.flow
	}
	if q := h.subs[id]; q != nil {
		return q.flow
	}
	return nil
}

func (h *host) requestOf(id ident.QueryID) ident.RequestID {
	if v := h.visits[id]; v != nil {
		return v.id
	}
	return h.subs[id].id
}

// delegate sends shards of a query to another host.
func (h *host) delegate(f relay.Delegate) {
	s, flow := h.swarm, h.flowOf(f.Query)
	if flow == nil {
		return
	}
	to := h.delegatee(f)
	q := &sub{
		flow:  flow,
		id:    h.requestOf(f.Query),
		from:  h,
		life:  h.life,
		query: f.Query,
		group: f.Group,
	}
	to.later(hop, func() {
		s.lastQuery++
		to.subs[s.lastQuery] = q
		to.step(relay.Arrive{
			Now:     s.now,
			Query:   s.lastQuery,
			Host:    "a.example",
			Path:    flow.Kind.path(),
			Request: q.id,
			Print:   blame.PrintOf(nil, string(q.id)),
			Account: flow.Account,
			Limit:   f.Limit - hop,
			Version: f.Version,
			Shards:  f.Shards,
			Target:  f.Target,
			Direct:  f.Helper != "",
			Rest:    f.Rest,
		})
	})
}

// delegatee returns the helper, or a gatherer of the domain.
func (h *host) delegatee(f relay.Delegate) *host {
	s, to := h.swarm, 0
	if f.Helper != "" {
		_, _ = fmt.Sscan(string(f.Helper), &to)
		return s.hosts[to]
	}
	for to = s.rng.IntN(s.gatherers()); s.hosts[to].domain() != f.Domain; {
		to = (to + 1) % s.gatherers()
	}
	return s.hosts[to]
}

// endSub sends the answer to a delegated query back. It returns false for other
// effects.
func (h *host) endSub(f relay.Effect) bool {
	var ev relay.DelegateEnded
	var id ident.QueryID
	switch f := f.(type) {
	case relay.Merge:
		id = f.Query
		ev.Answered, ev.Tried, ev.Usual, ev.Shed = f.Shards, f.Tried, f.Usual, f.Shed
	case relay.Refuse:
		id = f.Query
		ev.Tried, ev.Usual, ev.Shed = f.Tried, f.Usual, f.Shed
	case relay.Delegate:
		h.delegate(f)
		return true
	default:
		return false
	}
	q := h.subs[id]
	if q == nil {
		return false
	}
	delete(h.subs, id)
	h.swarm.after(hop, func() {
		h.swarm.atHost(func() {
			if q.from.life != q.life {
				return
			}
			ev.Now, ev.Query, ev.Group = h.swarm.now, q.query, q.group
			q.from.step(ev)
		})
	})
	return true
}
