package swarm

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// The bounds on calls by a host that an upstream has told that it leaves, or wants
// a pause: none from drainTime after the first statement, and no more than
// pausedCalls between pauseGrace after an answer that asks for a pause and its end.
// A restart of the host since then excuses them.
const (
	drainTime   = 3 * time.Second
	pauseGrace  = 500 * time.Millisecond
	pausedCalls = 2

	// busyShare is the part of its calls that an upstream turns away while it is
	// busy.
	busyShare = 0.8
	maxPause  = 4 * time.Second
)

// told is what an upstream has told one host, in one life of it.
type told struct {
	life    int
	leaving ident.Instant
	// from and until bound the pause, in which calls were counted.
	from, until ident.Instant
	calls       int
}

// planNotices chooses which upstreams leave or ask for pauses, and when.
func (s *Swarm) planNotices(total time.Duration) {
	for i := range s.setup.LeavingShards {
		u := s.upstreams[upstreamID(i, 0)]
		u.leaveAt = ident.Instant(time.Second) + ident.Instant(s.rng.Int64N(int64(total/2)))
	}
	for i := range s.setup.PausingShards {
		for j := range 2 {
			u := s.upstreams[upstreamID(s.setup.Shards-1-i, j)]
			u.busyFrom, u.busyUntil = ident.Instant(total/4), ident.Instant(3*total/4)
		}
	}
}

// toldOf returns what the upstream has told a host since it started.
func (u *upstream) toldOf(h *host) told {
	if t := u.told[h]; t.life == h.life {
		return t
	}
	return told{life: h.life}
}

// leaves reports whether the upstream says to a host that it leaves.
func (u *upstream) leaves(h *host) bool {
	if u.leaveAt == 0 || u.swarm.now < u.leaveAt {
		return false
	}
	if t := u.toldOf(h); t.leaving == 0 {
		t.leaving = u.swarm.now
		u.told[h] = t
	}
	return true
}

// turnsAway rejects a call while the upstream is busy.
func (u *upstream) turnsAway(h *host, done func(relay.Ended)) bool {
	s := u.swarm
	if s.now < u.busyFrom || s.now >= u.busyUntil || s.rng.Float64() >= busyShare {
		return false
	}
	pause := time.Duration(s.rng.Int64N(int64(maxPause)))
	s.after(hop, func() {
		t := u.toldOf(h)
		if until := s.now.Add(pause); until > t.until {
			t.from, t.until, t.calls = s.now.Add(pauseGrace), until, 0
		}
		u.told[h] = t
		ev := relay.Ended{
			Result:  relay.Rejected,
			Status:  503,
			Pause:   pause,
			Leaving: u.leaves(h),
		}
		if s.setup.Deaf {
			ev.Pause, ev.Leaving = 0, false
		}
		done(ev)
	})
	return true
}

// checkNotices checks a call against what the upstream has told its host.
func (u *upstream) checkNotices(h *host) {
	s, t := u.swarm, u.toldOf(h)
	switch {
	case u.leaveAt == 0 || s.now < u.leaveAt.Add(drainTime):
	case t.leaving == 0:
		s.out.Untold++
	case s.now > t.leaving.Add(drainTime):
		s.violate("%s got a call of host %d, %s after it had told that host that it leaves", u.entry.ID, h.index, s.now.Sub(t.leaving))
	}
	if s.now < t.from || s.now >= t.until {
		return
	}
	if t.calls++; t.calls > pausedCalls {
		s.violate("%s got %d calls of host %d within a pause", u.entry.ID, t.calls, h.index)
	}
	u.told[h] = t
}
