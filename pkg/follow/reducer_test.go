package follow_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// node is a control host or, with a reducer, an entry host.
type node struct {
	name    string
	history *follow.History
	reducer *follow.Reducer
	streams map[uint64]*stream
	wake    ident.Instant
}

type stream struct {
	to     string
	have   ident.ConfigVersion
	digest uint64
	isPull bool
}

// simulation connects nodes over links that can be cut and that lose or corrupt
// messages.
type simulation struct {
	t            interface{ Fatalf(string, ...any) }
	now          ident.Instant
	nodes        map[string]*node
	hosts        []*node
	disconnected map[string]bool // by node name
	stale        map[string]bool // control hosts without a majority, by name
	fault        func() string   // returns the fault of the next message, or ""
	seats        int
}

func newSimulation(t interface{ Fatalf(string, ...any) }, hosts int, fault func() string) *simulation {
	sim := &simulation{t: t, nodes: make(map[string]*node), disconnected: make(map[string]bool), stale: make(map[string]bool), fault: fault, seats: 1}
	controls := []follow.Source{{Address: "c0", Domain: "d0"}, {Address: "c1", Domain: "d1"}}
	for _, c := range controls {
		sim.nodes[c.Address] = &node{name: c.Address, history: follow.NewHistory(4)}
		sim.nodes[c.Address].history.Advance(config.NewState(), nil)
	}
	var peers []follow.Source
	for i := range hosts {
		n := &node{
			name:    fmt.Sprint("h", i),
			history: follow.NewHistory(4),
			streams: make(map[uint64]*stream),
		}
		domain := ident.Domain(fmt.Sprint("d", i%2))
		n.reducer = follow.New(follow.Config{Domain: domain, Controls: controls, Seed: uint64(i)})
		peers = append(peers, follow.Source{Address: n.name, Domain: domain})
		sim.nodes[n.name] = n
		sim.hosts = append(sim.hosts, n)
	}
	for _, n := range sim.hosts {
		sim.step(n, follow.PeersChanged{Peers: peers})
		sim.step(n, follow.Started{})
	}
	return sim
}

// change applies one configuration change at the named control hosts.
func (sim *simulation) change(names ...string) {
	sim.seats = sim.seats%1000 + 1
	for _, name := range names {
		h := sim.nodes[name].history
		c := config.SetSeats{Seats: sim.seats}
		next, err := h.State().Apply(c)
		if err != nil {
			sim.t.Fatalf("%v", err)
		}
		h.Advance(next, []follow.Delta{{Version: next.Version, Change: c, Digest: next.Digest}})
	}
}

// rebuild starts a new epoch, numbered from zero, at the named control hosts.
func (sim *simulation) rebuild(names ...string) {
	s := *sim.nodes[names[0]].history.State()
	s.Version = ident.ConfigVersion{Epoch: s.Version.Epoch + 1}
	for _, name := range names {
		sim.nodes[name].history.Advance(&s, nil)
	}
}

func (sim *simulation) step(n *node, e follow.Event) {
	var before ident.ConfigVersion
	if s := n.reducer.State(); s != nil {
		before = s.Version
	}
	for _, eff := range n.reducer.Step(sim.now, e) {
		switch eff := eff.(type) {
		case follow.Watch:
			n.streams[eff.Stream] = &stream{to: eff.To, have: eff.Have, digest: eff.Digest}
		case follow.Pull:
			n.streams[eff.Stream] = &stream{to: eff.To, have: eff.Have, digest: eff.Digest, isPull: true}
		case follow.CloseStream:
			delete(n.streams, eff.Stream)
		case follow.AskVersion:
			sim.answerVersion(n, eff)
		case follow.Apply:
			if eff.State.Version.Less(before) {
				sim.t.Fatalf("%s went from %s back to %s", n.name, before, eff.State.Version)
			}
			if err := eff.State.Verify(); err != nil {
				sim.t.Fatalf("%s applied %v", n.name, err)
			}
			before = eff.State.Version
			n.history.Advance(eff.State, eff.Deltas)
		case follow.Wake:
			n.wake = eff.At
		}
	}
}

func (sim *simulation) reachable(n *node, to string) bool {
	return !sim.disconnected[n.name] && !sim.disconnected[to] && sim.nodes[to].history.State() != nil
}

func (sim *simulation) answerVersion(n *node, ask follow.AskVersion) {
	if !sim.reachable(n, ask.To) {
		sim.step(n, follow.VersionFailed{Attempt: ask.Attempt})
		return
	}
	sim.step(n, follow.VersionAnswered{Attempt: ask.Attempt, Version: sim.nodes[ask.To].history.State().Version, Stale: sim.stale[ask.To]})
}

// deliver delivers one message on every stream of n.
func (sim *simulation) deliver(n *node) {
	for _, id := range slices.Sorted(maps.Keys(n.streams)) {
		s, ok := n.streams[id]
		if !ok || !sim.reachable(n, s.to) {
			continue
		}
		h := sim.nodes[s.to].history
		deltas, full := h.Since(s.have, s.digest)
		state := h.State()
		s.have, s.digest = state.Version, state.Digest
		sim.step(n, withFault(sim.fault(), follow.Received{Stream: id, Version: state.Version, Deltas: deltas, Copy: full, Stale: sim.stale[s.to]}))
		if _, open := n.streams[id]; open && s.isPull {
			delete(n.streams, id)
			sim.step(n, follow.StreamEnded{Stream: id})
		}
	}
}

