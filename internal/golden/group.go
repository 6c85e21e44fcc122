package golden

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

const (
	tickEvery = 50 * time.Millisecond
	diskDelay = 2 * time.Millisecond
)

// group runs the members of a replicated log.
type group struct {
	clock
	members []quorum.Member
	steps   map[ident.HostID]replay.Step[quorum.Event, quorum.Effect]
	nodes   map[ident.HostID]*quorum.Node
	apart   func(a, b ident.HostID) bool
	applied map[string]int
	last    quorum.ProposalID
	// tape records the member named by record.
	record ident.HostID
	path   string
	tape   *tape[quorum.Event, quorum.Effect]
}

func name(i int) ident.HostID { return ident.HostID(fmt.Sprint("m", i)) }

// boot starts a member from its disk.
func (g *group) boot(i int, stored quorum.Stored) error {
	id := name(i)
	setup := replay.QuorumSetup{
		Config: quorum.Config{
			ID:   id,
			Seed: uint64(i),
		},
		Stored: stored,
		Now:    g.now,
	}
	n, err := quorum.New(setup.Config, setup.Stored, setup.Now)
	if err != nil {
		return err
	}
	g.nodes[id] = n
	g.steps[id] = func(_ ident.Instant, ev quorum.Event) []quorum.Effect { return n.Step(ev) }
	if id != g.record {
		return nil
	}
	g.tape, err = newTape(g.path, replay.ReducerQuorum, setup, g.steps[id])
	g.steps[id] = g.tape.Step
	return err
}

func (g *group) step(id ident.HostID, ev quorum.Event) {
	if g.steps[id] == nil {
		return
	}
	for _, ef := range g.steps[id](g.now, ev) {
		switch ef := ef.(type) {
		case quorum.Send:
			m := ef.Message
			if g.apart != nil && g.apart(m.From, m.To) {
				continue
			}
			g.after(ms, func() {
				g.step(m.To, quorum.Receive{
					Now:     g.now,
					Message: m,
				})
			})
		case quorum.Append:
			g.synced(id, ef.Seq)
		case quorum.SaveSnapshot:
			g.synced(id, ef.Seq)
		case quorum.Apply:
			if ef.Entry.Kind == quorum.Command && id == g.record {
				g.applied[string(ef.Entry.Data)]++
			}
		case quorum.Restore, quorum.Reply:
		}
	}
}

func (g *group) synced(id ident.HostID, seq quorum.Seq) {
	g.after(diskDelay, func() {
		g.step(id, quorum.Synced{
			Now: g.now,
			Seq: seq,
		})
	})
}

// run lets time pass and ticks all members.
func (g *group) run(span time.Duration) {
	for end := g.now.Add(span); g.now < end; {
		g.pass(tickEvery)
		for i := range 10 {
			g.step(name(i), quorum.Tick{Now: g.now})
		}
	}
}

// leader returns the live member with a lease, or an empty id.
func (g *group) leader() ident.HostID {
	for i := range 10 {
		if n := g.nodes[name(i)]; n != nil && g.steps[name(i)] != nil && n.Lease(g.now) {
			return name(i)
		}
	}
	return ""
}

// propose sends commands to a member.
func (g *group) propose(to ident.HostID, data ...string) {
	var all []quorum.Proposal
	for _, d := range data {
		g.last++
		all = append(all, quorum.Proposal{
			ID:   g.last,
			Data: []byte(d),
		})
	}
	g.step(to, quorum.Propose{
		Now:       g.now,
		Proposals: all,
	})
	g.pass(20 * ms)
}

// isolate cuts members off from all others.
func (g *group) isolate(ids ...ident.HostID) {
	g.apart = func(a, b ident.HostID) bool { return slices.Contains(ids, a) != slices.Contains(ids, b) }
}

