package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// Status is the observable state of a node, for operators and for the process
// that runs it.
type Status struct {
	ID       ident.HostID
	Role     Role
	Term     Term
	Leader   ident.HostID
	Last     Index
	Commit   Index
	Applied  Index
	Snapshot Index
	Lease    bool
	Failed   bool
	Members  []Member
	// MembersAt is the entry that set Members, or the last one that the log leaves out.
	MembersAt Position
	// Peers is filled on the leader only.
	Peers []PeerStatus
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID ident.HostID
	// Match is the last index that is known to be durable on that member.
	Match Index
	// Reached reports that it answered a message sent within the last election
	// timeout.
	Reached bool
	// Installing reports that a snapshot is being sent.
	Installing bool
}

// Status returns the state of the node at now.
func (n *Node) Status(now ident.Instant) Status {
	s := Status{
		ID:        n.cfg.ID,
		Role:      n.role,
		Term:      n.hardState.Term,
		Leader:    n.leader,
		Last:      n.log.lastIndex(),
		Commit:    n.commit,
		Applied:   n.applied,
		Snapshot:  n.snapshot.Meta.Index,
		Lease:     n.Lease(now),
		Failed:    n.diskFailed,
		Members:   n.members,
		MembersAt: n.membersAt(),
	}
	for _, p := range n.leadership.peers {
		if p.id == n.cfg.ID {
			continue
		}
		s.Peers = append(s.Peers, PeerStatus{
			ID:         p.id,
			Match:      p.match,
			Reached:    now < p.ackedSendTime.Add(n.cfg.ElectionTimeout),
			Installing: p.phase == installing,
		})
	}
	return s
}

func (n *Node) membersAt() Position {
	t, _ := n.log.term(n.membersIndex)
	return Position{
		Index: n.membersIndex,
		Term:  t,
	}
}

// Meta returns the log position of the applied state, for a snapshot of it.
func (n *Node) Meta() Meta {
	t, _ := n.log.term(n.applied)
	members, _ := n.log.members(n.applied)
	return Meta{
		Index:   n.applied,
		Term:    t,
		Members: members,
	}
}

// Members returns the latest member list in this node's log, committed or not.
func (n *Node) Members() []Member { return n.members }

// Applied returns the index of the last entry covered by Apply or Restore
// effects.
func (n *Node) Applied() Index { return n.applied }

// SnapshotIndex returns the index of the last entry that the latest snapshot
// covers.
func (n *Node) SnapshotIndex() Index { return n.snapshot.Meta.Index }
