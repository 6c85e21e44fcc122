package golden

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
)

// followSim runs the configuration follower of one entry host against two
// control hosts and one peer.
type followSim struct {
	clock
	step        replay.Step[follow.Event, follow.Effect]
	sources     map[string]*follow.History
	streams     map[uint64]*stream
	unreachable map[string]bool
	seats       int
	// corrupt, if set, alters the next message that carries deltas. It is then
	// reset.
	corrupt func(*follow.Received)
}

// stream is an open watch or pull to a source.
type stream struct {
	to   string
	have config.State // version and digest that the host has, other fields unset
	pull bool
}

// applyChange applies one configuration change at the named sources.
func (c *followSim) applyChange(names ...string) {
	c.seats++
	for _, name := range names {
		h := c.sources[name]
		set := config.SetSeats{Seats: c.seats}
		next, err := h.State().Apply(set)
		if err != nil {
			panic("scenario makes an impossible change: " + err.Error())
		}
		h.Advance(next, []follow.Delta{{
			Version: next.Version,
			Change:  set,
			Digest:  next.Digest,
		}})
	}
}

func (c *followSim) handle(ev follow.Event) {
	for _, ef := range c.step(c.now, ev) {
		switch ef := ef.(type) {
		case follow.Watch:
			c.openStream(ef.Stream, ef.To, false, config.State{
				Version: ef.Have,
				Digest:  ef.Digest,
			})
		case follow.Pull:
			c.openStream(ef.Stream, ef.To, true, config.State{
				Version: ef.Have,
				Digest:  ef.Digest,
			})
		case follow.CloseStream:
			delete(c.streams, ef.Stream)
		case follow.AskVersion:
			c.after(ms, func() {
				if c.unreachable[ef.To] {
					c.handle(follow.VersionFailed{Attempt: ef.Attempt})
					return
				}
				c.handle(follow.VersionAnswered{
					Attempt: ef.Attempt,
					Version: c.sources[ef.To].State().Version,
				})
			})
		case follow.Wake:
			c.scheduleWake("host", ef.At, func() { c.handle(follow.Ticked{}) })
		case follow.Apply:
		}
	}
}

func (c *followSim) openStream(id uint64, to string, pull bool, have config.State) {
	c.streams[id] = &stream{
		to:   to,
		have: have,
		pull: pull,
	}
	c.after(ms, func() { c.sendUpdate(id) })
}

// sendUpdate sends the host what the source of a stream has and the host lacks.
// It ends the stream if the source is unreachable.
func (c *followSim) sendUpdate(id uint64) {
	s := c.streams[id]
	if s == nil {
		return
	}
	if c.unreachable[s.to] {
		delete(c.streams, id)
		c.handle(follow.StreamEnded{Stream: id})
		return
	}
	h := c.sources[s.to]
	state := h.State()
	deltas, full := h.Since(s.have.Version, s.have.Digest)
	ev := follow.Received{
		Stream:  id,
		Version: state.Version,
		Deltas:  slices.Clone(deltas),
		Copy:    full,
	}
	if c.corrupt != nil && len(deltas) > 0 {
		c.corrupt(&ev)
		c.corrupt = nil
	}
	s.have.Version, s.have.Digest = state.Version, state.Digest
	c.handle(ev)
	if s.pull && c.streams[id] != nil {
		delete(c.streams, id)
		c.handle(follow.StreamEnded{Stream: id})
	}
}

// runRounds advances time in rounds of 100 ms and sends updates on all streams
// at the end of each.
func (c *followSim) runRounds(rounds int) {
	for range rounds {
		c.advance(100 * ms)
		for _, id := range slices.Sorted(maps.Keys(c.streams)) {
			c.sendUpdate(id)
		}
	}
}

// followTrace returns a trace of a host that learns its peer after the start.
func followTrace(name, guards string, run func(*followSim), expected ...replay.Outcome) Trace {
	return newFollowTrace(name, guards, false, run, expected...)
}

// peersBeforeStartTrace returns a trace of a host that learns its peer before
// the start, as in internal/agent when peers are set.
func peersBeforeStartTrace(name, guards string) Trace {
	return newFollowTrace(name, guards, true, func(c *followSim) {
		c.applyChange(allSources...)
		c.runRounds(5)
	}, exactly("Version", 1), atMost("OpenWatches", 1))
}

