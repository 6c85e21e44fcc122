package relay

import (
	"encoding/binary"
	"time"

	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/notice"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// setNotices sets what upstreams have said of themselves from what this host has
// recorded, which outlives their entries in the list.
func (e *Engine) setNotices(u *upstream) {
	since, said := e.departures.Since(e.now, u.key)
	u.leaving = said || u.Draining
	switch {
	case said && u.Draining:
		u.leavingSince = min(since, u.drainingSince)
	case said:
		u.leavingSince = since
	case u.Draining:
		u.leavingSince = u.drainingSince
	}
	u.pausedUntil, _ = e.pauses.Paused(e.now, u.key)
}

// callable reports whether an upstream is neither ejected, nor leaving for too
// long, nor in an evacuated domain.
func (e *Engine) callable(u *upstream) bool {
	return !e.evacuated[u.Domain] && e.now >= u.excludedUntil && (!u.leaving || e.now < u.leavingSince.Add(drainGrace))
}

// pause returns how long the upstreams of a service want no calls from this host,
// and false if one of them may be called now or if none has asked for a pause.
func (e *Engine) pause(s ident.Service) (wait time.Duration, paused bool) {
	for _, u := range e.services[s] {
		switch left := u.pausedUntil.Sub(e.now); {
		case !e.callable(u):
		case left <= 0:
			return 0, false
		case !paused || left < wait:
			wait, paused = left, true
		}
	}
	return wait, paused
}

// probed reports whether the only upstreams of a service that may be called have
// just ended a pause, and each has a call in flight that shows whether they take
// calls again.
func (e *Engine) probed(s ident.Service) (probed bool) {
	for _, u := range e.services[s] {
		switch {
		case !e.callable(u) || e.now < u.pausedUntil:
		case len(u.inFlight) == 0 || !e.pauses.Returning(e.now, u.key):
			return false
		default:
			probed = true
		}
	}
	return probed
}

// recordDeparture processes whether an answer states that its upstream leaves.
func (e *Engine) recordDeparture(a *attempt, ev Ended) {
	u, isNew := a.upstream, false
	switch {
	case ev.Status == 0 || ev.Moved:
	case ev.Leaving:
		isNew = e.departures.Record(e.now, u.key)
	case ev.Result == Good:
		isNew = e.departures.Stays(e.now, a.sentAt, u.key)
	}
	if !isNew {
		return
	}
	e.setNotices(u)
	e.emit(Departure{
		Upstream: u.ID,
		Service:  u.Service,
		Stays:    !ev.Leaving,
	})
	if !u.Draining { // else the list tells all hosts
		e.emit(Broadcast{Fact: departureFact(e.now, u.key, ev.Leaving)})
	}
}

func departureFact(now ident.Instant, k quota.Key, leaving bool) gossip.Fact {
	f := gossip.Fact{
		ID:    gossip.ID{Topic: topicDeparture},
		At:    now,
		Until: now.Add(notice.DepartureTime),
		Body:  []byte{0},
	}
	if leaving {
		f.Body[0] = 1
	}
	binary.BigEndian.PutUint64(f.Key[:], uint64(k))
	return f
}

func (e *Engine) learnDeparture(f gossip.Fact) (isNew bool) {
	if len(f.Body) != 1 || f.Until > e.now.Add(notice.DepartureTime) {
		return false
	}
	k, leaving := quota.Key(binary.BigEndian.Uint64(f.Key[:])), f.Body[0] == 1
	if !e.departures.Learn(e.now, f.At, k, leaving) {
		return false
	}
	u := e.byKey[k]
	if u == nil {
		return true
	}
	e.setNotices(u)
	e.emit(Departure{
		Upstream: u.ID,
		Service:  u.Service,
		Stays:    !leaving,
		Learned:  true,
	})
	return !u.Draining
}

// recordPause processes a pause that an upstream asks for.
func (e *Engine) recordPause(a *attempt, ev Ended) {
	if ev.Status == 0 || ev.Moved || ev.Pause <= 0 {
		return
	}
	u := a.upstream
	u.pausedUntil = e.pauses.Record(e.now, u.key, ev.Pause)
	e.emit(Pause{
		Upstream: u.ID,
		Service:  u.Service,
		For:      u.pausedUntil.Sub(e.now),
	})
}

// Leaving returns the number of upstreams that have said that they leave.
func (e *Engine) Leaving() int { return e.departures.Len(e.now) }

// Paused returns the number of upstreams that want no calls from this host.
func (e *Engine) Paused() int { return e.pauses.Len(e.now) }
