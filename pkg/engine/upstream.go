package engine

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// upstream is what the host knows about one upstream.
type upstream struct {
	conf     config.Upstream
	index    ident.Index // the index under which the shards are placed
	replicas []*replica
	timer    timer // next probe
	heard    ident.Instant
	// probing is set while a probe is out.
	probing     bool
	draining    bool
	unreachable bool
	outstanding int
	warmed      int
}

func newUpstream(conf config.Upstream) *upstream {
	u := &upstream{
		conf:  conf,
		index: conf.Index,
	}
	u.timer.up = u
	return u
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
		e.warm(u)
		e.indexes[u.index].pin.dirty = true
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
	if !e.reachable(u) {
		return // armed again when the seat changes
	}
	if silent := u.heard.Add(probeAfter); u.heard != 0 && now < silent {
		e.arm(&u.timer, silent)
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
	u.unreachable = true
	e.indexes[u.index].pin.dirty = true
	e.probed(now, u)
	e.pump(now, e.indexes[u.index])
}

func (e *Engine) reported(now ident.Instant, ev UpstreamReported) {
	u := e.upstreams[ev.Upstream]
	if u == nil {
		return
	}
	u.heard = now
	u.unreachable = false
	u.draining = ev.Health == HealthDraining
	for _, r := range u.replicas {
		r.learn(nil)
	}
	e.learn(u, ev.Held)
	e.indexes[u.index].pin.dirty = true
	e.probed(now, u)
	e.pump(now, e.indexes[u.index])
}

// learn takes over what u says it holds of the shards that are named.
func (e *Engine) learn(u *upstream, held []Held) {
	for _, h := range held {
		for _, r := range u.replicas {
			if r.shard.name == h.Shard && r.learn(h.Versions) {
				e.indexes[u.index].pin.dirty = true
			}
		}
	}
}

// learn replaces the known versions by the newest of vs and reports whether
// they differ.
func (r *replica) learn(vs []ident.IndexVersion) bool {
	if r.known && slices.Equal(r.versions, vs) {
		return false
	}
	r.known = true
	r.versions = append(r.versions[:0], vs...)
	slices.Sort(r.versions)
	r.versions = slices.Compact(r.versions)
	if n := len(r.versions) - maxHeld; n > 0 {
		r.versions = slices.Delete(r.versions, 0, n)
	}
	if len(r.versions) > 0 && r.versions[0] == 0 {
		r.versions = slices.Delete(r.versions, 0, 1) // zero means unknown
	}
	return true
}

// forget notes that the upstream does not hold version v.
func (r *replica) forget(v ident.IndexVersion) {
	r.versions = slices.DeleteFunc(r.versions, func(o ident.IndexVersion) bool { return o == v })
	r.shard.index.pin.dirty = true
}
