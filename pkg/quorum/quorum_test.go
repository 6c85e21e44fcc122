package quorum_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", histories); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func act(rt *rapid.T, s *sim) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(rt, "host")]
	o := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(rt, "other")]
	switch rapid.IntRange(0, 21).Draw(rt, "action") {
	case 0, 1:
		s.propose(h)
	case 2, 3:
		if l := s.leader(); l != nil {
			s.propose(l)
			s.propose(l)
		}
	case 4:
		s.cut[[2]ident.HostID{h.id, o.id}] = true
	case 5:
		s.isolate(h, true)
	case 6:
		clear(s.cut)
	case 7:
		s.loss = float64(rapid.IntRange(0, 40).Draw(rt, "loss")) / 100
		s.disk = time.Duration(rapid.IntRange(1, 400).Draw(rt, "disk")) * time.Millisecond
	case 8, 9:
		if h.up {
			s.crash(h)
		} else {
			s.boot(h)
		}
	case 10:
		s.compact(h)
	case 11:
		if h.up {
			s.step(h, quorum.Transfer{Now: h.clock(s.now)})
		}
	case 12, 13:
		changeMembers(rt, s, o)
	case 14:
		if h.up {
			s.step(h, quorum.DiskFailed{Now: h.clock(s.now)})
		}
	default:
		if l := s.leader(); l != nil && l != h {
			actOnLeader(rt, s, l, h)
		}
	}
	s.run(time.Duration(rapid.SampledFrom([]int{5, 20, 100, 300, 1200}).Draw(rt, "wait")) * time.Millisecond)
}

// actOnLeader plays short scenes around elections, which single random
// actions reach too rarely.
func actOnLeader(rt *rapid.T, s *sim, l, h *host) {
	switch rapid.IntRange(0, 6).Draw(rt, "scene") {
	case 0: // a member that lacks entries may be elected
		s.isolate(h, true)
		s.propose(l)
		s.run(200 * time.Millisecond)
		s.isolate(h, false)
		s.crash(l)
	case 1: // power loss everywhere
		for _, o := range s.hosts {
			s.crash(o)
		}
		for _, o := range s.hosts {
			s.boot(o)
		}
	case 2: // voters restart while one member no longer hears the leader
		s.cut[[2]ident.HostID{l.id, h.id}] = true
		s.run(1500 * time.Millisecond)
		for _, o := range s.hosts {
			if o != l && o != h {
				s.crash(o)
				s.boot(o)
			}
		}
		s.isolate(l, true)
	case 3: // the leader is cut off while it hands over
		s.step(l, quorum.Transfer{Now: l.clock(s.now)})
		s.run(time.Duration(rapid.IntRange(0, 10).Draw(rt, "handover")) * time.Millisecond)
		s.isolate(l, true)
	case 4: // the leader is cut off with entries of its own and returns
		s.isolate(l, true)
		s.propose(l)
		s.propose(l)
		s.run(1600 * time.Millisecond)
		if n := s.leader(); n != nil {
			s.propose(n)
		}
		s.isolate(l, false)
	case 5: // a member change meets the end of a leadership
		s.isolate(l, true)
		changeMembersAt(rt, s, l, h)
		s.run(1600 * time.Millisecond)
		if n := s.leader(); n != nil {
			changeMembersAt(rt, s, n, h)
		}
	case 6: // the leader reaches only one member
		for _, o := range s.hosts {
			if o != h {
				s.cut[[2]ident.HostID{l.id, o.id}] = true
			}
		}
		s.propose(l)
	}
}

func changeMembers(rt *rapid.T, s *sim, o *host) {
	if l := s.leader(); l != nil {
		changeMembersAt(rt, s, l, o)
	}
}

func changeMembersAt(rt *rapid.T, s *sim, l, o *host) {
	if len(s.hosts) < 8 && rapid.Bool().Draw(rt, "add") {
		fresh := s.addHost()
		s.boot(fresh)
		m := quorum.Member{
			ID:      fresh.id,
			Address: "sim",
		}
		if rapid.Bool().Draw(rt, "replace") {
			m.Replaces = o.id
		}
		s.change(l, quorum.AddMember{Member: m})
		return
	}
	if len(l.node.Status(0).Members) > 2 {
		s.change(l, quorum.RemoveMember{ID: o.id})
	}
}

// Guards against every loss of safety that loss, delay, reordering,
// duplication, one-way cuts, crashes that lose unsynced writes and member
// changes can cause, and against a group that does not recover after them.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "size"))
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			act(rt, s)
			if len(s.faults) > 0 {
				rt.Fatal(s.faults[0])
			}
		}
		s.heal()
		s.disk = 5 * time.Millisecond
		if _, ok := s.await(30*time.Second, func() bool { return s.leader() != nil }); !ok {
			rt.Fatal("no leader after all faults have ended")
		}
		// A member change that is still being carried out may move the lead.
		s.run(5 * time.Second)
		before := s.acked
		if _, ok := s.await(30*time.Second, func() bool {
			if l := s.leader(); l != nil && s.now%(200*time.Millisecond) == 0 {
				s.propose(l)
			}
			return s.acked > before
		}); !ok {
			rt.Fatal("no command is accepted after all faults have ended")
		}
		checkAgreement(rt, s)
	})
}

