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
	checksGiven := false
	flag.Visit(func(f *flag.Flag) { checksGiven = checksGiven || f.Name == "rapid.checks" })
	if !checksGiven {
		if err := flag.Set("rapid.checks", defaultChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func randomAction(rt *rapid.T, s *sim) {
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
		s.blocked[[2]ident.HostID{h.id, o.id}] = true
	case 5:
		s.isolate(h, true)
	case 6:
		clear(s.blocked)
	case 7:
		s.lossFraction = float64(rapid.IntRange(0, 40).Draw(rt, "loss")) / 100
		s.syncDelay = time.Duration(rapid.IntRange(1, 400).Draw(rt, "disk")) * time.Millisecond
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
			leaderScenario(rt, s, l, h)
		}
	}
	s.run(time.Duration(rapid.SampledFrom([]int{5, 20, 100, 300, 1200}).Draw(rt, "wait")) * time.Millisecond)
}

// leaderScenario runs a short fault sequence around an election. Single random
// actions reach these states too rarely.
func leaderScenario(rt *rapid.T, s *sim, l, h *host) {
	switch rapid.IntRange(0, 6).Draw(rt, "scene") {
	case 0: // a member that lacks entries takes part in an election
		s.isolate(h, true)
		s.propose(l)
		s.run(200 * time.Millisecond)
		s.isolate(h, false)
		s.crash(l)
	case 1: // all hosts lose power
		for _, o := range s.hosts {
			s.crash(o)
		}
		for _, o := range s.hosts {
			s.boot(o)
		}
	case 2: // voters restart while one member receives nothing from the leader
		s.blocked[[2]ident.HostID{l.id, h.id}] = true
		s.run(1500 * time.Millisecond)
		for _, o := range s.hosts {
			if o != l && o != h {
				s.crash(o)
				s.boot(o)
			}
		}
		s.isolate(l, true)
	case 3: // the leader is isolated during a leadership transfer
		s.step(l, quorum.Transfer{Now: l.clock(s.now)})
		s.run(time.Duration(rapid.IntRange(0, 10).Draw(rt, "handover")) * time.Millisecond)
		s.isolate(l, true)
	case 4: // the leader is isolated with uncommitted entries and returns
		s.isolate(l, true)
		s.propose(l)
		s.propose(l)
		s.run(1600 * time.Millisecond)
		if n := s.leader(); n != nil {
			s.propose(n)
		}
		s.isolate(l, false)
	case 5: // the leader is isolated during a member change
		s.isolate(l, true)
		changeMembersOn(rt, s, l, h)
		s.run(1600 * time.Millisecond)
		if n := s.leader(); n != nil {
			changeMembersOn(rt, s, n, h)
		}
	case 6: // the leader reaches only one member
		for _, o := range s.hosts {
			if o != h {
				s.blocked[[2]ident.HostID{l.id, o.id}] = true
			}
		}
		s.propose(l)
	}
}

func changeMembers(rt *rapid.T, s *sim, o *host) {
	if l := s.leader(); l != nil {
		changeMembersOn(rt, s, l, o)
	}
}

func changeMembersOn(rt *rapid.T, s *sim, l, o *host) {
	if len(s.hosts) < 8 && rapid.Bool().Draw(rt, "add") {
		added := s.addHost()
		s.boot(added)
		m := quorum.Member{
			ID:      added.id,
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

// Guards against safety violations caused by message loss, delay, reordering and
// duplication, one-way partitions, crashes that lose unsynced writes, and member
// changes; and against a group that does not recover once these end.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkHistory(rt, randomAction) })
}

// Guards against a process that acts after a pause on what held before it: a leader on
// its lease, a member on its vote.
func TestRandomHistoriesWithPauses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checkHistory(rt, func(rt *rapid.T, s *sim) {
			for _, h := range s.hosts {
				if rapid.IntRange(0, 3).Draw(rt, "pause") == 0 {
					h.pausedUntil = s.now + time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pausedFor"))*time.Millisecond
				}
			}
			randomAction(rt, s)
		})
	})
}

