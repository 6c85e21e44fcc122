package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// upstream is what the host keeps per upstream.
type upstream struct {
	*layout.Upstream
	index   *index
	service *service
	peer    route.Peer
	limit   *limit.Adaptive
	timer   timer // next probe
	// heard is when the upstream last said which versions it holds.
	heard ident.Instant
	// probing is set while a probe is out.
	probing  bool
	reported bool
	trial    ident.Instant // no attempt before this time while unreachable
	warmed   int
}

func up(p *layout.Upstream) *upstream { return p.Data.(*upstream) }

func (e *Engine) newUpstream(p *layout.Upstream) *upstream {
	u := &upstream{Upstream: p}
	p.Data = u
	u.timer.up = u
	u.limit = limit.NewAdaptive(e.connections(u))
	e.describe(u)
	return u
}

// upstream returns the upstream with the given id, or nil.
func (e *Engine) upstream(id ident.Upstream) *upstream {
	if p := e.places.Upstream(id); p != nil {
		return up(p)
	}
	return nil
}

// describe takes over what follows from the configuration of u.
func (e *Engine) describe(u *upstream) {
	u.index = e.indexOf(u.Index)
	u.service = e.serviceOf(u.Upstream)
	u.limit.SetCeiling(e.connections(u))
}

// connections returns the host's share of the connections of u. It is at
// least 1, so an upstream with fewer connections than seats can be exceeded.
func (e *Engine) connections(u *upstream) int {
	return max(1, u.Conf.ConnLimit/max(1, e.state.Seats))
}

// warm tells the runtime how many connections to u to keep, if that changed.
func (e *Engine) warm(u *upstream) {
	want := 0
	if e.places.Contains(u.Upstream) && u.Conf.Phase == config.Active && e.places.Reachable(u.Upstream) {
		want = e.connections(u)
	}
	if want == u.warmed {
		return
	}
	u.warmed = want
	e.emit(Warm{
		Upstream:    u.Conf.ID,
		Address:     u.Conf.Address,
		Connections: want,
	})
}

// share gives out the connection shares anew.
func (e *Engine) share() {
	for _, p := range e.places.Upstreams() {
		u := up(p)
		u.limit.SetCeiling(e.connections(u))
		e.warm(u)
	}
}

func (e *Engine) seated(now ident.Instant, seat Seat) {
	if seat == e.seat {
		return
	}
	e.seat = seat
	switch seat {
	case SeatHeld:
		e.places.SetReach(layout.ReachAll)
	case SeatExpired:
		e.places.SetReach(layout.ReachOwn)
	default:
		e.places.SetReach(layout.ReachNone)
	}
	for _, p := range e.places.Upstreams() {
		if u := up(p); e.places.Reachable(p) && !u.probing {
			e.arm(&u.timer, now)
		}
	}
	e.share()
	e.pumpAll(now)
}

// probeDue probes an upstream that was silent for probeAfter.
func (e *Engine) probeDue(now ident.Instant, u *upstream) {
	if u.probing {
		e.silent(now, u)
	}
	if !e.places.Reachable(u.Upstream) || u.Conf.Phase != config.Active {
		u.probing = false
		return // armed again when the seat changes
	}
	if next := u.heard.Add(probeAfter); u.heard != 0 && now < next {
		e.arm(&u.timer, next)
		return
	}
	u.probing = true
	e.emit(Probe{
		Upstream: u.Conf.ID,
		Address:  u.Conf.Address,
	})
	e.arm(&u.timer, now.Add(probeLost))
}

// probed notes the end of a probe and plans the next one, spread over a
// tenth of the interval so that probes of many upstreams do not coincide.
func (e *Engine) probed(now ident.Instant, u *upstream) {
	u.probing = false
	if e.places.Reachable(u.Upstream) {
		e.arm(&u.timer, now.Add(probeAfter-time.Duration(e.rng.Int64N(int64(probeAfter/10)))))
	}
}

func (e *Engine) probeFailed(now ident.Instant, id ident.Upstream) {
	u := e.upstream(id)
	if u == nil {
		return
	}
	e.silent(now, u)
	e.probed(now, u)
	e.pump(now, u.index)
}

// abandon gives up the late attempts to an upstream that does not answer
// probes either. Without it a query without hedges waits for its deadline.
func (e *Engine) abandon(now ident.Instant, u *upstream) {
	var late []*attempt
	for _, a := range e.attempts {
		if a.up == u && a.query != nil && now.Sub(a.sentAt) >= lateFactor*u.service.delay.After() {
			late = append(late, a)
		}
	}
	slices.SortFunc(late, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	for _, a := range late {
		q, t := a.query, a.task
		if q == nil {
			continue // a new plan of its query cancelled it
		}
		e.detach(a)
		e.emit(Cancel{Attempt: a.id})
		if q.tasks[t].running[0] == nil {
			e.retry(now, q, t, u, Broken)
		}
		e.settle(now, q)
		e.schedule(q)
	}
}

// silent notes that u did not answer a probe.
func (e *Engine) silent(now ident.Instant, u *upstream) {
	u.SetUnreachable(e.cfg.Policy == PolicyTolerant || !u.reported)
	u.peer.ProbeFailed(now)
	if e.cfg.Policy == PolicyTolerant {
		e.abandon(now, u)
	}
}

// hear notes that u answered, and whether it said what it holds.
func (e *Engine) hear(now ident.Instant, u *upstream, held bool) {
	if held {
		u.heard = now
	}
	u.SetUnreachable(false)
}

func (e *Engine) reported(now ident.Instant, ev UpstreamReported) {
	u := e.upstream(ev.Upstream)
	if u == nil {
		return
	}
	e.hear(now, u, true)
	u.peer.HealthReported(now)
	if ev.Health == HealthCold && !u.reported {
		u.peer.BeginSlowStart(now)
	}
	u.reported = true
	u.peer.LoadReported(now, ev.Load.Running+ev.Load.Waiting)
	u.SetDraining(ev.Health == HealthDraining)
	for _, r := range u.Replicas {
		var vs []ident.IndexVersion
		for i := range ev.Held {
			if ev.Held[i].Shard == r.Shard.Name {
				vs = ev.Held[i].Versions
				break
			}
		}
		r.Learn(vs)
	}
	e.probed(now, u)
	e.pump(now, u.index)
}

// learn takes over what u says it holds of the shards that are named.
func (u *upstream) learn(held []Held) {
	for i := range held {
		u.Learn(held[i].Shard, held[i].Versions)
	}
}