// checkAgreement checks that all members reach the same state.
func checkAgreement(rt *rapid.T, s *sim) {
	s.run(3 * time.Second)
	l := s.leader()
	if l == nil || len(s.faults) > 0 {
		rt.Fatal("faults or no leader at the end: ", s.faults)
	}
	for _, m := range l.node.Status(l.clock(s.now)).Members {
		if h := s.find(m.ID); !slices.Equal(h.state, l.state) {
			rt.Fatalf("%s holds %v but leader %s holds %v", h.id, h.state, l.id, l.state)
		}
	}
}

func electedSim(t *testing.T, size int) (*sim, *host) {
	t.Helper()
	s := newSim(7, size)
	_, ok := s.await(5*time.Second, func() bool { return s.leader() != nil })
	is.New(t).True(ok)
	return s, s.leader()
}

// Guards against a leader that keeps its lease while a majority elects
// another, and against one that forces an election when it returns.
func TestIsolatedLeader(t *testing.T) {
	is := is.New(t)
	s, old := electedSim(t, 5)
	s.isolate(old, true)
	took, ok := s.await(3*time.Second, func() bool { return s.leader() != nil && s.leader() != old })
	is.True(ok) // a new leader within 3 s
	t.Logf("new leader after %s", took)
	is.Equal(old.node.Status(old.clock(s.now)).Role != quorum.Leader, true)
	s.run(5 * time.Second)
	fresh := s.leader()
	term := fresh.node.Status(fresh.clock(s.now)).Term
	s.isolate(old, false)
	s.run(5 * time.Second)
	is.Equal(s.leader(), fresh)
	is.Equal(fresh.node.Status(fresh.clock(s.now)).Term, term) // no election on return
	is.Equal(len(s.faults), 0)
}

// Guards against either half of an even split accepting a command.
func TestEvenSplitAcceptsNothing(t *testing.T) {
	is := is.New(t)
	s, _ := electedSim(t, 4)
	for _, a := range s.hosts[:2] {
		for _, b := range s.hosts[2:] {
			s.cut[[2]ident.HostID{a.id, b.id}] = true
			s.cut[[2]ident.HostID{b.id, a.id}] = true
		}
	}
	s.run(3 * time.Second)
	acked, tokens := s.acked, len(s.refused)
	for range 20 {
		for _, h := range s.hosts {
			s.propose(h)
		}
		s.run(200 * time.Millisecond)
	}
	is.Equal(s.acked, acked)
	is.Equal(len(s.refused)-tokens, 80) // each one is refused as not run
	is.Equal(len(s.faults), 0)
}

// Guards against a group that cannot lose a second member after a repair.
func TestReplaceDeadMemberThenLoseAnother(t *testing.T) {
	is := is.New(t)
	s, l := electedSim(t, 5)
	followers := slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h == l })
	dead := followers[0]
	s.crash(dead)
	fresh := s.addHost()
	s.boot(fresh)
	s.change(l, quorum.AddMember{Member: quorum.Member{
		ID:       fresh.id,
		Address:  "sim",
		Replaces: dead.id,
	}})
	_, ok := s.await(5*time.Second, func() bool {
		members := l.node.Status(l.clock(s.now)).Members
		return len(members) == 5 && !slices.ContainsFunc(members, func(m quorum.Member) bool { return m.ID == dead.id || !m.Voter })
	})
	is.True(ok) // the new member votes and the dead one is gone
	s.crash(l)
	acked := s.acked
	took, ok := s.await(3*time.Second, func() bool {
		if n := s.leader(); n != nil {
			s.propose(n)
		}
		return s.acked > acked
	})
	is.True(ok) // accepting again within 3 s
	t.Logf("accepting again after %s", took)
	is.Equal(len(s.faults), 0)
}

// Guards against a shutdown that leaves the group without a leader for the
// whole election timeout.
func TestTransferIsQuick(t *testing.T) {
	is := is.New(t)
	s, l := electedSim(t, 3)
	s.run(time.Second)
	s.step(l, quorum.Transfer{Now: l.clock(s.now)})
	took, ok := s.await(500*time.Millisecond, func() bool { return s.leader() != nil && s.leader() != l })
	is.True(ok)
	t.Logf("new leader after %s", took)
}

