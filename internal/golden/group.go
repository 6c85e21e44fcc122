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
	tickInterval = 50 * time.Millisecond
	diskDelay    = 2 * time.Millisecond
)

// group runs the members of a replicated log, with their network and disks.
type group struct {
	clock
	members      []quorum.Member
	steps        map[ident.HostID]replay.Step[quorum.Event, quorum.Effect]
	nodes        map[ident.HostID]*quorum.Node
	partitioned  func(a, b ident.HostID) bool
	applied      map[string]int
	lastProposal quorum.ProposalID
	// recording has the events of the member recordedID.
	recordedID ident.HostID
	path       string
	recording  *recording[quorum.Event, quorum.Effect]
}

func memberID(i int) ident.HostID { return ident.HostID(fmt.Sprint("m", i)) }

// start starts a member with the state stored on its disk.
func (g *group) start(i int, stored quorum.Stored) error {
	id := memberID(i)
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
	if id != g.recordedID {
		return nil
	}
	g.recording, err = newRecording(g.path, replay.ReducerQuorum, setup, g.steps[id])
	g.steps[id] = g.recording.Step
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
			if g.partitioned != nil && g.partitioned(m.From, m.To) {
				continue
			}
			g.after(ms, func() {
				g.step(m.To, quorum.Receive{
					Now:     g.now,
					Message: m,
				})
			})
		case quorum.Append:
			g.scheduleSync(id, ef.Seq)
		case quorum.SaveSnapshot:
			g.scheduleSync(id, ef.Seq)
		case quorum.Apply:
			if ef.Entry.Kind == quorum.Command && id == g.recordedID {
				g.applied[string(ef.Entry.Data)]++
			}
		case quorum.Restore, quorum.Reply:
		}
	}
}

func (g *group) scheduleSync(id ident.HostID, seq quorum.Seq) {
	g.after(diskDelay, func() {
		g.step(id, quorum.Synced{
			Now: g.now,
			Seq: seq,
		})
	})
}

// runFor advances time by span and ticks all members every tickInterval.
func (g *group) runFor(span time.Duration) {
	for end := g.now.Add(span); g.now < end; {
		g.advance(tickInterval)
		for i := range 10 {
			g.step(memberID(i), quorum.Tick{Now: g.now})
		}
	}
}

// leader returns the running member that holds the leader lease, or an empty
// ID.
func (g *group) leader() ident.HostID {
	for i := range 10 {
		if n := g.nodes[memberID(i)]; n != nil && g.steps[memberID(i)] != nil && n.Lease(g.now) {
			return memberID(i)
		}
	}
	return ""
}

// propose sends commands to a member.
func (g *group) propose(to ident.HostID, data ...string) {
	var all []quorum.Proposal
	for _, d := range data {
		g.lastProposal++
		all = append(all, quorum.Proposal{
			ID:   g.lastProposal,
			Data: []byte(d),
		})
	}
	g.step(to, quorum.Propose{
		Now:       g.now,
		Proposals: all,
	})
	g.advance(20 * ms)
}

// isolate partitions the given members from all others.
func (g *group) isolate(ids ...ident.HostID) {
	g.partitioned = func(a, b ident.HostID) bool { return slices.Contains(ids, a) != slices.Contains(ids, b) }
}