// grouped returns a trace of one member. The member that leads first is m0,
// since its clock ticks alone until it asks for votes.
func grouped(title, guards string, size int, record int, entries int, run func(*group) error, stated ...replay.Outcome) Trace {
	return Trace{
		Name:   "quorum-" + title,
		Guards: guards,
		write: func(path string) error {
			g := &group{
				steps:   map[ident.HostID]replay.Step[quorum.Event, quorum.Effect]{},
				nodes:   map[ident.HostID]*quorum.Node{},
				applied: map[string]int{},
				record:  name(record),
				path:    path,
			}
			for i := range size {
				g.members = append(g.members, quorum.Member{
					ID:      name(i),
					Address: fmt.Sprintf("10.0.0.%d:1", i+1),
				})
			}
			stored := quorum.Stored{Snapshot: quorum.Bootstrap(g.members, nil)}
			for i := range entries {
				stored.Hard = quorum.HardState{Term: 2}
				stored.Entries = append(stored.Entries, quorum.Entry{
					Index: quorum.Index(i + 2),
					Term:  2,
					Kind:  quorum.Command,
					Data:  []byte(fmt.Sprint("before", i)),
				})
			}
			for i := range size {
				if err := g.boot(i, stored); err != nil {
					return err
				}
			}
			for range 100 {
				if g.leader() != "" {
					break
				}
				g.pass(tickEvery)
				g.step(name(0), quorum.Tick{Now: g.now})
			}
			if g.leader() != name(0) {
				return errors.Errorf("scenario %s: the first leader is %q", title, g.leader())
			}
			if err := run(g); err != nil {
				return errors.Wrapf(err, "scenario %s", title)
			}
			return g.tape.end(replay.QuorumBroken, stated...)
		},
	}
}

func groups() []Trace {
	return []Trace{
		grouped("leader-isolated", "an isolated leader that goes on accepting, or disturbs the group on its return", 3, 0, 0, isolateLeader,
			exactly("Applied", 3), exactly("Committed", 1), exactly("Unknown", 1), atLeast("NotRun", 1), exactly("Elections", 1)),
		grouped("leader-isolated-peer", "a member that elects no new leader, or votes twice in a term", 3, 1, 0, isolateLeader,
			exactly("Applied", 3)),
		grouped("even-split", "a half of 4 members that accepts a command", 4, 0, 0, func(g *group) error {
			g.propose("m0", "a")
			g.isolate("m0", "m1")
			g.propose("m0", "b")
			g.run(1500 * ms)
			g.propose("m0", "c")
			g.propose("m2", "d")
			if id := g.leader(); id != "" {
				return errors.Errorf("%s leads a half of the group", id)
			}
			return nil
		}, exactly("Applied", 1), exactly("Unknown", 1), exactly("NotRun", 1)),
		grouped("member-replaced", "a group that stops when a member is replaced and then a second one is lost", 3, 0, 0, replaceMember,
			exactly("Committed", 4), exactly("Members", 3)),
		grouped("restart", "a member that loses or repeats entries after hundreds of changes and a restart", 3, 0, 300, func(g *group) error {
			g.propose("m0", "x", "y")
			g.run(300 * ms)
			if g.applied["before0"] != 1 || g.applied["before299"] != 1 || g.applied["y"] != 1 {
				return errors.Errorf("%d different commands applied", len(g.applied))
			}
			return nil
		}, exactly("Applied", 302), exactly("Committed", 2)),
	}
}

// isolateLeader cuts the first leader off and lets it return.
func isolateLeader(g *group) error {
	g.propose("m0", "a")
	g.isolate("m0")
	g.propose("m0", "lost")
	g.run(2500 * ms)
	g.propose("m0", "refused")
	next := g.leader()
	if next == "" || next == "m0" {
		return errors.Errorf("leader is %q while m0 is isolated", next)
	}
	g.propose(next, "b")
	g.apart = nil
	g.run(600 * ms)
	if g.leader() != next {
		return errors.Errorf("leader is %q after the return of m0, was %s", g.leader(), next)
	}
	g.propose(next, "c")
	g.run(300 * ms)
	if g.applied["lost"]+g.applied["refused"] > 0 {
		return errors.New("a command of the isolated leader was applied")
	}
	return nil
}

// replaceMember replaces m2, which is dead, by m3 and then loses m1.
func replaceMember(g *group) error {
	g.propose("m0", "a")
	g.steps["m2"] = nil
	g.propose("m0", "b")
	if err := g.boot(3, quorum.Stored{}); err != nil {
		return err
	}
	g.step("m0", quorum.ChangeMember{
		Now: g.now,
		ID:  1000,
		Change: quorum.AddMember{Member: quorum.Member{
			ID:       "m3",
			Address:  "10.0.0.4:1",
			Replaces: "m2",
		}},
	})
	g.run(600 * ms)
	g.propose("m0", "c")
	g.steps["m1"] = nil
	g.run(600 * ms)
	g.propose("m0", "d")
	g.run(300 * ms)
	if g.applied["d"] != 1 {
		return errors.New("the group accepts nothing after the loss of a second member")
	}
	return nil
}
