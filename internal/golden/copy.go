package golden

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
)

// copier runs the distribution at one entry host against two control hosts and
// one peer.
type copier struct {
	clock
	step    replay.Step[follow.Event, follow.Effect]
	sources map[string]*follow.History
	streams map[uint64]*stream
	cut     map[string]bool
	seats   int
	// harm changes the next message that carries a change, if set.
	harm func(*follow.Received)
}

// stream is an open watch or pull.
type stream struct {
	to   string
	have config.State // version and digest that the host has
	once bool
}

// change makes a change that reaches the named sources.
func (c *copier) change(names ...string) {
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

func (c *copier) event(ev follow.Event) {
	for _, ef := range c.step(c.now, ev) {
		switch ef := ef.(type) {
		case follow.Watch:
			c.open(ef.Stream, ef.To, false, config.State{
				Version: ef.Have,
				Digest:  ef.Digest,
			})
		case follow.Pull:
			c.open(ef.Stream, ef.To, true, config.State{
				Version: ef.Have,
				Digest:  ef.Digest,
			})
		case follow.CloseStream:
			delete(c.streams, ef.Stream)
		case follow.AskVersion:
			c.after(ms, func() {
				if c.cut[ef.To] {
					c.event(follow.VersionFailed{Attempt: ef.Attempt})
					return
				}
				c.event(follow.VersionAnswered{
					Attempt: ef.Attempt,
					Version: c.sources[ef.To].State().Version,
				})
			})
		case follow.Wake:
			c.wake("host", ef.At, func() { c.event(follow.Ticked{}) })
		case follow.Apply:
		}
	}
}

func (c *copier) open(id uint64, to string, once bool, have config.State) {
	c.streams[id] = &stream{
		to:   to,
		have: have,
		once: once,
	}
	c.after(ms, func() { c.pump(id) })
}

// pump delivers what a stream lacks.
func (c *copier) pump(id uint64) {
	s := c.streams[id]
	if s == nil {
		return
	}
	if c.cut[s.to] {
		delete(c.streams, id)
		c.event(follow.StreamEnded{Stream: id})
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
	if c.harm != nil && len(deltas) > 0 {
		c.harm(&ev)
		c.harm = nil
	}
	s.have.Version, s.have.Digest = state.Version, state.Digest
	c.event(ev)
	if s.once && c.streams[id] != nil {
		delete(c.streams, id)
		c.event(follow.StreamEnded{Stream: id})
	}
}

// deliver lets time pass and serves all streams every 100 ms.
func (c *copier) deliver(rounds int) {
	for range rounds {
		c.pass(100 * ms)
		for _, id := range slices.Sorted(maps.Keys(c.streams)) {
			c.pump(id)
		}
	}
}

// copied returns a trace of a host that is started before it knows its peer.
func copied(name, guards string, run func(*copier), stated ...replay.Outcome) Trace {
	return copiedFrom(name, guards, false, run, stated...)
}

// startedLate returns a trace of a host that knows its peers before it starts,
// as internal/agent does when peers are set.
func startedLate(name, guards string) Trace {
	return copiedFrom(name, guards, true, func(c *copier) {
		c.change(everywhere...)
		c.deliver(5)
	}, exactly("Version", 1), atMost("OpenWatches", 1))
}

func copiedFrom(name, guards string, peersFirst bool, run func(*copier), stated ...replay.Outcome) Trace {
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
			out, err := newTape(path, replay.ReducerSpread, setup, r.Step)
			if err != nil {
				return err
			}
			c := &copier{
				step:    out.Step,
				sources: map[string]*follow.History{},
				streams: map[uint64]*stream{},
				cut:     map[string]bool{},
			}
			c.now = 1
			for _, s := range []string{"c0", "c1", "p0"} {
				c.sources[s] = follow.NewHistory(4)
				c.sources[s].Advance(config.NewState(), nil)
			}
			begin := []follow.Event{
				follow.Started{},
				follow.PeersChanged{Peers: []follow.Source{{Address: "p0", Domain: "d0"}}},
			}
			if peersFirst {
				slices.Reverse(begin)
			}
			for _, ev := range begin {
				c.event(ev)
			}
			run(c)
			if want := c.sources["c1"].State(); r.State() == nil || r.State().Digest != want.Digest {
				return errors.Errorf("scenario %s does not end with the newest configuration %s", name, want.Version)
			}
			return out.end(replay.SpreadBroken, stated...)
		},
	}
}

var everywhere = []string{"c0", "c1", "p0"}

func copies() []Trace {
	const second = 10 // rounds
	old := func(ev *follow.Received) { ev.Copy, ev.Deltas = config.NewState(), nil }
	return []Trace{
		startedLate("peers-before-start", "a second watch stream that is opened while the first stays open"),
		copied("deltas", "a change that is lost, or applied twice", func(c *copier) {
			for range 12 {
				c.change(everywhere...)
				c.deliver(2)
			}
		}, exactly("Version", 12), exactly("Applies", 12), exactly("Copies", 1)),
		copied("late-config", "a lower version that arrives late and reverts the configuration", func(c *copier) {
			for range 4 {
				c.change(everywhere...)
			}
			c.deliver(2)
			for range 2 {
				c.harm = old
				c.change(everywhere...)
				c.deliver(second)
			}
		}, exactly("Version", 6)),
		copied("gap", "a delta that is applied over a gap or with a wrong digest", func(c *copier) {
			c.deliver(2)
			c.change(everywhere...)
			c.change(everywhere...)
			c.harm = func(ev *follow.Received) { ev.Deltas = ev.Deltas[1:] }
			c.deliver(second)
			c.change(everywhere...)
			c.harm = func(ev *follow.Received) { ev.Deltas[0].Change = config.SetSeats{Seats: 999} }
			c.deliver(second)
		}, exactly("Version", 3), exactly("Copies", 3)),
		copied("isolated-source", "a host that stays with an isolated control host, or reverts when that one returns", func(c *copier) {
			c.deliver(2)
			for range 3 {
				c.change("c1", "p0")
				c.deliver(second)
			}
			c.cut["c0"] = true
			c.deliver(second)
			c.cut["c0"] = false
			c.deliver(2 * second)
			c.change("c1", "p0")
			c.deliver(3 * second)
		}, exactly("Version", 4)),
		copied("cut-off-domain", "a cut-off host that does not catch up after the partition, or reverts", func(c *copier) {
			c.change(everywhere...)
			c.deliver(second)
			for _, s := range everywhere {
				c.cut[s] = true
			}
			for range 8 {
				c.change(everywhere...)
			}
			c.deliver(3 * second)
			c.cut["p0"] = false
			c.deliver(3 * second)
			c.cut["c0"], c.cut["c1"] = false, false
			c.deliver(3 * second)
		}, exactly("Version", 9)),
	}
}
