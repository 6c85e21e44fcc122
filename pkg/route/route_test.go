package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/route"
)

func candidates(n int) []route.Candidate {
	cands := make([]route.Candidate, n)
	for i := range cands {
		cands[i] = route.Candidate{
			Peer:  &route.Peer{},
			Limit: 4,
		}
	}
	return cands
}

func at(d time.Duration) ident.Instant { return ident.Instant(d) }

func ExamplePicker_Pick() {
	cands := candidates(2)
	cands[0].Peer.Answered(1, 40*time.Millisecond)
	cands[1].Peer.Answered(1, 4*time.Millisecond)
	p := route.NewPicker(1)
	fmt.Println("fast:", p.Pick(2, cands))
	for range 3 {
		cands[1].Peer.Failed(3)
	}
	fmt.Println("fast one ejected:", p.Pick(4, cands))
	cands[0].Peer.Failed(5)
	cands[0].Peer.Failed(5)
	cands[0].Peer.Failed(5)
	fmt.Println("both ejected:", p.Pick(6, cands) >= 0)
	// Output:
	// fast: 1
	// fast one ejected: 0
	// both ejected: true
}

// share returns how often each candidate is chosen in 1000 independent picks.
func share(now ident.Instant, cands []route.Candidate) []int {
	p := route.NewPicker(7)
	counts := make([]int, len(cands))
	for range 1000 {
		if i := p.Pick(now, cands); i >= 0 {
			counts[i]++
		}
	}
	return counts
}

// Guards against ejections that do not end, do not double, or whose length is
// not capped or reset.
func TestEjectionDoublesAndResets(t *testing.T) {
	is := is.New(t)
	p := &route.Peer{}
	now := at(time.Minute)
	eject := func() time.Duration {
		for range 3 {
			p.Failed(now)
		}
		return p.EjectedUntil().Sub(now)
	}
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 32} {
		is.Equal(eject(), want*time.Second)
		now = p.EjectedUntil()
		is.True(!p.Ejected(now))
	}
	now = now.Add(2 * time.Minute)
	is.Equal(eject(), time.Second)
}

// Guards against an ejection by failures that are further apart than the
// failure window.
func TestFailureWindowResets(t *testing.T) {
	is := is.New(t)
	p := &route.Peer{}
	now := at(time.Minute)
	for range 10 {
		p.Failed(now)
		p.Failed(now)
		is.True(!p.Ejected(now))
		now = now.Add(11 * time.Second)
	}
}

// Guards against a reported load that outweighs the host's own measurements or
// is used after it expired.
func TestLoadBreaksTiesOnly(t *testing.T) {
	is := is.New(t)
	cands := candidates(2)
	now := at(time.Second)
	for i := range cands {
		cands[i].Peer.Answered(now, 5*time.Millisecond)
	}
	cands[0].Peer.LoadReported(now, 9)
	cands[1].Peer.LoadReported(now, 1)
	is.Equal(share(now, cands), []int{0, 1000})
	late := share(now.Add(2*time.Second), cands)
	is.True(late[0] > 400 && late[1] > 400) // expired: chosen at random
	cands[1].Peer.Sent(now)
	is.Equal(share(now, cands), []int{1000, 0}) // requests in flight take precedence
}

// Guards against traffic that crosses domains without need, and that does not
// when the upstream in its own domain is full, ejected or much slower.
func TestOwnDomainFirst(t *testing.T) {
	is := is.New(t)
	now := at(time.Second)
	fresh := func() []route.Candidate {
		cands := candidates(2)
		cands[0].SameDomain = true
		cands[0].Peer.Answered(now, 6*time.Millisecond)
		cands[1].Peer.Answered(now, 4*time.Millisecond)
		return cands
	}
	is.Equal(share(now, fresh()), []int{1000, 0})
	full := fresh()
	for range 4 {
		full[0].Peer.Sent(now)
	}
	is.Equal(share(now, full), []int{0, 1000})
	slow := fresh()
	slow[0].Peer = &route.Peer{}
	slow[0].Peer.Answered(now, 9*time.Millisecond)
	is.Equal(share(now, slow), []int{0, 1000})
	ejected := fresh()
	for range 3 {
		ejected[0].Peer.Failed(now)
	}
	is.Equal(share(now, ejected), []int{0, 1000})
}

// Guards against a cold upstream that gets its full share immediately or never.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	cands := candidates(2)
	now := at(time.Second)
	cands[0].Peer.BeginSlowStart(now)
	is.True(share(now, cands)[0] < 100)
	last := 0
	for s := range 11 {
		got := share(now.Add(time.Duration(s)*time.Second), cands)[0]
		is.True(got > last-60) // rises, apart from chance
		last = got
	}
	is.True(last > 400)
	cands[1].Tried = true
	is.Equal(share(now, cands)[0], 1000) // no other candidate
}

// Guards against choosing a full or tried candidate, and against choosing none
// while an untried one is below its limit and no healthy one is full.
func TestPickIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cands := candidates(rapid.IntRange(0, 5).Draw(t, "n"))
		now := at(time.Minute)
		free, healthyFull, anyTried := 0, false, false
		for i := range cands {
			c := &cands[i]
			c.Tried = rapid.Bool().Draw(t, "tried")
			c.SameDomain = rapid.Bool().Draw(t, "own")
			for range rapid.IntRange(0, 4).Draw(t, "out") {
				c.Peer.Sent(now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "fails") {
				c.Peer.Failed(now)
			}
			switch {
			case c.Tried:
				anyTried = true
			case c.Peer.Outstanding() < c.Limit:
				free++
			case !c.Peer.Ejected(now):
				healthyFull = true
			}
		}
		room := route.CheckRoom(now, cands)
		i := route.NewPicker(rapid.Uint64().Draw(t, "seed")).Pick(now, cands)
		if !anyTried && (i >= 0) != (room == route.RoomFree) {
			t.Fatalf("choice %d but room %v", i, room)
		}
		if i < 0 {
			if free > 0 && !healthyFull {
				t.Fatalf("no choice among %d free candidates", free)
			}
			return
		}
		if c := cands[i]; c.Tried || c.Peer.Outstanding() >= c.Limit {
			t.Fatalf("candidate %d is tried or full", i)
		}
	})
}
