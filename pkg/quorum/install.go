package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	index Index
	term  Term
	data  []byte
}

// sendChunk sends the next chunk unless one is unanswered since the last heartbeat.
func (n *Node) sendChunk(p *peer) {
	if p.waiting {
		return
	}
	p.waiting = true
	end := min(p.offset+n.cfg.ChunkBytes, len(p.snap.Data))
	n.send(p.id, SnapshotRequest{
		Meta:   p.snap.Meta,
		Offset: p.offset,
		Total:  len(p.snap.Data),
		Chunk:  p.snap.Data[p.offset:end],
		Sent:   n.now,
	})
}

func (n *Node) onSnapshot(from ident.HostID, s SnapshotRequest) {
	if t, ok := n.log.term(s.Meta.Index); s.Meta.Index <= n.commit || ok && t == s.Meta.Term {
		// The log holds all of it, so the snapshot only proves the commit.
		n.incoming = incomingSnapshot{}
		n.commit = max(n.commit, s.Meta.Index)
		n.apply()
		n.ackSnapshot(from, s)
		return
	}
	in := &n.incoming
	if in.index != s.Meta.Index || in.term != s.Meta.Term {
		*in = incomingSnapshot{
			index: s.Meta.Index,
			term:  s.Meta.Term,
		}
	}
	if s.Offset == len(in.data) {
		in.data = append(in.data, s.Chunk...)
	}
	if len(in.data) < s.Total {
		n.sendAfter(n.hardSeq, from, SnapshotReply{
			Index: s.Meta.Index,
			Next:  len(in.data),
			Sent:  s.Sent,
		})
		return
	}
	n.install(Snapshot{
		Meta: s.Meta,
		Data: in.data,
	})
	n.ackSnapshot(from, s)
}

func (n *Node) ackSnapshot(from ident.HostID, s SnapshotRequest) {
	seq := n.hardSeq
	if s.Meta.Index > n.synced {
		seq = n.nextSeq
	}
	n.sendAfter(seq, from, AppendReply{
		OK:    true,
		Match: s.Meta.Index,
		Sent:  s.Sent,
	})
}

// install replaces the log and the state machine.
func (n *Node) install(s Snapshot) {
	n.incoming = incomingSnapshot{}
	n.snapshot = s
	n.log = newEntries(s.Meta, nil)
	n.commit, n.applied = s.Meta.Index, s.Meta.Index
	n.findMembers()
	for i := range n.writes {
		n.writes[i].last = 0
	}
	n.synced = 0
	n.nextSeq++
	n.writes = append(n.writes, write{
		seq:  n.nextSeq,
		last: s.Meta.Index,
	})
	n.effects = append(n.effects, SaveSnapshot{
		Seq:      n.nextSeq,
		Hard:     n.hard,
		Snapshot: s,
	}, Restore{Snapshot: s})
}

func (n *Node) onSnapshotReply(from ident.HostID, r SnapshotReply) {
	p := n.lead.peer(from)
	if n.role != Leader || p == nil {
		return
	}
	p.acked = max(p.acked, r.Sent)
	if p.phase != installing || r.Index != p.snap.Meta.Index || r.Next > len(p.snap.Data) || r.Next == p.offset {
		return
	}
	p.offset = r.Next
	p.waiting = false
	n.sendChunk(p)
}

// compact drops the log behind a durable snapshot, except for a few entries
// that members a little behind still need.
func (n *Node) compact(s Snapshot) {
	if s.Meta.Index <= n.snapshot.Meta.Index || s.Meta.Index > n.applied {
		return
	}
	n.snapshot = s
	if s.Meta.Index > n.log.base+keptEntries {
		n.log.drop(s.Meta.Index - keptEntries)
	}
}
