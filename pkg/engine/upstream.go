package engine

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/route"
)

// upstream is what the host knows about one upstream.
type upstream struct {
	conf     config.Upstream
	index    *index // under which the shards are placed
	service  *service
	replicas []*replica
	peer     route.Peer
	limit    *limit.Adaptive
	timer    timer // next probe
	// heard is when the upstream last said which versions it holds.
	heard ident.Instant
	// probing is set while a probe is out.
	probing  bool
	draining bool
	// unreachable is set after a failed probe until the upstream is heard again.
	unreachable bool
	trial       ident.Instant // no attempt before this time while unreachable
	reported    bool
	warmed      int
}

func (e *Engine) newUpstream(conf config.Upstream) *upstream {
	u := &upstream{conf: conf}
	u.timer.up = u
	u.limit = limit.NewAdaptive(e.connections(u))
	e.describe(u)
	return u
}

// describe takes over what follows from the configuration of u.
func (e *Engine) describe(u *upstream) {
	u.index = e.indexes[u.conf.Index]
	if u.index == nil {
		u.index = e.newIndex(u.conf.Index)
	}
	key := serviceKey{u.conf.Index, u.conf.Service}
	u.service = e.services[key]
	if u.service == nil {
		u.service = e.newService(key)
	}
	u.limit.SetCeiling(e.connections(u))
}

// connections returns the host's share of the connections of u. It is at
// least 1, so an upstream with fewer connections than seats can be exceeded.
func (e *Engine) connections(u *upstream) int {
	return max(1, u.conf.ConnLimit/max(1, e.state.Seats))
}

// reachable reports whether the seat allows connections to u.
func (e *Engine) reachable(u *upstream) bool {
	return e.seat == SeatHeld || (e.seat == SeatExpired && u.conf.Domain == e.cfg.Domain)
}

// eligible reports whether u may get new work.
func (e *Engine) eligible(u *upstream) bool {
	return u.conf.Phase == config.Active && !u.draining && e.reachable(u)
}

// warm tells the runtime how many connections to u to keep, if that changed.
func (e *Engine) warm(u *upstream) {
	want := 0
	if e.upstreams[u.conf.ID] == u && u.conf.Phase == config.Active && e.reachable(u) {
		want = e.connections(u)
	}
	if want == u.warmed {
		return
	}
	u.warmed = want
	e.emit(Warm{
		Upstream:    u.conf.ID,
		Address:     u.conf.Address,
		Connections: want,
	})
}

// share gives out the connection shares anew.
func (e *Engine) share() {
	for i := range e.state.Upstreams {
		u := e.upstreams[e.state.Upstreams[i].ID]
		u.limit.SetCeiling(e.connections(u))
		e.warm(u)
		u.index.pin.dirty = true
	}
}

func (e *Engine) seated(now ident.Instant, seat Seat) {
	if seat == e.seat {
		return
	}
	e.seat = seat
	for i := range e.state.Upstreams {
		if u := e.upstreams[e.state.Upstreams[i].ID]; e.reachable(u) && !u.probing {
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
	if !e.reachable(u) || u.conf.Phase != config.Active {
		u.probing = false
		return // armed again when the seat changes
	}
	if next := u.heard.Add(probeAfter); u.heard != 0 && now < next {
		e.arm(&u.timer, next)
		return
	}
	u.probing = true
	e.emit(Probe{
		Upstream: u.conf.ID,
		Address:  u.conf.Address,
	})
	e.arm(&u.timer, now.Add(probeLost))
}

// probed notes the end of a probe and plans the next one, spread over a
// tenth of the interval so that probes of many upstreams do not coincide.
func (e *Engine) probed(now ident.Instant, u *upstream) {
	u.probing = false
	if e.reachable(u) {
		e.arm(&u.timer, now.Add(probeAfter-time.Duration(e.rng.Int64N(int64(probeAfter/10)))))
	}
}

func (e *Engine) probeFailed(now ident.Instant, id ident.Upstream) {
	u := e.upstreams[id]
	if u == nil {
		return
	}
	e.silent(now, u)
	e.probed(now, u)
	e.pump(now, u.index)
}

// silent notes that u did not answer a probe.
func (e *Engine) silent(now ident.Instant, u *upstream) {
	u.unreachable = e.cfg.Policy == PolicyTolerant || !u.reported
	u.peer.Unreachable(now)
	u.index.pin.dirty = true
}

// hear notes that u answered, and whether it said what it holds.
func (e *Engine) hear(now ident.Instant, u *upstream, held bool) {
	if held {
		u.heard = now
	}
	if u.unreachable {
		u.unreachable = false
		u.index.pin.dirty = true
	}
}

func (e *Engine) reported(now ident.Instant, ev UpstreamReported) {
	u := e.upstreams[ev.Upstream]
	if u == nil {
		return
	}
	e.hear(now, u, true)
	u.peer.Reachable(now)
	if ev.Health == HealthCold && !u.reported {
		u.peer.Cold(now)
	}
	u.reported = true
	u.peer.Reported(now, ev.Load.Running+ev.Load.Waiting)
	if draining := ev.Health == HealthDraining; draining != u.draining {
		u.draining = draining
		u.index.pin.dirty = true
	}
	for _, r := range u.replicas {
		var vs []ident.IndexVersion
		for i := range ev.Held {
			if ev.Held[i].Shard == r.shard.name {
				vs = ev.Held[i].Versions
				break
			}
		}
		r.learn(vs)
	}
	e.probed(now, u)
	e.pump(now, u.index)
}

// learn takes over what u says it holds of the shards that are named.
func (u *upstream) learn(held []Held) {
	for i := range held {
		for _, r := range u.replicas {
			if r.shard.name == held[i].Shard {
				r.learn(held[i].Versions)
			}
		}
	}
}

// learn replaces the known versions by the newest of vs.
func (r *replica) learn(vs []ident.IndexVersion) {
	if r.known && slices.Equal(r.versions, vs) {
		return
	}
	r.known = true
	r.versions = append(r.versions[:0], vs...)
	slices.Sort(r.versions)
	r.versions = slices.Compact(r.versions)
	if n := len(r.versions) - maxHeld; n > 0 {
		r.versions = slices.Clone(r.versions[n:])
	}
	if len(r.versions) > 0 && r.versions[0] == 0 {
		r.versions = r.versions[1:] // zero means unknown
	}
	r.shard.index.pin.dirty = true
}

// forget notes that the upstream does not hold version v.
func (r *replica) forget(v ident.IndexVersion) {
	r.versions = slices.DeleteFunc(r.versions, func(o ident.IndexVersion) bool { return o == v })
	r.shard.index.pin.dirty = true
}
