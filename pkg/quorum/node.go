package quorum

import (
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Node is the protocol state of one member. Use it from one goroutine.
type Node struct {
	cfg  Config
	rand *rand.Rand
	now  ident.Instant

	role       Role
	hardState  HardState
	leader     ident.HostID
	diskFailed bool

	log      memoryLog
	snapshot Snapshot
	commit   Index
	applied  Index
	// members is the list of the last Membership entry, committed or not;
	// membersIndex is the index of that entry.
	members      []Member
	membersIndex Index

	// syncedIndex is the last entry that is known to be durable here. lastSeq
	// is the last requested write, syncedSeq the last durable one, hardStateSeq
	// the last one that changed hardState. Messages in deferred wait for writes.
	syncedIndex  Index
	lastSeq      Seq
	syncedSeq    Seq
	hardStateSeq Seq
	writes       []pendingWrite
	deferred     []deferredMessage

	lastLeaderContact ident.Instant
	electionDeadline  ident.Instant
	votes             map[ident.HostID]bool
	incoming          incomingSnapshot

	leadership leadership

	effects []Effect
}

// pendingWrite is a disk write that is not yet reported durable. Its lastIndex
// is the last entry of the log that becomes durable with it.
type pendingWrite struct {
	seq       Seq
	lastIndex Index
}

// deferredMessage is sent once the write seq is durable.
type deferredMessage struct {
	seq Seq
	msg Message
}

// New returns the node of a process that starts at now with the state that was
// read from its disk. It fails if cfg has no ID or a heartbeat over a third of
// the election timeout.
func New(cfg Config, stored Stored, now ident.Instant) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(cfg.Seed, uint64(stored.Hard.Term))),
		now:       now,
		hardState: stored.Hard,
		snapshot:  stored.Snapshot,
		log:       newMemoryLog(stored.Snapshot.Meta, stored.Entries),
		commit:    stored.Snapshot.Meta.Index,
		applied:   stored.Snapshot.Meta.Index,
		// Before the restart this member may have confirmed a leader's lease
		// that still runs, and a vote granted now could elect another leader.
		// So a restart counts as contact with the leader.
		lastLeaderContact: now,
	}
	if t := n.log.lastTerm(); t > n.hardState.Term {
		n.hardState = HardState{Term: t}
	}
	n.syncedIndex = n.log.lastIndex()
	n.refreshMembers()
	n.resetElectionTimer()
	if n.mayCampaignAtOnce() {
		n.electionDeadline = now
	}
	return n, nil
}

// mayCampaignAtOnce reports whether no other member can have a lease: this is
// the only voter of a new group, or the only voter and voted for itself in its
// term.
func (n *Node) mayCampaignAtOnce() bool {
	newGroup := n.hardState.Term <= 1 && n.hardState.Vote == "" && n.log.lastIndex() <= 1
	return n.isVoter(n.cfg.ID) && countVoters(n.members) == 1 && (newGroup || n.hardState.Vote == n.cfg.ID)
}

// Step takes one event and returns the effects to carry out, in order.
func (n *Node) Step(ev Event) []Effect {
	n.effects = nil
	if n.diskFailed {
		return n.refuseAfterDiskFailure(ev)
	}
	switch ev := ev.(type) {
	case Tick:
		n.now = ev.Now
		n.tick()
	case Receive:
		n.now = ev.Now
		n.receive(ev.Message)
	case Synced:
		n.now = ev.Now
		n.onSynced(ev.Seq)
	case DiskFailed:
		n.now = ev.Now
		n.becomeFollower(n.hardState.Term, "")
		n.diskFailed = true
		n.deferred = nil
	case Propose:
		n.now = ev.Now
		n.propose(ev.Proposals)
	case ChangeMember:
		n.now = ev.Now
		n.changeMember(ev)
	case Transfer:
		n.now = ev.Now
		n.startTransfer()
	case Compacted:
		n.now = ev.Now
		n.compact(ev.Snapshot)
	}
	return n.effects
}

func (n *Node) refuseAfterDiskFailure(ev Event) []Effect {
	const reason = "the disk of this member failed: repair it and restart, or ask another member"
	switch ev := ev.(type) {
	case Propose:
		for _, p := range ev.Proposals {
			n.reply(p.ID, NotRun, reason)
		}
	case ChangeMember:
		n.reply(ev.ID, NotRun, reason)
	case Tick, Receive, Synced, DiskFailed, Transfer, Compacted:
	}
	return n.effects
}

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	switch {
	case n.now < n.electionDeadline:
	case n.mayCampaign():
		n.startPreVote()
	default:
		n.leader = "" // no leader sends to a removed member
	}
}