func withFault(fault string, e follow.Received) follow.Received {
	e.Deltas = append([]follow.Delta(nil), e.Deltas...)
	switch {
	case fault == "gap" && len(e.Deltas) > 0:
		e.Deltas = e.Deltas[1:]
	case fault == "content" && len(e.Deltas) > 0:
		e.Deltas[0].Change = config.SetSeats{Seats: 1001}
	case fault == "old":
		e.Copy = config.NewState()
	case fault == "copy" && e.Copy != nil:
		corrupt := *e.Copy
		corrupt.Seats++
		e.Copy = &corrupt
	}
	return e
}

func (sim *simulation) run(d time.Duration) {
	for until := sim.now.Add(d); sim.now < until; {
		sim.now = sim.now.Add(100 * time.Millisecond)
		for _, n := range sim.hosts {
			if n.wake <= sim.now {
				sim.step(n, follow.Ticked{})
			}
			sim.deliver(n)
		}
	}
}

// requireConverged fails the test unless every host has the newest state.
func (sim *simulation) requireConverged() {
	want := sim.nodes["c0"].history.State()
	for _, n := range sim.hosts {
		if got := n.reducer.State(); got == nil || got.Version != want.Version || got.Digest != want.Digest {
			sim.t.Fatalf("%s did not reach %s, watches %q", n.name, want.Version, n.reducer.Watching())
		}
	}
}

// Guards against a host that reverts to an older configuration or applies a
// corrupt one, and against hosts that do not converge once all are connected.
// Links are cut, deltas lost or corrupted, a control host isolated and the
// control group rebuilt.
func TestNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faultsOff := false
		sim := newSimulation(t, 4, func() string {
			if faultsOff {
				return ""
			}
			return rapid.SampledFrom([]string{"", "", "", "gap", "content", "copy", "old"}).Draw(t, "fault")
		})
		isolated := false
		controls := func() []string {
			if isolated {
				return []string{"c0"}
			}
			return []string{"c0", "c1"}
		}
		reconnect := func() {
			if isolated = false; sim.nodes["c0"].history.State() != sim.nodes["c1"].history.State() {
				sim.nodes["c1"].history.Advance(sim.nodes["c0"].history.State(), nil)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { sim.change(controls()...) },
			"burst": func(*rapid.T) {
				for range 6 {
					sim.change(controls()...)
				}
			},
			"rebuild": func(*rapid.T) { reconnect(); sim.rebuild("c0", "c1") },
			"isolate": func(*rapid.T) { isolated = true },
			"join":    func(*rapid.T) { reconnect() },
			"cut": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"c0", "c1", "h0", "h1", "h2"}).Draw(t, "node")
				sim.disconnected[name] = !sim.disconnected[name]
			},
			"time": func(t *rapid.T) {
				sim.run(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "step"))
			},
		})
		faultsOff = true
		clear(sim.disconnected)
		sim.run(40 * time.Second) // longer than the longest backoff
		sim.requireConverged()
	})
}

// Guards against hosts that keep watching a failed or isolated control host,
// do not learn from peers, or keep watching a peer when a control host is back.
func TestSourceChoice(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4, func() string { return "" })
	sim.run(time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c0") // own domain first
	is.Equal(sim.hosts[1].reducer.Watching(), "c1")

	sim.change("c0") // c1 is alive but has no majority
	sim.run(2 * time.Second)
	sim.requireConverged()
	sim.run(2 * time.Second)
	is.Equal(sim.hosts[1].reducer.Watching(), "c0")

	sim.disconnected["c0"], sim.disconnected["c1"] = true, true
	sim.run(6 * time.Second) // both control hosts time out, one after the other
	is.Equal(sim.hosts[0].reducer.Watching()[0], byte('h'))
	delete(sim.disconnected, "c0")
	sim.change("c0")
	sim.run(8 * time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c0")
	sim.requireConverged()
}

// Guards against a host without peers that keeps an old configuration because its
// control host answers but has no majority, and against one that leaves it for
// nothing while there is no other.
func TestHostLeavesAControlHostWithoutMajority(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, func() string { return "" })
	sim.step(sim.hosts[0], follow.PeersChanged{})
	sim.run(time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c0")
	sim.stale["c0"] = true
	sim.change("c1")
	sim.run(time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c1")
	is.Equal(sim.hosts[0].reducer.State().Version, sim.nodes["c1"].history.State().Version)
	sim.nodes["c0"].history.Advance(sim.nodes["c1"].history.State(), nil)
	sim.run(10 * time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c1") // c0 is still stale
	delete(sim.stale, "c0")
	sim.run(2 * time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c0")
	sim.stale["c0"], sim.disconnected["c1"] = true, true
	sim.run(4 * time.Second)
	sim.run(4 * time.Second)
	is.Equal(sim.hosts[0].reducer.Watching(), "c0")
}