func checkHistory(rt *rapid.T, act func(*rapid.T, *sim)) {
	s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "size"))
	for range rapid.IntRange(5, 40).Draw(rt, "steps") {
		act(rt, s)
		if len(s.violations) > 0 {
			rt.Fatal(s.violations[0])
		}
	}
	s.heal()
	s.syncDelay = 5 * time.Millisecond
	if _, ok := s.runUntil(30*time.Second, func() bool { return s.leader() != nil }); !ok {
		rt.Fatal("no leader after all faults have ended")
	}
	// A member change in progress may still cause a change of leader.
	s.run(5 * time.Second)
	ackedBefore := s.ackedIndex
	if _, ok := s.runUntil(30*time.Second, func() bool {
		if l := s.leader(); l != nil && s.now%(200*time.Millisecond) == 0 {
			s.propose(l)
		}
		return s.ackedIndex > ackedBefore
	}); !ok {
		rt.Fatal("no command is accepted after all faults have ended")
	}
	checkAgreement(rt, s)
}

// checkAgreement checks that the state machines of all members are equal.
func checkAgreement(rt *rapid.T, s *sim) {
	s.run(3 * time.Second)
	l := s.leader()
	if l == nil || len(s.violations) > 0 {
		rt.Fatal("safety violations or no leader at the end: ", s.violations)
	}
	for _, m := range l.node.Status(l.clock(s.now)).Members {
		if h := s.hostByID(m.ID); !slices.Equal(h.state, l.state) {
			rt.Fatalf("%s has state %v but leader %s has %v", h.id, h.state, l.id, l.state)
		}
	}
}

func newSimWithLeader(t *testing.T, size int) (*sim, *host) {
	t.Helper()
	s := newSim(7, size)
	_, ok := s.runUntil(5*time.Second, func() bool { return s.leader() != nil })
	is.New(t).True(ok)
	return s, s.leader()
}

// Guards against a member that is restored from an older copy of its data, and stays
// behind for as long as the same member leads.
func TestRestoredMemberCatchesUp(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		is := is.New(t)
		s, leader := newSimWithLeader(t, 3)
		restored := s.hosts[0]
		if restored == leader {
			restored = s.hosts[1]
		}
		s.propose(leader)
		s.run(time.Second)
		older := restored.stored
		older.Entries = slices.Clone(older.Entries)
		for range 5 {
			s.propose(leader)
			s.run(200 * time.Millisecond)
		}
		s.crash(restored)
		if compacted {
			s.compact(leader)
		}
		restored.stored = older
		s.boot(restored)
		s.run(time.Second)
		is.Equal(s.leader(), leader)
		is.Equal(restored.state, leader.state)
		is.Equal(len(leader.state), 6)
	}
}

// Guards against an isolated leader that keeps its lease while a majority elects
// another, and against one that forces an election when it reconnects.
func TestIsolatedLeader(t *testing.T) {
	is := is.New(t)
	s, oldLeader := newSimWithLeader(t, 5)
	s.isolate(oldLeader, true)
	elapsed, ok := s.runUntil(3*time.Second, func() bool { return s.leader() != nil && s.leader() != oldLeader })
	is.True(ok) // a new leader within 3 s
	t.Logf("new leader after %s", elapsed)
	is.Equal(oldLeader.node.Status(oldLeader.clock(s.now)).Role != quorum.Leader, true)
	s.run(5 * time.Second)
	newLeader := s.leader()
	term := newLeader.node.Status(newLeader.clock(s.now)).Term
	s.isolate(oldLeader, false)
	s.run(5 * time.Second)
	is.Equal(s.leader(), newLeader)
	is.Equal(newLeader.node.Status(newLeader.clock(s.now)).Term, term) // no election on return
	is.Equal(len(s.violations), 0)
}

