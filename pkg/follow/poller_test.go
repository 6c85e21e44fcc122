package follow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// applyTimeout is the bound from the acknowledgement of a version until it is
	// in force.
	applyTimeout = 3 * time.Second

	// contactWindow is how long an entry host must have been in contact with a
	// control host that has the leader, for the bound to hold.
	contactWindow = 4 * time.Second

	simStep = 10 * time.Millisecond
	// The timing of the runtime, see internal/watch and pkg/board.
	pollWait    = time.Second
	pollTimeout = 1700 * time.Millisecond
	confirmGap  = 500 * time.Millisecond
)

// pollControl simulates a control host: it confirms its copy while it has the
// leader, and answers polls unless it is silent.
type pollControl struct {
	follow.Source
	hasLeader, silent, refuses bool
	version                    uint64
	confirmedAt                ident.Instant
	nextConfirm                ident.Instant
	// healthySince is when it last began to have the leader and to answer.
	healthySince ident.Instant
}

func (c *pollControl) healthy() bool { return c.hasLeader && !c.silent && !c.refuses }

func (c *pollControl) stale(now ident.Instant) bool { return now.Sub(c.confirmedAt) > follow.StaleAge }

type simPoll struct {
	attempt  uint64
	to       *pollControl
	version  uint64 // of the entry host when it asked
	openedAt ident.Instant
	atOnce   bool
	wasStale bool
}

// pollSim simulates one entry host with a Poller and its control hosts.
type pollSim struct {
	t        interface{ Fatalf(string, ...any) }
	rng      *rand.Rand
	now      ident.Instant
	poller   *follow.Poller
	controls []*pollControl
	polls    []simPoll
	wake     ident.Instant
	version  uint64 // in force on the entry host
	newest   uint64
	ackedAt  map[uint64]ident.Instant
	changes  int // of the source
	requests int
	log      []string
}

func newPollSim(t interface{ Fatalf(string, ...any) }, seed uint64, controls int) *pollSim {
	sim := &pollSim{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 2)),
		poller:  follow.NewPoller(follow.PollerConfig{Domain: "d0", Seed: seed}),
		ackedAt: make(map[uint64]ident.Instant),
	}
	var list []follow.Source
	for i := range controls {
		c := &pollControl{
			Source:    follow.Source{Address: fmt.Sprint("c", i), Domain: ident.Domain(fmt.Sprint("d", i%4))},
			hasLeader: true,
		}
		sim.controls = append(sim.controls, c)
		list = append(list, c.Source)
	}
	sim.step(follow.SeedsChanged{Seeds: []string{"c0", "c1", "gone"}})
	sim.step(follow.ControlsChanged{Controls: list})
	return sim
}

func (sim *pollSim) step(e follow.PollEvent) {
	for _, eff := range sim.poller.Step(sim.now, e) {
		switch eff := eff.(type) {
		case follow.Poll:
			sim.requests++
			i := slices.IndexFunc(sim.controls, func(c *pollControl) bool { return c.Address == eff.To })
			p := simPoll{attempt: eff.Attempt, version: sim.version, openedAt: sim.now, atOnce: eff.AtOnce}
			if i >= 0 {
				p.to, p.wasStale = sim.controls[i], sim.controls[i].stale(sim.now)
			}
			sim.polls = append(sim.polls, p)
		case follow.CancelPoll:
			sim.polls = slices.DeleteFunc(sim.polls, func(p simPoll) bool { return p.attempt == eff.Attempt })
		case follow.SourceChanged:
			sim.changes++
			sim.log = append(sim.log, fmt.Sprintf("%s %s -> %s: %s", time.Duration(sim.now), eff.From, eff.To, eff.Reason))
		case follow.Wake:
			sim.wake = eff.At
		}
	}
}

// accept acknowledges a new version, which all control hosts with the leader
// have at once.
func (sim *pollSim) accept() {
	sim.newest++
	sim.ackedAt[sim.newest] = sim.now
}

func (sim *pollSim) set(c *pollControl, change func()) {
	before := c.healthy()
	change()
	if c.healthy() && !before {
		c.healthySince = sim.now
	}
}

// run advances virtual time and checks the bound at each step.
func (sim *pollSim) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = sim.now.Add(simStep)
		for _, c := range sim.controls {
			if !c.hasLeader {
				continue
			}
			c.version = sim.newest
			if sim.now >= c.nextConfirm {
				c.confirmedAt, c.nextConfirm = sim.now, sim.now.Add(confirmGap)
			}
		}
		for _, p := range slices.Clone(sim.polls) {
			sim.answer(p)
		}
		if sim.now >= sim.wake {
			sim.step(follow.Ticked{})
		}
		sim.check()
	}
}

