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
	red     *follow.Reducer
	streams map[uint64]*stream
	wake    ident.Instant
}

type stream struct {
	to     string
	have   ident.ConfigVersion
	digest uint64
	once   bool
}

// world connects nodes over links that can be cut and that lose or damage deltas.
type world struct {
	t     interface{ Fatalf(string, ...any) }
	now   ident.Instant
	nodes map[string]*node
	hosts []*node
	cut   map[string]bool // names of nodes that are cut off
	harm  func() string   // what happens to the next delivery
	seats int
}

func newWorld(t interface{ Fatalf(string, ...any) }, hosts int, harm func() string) *world {
	w := &world{t: t, nodes: make(map[string]*node), cut: make(map[string]bool), harm: harm, seats: 1}
	controls := []follow.Source{{Address: "c0", Domain: "d0"}, {Address: "c1", Domain: "d1"}}
	for _, c := range controls {
		w.nodes[c.Address] = &node{name: c.Address, history: follow.NewHistory(4)}
		w.nodes[c.Address].history.Advance(config.NewState(), nil)
	}
	var peers []follow.Source
	for i := range hosts {
		n := &node{
			name:    fmt.Sprint("h", i),
			history: follow.NewHistory(4),
			streams: make(map[uint64]*stream),
		}
		domain := ident.Domain(fmt.Sprint("d", i%2))
		n.red = follow.New(follow.Config{Domain: domain, Controls: controls, Seed: uint64(i)})
		peers = append(peers, follow.Source{Address: n.name, Domain: domain})
		w.nodes[n.name] = n
		w.hosts = append(w.hosts, n)
	}
	for _, n := range w.hosts {
		w.step(n, follow.PeersChanged{Peers: peers})
		w.step(n, follow.Started{})
	}
	return w
}

// change makes a change that reaches the given control hosts.
func (w *world) change(names ...string) {
	w.seats = w.seats%1000 + 1
	for _, name := range names {
		h := w.nodes[name].history
		c := config.SetSeats{Seats: w.seats}
		next, err := h.State().Apply(c)
		if err != nil {
			w.t.Fatalf("%v", err)
		}
		h.Advance(next, []follow.Delta{{Version: next.Version, Change: c, Digest: next.Digest}})
	}
}

// rebuild starts a new epoch with a lower number on all control hosts.
func (w *world) rebuild(names ...string) {
	s := *w.nodes[names[0]].history.State()
	s.Version = ident.ConfigVersion{Epoch: s.Version.Epoch + 1}
	for _, name := range names {
		w.nodes[name].history.Advance(&s, nil)
	}
}

func (w *world) step(n *node, e follow.Event) {
	var before ident.ConfigVersion
	if s := n.red.State(); s != nil {
		before = s.Version
	}
	for _, eff := range n.red.Step(w.now, e) {
		switch eff := eff.(type) {
		case follow.Watch:
			n.streams[eff.Stream] = &stream{to: eff.To, have: eff.Have, digest: eff.Digest}
		case follow.Pull:
			n.streams[eff.Stream] = &stream{to: eff.To, have: eff.Have, digest: eff.Digest, once: true}
		case follow.CloseStream:
			delete(n.streams, eff.Stream)
		case follow.AskVersion:
			w.answer(n, eff)
		case follow.Apply:
			if eff.State.Version.Less(before) {
				w.t.Fatalf("%s went from %s back to %s", n.name, before, eff.State.Version)
			}
			if err := eff.State.Verify(); err != nil {
				w.t.Fatalf("%s applied %v", n.name, err)
			}
			before = eff.State.Version
			n.history.Advance(eff.State, eff.Deltas)
		case follow.Wake:
			n.wake = eff.At
		}
	}
}

func (w *world) reachable(n *node, to string) bool {
	return !w.cut[n.name] && !w.cut[to] && w.nodes[to].history.State() != nil
}

func (w *world) answer(n *node, ask follow.AskVersion) {
	if !w.reachable(n, ask.To) {
		w.step(n, follow.VersionFailed{Try: ask.Try})
		return
	}
	w.step(n, follow.VersionAnswered{Try: ask.Try, Version: w.nodes[ask.To].history.State().Version})
}