// Guards against a command that is accepted by either half of a group that is
// partitioned into two equal halves, neither of which is a majority.
func TestEvenSplitAcceptsNothing(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithLeader(t, 4)
	for _, a := range s.hosts[:2] {
		for _, b := range s.hosts[2:] {
			s.blocked[[2]ident.HostID{a.id, b.id}] = true
			s.blocked[[2]ident.HostID{b.id, a.id}] = true
		}
	}
	s.run(3 * time.Second)
	ackedBefore, refusedBefore := s.ackedIndex, len(s.refusedTokens)
	for range 20 {
		for _, h := range s.hosts {
			s.propose(h)
		}
		s.run(200 * time.Millisecond)
	}
	is.Equal(s.ackedIndex, ackedBefore)
	is.Equal(len(s.refusedTokens)-refusedBefore, 80) // each one is refused as not run
	is.Equal(len(s.violations), 0)
}

// Guards against a group that does not survive a second failed member after the
// first one was replaced, for example because the replacement has no vote or the
// failed member still counts.
func TestReplaceDeadMemberThenLoseAnother(t *testing.T) {
	is := is.New(t)
	s, l := newSimWithLeader(t, 5)
	followers := slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h == l })
	failed := followers[0]
	s.crash(failed)
	replacement := s.addHost()
	s.boot(replacement)
	s.change(l, quorum.AddMember{Member: quorum.Member{
		ID:       replacement.id,
		Address:  "sim",
		Replaces: failed.id,
	}})
	_, ok := s.runUntil(5*time.Second, func() bool {
		members := l.node.Status(l.clock(s.now)).Members
		return len(members) == 5 && !slices.ContainsFunc(members, func(m quorum.Member) bool { return m.ID == failed.id || !m.Voter })
	})
	is.True(ok) // the new member is a voter and the failed one is removed
	s.crash(l)
	ackedBefore := s.ackedIndex
	elapsed, ok := s.runUntil(3*time.Second, func() bool {
		if n := s.leader(); n != nil {
			s.propose(n)
		}
		return s.ackedIndex > ackedBefore
	})
	is.True(ok) // accepting again within 3 s
	t.Logf("accepting again after %s", elapsed)
	is.Equal(len(s.violations), 0)
}

// Guards against a shutdown of the leader that leaves the group without a leader
// until the election timeout expires.
func TestTransferIsQuick(t *testing.T) {
	is := is.New(t)
	s, l := newSimWithLeader(t, 3)
	s.run(time.Second)
	s.step(l, quorum.Transfer{Now: l.clock(s.now)})
	elapsed, ok := s.runUntil(500*time.Millisecond, func() bool { return s.leader() != nil && s.leader() != l })
	is.True(ok)
	t.Logf("new leader after %s", elapsed)
}

// Guards against committing an entry of an earlier term by counting copies,
// since a later leader could still replace it. For the same reason no member
// change may start before the new leader has committed an entry of its own term.
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
	receiveFromB := func(term quorum.Term, b quorum.Body) {
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
	receiveFromB(2, quorum.VoteReply{Pre: true, Granted: true, For: 2})
	n.Step(quorum.Synced{Now: now, Seq: 1})
	receiveFromB(3, quorum.VoteReply{Granted: true, For: 3})
	is.Equal(n.Status(now).Role, quorum.Leader)

	receiveFromB(3, quorum.AppendReply{OK: true, Match: 2, Sent: now})
	is.Equal(n.Status(now).Commit, quorum.Index(1))
	refused := false
	for _, e := range n.Step(quorum.ChangeMember{Now: now, ID: 9, Change: quorum.RemoveMember{ID: "c"}}) {
		r, ok := e.(quorum.Reply)
		refused = refused || ok && r.Kind == quorum.NotRun
	}
	is.True(refused)

	receiveFromB(3, quorum.AppendReply{OK: true, Match: 3, Sent: now})
	is.Equal(n.Status(now).Commit, quorum.Index(1)) // the own copy is not durable yet
	n.Step(quorum.Synced{Now: now, Seq: 2})
	is.Equal(n.Status(now).Commit, quorum.Index(3))
}

