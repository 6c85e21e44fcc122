package quorum

import (
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Node is one member's state. Use it from one goroutine.
type Node struct {
	cfg  Config
	rand *rand.Rand
	now  ident.Instant

	role   Role
	hard   HardState
	leader ident.HostID
	failed bool

	log      entries
	snapshot Snapshot
	commit   Index
	applied  Index
	// members is the list of the last Membership entry, committed or not, at
	// membersIndex.
	members      []Member
	membersIndex Index

	// synced is the last index known durable here.
	synced  Index
	nextSeq Seq
	doneSeq Seq
	hardSeq Seq
	writes  []write
	held    []heldMessage

	lastHeard ident.Instant
	electAt   ident.Instant
	votes     map[ident.HostID]bool
	incoming  incomingSnapshot

	lead leadership

	effects []Effect
}

// write is a disk write that is not yet reported durable.
type write struct {
	seq  Seq
	last Index
}

// heldMessage waits for a disk write.
type heldMessage struct {
	seq Seq
	msg Message
}

// New returns the node of a process that starts at now with what its disk holds.
func New(cfg Config, stored Stored, now ident.Instant) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:      cfg,
		rand:     rand.New(rand.NewPCG(cfg.Seed, uint64(stored.Hard.Term))),
		now:      now,
		hard:     stored.Hard,
		snapshot: stored.Snapshot,
		log:      newEntries(stored.Snapshot.Meta, stored.Entries),
		commit:   stored.Snapshot.Meta.Index,
		applied:  stored.Snapshot.Meta.Index,
		// A vote granted just after a restart could end a lease that this
		// member confirmed before it, so a restart counts as a heartbeat.
		lastHeard: now,
	}
	if t := n.log.lastTerm(); t > n.hard.Term {
		n.hard = HardState{Term: t}
	}
	n.synced = n.log.last()
	n.findMembers()
	n.resetElection()
	if n.mayLeadAtOnce() {
		n.electAt = now
	}
	return n, nil
}

// mayLeadAtOnce reports whether no other member can hold a lease: the only
// voter of a new group, or of a term in which it voted for itself.
func (n *Node) mayLeadAtOnce() bool {
	fresh := n.hard.Term <= 1 && n.hard.Vote == "" && n.log.last() <= 1
	return n.isVoter(n.cfg.ID) && countVoters(n.members) == 1 && (fresh || n.hard.Vote == n.cfg.ID)
}

// Step takes one event and returns the effects to carry out, in order.
func (n *Node) Step(ev Event) []Effect {
	n.effects = nil
	if n.failed {
		return n.refuseAfterFailure(ev)
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
		n.becomeFollower(n.hard.Term, "")
		n.failed = true
		n.held = nil
	case Propose:
		n.now = ev.Now
		n.propose(ev.Proposals)
	case ChangeMember:
		n.now = ev.Now
		n.changeMember(ev)
	case Transfer:
		n.now = ev.Now
		n.transfer()
	case Compacted:
		n.now = ev.Now
		n.compact(ev.Snapshot)
	}
	return n.effects
}

