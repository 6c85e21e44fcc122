package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// incomingSnapshot collects the chunks of a snapshot that a follower receives from
// one member: another one, of another release, may encode the same state differently.
type incomingSnapshot struct {
	from  ident.HostID
	index Index
	term  Term
	data  []byte
}

// sendChunk sends the next chunk, unless an earlier one awaits its reply. Each
// heartbeat clears that wait, so that a lost chunk is sent again.
func (n *Node) sendChunk(p *peer) {
	if p.awaitingReply {
		return
	}
	p.awaitingReply = true
	end := min(p.snapshotOffset+n.cfg.ChunkBytes, len(p.snapshot.Data))
	n.send(p.id, SnapshotRequest{
		Meta:   p.snapshot.Meta,
		Offset: p.snapshotOffset,
		Total:  len(p.snapshot.Data),
		Chunk:  p.snapshot.Data[p.snapshotOffset:end],
		Sent:   n.now,
	})
}

func (n *Node) onSnapshot(from ident.HostID, s SnapshotRequest) {
	if t, ok := n.log.term(s.Meta.Index); s.Meta.Index <= n.commit || ok && t == s.Meta.Term {
		// The log already contains the snapshot's entries; all that is new is
		// that they are committed.
		n.incoming = incomingSnapshot{}
		n.commit = max(n.commit, s.Meta.Index)
		n.apply()
		n.ackSnapshot(from, s)
		return
	}
	incoming := &n.incoming
	if incoming.from != from || incoming.index != s.Meta.Index || incoming.term != s.Meta.Term {
		*incoming = incomingSnapshot{
			from:  from,
			index: s.Meta.Index,
			term:  s.Meta.Term,
		}
	}
	if s.Offset == len(incoming.data) {
		incoming.data = append(incoming.data, s.Chunk...)
	}
	if len(incoming.data) < s.Total {
		n.sendAfter(n.hardStateSeq, from, SnapshotReply{
			Index: s.Meta.Index,
			Next:  len(incoming.data),
			Sent:  s.Sent,
		})
		return
	}
	n.installSnapshot(Snapshot{
		Meta: s.Meta,
		Data: incoming.data,
	})
	n.ackSnapshot(from, s)
}

// ackSnapshot confirms the snapshot's index once it is durable.
func (n *Node) ackSnapshot(from ident.HostID, s SnapshotRequest) {
	seq := n.hardStateSeq
	if s.Meta.Index > n.syncedIndex {
		seq = n.lastSeq
	}
	n.sendAfter(seq, from, AppendReply{
		OK:    true,
		Match: s.Meta.Index,
		Sent:  s.Sent,
	})
}

// installSnapshot replaces the log and the state machine by s. Pending writes of
// replaced entries no longer count as durable.
func (n *Node) installSnapshot(s Snapshot) {
	n.incoming = incomingSnapshot{}
	n.snapshot = s
	n.log = newMemoryLog(s.Meta, nil)
	n.commit, n.applied = s.Meta.Index, s.Meta.Index
	n.refreshMembers()
	for i := range n.writes {
		n.writes[i].lastIndex = 0
	}
	n.syncedIndex = 0
	n.lastSeq++
	n.writes = append(n.writes, pendingWrite{
		seq:       n.lastSeq,
		lastIndex: s.Meta.Index,
	})
	n.effects = append(n.effects, SaveSnapshot{
		Seq:      n.lastSeq,
		Hard:     n.hardState,
		Snapshot: s,
	}, Restore{Snapshot: s})
}

func (n *Node) onSnapshotReply(from ident.HostID, r SnapshotReply) {
	p := n.leadership.peer(from)
	if n.role != Leader || p == nil {
		return
	}
	p.ackedSendTime = max(p.ackedSendTime, r.Sent)
	if p.phase != installing || r.Index != p.snapshot.Meta.Index || r.Next > len(p.snapshot.Data) || r.Next == p.snapshotOffset {
		return
	}
	p.snapshotOffset = r.Next
	p.awaitingReply = false
	n.sendChunk(p)
}

// compact discards the log before a durable snapshot, except for the last
// entries, which followers that lag a little still need.
func (n *Node) compact(s Snapshot) {
	if s.Meta.Index <= n.snapshot.Meta.Index || s.Meta.Index > n.applied {
		return
	}
	n.snapshot = s
	if s.Meta.Index > n.log.base+retainedEntries {
		n.log.compactTo(s.Meta.Index - retainedEntries)
	}
}