// Guards against a snapshot put together of the chunks of two leaders: members of
// different releases may encode the same state differently.
func TestSnapshotOfTwoLeadersIsNotMixed(t *testing.T) {
	is := is.New(t)
	members := []quorum.Member{{ID: "a", Address: "sim"}, {ID: "b", Address: "sim"}, {ID: "c", Address: "sim"}}
	n, err := quorum.New(quorum.Config{ID: "a"}, quorum.Stored{Snapshot: quorum.Bootstrap(members, nil)}, 0)
	is.NoErr(err)
	var saved *quorum.Snapshot
	receive := func(from ident.HostID, term quorum.Term, offset int, chunk string) {
		for _, e := range n.Step(quorum.Receive{
			Now: ident.Instant(time.Second),
			Message: quorum.Message{
				From: from,
				To:   "a",
				Term: term,
				Body: quorum.SnapshotRequest{
					Meta: quorum.Meta{
						Index:   9,
						Term:    1,
						Members: members,
					},
					Offset: offset,
					Total:  6,
					Chunk:  []byte(chunk),
				},
			},
		}) {
			if s, ok := e.(quorum.SaveSnapshot); ok {
				saved = &s.Snapshot
			}
		}
	}
	receive("b", 2, 0, "bbb")
	receive("c", 3, 0, "ccc")
	receive("c", 3, 3, "ccc")
	is.True(saved != nil)
	is.Equal(string(saved.Data), "cccccc")
}

// Guards against a follower that acknowledges an entry because an earlier write
// at the same index became durable, although a new leader has replaced that
// entry.
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
		receiveAppend := func(from ident.HostID, term quorum.Term, a quorum.AppendRequest) quorum.Seq {
			return step(quorum.Receive{Message: quorum.Message{
				From: from,
				To:   "a",
				Term: term,
				Body: a,
			}})
		}
		first := receiveAppend("b", 2, quorum.AppendRequest{
			PrevIndex: 1,
			PrevTerm:  1,
			Entries:   []quorum.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
		})
		if syncFirst {
			step(quorum.Synced{Seq: first})
		}
		second := receiveAppend("c", 3, quorum.AppendRequest{
			PrevIndex: 1,
			PrevTerm:  1,
			Entries:   []quorum.Entry{{Index: 2, Term: 3}},
		})
		step(quorum.Synced{Seq: second - 1}) // all but the replacement
		receiveAppend("c", 3, quorum.AppendRequest{
			PrevIndex: 2,
			PrevTerm:  3,
		})
		is.Equal(confirmed, quorum.Index(1))
		step(quorum.Synced{Seq: second})
		is.Equal(confirmed, quorum.Index(2))
	}
}

// Guards against a group that stays without a leader when a leader that removed
// itself restarts. Only its log has the removal, so no member with a shorter log
// can be elected, and it does not know which member lists are committed.
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
	voteRequested := false
	for _, e := range n.Step(quorum.Tick{Now: ident.Instant(5 * time.Second)}) {
		send, ok := e.(quorum.Send)
		voteRequested = voteRequested || ok && send.Message.To == "c"
	}
	is.True(voteRequested) // requests the vote of the only remaining voter
}

// Guards against a removed member that names its last leader forever. It does
// not start elections, and no leader sends it anything any more.
func TestRemovedMemberForgetsTheLeader(t *testing.T) {
	is := is.New(t)
	s, l := newSimWithLeader(t, 3)
	s.run(time.Second)
	removed := s.hosts[0]
	if removed == l {
		removed = s.hosts[1]
	}
	s.change(l, quorum.RemoveMember{ID: removed.id})
	_, ok := s.runUntil(5*time.Second, func() bool {
		st := removed.node.Status(removed.clock(s.now))
		return st.Commit >= l.node.Status(l.clock(s.now)).Commit && len(st.Members) == 2
	})
	is.True(ok) // the removed member knows that its removal is committed
	_, ok = s.runUntil(5*time.Second, func() bool {
		return removed.node.Status(removed.clock(s.now)).Leader == ""
	})
	is.True(ok) // it has had no contact with the leader for several election timeouts
}