// Guards against committing an entry of an earlier term by counting copies:
// a leader elected later could still replace it. For the same reason no
// member change may start before the new leader has committed an entry.
func TestEarlierTermNeedsEntryOfOwnTerm(t *testing.T) {
	is := is.New(t)
	members := []quorum.Member{{ID: "a", Address: "sim"}, {ID: "b", Address: "sim"}, {ID: "c", Address: "sim"}}
	n, err := quorum.New(quorum.Config{ID: "a"}, quorum.Stored{
		Hard:     quorum.HardState{Term: 2},
		Snapshot: quorum.Bootstrap(members, nil),
		Entries: []quorum.Entry{{
			Index: 2,
			Term:  2,
			Kind:  quorum.Command,
			Data:  []byte("old"),
		}},
	}, 0)
	is.NoErr(err)
	now := ident.Instant(5 * time.Second)
	reply := func(term quorum.Term, b quorum.Body) {
		n.Step(quorum.Receive{
			Now: now,
			Message: quorum.Message{
				From: "b",
				To:   "a",
				Term: term,
				Body: b,
			},
		})
	}
	n.Step(quorum.Tick{Now: now})
	reply(2, quorum.VoteReply{Pre: true, Granted: true, For: 2})
	n.Step(quorum.Synced{Now: now, Seq: 1})
	reply(3, quorum.VoteReply{Granted: true, For: 3})
	is.Equal(n.Status(now).Role, quorum.Leader)

	reply(3, quorum.AppendReply{OK: true, Match: 2, Sent: now})
	is.Equal(n.Status(now).Commit, quorum.Index(1))
	refused := false
	for _, e := range n.Step(quorum.ChangeMember{Now: now, ID: 9, Change: quorum.RemoveMember{ID: "c"}}) {
		r, ok := e.(quorum.Reply)
		refused = refused || ok && r.Kind == quorum.NotRun
	}
	is.True(refused)

	reply(3, quorum.AppendReply{OK: true, Match: 3, Sent: now})
	is.Equal(n.Status(now).Commit, quorum.Index(1)) // the own copy is not durable yet
	n.Step(quorum.Synced{Now: now, Seq: 2})
	is.Equal(n.Status(now).Commit, quorum.Index(3))
}

// Guards against a follower that confirms an entry because an earlier write
// at the same index became durable, although the leader has replaced it since.
func TestReplacedEntryIsNotConfirmedEarly(t *testing.T) {
	for _, syncFirst := range []bool{true, false} {
		is := is.New(t)
		members := []quorum.Member{{ID: "a", Address: "sim"}, {ID: "b", Address: "sim"}, {ID: "c", Address: "sim"}}
		n, err := quorum.New(quorum.Config{ID: "a"}, quorum.Stored{Snapshot: quorum.Bootstrap(members, nil)}, 0)
		is.NoErr(err)
		var confirmed quorum.Index
		step := func(ev quorum.Event) (seq quorum.Seq) {
			for _, e := range n.Step(ev) {
				switch e := e.(type) {
				case quorum.Append:
					seq = e.Seq
				case quorum.Send:
					if r, ok := e.Message.Body.(quorum.AppendReply); ok && e.Message.To == "c" {
						confirmed = max(confirmed, r.Match)
					}
				case quorum.SaveSnapshot, quorum.Restore, quorum.Apply, quorum.Reply:
				}
			}
			return seq
		}
		lead := func(from ident.HostID, term quorum.Term, a quorum.AppendRequest) quorum.Seq {
			return step(quorum.Receive{Message: quorum.Message{
				From: from,
				To:   "a",
				Term: term,
				Body: a,
			}})
		}
		first := lead("b", 2, quorum.AppendRequest{
			PrevIndex: 1,
			PrevTerm:  1,
			Entries:   []quorum.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
		})
		if syncFirst {
			step(quorum.Synced{Seq: first})
		}
		second := lead("c", 3, quorum.AppendRequest{
			PrevIndex: 1,
			PrevTerm:  1,
			Entries:   []quorum.Entry{{Index: 2, Term: 3}},
		})
		step(quorum.Synced{Seq: second - 1}) // all but the replacement
		lead("c", 3, quorum.AppendRequest{
			PrevIndex: 2,
			PrevTerm:  3,
		})
		is.Equal(confirmed, quorum.Index(1))
		step(quorum.Synced{Seq: second})
		is.Equal(confirmed, quorum.Index(2))
	}
}

// Guards against a group without a leader after a leader that removed itself
// restarts: it alone holds the removal, does not know which lists are
// committed, and no shorter log can be elected.
func TestRestartedMemberCompletesItsOwnRemoval(t *testing.T) {
	is := is.New(t)
	voter := func(id ident.HostID) quorum.Member {
		return quorum.Member{ID: id, Address: "sim", Voter: true}
	}
	lists := [][]quorum.Member{
		{voter("a"), voter("b")},
		{voter("b")},
		{voter("b"), voter("c")},
		{voter("c")},
	}
	stored := quorum.Stored{
		Hard:     quorum.HardState{Term: 2, Vote: "b"},
		Snapshot: quorum.Bootstrap([]quorum.Member{{ID: "a", Address: "sim"}}, nil),
	}
	for i, members := range lists {
		stored.Entries = append(stored.Entries, quorum.Entry{
			Index:   quorum.Index(2 + i),
			Term:    2,
			Kind:    quorum.Membership,
			Members: members,
		})
	}
	n, err := quorum.New(quorum.Config{ID: "b"}, stored, 0)
	is.NoErr(err)
	asked := false
	for _, e := range n.Step(quorum.Tick{Now: ident.Instant(5 * time.Second)}) {
		send, ok := e.(quorum.Send)
		asked = asked || ok && send.Message.To == "c"
	}
	is.True(asked) // asks for the vote of the only remaining voter
}
