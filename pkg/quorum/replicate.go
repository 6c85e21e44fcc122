package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// broadcast sends each member the entries that it lacks. With heartbeat set, a
// member that lacks none gets an empty AppendRequest.
func (n *Node) broadcast(heartbeat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.leadership.peers {
		if p.id != n.cfg.ID {
			n.sendAppend(p, heartbeat)
		}
	}
}

func (n *Node) sendAppend(p *peer, heartbeat bool) {
	prevTerm, known := n.log.term(p.next - 1)
	if p.phase != installing && !known {
		snapshot := n.snapshot
		p.phase, p.snapshot, p.snapshotOffset, p.awaitingReply = installing, &snapshot, 0, false
	}
	if p.phase == installing {
		n.sendChunk(p)
		return
	}
	var es []Entry
	switch {
	case p.phase == probing && !p.awaitingReply:
		es = n.log.batch(p.next, n.cfg.BatchBytes)
		p.awaitingReply = len(es) > 0
	case p.phase == replicating && p.next-p.match <= maxInFlightEntries:
		es = n.log.batch(p.next, n.cfg.BatchBytes)
	}
	if len(es) == 0 && !heartbeat {
		return
	}
	n.send(p.id, AppendRequest{
		PrevIndex: p.next - 1,
		PrevTerm:  prevTerm,
		Entries:   es,
		Commit:    n.commit,
		Sent:      n.now,
	})
	if p.phase == replicating {
		p.next += Index(len(es))
	}
}

// onAppend stores entries that follow a matching one. The reply waits until they
// are durable; a heartbeat is answered with what is durable already.
func (n *Node) onAppend(from ident.HostID, a AppendRequest) {
	if a.PrevIndex < n.commit {
		// Committed entries match the leader's.
		skip := min(n.commit-a.PrevIndex, Index(len(a.Entries)))
		a.Entries = a.Entries[skip:]
		a.PrevIndex, a.PrevTerm = n.commit, 0
	} else if t, ok := n.log.term(a.PrevIndex); !ok || t != a.PrevTerm {
		n.sendAfter(n.hardStateSeq, from, AppendReply{
			Prev: a.PrevIndex,
			Hint: n.conflictHint(a.PrevIndex),
			Sent: a.Sent,
		})
		return
	}
	match := a.PrevIndex + Index(len(a.Entries))
	for i, e := range a.Entries {
		if t, ok := n.log.term(e.Index); !ok || t != e.Term {
			n.appendEntries(a.Entries[i:])
			break
		}
	}
	n.commit = max(n.commit, min(a.Commit, match))
	n.apply()
	seq := n.hardStateSeq
	switch {
	case len(a.Entries) == 0:
		match = min(match, n.syncedIndex)
	case match > n.syncedIndex:
		seq = n.lastSeq
	}
	n.sendAfter(seq, from, AppendReply{
		OK:    true,
		Match: match,
		Sent:  a.Sent,
	})
}

// conflictHint returns the last index at which this log may match one that has
// another term at prev. It skips all entries of the conflicting term, so that
// the leader finds the match with fewer probes.
func (n *Node) conflictHint(prev Index) Index {
	if prev > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	t, _ := n.log.term(prev)
	i := prev
	for i > n.commit && i > n.log.base {
		if ti, _ := n.log.term(i); ti != t {
			break
		}
		i--
	}
	return i
}

func (n *Node) onAppendReply(from ident.HostID, r AppendReply) {
	p := n.leadership.peer(from)
	if n.role != Leader || p == nil {
		return
	}
	p.ackedSendTime = max(p.ackedSendTime, r.Sent)
	if !r.OK {
		n.onAppendRejected(p, r)
		return
	}
	if r.Match > p.match {
		p.match, p.matchedAt = r.Match, n.now
	}
	p.next = max(p.next, p.match+1)
	if p.phase == probing || p.phase == installing && r.Match >= p.snapshot.Meta.Index {
		p.phase = replicating
		p.awaitingReply = false
		p.snapshot = nil
	}
	n.advanceCommit()
	if n.role != Leader {
		return
	}
	n.continueMemberChanges()
	n.continueTransfer()
	if p.phase == replicating {
		n.sendAppend(p, false)
	}
}

// onAppendRejected returns to probing, from the follower's hint on. It ignores
// late replies to requests that are no longer relevant. A follower that lacks what it had
// confirmed before the request was sent was restored from an older copy of its data: it
// gets all of it again, instead of staying behind for as long as this member leads.
func (n *Node) onAppendRejected(p *peer, r AppendReply) {
	if r.Hint < p.match && r.Sent > p.matchedAt && p.phase != installing {
		p.match = r.Hint
		p.phase, p.next, p.awaitingReply = probing, r.Hint+1, false
		n.sendAppend(p, false)
		return
	}
	if r.Prev <= p.match || p.phase == installing || p.phase == probing && r.Prev != p.next-1 {
		return
	}
	p.phase = probing
	p.awaitingReply = false
	p.next = max(p.match+1, min(r.Hint+1, p.next))
	n.sendAppend(p, true)
}
