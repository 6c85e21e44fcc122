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
func (f *followSim) applyChange(names ...string) {
	f.seats++
	for _, name := range names {
		h := f.sources[name]
		set := config.SetSeats{Seats: f.seats}
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

func (f *followSim) handle(ev follow.Event) {
	for _, ef := range f.step(f.now, ev) {
		switch ef := ef.(type) {
		case follow.Watch:
			f.openStream(ef.Stream, ef.To, false, config.State{
				Version: ef.Have,
				Digest:  ef.Digest,
			})
		case follow.Pull:
			f.openStream(ef.Stream, ef.To, true, config.State{
				Version: ef.Have,
				Digest:  ef.Digest,
			})
		case follow.CloseStream:
			delete(f.streams, ef.Stream)
		case follow.AskVersion:
			f.after(ms, func() {
				if f.unreachable[ef.To] {
					f.handle(follow.VersionFailed{Attempt: ef.Attempt})
					return
				}
				f.handle(follow.VersionAnswered{
					Attempt: ef.Attempt,
					Version: f.sources[ef.To].State().Version,
				})
			})
		case follow.Wake:
			f.scheduleWake("host", ef.At, func() { f.handle(follow.Ticked{}) })
		case follow.Apply:
		}
	}
}

func (f *followSim) openStream(id uint64, to string, pull bool, have config.State) {
	f.streams[id] = &stream{
		to:   to,
		have: have,
		pull: pull,
	}
	f.after(ms, func() { f.sendUpdate(id) })
}

// sendUpdate sends the host what the source of a stream has and the host lacks.
// It ends the stream if the source is unreachable.
func (f *followSim) sendUpdate(id uint64) {
	s := f.streams[id]
	if s == nil {
		return
	}
	if f.unreachable[s.to] {
		delete(f.streams, id)
		f.handle(follow.StreamEnded{Stream: id})
		return
	}
	h := f.sources[s.to]
	state := h.State()
	deltas, full := h.Since(s.have.Version, s.have.Digest)
	ev := follow.Received{
		Stream:  id,
		Version: state.Version,
		Deltas:  slices.Clone(deltas),
		Copy:    full,
	}
	if f.corrupt != nil && len(deltas) > 0 {
		f.corrupt(&ev)
		f.corrupt = nil
	}
	s.have.Version, s.have.Digest = state.Version, state.Digest
	f.handle(ev)
	if s.pull && f.streams[id] != nil {
		delete(f.streams, id)
		f.handle(follow.StreamEnded{Stream: id})
	}
}

// runRounds advances time in rounds of 100 ms and sends updates on all streams
// at the end of each.
func (f *followSim) runRounds(rounds int) {
	for range rounds {
		f.advance(100 * ms)
		for _, id := range slices.Sorted(maps.Keys(f.streams)) {
			f.sendUpdate(id)
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
	return newFollowTrace(name, guards, true, func(f *followSim) {
		f.applyChange(allSources...)
		f.runRounds(5)
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
			f := &followSim{
				step:        rec.Step,
				sources:     map[string]*follow.History{},
				streams:     map[uint64]*stream{},
				unreachable: map[string]bool{},
			}
			f.now = 1
			for _, s := range []string{"c0", "c1", "p0"} {
				f.sources[s] = follow.NewHistory(4)
				f.sources[s].Advance(config.NewState(), nil)
			}
			initialEvents := []follow.Event{
				follow.Started{},
				follow.PeersChanged{Peers: []follow.Source{{Address: "p0", Domain: "d0"}}},
			}
			if peersFirst {
				slices.Reverse(initialEvents)
			}
			for _, ev := range initialEvents {
				f.handle(ev)
			}
			run(f)
			if want := f.sources["c1"].State(); r.State() == nil || r.State().Digest != want.Digest {
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
		followTrace("deltas", "a change that is lost, or applied twice", func(f *followSim) {
			for range 12 {
				f.applyChange(allSources...)
				f.runRounds(2)
			}
		}, exactly("Version", 12), exactly("Applies", 12), exactly("Copies", 1)),
		followTrace("late-config", "a lower version that arrives late and reverts the configuration", func(f *followSim) {
			for range 4 {
				f.applyChange(allSources...)
			}
			f.runRounds(2)
			for range 2 {
				f.corrupt = staleCopy
				f.applyChange(allSources...)
				f.runRounds(roundsPerSecond)
			}
		}, exactly("Version", 6)),
		followTrace("gap", "a delta that is applied over a gap or with a wrong digest", func(f *followSim) {
			f.runRounds(2)
			f.applyChange(allSources...)
			f.applyChange(allSources...)
			f.corrupt = func(ev *follow.Received) { ev.Deltas = ev.Deltas[1:] }
			f.runRounds(roundsPerSecond)
			f.applyChange(allSources...)
			f.corrupt = func(ev *follow.Received) { ev.Deltas[0].Change = config.SetSeats{Seats: 999} }
			f.runRounds(roundsPerSecond)
		}, exactly("Version", 3), exactly("Copies", 3)),
		followTrace("isolated-source", "a host that stays with an isolated control host, or reverts when that one returns", func(f *followSim) {
			f.runRounds(2)
			for range 3 {
				f.applyChange("c1", "p0")
				f.runRounds(roundsPerSecond)
			}
			f.unreachable["c0"] = true
			f.runRounds(roundsPerSecond)
			f.unreachable["c0"] = false
			f.runRounds(2 * roundsPerSecond)
			f.applyChange("c1", "p0")
			f.runRounds(3 * roundsPerSecond)
		}, exactly("Version", 4)),
		followTrace("cut-off-domain", "a cut-off host that does not catch up after the partition, or reverts", func(f *followSim) {
			f.applyChange(allSources...)
			f.runRounds(roundsPerSecond)
			for _, s := range allSources {
				f.unreachable[s] = true
			}
			for range 8 {
				f.applyChange(allSources...)
			}
			f.runRounds(3 * roundsPerSecond)
			f.unreachable["p0"] = false
			f.runRounds(3 * roundsPerSecond)
			f.unreachable["c0"], f.unreachable["c1"] = false, false
			f.runRounds(3 * roundsPerSecond)
		}, exactly("Version", 9)),
	}
}