// pump delivers one message on every stream of n.
func (w *world) pump(n *node) {
	for _, id := range slices.Sorted(maps.Keys(n.streams)) {
		s, ok := n.streams[id]
		if !ok || !w.reachable(n, s.to) {
			continue
		}
		h := w.nodes[s.to].history
		deltas, full := h.Since(s.have, s.digest)
		state := h.State()
		s.have, s.digest = state.Version, state.Digest
		w.step(n, damaged(w.harm(), follow.Received{Stream: id, Version: state.Version, Deltas: deltas, Copy: full}))
		if _, open := n.streams[id]; open && s.once {
			delete(n.streams, id)
			w.step(n, follow.StreamEnded{Stream: id})
		}
	}
}

func damaged(harm string, e follow.Received) follow.Received {
	e.Deltas = append([]follow.Delta(nil), e.Deltas...)
	switch {
	case harm == "gap" && len(e.Deltas) > 0:
		e.Deltas = e.Deltas[1:]
	case harm == "content" && len(e.Deltas) > 0:
		e.Deltas[0].Change = config.SetSeats{Seats: 1001}
	case harm == "old":
		e.Copy = config.NewState()
	case harm == "copy" && e.Copy != nil:
		bad := *e.Copy
		bad.Seats++
		e.Copy = &bad
	}
	return e
}

func (w *world) pass(d time.Duration) {
	for until := w.now.Add(d); w.now < until; {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, n := range w.hosts {
			if n.wake <= w.now {
				w.step(n, follow.Ticked{})
			}
			w.pump(n)
		}
	}
}

// converged fails unless every host has the newest state.
func (w *world) converged() {
	want := w.nodes["c0"].history.State()
	for _, n := range w.hosts {
		if got := n.red.State(); got == nil || got.Version != want.Version || got.Digest != want.Digest {
			w.t.Fatalf("%s did not reach %s, watches %q", n.name, want.Version, n.red.Watching())
		}
	}
}

// Guards against a configuration that reverts or is damaged, and against hosts
// that do not converge once they are connected, under cut links, lost and
// damaged deltas, an isolated control host and a rebuilt control group.
func TestNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calm := false
		w := newWorld(t, 4, func() string {
			if calm {
				return ""
			}
			return rapid.SampledFrom([]string{"", "", "", "gap", "content", "copy", "old"}).Draw(t, "harm")
		})
		isolated := false
		controls := func() []string {
			if isolated {
				return []string{"c0"}
			}
			return []string{"c0", "c1"}
		}
		join := func() {
			if isolated = false; w.nodes["c0"].history.State() != w.nodes["c1"].history.State() {
				w.nodes["c1"].history.Advance(w.nodes["c0"].history.State(), nil)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { w.change(controls()...) },
			"burst": func(*rapid.T) {
				for range 6 {
					w.change(controls()...)
				}
			},
			"rebuild": func(*rapid.T) { join(); w.rebuild("c0", "c1") },
			"isolate": func(*rapid.T) { isolated = true },
			"join":    func(*rapid.T) { join() },
			"cut": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"c0", "c1", "h0", "h1", "h2"}).Draw(t, "node")
				w.cut[name] = !w.cut[name]
			},
			"time": func(t *rapid.T) {
				w.pass(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "step"))
			},
		})
		calm = true
		clear(w.cut)
		w.pass(40 * time.Second) // the longest backoff and then some
		w.converged()
	})
}

// Guards against hosts that stay with a dead or isolated control host, against
// ones that do not learn from peers, and against ones that stay on a peer when
// a control host is back.
func TestSourceChoice(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, func() string { return "" })
	w.pass(time.Second)
	is.Equal(w.hosts[0].red.Watching(), "c0") // own domain first
	is.Equal(w.hosts[1].red.Watching(), "c1")

	w.change("c0") // c1 is alive but has no majority
	w.pass(2 * time.Second)
	w.converged()
	w.pass(2 * time.Second)
	is.Equal(w.hosts[1].red.Watching(), "c0")

	w.cut["c0"], w.cut["c1"] = true, true
	w.pass(6 * time.Second) // both control hosts are found silent in turn
	is.Equal(w.hosts[0].red.Watching()[0], byte('h'))
	delete(w.cut, "c0")
	w.change("c0")
	w.pass(8 * time.Second)
	is.Equal(w.hosts[0].red.Watching(), "c0")
	w.converged()
}