func newFollowTrace(name, guards string, peersFirst bool, run func(*followSim), expected ...replay.Outcome) Trace {
	return Trace{
		Name:   "spread-" + name,
		Guards: guards,
		write: func(path string) error {
			setup := follow.Config{
				Domain:   "d0",
				Controls: []follow.Source{{Address: "c0", Domain: "d0"}, {Address: "c1", Domain: "d1"}},
				Seed:     5,
			}
			r := follow.New(setup)
			rec, err := newRecording(path, replay.ReducerFollow, setup, r.Step)
			if err != nil {
				return err
			}
			c := &followSim{
				step:        rec.Step,
				sources:     map[string]*follow.History{},
				streams:     map[uint64]*stream{},
				unreachable: map[string]bool{},
			}
			c.now = 1
			for _, s := range []string{"c0", "c1", "p0"} {
				c.sources[s] = follow.NewHistory(4)
				c.sources[s].Advance(config.NewState(), nil)
			}
			initialEvents := []follow.Event{
				follow.Started{},
				follow.PeersChanged{Peers: []follow.Source{{Address: "p0", Domain: "d0"}}},
			}
			if peersFirst {
				slices.Reverse(initialEvents)
			}
			for _, ev := range initialEvents {
				c.handle(ev)
			}
			run(c)
			if want := c.sources["c1"].State(); r.State() == nil || r.State().Digest != want.Digest {
				return errors.Errorf("scenario %s does not end with the newest configuration %s", name, want.Version)
			}
			return rec.finish(replay.FollowViolations, expected...)
		},
	}
}

var allSources = []string{"c0", "c1", "p0"}

func followTraces() []Trace {
	const roundsPerSecond = 10
	staleCopy := func(ev *follow.Received) { ev.Copy, ev.Deltas = config.NewState(), nil }
	return []Trace{
		peersBeforeStartTrace("peers-before-start", "a second watch stream that is opened while the first stays open"),
		followTrace("deltas", "a change that is lost, or applied twice", func(c *followSim) {
			for range 12 {
				c.applyChange(allSources...)
				c.runRounds(2)
			}
		}, exactly("Version", 12), exactly("Applies", 12), exactly("Copies", 1)),
		followTrace("late-config", "a lower version that arrives late and reverts the configuration", func(c *followSim) {
			for range 4 {
				c.applyChange(allSources...)
			}
			c.runRounds(2)
			for range 2 {
				c.corrupt = staleCopy
				c.applyChange(allSources...)
				c.runRounds(roundsPerSecond)
			}
		}, exactly("Version", 6)),
		followTrace("gap", "a delta that is applied over a gap or with a wrong digest", func(c *followSim) {
			c.runRounds(2)
			c.applyChange(allSources...)
			c.applyChange(allSources...)
			c.corrupt = func(ev *follow.Received) { ev.Deltas = ev.Deltas[1:] }
			c.runRounds(roundsPerSecond)
			c.applyChange(allSources...)
			c.corrupt = func(ev *follow.Received) { ev.Deltas[0].Change = config.SetSeats{Seats: 999} }
			c.runRounds(roundsPerSecond)
		}, exactly("Version", 3), exactly("Copies", 3)),
		followTrace("isolated-source", "a host that stays with an isolated control host, or reverts when that one returns", func(c *followSim) {
			c.runRounds(2)
			for range 3 {
				c.applyChange("c1", "p0")
				c.runRounds(roundsPerSecond)
			}
			c.unreachable["c0"] = true
			c.runRounds(roundsPerSecond)
			c.unreachable["c0"] = false
			c.runRounds(2 * roundsPerSecond)
			c.applyChange("c1", "p0")
			c.runRounds(3 * roundsPerSecond)
		}, exactly("Version", 4)),
		followTrace("cut-off-domain", "a cut-off host that does not catch up after the partition, or reverts", func(c *followSim) {
			c.applyChange(allSources...)
			c.runRounds(roundsPerSecond)
			for _, s := range allSources {
				c.unreachable[s] = true
			}
			for range 8 {
				c.applyChange(allSources...)
			}
			c.runRounds(3 * roundsPerSecond)
			c.unreachable["p0"] = false
			c.runRounds(3 * roundsPerSecond)
			c.unreachable["c0"], c.unreachable["c1"] = false, false
			c.runRounds(3 * roundsPerSecond)
		}, exactly("Version", 9)),
	}
}