func (n *Node) receive(m Message) {
	if m.To != n.cfg.ID || !wellFormed(m.Body) {
		return
	}
	if v, ok := m.Body.(VoteRequest); ok {
		n.onVoteRequest(m, v)
		return
	}
	if m.Term < n.hardState.Term {
		n.receiveStale(m)
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	switch b := m.Body.(type) {
	case VoteRequest:
	case VoteReply:
		n.onVoteReply(m.From, b)
	case AppendRequest:
		n.recordLeaderContact(m.From)
		n.onAppend(m.From, b)
	case AppendReply:
		n.onAppendReply(m.From, b)
	case SnapshotRequest:
		n.recordLeaderContact(m.From)
		n.onSnapshot(m.From, b)
	case SnapshotReply:
		n.onSnapshotReply(m.From, b)
	case TimeoutNow:
		if n.role != Leader && n.mayCampaign() {
			n.startElection(true)
		}
	}
}

// receiveStale handles a message of an older term. A leader of that term gets a
// reply, from whose Message.Term it learns the current one. A pre-vote counts
// even if the voter's term is older.
func (n *Node) receiveStale(m Message) {
	switch b := m.Body.(type) {
	case AppendRequest:
		n.sendAfter(n.hardStateSeq, m.From, AppendReply{
			Prev: b.PrevIndex,
			Sent: minInstant,
		})
	case SnapshotRequest:
		n.sendAfter(n.hardStateSeq, m.From, AppendReply{
			Prev: b.Meta.Index,
			Sent: minInstant,
		})
	case VoteReply:
		n.onVoteReply(m.From, b)
	case VoteRequest, AppendReply, SnapshotReply, TimeoutNow:
	}
}

func (n *Node) recordLeaderContact(from ident.HostID) {
	if n.role != Follower {
		n.becomeFollower(n.hardState.Term, from)
	}
	n.leader = from
	n.lastLeaderContact = n.now
	n.resetElectionTimer()
}

func (n *Node) becomeFollower(term Term, leader ident.HostID) {
	if n.role == Leader {
		n.endLeadership()
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.writeHardState()
	}
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	d := n.cfg.ElectionTimeout
	n.electionDeadline = n.now.Add(d + time.Duration(n.rand.Int64N(int64(d))))
}

// writeHardState requests a write of the changed hard state; messages that
// depend on it wait for hardStateSeq.
func (n *Node) writeHardState() {
	n.requestWrite(nil)
	n.hardStateSeq = n.lastSeq
}

// requestWrite requests a write of the current hard state and the given entries.
func (n *Node) requestWrite(es []Entry) {
	n.lastSeq++
	n.writes = append(n.writes, pendingWrite{
		seq:       n.lastSeq,
		lastIndex: n.log.lastIndex(),
	})
	n.effects = append(n.effects, Append{
		Seq:     n.lastSeq,
		Hard:    n.hardState,
		Entries: es,
	})
}

// appendEntries stores entries in the log and requests their write. They replace
// entries of their index and later; pending writes of replaced entries no longer
// count as durable.
func (n *Node) appendEntries(es []Entry) {
	prevIndex := es[0].Index - 1
	if prevIndex < n.log.lastIndex() {
		n.syncedIndex = min(n.syncedIndex, prevIndex)
		for i := range n.writes {
			n.writes[i].lastIndex = min(n.writes[i].lastIndex, prevIndex)
		}
	}
	n.log.truncateAndAppend(es)
	n.refreshMembers()
	n.requestWrite(es)
}

func (n *Node) onSynced(seq Seq) {
	for len(n.writes) > 0 && n.writes[0].seq <= seq {
		n.syncedIndex = max(n.syncedIndex, n.writes[0].lastIndex)
		n.writes = n.writes[1:]
	}
	n.syncedSeq = max(n.syncedSeq, seq)
	waiting := n.deferred
	n.deferred = nil
	for _, d := range waiting {
		switch {
		case d.seq > seq:
			n.deferred = append(n.deferred, d)
		case d.msg.To == n.cfg.ID:
			n.onVoteReply(n.cfg.ID, d.msg.Body.(VoteReply))
		default:
			n.effects = append(n.effects, Send{Message: d.msg})
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
	n.apply()
}

// sendAfter sends a message once the write seq is durable.
func (n *Node) sendAfter(seq Seq, to ident.HostID, b Body) {
	m := Message{
		From: n.cfg.ID,
		To:   to,
		Term: n.hardState.Term,
		Body: b,
	}
	if seq <= n.syncedSeq {
		n.effects = append(n.effects, Send{Message: m})
		return
	}
	n.deferred = append(n.deferred, deferredMessage{
		seq: seq,
		msg: m,
	})
}

func (n *Node) send(to ident.HostID, b Body) { n.sendAfter(0, to, b) }

func (n *Node) reply(id ProposalID, kind ReplyKind, reason string) {
	n.effects = append(n.effects, Reply{
		Proposal: id,
		Kind:     kind,
		Leader:   n.leader,
		Reason:   reason,
	})
}

// apply passes entries that are committed and durable here to the state machine.
func (n *Node) apply() {
	for n.applied < min(n.commit, n.syncedIndex) {
		n.applied++
		e := n.log.at(n.applied)
		id := n.takePending(e)
		n.effects = append(n.effects, Apply{
			Entry:    e,
			Proposal: id,
		})
		if id != 0 && e.Kind == Membership {
			n.reply(id, Committed, "")
		}
	}
}

// refreshMembers derives the member list from the log after the log has changed.
func (n *Node) refreshMembers() {
	n.members, n.membersIndex = n.log.members(n.log.lastIndex())
	if n.role == Leader {
		n.leadership.trackMembers(n.members, n.log.lastIndex()+1)
	}
}

func (n *Node) isVoter(id ident.HostID) bool {
	m, ok := findMember(n.members, id)
	return ok && m.Voter
}

func (n *Node) quorumSize() int { return countVoters(n.members)/2 + 1 }
