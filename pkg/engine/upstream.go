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

// upstream is the engine's state of one upstream.
type upstream struct {
	*layout.Upstream
	index      *index
	service    *service
	peer       route.Peer
	limit      *limit.Adaptive
	probeTimer timer // next probe
	// versionsReportedAt is when the upstream last reported its versions, 0 to
	// probe at once.
	versionsReportedAt ident.Instant
	// probing is set while a probe is in flight.
	probing      bool
	everReported bool
	nextTrial    ident.Instant // earliest next attempt while unreachable
	warmConns    int
}

func upstreamOf(lu *layout.Upstream) *upstream { return lu.Data.(*upstream) }

func (e *Engine) newUpstream(lu *layout.Upstream) *upstream {
	u := &upstream{Upstream: lu}
	lu.Data = u
	u.probeTimer.upstream = u
	u.limit = limit.NewAdaptive(e.connShare(u))
	e.configureUpstream(u)
	return u
}

// upstreamByID returns the upstream with the given id, or nil.
func (e *Engine) upstreamByID(id ident.Upstream) *upstream {
	if lu := e.layout.Upstream(id); lu != nil {
		return upstreamOf(lu)
	}
	return nil
}

// configureUpstream derives the state of u that depends on its configuration.
func (e *Engine) configureUpstream(u *upstream) {
	u.index = e.indexOf(u.Index)
	u.service = e.serviceOf(u.Upstream)
	u.limit.SetCeiling(e.connShare(u))
}

// connShare returns the host's share of the connection limit of u. It is at
// least 1, so that all hosts together exceed a limit that is lower than the
// number of seats.
func (e *Engine) connShare(u *upstream) int {
	return max(1, u.Conf.ConnLimit/max(1, e.state.Seats))
}

// updateWarmConns emits a Warm if the number of connections to keep open to u
// changed.
func (e *Engine) updateWarmConns(u *upstream) {
	want := 0
	if e.layout.Contains(u.Upstream) && u.Conf.Phase == config.Active && e.layout.Reachable(u.Upstream) {
		want = e.connShare(u)
	}
	if want == u.warmConns {
		return
	}
	u.warmConns = want
	e.emit(Warm{
		Upstream:    u.Conf.ID,
		Address:     u.Conf.Address,
		Connections: want,
	})
}

// redistributeConns recomputes the connection shares of all upstreams.
func (e *Engine) redistributeConns() {
	for _, lu := range e.layout.Upstreams() {
		u := upstreamOf(lu)
		u.limit.SetCeiling(e.connShare(u))
		e.updateWarmConns(u)
	}
}

func (e *Engine) seatChanged(now ident.Instant, seat Seat) {
	if seat == e.seat {
		return
	}
	e.seat = seat
	switch seat {
	case SeatHeld:
		e.layout.SetReach(layout.ReachAll)
	case SeatExpired:
		e.layout.SetReach(layout.ReachOwn)
	default:
		e.layout.SetReach(layout.ReachNone)
	}
	for _, lu := range e.layout.Upstreams() {
		if u := upstreamOf(lu); e.layout.Reachable(lu) && !u.probing {
			e.arm(&u.probeTimer, now)
		}
	}
	e.redistributeConns()
	e.admitAllQueued(now)
}

// probeDue handles the probe timer of u: it sends a probe unless u reported its
// versions within probeInterval. A probe still in flight has timed out.
func (e *Engine) probeDue(now ident.Instant, u *upstream) {
	if u.probing {
		e.markUnresponsive(now, u)
	}
	if !e.layout.Reachable(u.Upstream) || u.Conf.Phase != config.Active {
		u.probing = false
		return // armed again when the seat changes
	}
	if next := u.versionsReportedAt.Add(probeInterval); u.versionsReportedAt != 0 && now < next {
		e.arm(&u.probeTimer, next)
		return
	}
	u.probing = true
	e.emit(Probe{
		Upstream: u.Conf.ID,
		Address:  u.Conf.Address,
	})
	e.arm(&u.probeTimer, now.Add(probeTimeout))
}

// finishProbe records the end of a probe and schedules the next one. A jitter of
// a tenth of the interval keeps probes of many upstreams from coinciding.
func (e *Engine) finishProbe(now ident.Instant, u *upstream) {
	u.probing = false
	if e.layout.Reachable(u.Upstream) {
		e.arm(&u.probeTimer, now.Add(probeInterval-time.Duration(e.rng.Int64N(int64(probeInterval/10)))))
	}
}

func (e *Engine) probeFailed(now ident.Instant, id ident.Upstream) {
	u := e.upstreamByID(id)
	if u == nil {
		return
	}
	e.markUnresponsive(now, u)
	e.finishProbe(now, u)
	e.admitQueued(now, u.index)
}

// abandonLateAttempts cancels and retries the late attempts to an upstream that
// does not answer probes either. Otherwise a query of a class without hedges
// would wait for its deadline.
func (e *Engine) abandonLateAttempts(now ident.Instant, u *upstream) {
	var lateAttempts []*attempt
	for _, a := range e.attempts {
		if a.upstream == u && a.query != nil && now.Sub(a.sentAt) >= lateFactor*u.service.hedgeDelay.After() {
			lateAttempts = append(lateAttempts, a)
		}
	}
	slices.SortFunc(lateAttempts, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	for _, a := range lateAttempts {
		q, i := a.query, a.task
		if q == nil {
			continue // cancelled by a new plan of its query
		}
		e.detachAttempt(a)
		e.emit(Cancel{Attempt: a.id})
		if q.tasks[i].running[0] == nil {
			e.retryTask(now, q, i, u, Broken)
		}
		e.finishIfSettled(now, q)
		e.armQueryTimer(q)
	}
}

// markUnresponsive records that u did not answer a probe. With the baseline
// policies this makes u unreachable only if it has never reported.
func (e *Engine) markUnresponsive(now ident.Instant, u *upstream) {
	u.SetUnreachable(e.cfg.Policy == PolicyTolerant || !u.everReported)
	u.peer.ProbeFailed(now)
	if e.cfg.Policy == PolicyTolerant {
		e.abandonLateAttempts(now, u)
	}
}

// markResponsive records an answer or report of u, withVersions if it contained
// versions.
func (e *Engine) markResponsive(now ident.Instant, u *upstream, withVersions bool) {
	if withVersions {
		u.versionsReportedAt = now
	}
	u.SetUnreachable(false)
}

func (e *Engine) upstreamReported(now ident.Instant, ev UpstreamReported) {
	u := e.upstreamByID(ev.Upstream)
	if u == nil {
		return
	}
	e.markResponsive(now, u, true)
	u.peer.HealthReported(now)
	if ev.Health == HealthCold && !u.everReported {
		u.peer.BeginSlowStart(now)
	}
	u.everReported = true
	u.peer.LoadReported(now, ev.Load.Running+ev.Load.Waiting)
	u.SetDraining(ev.Health == HealthDraining)
	for _, r := range u.Replicas {
		var versions []ident.IndexVersion
		for i := range ev.Held {
			if ev.Held[i].Shard == r.Shard.Name {
				versions = ev.Held[i].Versions
				break
			}
		}
		r.Learn(versions)
	}
	e.finishProbe(now, u)
	e.admitQueued(now, u.index)
}

// learnVersions updates the known versions of the shards that u reported; those
// of other shards stay.
func (u *upstream) learnVersions(reported []Held) {
	for i := range reported {
		u.Learn(reported[i].Shard, reported[i].Versions)
	}
}