func (sim *pollSim) answer(p simPoll) {
	age, c := sim.now.Sub(p.openedAt), p.to
	end := func(e follow.PollEvent) {
		if i := slices.IndexFunc(sim.polls, func(o simPoll) bool { return o.attempt == p.attempt }); i >= 0 {
			sim.polls = slices.Delete(sim.polls, i, i+1)
			sim.step(e)
		}
	}
	switch {
	case age < simStep: // one round trip
	case c == nil || c.refuses:
		end(follow.PollFailed{Attempt: p.attempt})
	case c.silent:
		if age >= pollTimeout {
			end(follow.PollFailed{Attempt: p.attempt})
		}
	case p.atOnce || c.version > p.version || age >= pollWait || c.stale(sim.now) && !p.wasStale:
		sim.version = max(sim.version, c.version)
		end(follow.PollAnswered{Attempt: p.attempt, Confirmed: c.confirmedAt > 0, ConfirmedAt: c.confirmedAt})
	}
}

// check fails if a version is not in force in time although a control host that
// has the leader was in contact throughout.
func (sim *pollSim) check() {
	inContact := slices.ContainsFunc(sim.controls, func(c *pollControl) bool {
		return c.healthy() && sim.now.Sub(c.healthySince) >= contactWindow
	})
	if next := sim.version + 1; inContact && next <= sim.newest && sim.now.Sub(sim.ackedAt[next]) > applyTimeout {
		sim.t.Fatalf("at %s: version %d, acknowledged at %s, is not in force; the host polls %q; sources: %v",
			time.Duration(sim.now), next, time.Duration(sim.ackedAt[next]), sim.poller.Current(), sim.log)
	}
}

// Guards against an entry host that keeps an old configuration while a control
// host that it can reach has a newer one, under any faults of the others.
func TestPollerFindsACurrentSource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newPollSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 8).Draw(rt, "controls"))
		sim.run(5 * time.Second)
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			c := sim.controls[rapid.IntRange(0, len(sim.controls)-1).Draw(rt, "control")]
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				sim.accept()
			case 2:
				sim.set(c, func() { c.hasLeader = !c.hasLeader })
			case 3:
				sim.set(c, func() { c.silent = !c.silent })
			case 4:
				sim.set(c, func() { c.refuses = !c.refuses })
			case 5:
				sim.set(c, func() { c.hasLeader, c.silent, c.refuses = true, false, false })
			}
			sim.run(time.Duration(rapid.SampledFrom([]int{10, 100, 400, 1100, 2500}).Draw(rt, "wait")) * time.Millisecond)
		}
	})
}

// Guards against an entry host that stays at a control host that answers but has
// lost the leader, and against one that does not return to its own domain.
func TestPollerLeavesAStaleSourceAndReturns(t *testing.T) {
	is := is.New(t)
	sim := newPollSim(t, 1, 4)
	sim.run(3 * time.Second)
	is.Equal(sim.poller.Current(), "c0") // the control host of its domain
	sim.set(sim.controls[0], func() { sim.controls[0].hasLeader = false })
	sim.accept()
	sim.run(2 * time.Second)
	is.True(sim.poller.Current() != "c0")
	is.Equal(sim.version, uint64(1))
	sim.set(sim.controls[0], func() { sim.controls[0].hasLeader = true })
	sim.run(3 * time.Second)
	is.Equal(sim.poller.Current(), "c0")
}

// Guards against polls in a loop and against changes of the source while no copy
// is current, such as in a domain that is cut off from the leader.
func TestPollerStaysWhileNoSourceIsCurrent(t *testing.T) {
	is := is.New(t)
	sim := newPollSim(t, 1, 4)
	sim.run(3 * time.Second)
	for _, c := range sim.controls {
		sim.set(c, func() { c.hasLeader, c.silent = false, c.Address != "c0" })
	}
	changes, requests := sim.changes, sim.requests
	sim.run(60 * time.Second)
	is.Equal(sim.poller.Current(), "c0")
	is.Equal(sim.changes, changes)
	is.True(sim.requests-requests <= 60*(1+3)) // each second at most a poll, and a probe of each other host
}
