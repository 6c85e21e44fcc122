package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/pace"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// effortTTL is how long the effort that an upstream states is used; its weight falls
	// to zero over that time. It changes several times a second.
	effortTTL = 400 * time.Millisecond

	// untriedTime is how long after its trial was due an upstream that is down waits for
	// a call that can be sent again elsewhere. A service may get no such calls at all.
	// Such a trial costs a caller an answer, as before the slow start, when upstreams were
	// avoided for 3 to 6 s after failures.
	untriedTime = 4 * time.Second

	// coldShare is the part of the stated rate of a cold upstream that hosts share. It
	// leaves room for what they have saved up when several send at once.
	coldShare = 0.7
)

// effort returns how long work is expected to take on an upstream's machine now, as a
// multiple of the usual, from what it last stated and how long ago that was.
func (e *Engine) effort(u *upstream) float64 {
	age := e.now.Sub(u.effortAt)
	if u.effort == 0 || age >= effortTTL {
		return 1
	}
	return 1 + (u.effort-1)*(1-float64(age)/float64(effortTTL))
}

// paced reports whether the upstreams of a service get a slow start.
func (e *Engine) paced(s ident.Service) bool {
	if e.table == nil {
		return false
	}
	svc := e.table.Service(s)
	return svc != nil && svc.ColdTime > 0
}

func (e *Engine) paceConfig(u *upstream) pace.Config {
	return pace.Config{
		Slots:  u.Slots,
		Hosts:  e.teams,
		Spread: e.rand.Float64(),
	}
}

// paceAllows reports whether the pace of an upstream allows a call for a part now. An
// upstream that is down is tried with the first call of a part that can be sent again
// elsewhere, and with others once no such call has come for untriedTime.
func (e *Engine) paceAllows(q *query, p *part, u *upstream) bool {
	due := e.now
	if u.pace.Down() && (q.route.Kind != rules.Idempotent || q.route.Attempts < 2 || p.arrivals > 0 || len(p.attempts) > 0) {
		due = e.now.Add(-untriedTime)
	}
	return u.pace.Ready(due, len(u.inFlight))
}

// recordPace updates the pace of an upstream by an ended call.
func (e *Engine) recordPace(a *attempt, ev Ended) {
	u := a.upstream
	if u.pace.Open() && (ev.Result == Good || !e.paced(u.Service)) {
		u.pace = pace.Window{}
		return
	}
	c := e.paceConfig(u)
	switch ev.Result {
	case Good:
		usual := a.baseLatency * a.effort
		if a.sentAt < u.coldUntil {
			usual *= coldFactor
		}
		recovered := u.pace.Succeeded(c, pace.Answer{
			Ratio:   float64(e.now.Sub(a.sentAt)) / usual,
			Crowded: ev.Load.Known && ev.Load.Waiting > u.Slots,
		})
		if recovered {
			// What was learned before it went down says nothing of it now.
			u.slowdown, u.failRate = 1, 0
			e.emitPaced(u, false)
		}
	case Rejected:
		if !ev.Moved {
			u.pace.Rejected(c)
		}
	case Unsent, Bad, Lost:
		if u.pace.Failed(e.now, c) {
			e.emitPaced(u, true)
		}
	}
}

func (e *Engine) emitPaced(u *upstream, isDown bool) {
	e.emit(Paced{
		Upstream: u.ID,
		Service:  u.Service,
		Down:     isDown,
	})
}

// coldLimit returns the number of calls a second that all hosts together may send to a
// cold upstream, 0 if its service states no bound or it is not cold.
func (e *Engine) coldLimit(u *upstream) float64 {
	if e.table == nil || e.now >= u.coldUntil {
		return 0
	}
	if svc := e.table.Service(u.Service); svc != nil {
		return coldShare * svc.ColdRate
	}
	return 0
}

// limitCold starts and ends the limits of upstreams that are cold.
func (e *Engine) limitCold() {
	if !e.limitsCold {
		return
	}
	var changed []*upstream
	for _, u := range e.upstreams {
		if u.coldLimited != (e.coldLimit(u) > 0) {
			changed = append(changed, u)
		}
	}
	slices.SortFunc(changed, func(x, y *upstream) int { return cmp.Compare(x.ID, y.ID) })
	for _, u := range changed {
		limit := e.coldLimit(u)
		u.coldLimited = limit > 0
		if c, ok := e.quota.Record(e.now, e.now, u.key, u.Domain, limit); ok {
			e.emitLimit(c, u)
		}
	}
}