// quorumTrace returns a trace of one member, given by its number, of a group of
// the given size. All members start with storedEntries commands in their logs.
// The first leader is m0, since only m0 gets ticks until it is elected.
func quorumTrace(title, guards string, size int, recorded int, storedEntries int, run func(*group) error, expected ...replay.Outcome) Trace {
	return Trace{
		Name:   "quorum-" + title,
		Guards: guards,
		write: func(path string) error {
			g := &group{
				steps:      map[ident.HostID]replay.Step[quorum.Event, quorum.Effect]{},
				nodes:      map[ident.HostID]*quorum.Node{},
				applied:    map[string]int{},
				recordedID: memberID(recorded),
				path:       path,
			}
			for i := range size {
				g.members = append(g.members, quorum.Member{
					ID:      memberID(i),
					Address: fmt.Sprintf("10.0.0.%d:1", i+1),
				})
			}
			stored := quorum.Stored{Snapshot: quorum.Bootstrap(g.members, nil)}
			for i := range storedEntries {
				stored.Hard = quorum.HardState{Term: 2}
				stored.Entries = append(stored.Entries, quorum.Entry{
					Index: quorum.Index(i + 2),
					Term:  2,
					Kind:  quorum.Command,
					Data:  []byte(fmt.Sprint("before", i)),
				})
			}
			for i := range size {
				if err := g.start(i, stored); err != nil {
					return err
				}
			}
			for range 100 {
				if g.leader() != "" {
					break
				}
				g.advance(tickInterval)
				g.step(memberID(0), quorum.Tick{Now: g.now})
			}
			if g.leader() != memberID(0) {
				return errors.Errorf("scenario %s: the first leader is %q", title, g.leader())
			}
			if err := run(g); err != nil {
				return errors.Wrapf(err, "scenario %s", title)
			}
			return g.recording.finish(replay.QuorumViolations, expected...)
		},
	}
}

func quorumTraces() []Trace {
	return []Trace{
		quorumTrace("leader-isolated", "an isolated leader that goes on accepting, or disturbs the group on its return", 3, 0, 0, isolateLeader,
			exactly("Applied", 3), exactly("Committed", 1), exactly("Unknown", 1), atLeast("NotRun", 1), exactly("Elections", 1)),
		quorumTrace("leader-isolated-peer", "a member that elects no new leader, or votes twice in a term", 3, 1, 0, isolateLeader,
			exactly("Applied", 3)),
		quorumTrace("even-split", "a half of 4 members that accepts a command", 4, 0, 0, func(g *group) error {
			g.propose("m0", "a")
			g.isolate("m0", "m1")
			g.propose("m0", "b")
			g.runFor(1500 * ms)
			g.propose("m0", "c")
			g.propose("m2", "d")
			if id := g.leader(); id != "" {
				return errors.Errorf("%s leads a half of the group", id)
			}
			return nil
		}, exactly("Applied", 1), exactly("Unknown", 1), exactly("NotRun", 1)),
		quorumTrace("member-replaced", "a group that stops when a member is replaced and then a second one is lost", 3, 0, 0, replaceMember,
			exactly("Committed", 4), exactly("Members", 3)),
		quorumTrace("restart", "a member that loses or repeats entries after hundreds of changes and a restart", 3, 0, 300, func(g *group) error {
			g.propose("m0", "x", "y")
			g.runFor(300 * ms)
			if g.applied["before0"] != 1 || g.applied["before299"] != 1 || g.applied["y"] != 1 {
				return errors.Errorf("before0, before299 and y were not each applied exactly once; %d different commands were applied", len(g.applied))
			}
			return nil
		}, exactly("Applied", 302), exactly("Committed", 2)),
	}
}

// isolateLeader isolates the first leader and reconnects it later.
func isolateLeader(g *group) error {
	g.propose("m0", "a")
	g.isolate("m0")
	g.propose("m0", "lost")
	g.runFor(2500 * ms)
	g.propose("m0", "refused")
	next := g.leader()
	if next == "" || next == "m0" {
		return errors.Errorf("leader is %q while m0 is isolated", next)
	}
	g.propose(next, "b")
	g.partitioned = nil
	g.runFor(600 * ms)
	if g.leader() != next {
		return errors.Errorf("leader is %q after the return of m0, was %s", g.leader(), next)
	}
	g.propose(next, "c")
	g.runFor(300 * ms)
	if g.applied["lost"]+g.applied["refused"] > 0 {
		return errors.New("a command of the isolated leader was applied")
	}
	return nil
}

// replaceMember stops m2, replaces it by m3, and then stops m1.
func replaceMember(g *group) error {
	g.propose("m0", "a")
	g.steps["m2"] = nil
	g.propose("m0", "b")
	if err := g.start(3, quorum.Stored{}); err != nil {
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
	g.runFor(600 * ms)
	g.propose("m0", "c")
	g.steps["m1"] = nil
	g.runFor(600 * ms)
	g.propose("m0", "d")
	g.runFor(300 * ms)
	if g.applied["d"] != 1 {
		return errors.New("the group applied no command after a second member stopped")
	}
	return nil
}