func (n *Node) refuseAfterFailure(ev Event) []Effect {
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
	if n.now >= n.electAt && n.mayCampaign() {
		n.campaignPre()
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
	if m.Term < n.hard.Term {
		n.receiveOld(m)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	switch b := m.Body.(type) {
	case VoteRequest:
	case VoteReply:
		n.onVoteReply(m.From, b)
	case AppendRequest:
		n.heardLeader(m.From)
		n.onAppend(m.From, b)
	case AppendReply:
		n.onAppendReply(m.From, b)
	case SnapshotRequest:
		n.heardLeader(m.From)
		n.onSnapshot(m.From, b)
	case SnapshotReply:
		n.onSnapshotReply(m.From, b)
	case TimeoutNow:
		if n.role != Leader && n.mayCampaign() {
			n.campaign(true)
		}
	}
}

// receiveOld handles a message of an older term: a leader of that term is
// told about this one, and a voter may grant a pre-vote from behind.
func (n *Node) receiveOld(m Message) {
	switch b := m.Body.(type) {
	case AppendRequest:
		n.sendAfter(n.hardSeq, m.From, AppendReply{
			Prev: b.PrevIndex,
			Sent: never,
		})
	case SnapshotRequest:
		n.sendAfter(n.hardSeq, m.From, AppendReply{
			Prev: b.Meta.Index,
			Sent: never,
		})
	case VoteReply:
		n.onVoteReply(m.From, b)
	case VoteRequest, AppendReply, SnapshotReply, TimeoutNow:
	}
}

func (n *Node) heardLeader(from ident.HostID) {
	if n.role != Follower {
		n.becomeFollower(n.hard.Term, from)
	}
	n.leader = from
	n.lastHeard = n.now
	n.resetElection()
}

func (n *Node) becomeFollower(term Term, leader ident.HostID) {
	if n.role == Leader {
		n.endLead()
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.writeHard()
	}
	n.resetElection()
}

func (n *Node) resetElection() {
	d := n.cfg.ElectionTimeout
	n.electAt = n.now.Add(d + time.Duration(n.rand.Int64N(int64(d))))
}

// writeHard asks the disk for a changed hard state.
func (n *Node) writeHard() {
	n.write(nil)
	n.hardSeq = n.nextSeq
}

// write asks the disk for the current hard state and the given entries.
func (n *Node) write(es []Entry) {
	n.nextSeq++
	n.writes = append(n.writes, write{
		seq:  n.nextSeq,
		last: n.log.last(),
	})
	n.effects = append(n.effects, Append{
		Seq:     n.nextSeq,
		Hard:    n.hard,
		Entries: es,
	})
}

// put stores entries in the log and asks for them to be written. Pending
// writes of entries that are replaced no longer count.
func (n *Node) put(es []Entry) {
	before := es[0].Index - 1
	if before < n.log.last() {
		n.synced = min(n.synced, before)
		for i := range n.writes {
			n.writes[i].last = min(n.writes[i].last, before)
		}
	}
	n.log.put(es)
	n.findMembers()
	n.write(es)
}

func (n *Node) onSynced(seq Seq) {
	for len(n.writes) > 0 && n.writes[0].seq <= seq {
		n.synced = max(n.synced, n.writes[0].last)
		n.writes = n.writes[1:]
	}
	n.doneSeq = max(n.doneSeq, seq)
	held := n.held
	n.held = nil
	for _, h := range held {
		switch {
		case h.seq > seq:
			n.held = append(n.held, h)
		case h.msg.To == n.cfg.ID:
			n.onVoteReply(n.cfg.ID, h.msg.Body.(VoteReply))
		default:
			n.effects = append(n.effects, Send{Message: h.msg})
		}
	}
	if n.role == Leader {
		n.advance()
	}
	n.apply()
}

// sendAfter sends a message once the write seq is durable.
func (n *Node) sendAfter(seq Seq, to ident.HostID, b Body) {
	m := Message{
		From: n.cfg.ID,
		To:   to,
		Term: n.hard.Term,
		Body: b,
	}
	if seq <= n.doneSeq {
		n.effects = append(n.effects, Send{Message: m})
		return
	}
	n.held = append(n.held, heldMessage{
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

// apply hands over entries that are committed and durable here.
func (n *Node) apply() {
	for n.applied < min(n.commit, n.synced) {
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

func (n *Node) findMembers() {
	n.members, n.membersIndex = n.log.members(n.log.last())
	if n.role == Leader {
		n.lead.track(n.members, n.log.last()+1)
	}
}

func (n *Node) isVoter(id ident.HostID) bool {
	m, ok := findMember(n.members, id)
	return ok && m.Voter
}

func (n *Node) quorum() int { return countVoters(n.members)/2 + 1 }
