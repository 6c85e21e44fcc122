package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// broadcast sends each member what it lacks. With beat set, a member that
// lacks nothing gets a heartbeat.
func (n *Node) broadcast(beat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.lead.peers {
		if p.id != n.cfg.ID {
			n.sendAppend(p, beat)
		}
	}
}

func (n *Node) sendAppend(p *peer, beat bool) {
	prevTerm, known := n.log.term(p.next - 1)
	if p.phase != installing && !known {
		snap := n.snapshot
		p.phase, p.snap, p.offset, p.waiting = installing, &snap, 0, false
	}
	if p.phase == installing {
		n.sendChunk(p)
		return
	}
	var es []Entry
	switch {
	case p.phase == probing && !p.waiting:
		es = n.log.slice(p.next, n.cfg.BatchBytes)
		p.waiting = len(es) > 0
	case p.phase == replicating && p.next-p.match <= maxInFlight:
		es = n.log.slice(p.next, n.cfg.BatchBytes)
	}
	if len(es) == 0 && !beat {
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

// onAppend stores entries that follow a known one. The reply waits until
// they are durable; a heartbeat is answered at once with what is durable.
func (n *Node) onAppend(from ident.HostID, a AppendRequest) {
	if a.PrevIndex < n.commit {
		// Entries up to commit agree with the leader's already.
		skip := min(n.commit-a.PrevIndex, Index(len(a.Entries)))
		a.Entries = a.Entries[skip:]
		a.PrevIndex, a.PrevTerm = n.commit, 0
	} else if t, ok := n.log.term(a.PrevIndex); !ok || t != a.PrevTerm {
		n.sendAfter(n.hardSeq, from, AppendReply{
			Prev: a.PrevIndex,
			Hint: n.hint(a.PrevIndex),
			Sent: a.Sent,
		})
		return
	}
	match := a.PrevIndex + Index(len(a.Entries))
	for i, e := range a.Entries {
		if t, ok := n.log.term(e.Index); !ok || t != e.Term {
			n.put(a.Entries[i:])
			break
		}
	}
	n.commit = max(n.commit, min(a.Commit, match))
	n.apply()
	seq := n.hardSeq
	switch {
	case len(a.Entries) == 0:
		match = min(match, n.synced)
	case match > n.synced:
		seq = n.nextSeq
	}
	n.sendAfter(seq, from, AppendReply{
		OK:    true,
		Match: match,
		Sent:  a.Sent,
	})
}

// hint returns the last index at which this log may agree with one that has
// another term at prev. It skips the whole conflicting term.
func (n *Node) hint(prev Index) Index {
	if prev > n.log.last() {
		return n.log.last()
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
	p := n.lead.peer(from)
	if n.role != Leader || p == nil {
		return
	}
	p.acked = max(p.acked, r.Sent)
	if !r.OK {
		n.onRefused(p, r)
		return
	}
	if r.Match > p.match {
		p.match = r.Match
	}
	p.next = max(p.next, p.match+1)
	if p.phase == probing || p.phase == installing && r.Match >= p.snap.Meta.Index {
		p.phase = replicating
		p.waiting = false
		p.snap = nil
	}
	n.advance()
	if n.role != Leader {
		return
	}
	n.promote()
	n.continueTransfer()
	if p.phase == replicating {
		n.sendAppend(p, false)
	}
}

func (n *Node) onRefused(p *peer, r AppendReply) {
	if r.Prev <= p.match || p.phase == installing || p.phase == probing && r.Prev != p.next-1 {
		return
	}
	p.phase = probing
	p.waiting = false
	p.next = max(p.match+1, min(r.Hint+1, p.next))
	n.sendAppend(p, true)
}
