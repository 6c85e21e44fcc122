package swarm

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// The bound on the calls to an upstream with a limit: from limitWindow after it
// was first named, in any limitWindow limitTolerance times the limit, and
// limitSlack, from hosts that it had told toldBefore or earlier.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	toldBefore     = 500 * time.Millisecond

	// maxCrashes is the number of crashes under one request after which it may
	// reach no upstream, touchTime later.
	maxCrashes = 3
)

// upstream is an emulated upstream.
type upstream struct {
	swarm *Swarm
	entry relay.Upstream
	// limit is named in answers; 0 is none.
	limit    float64
	namedAt  ident.Instant
	toldAt   map[*host]ident.Instant
	arrivals []ident.Instant
	// downUntil is when it is back after a crash; boots counts the crashes.
	downUntil ident.Instant
	boots     int
	// leaveAt is when it begins to leave, 0 for never. It turns calls away between
	// busyFrom and busyUntil.
	leaveAt             ident.Instant
	busyFrom, busyUntil ident.Instant
	told                map[*host]told
	// running and waiting are the calls in its slots and in its queue. Its work
	// takes slow times as long as usual until slowUntil.
	running   int
	waiting   []func()
	slow      float64
	slowUntil ident.Instant
	// pauseAt is when its first pause begins.
	pauseAt ident.Instant
}

// serve runs one call. done gets its end.
func (u *upstream) serve(h *host, print blame.Print, work time.Duration, done func(relay.Ended)) {
	s := u.swarm
	if s.now < u.downUntil {
		s.after(hop, func() { done(relay.Ended{Result: relay.Unsent}) })
		return
	}
	u.count(h)
	u.checkNotices(h)
	if u.turnsAway(h, done) {
		return
	}
	if s.setup.Slots > 0 {
		u.enqueue(work, done)
		return
	}
	boot := u.boots
	if print == crasher {
		if n := len(s.crashes); n >= maxCrashes && s.now > s.crashes[maxCrashes-1].Add(touchTime) && h.inTouch() {
			s.repeats++
		}
		s.after(workTime/2, func() {
			if boot == u.boots {
				u.boots++
				u.downUntil = s.now.Add(crashTime)
				s.crashes = append(s.crashes, s.now)
			}
		})
	}
	s.after(workTime, func() {
		if boot != u.boots {
			done(relay.Ended{
				Result:  relay.Lost,
				Crashed: true,
			})
			return
		}
		u.name(h)
		ev := relay.Ended{
			Result:  relay.Good,
			Status:  200,
			Limit:   u.limit,
			Leaving: u.leaves(h),
		}
		if s.setup.Deaf {
			ev.Limit, ev.Leaving = 0, false
		}
		done(ev)
	})
}

// name records that an answer names the limit to a host.
func (u *upstream) name(h *host) {
	if u.limit == 0 {
		return
	}
	if u.namedAt == 0 {
		u.namedAt = u.swarm.now
	}
	if _, ok := u.toldAt[h]; !ok {
		u.toldAt[h] = u.swarm.now
	}
}

// count checks a call against the limit.
func (u *upstream) count(h *host) {
	s := u.swarm
	told, ok := u.toldAt[h]
	if !ok || s.now < told.Add(toldBefore) || s.now < u.namedAt.Add(limitWindow) || !h.inTouch() {
		return
	}
	s.out.Calls++
	u.arrivals = append(u.arrivals, s.now)
	for u.arrivals[0] <= s.now.Add(-limitWindow) {
		u.arrivals = u.arrivals[1:]
	}
	if n := len(u.arrivals); float64(n) > limitTolerance*u.limit*limitWindow.Seconds()+limitSlack {
		s.violate("%s got %d calls in %s for a limit of %v a second", u.entry.ID, n, limitWindow, u.limit)
		u.arrivals = nil
	}
}
