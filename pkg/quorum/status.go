package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// Status is a view of a node for operators and for the process around it.
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
	// Peers is filled on the leader only.
	Peers []PeerStatus
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID ident.HostID
	// Match is the last index known durable there.
	Match Index
	// Reached reports an answer within the election timeout.
	Reached bool
	// Installing reports that a snapshot is being sent.
	Installing bool
}

// Status returns the current view at now.
func (n *Node) Status(now ident.Instant) Status {
	s := Status{
		ID:       n.cfg.ID,
		Role:     n.role,
		Term:     n.hard.Term,
		Leader:   n.leader,
		Last:     n.log.last(),
		Commit:   n.commit,
		Applied:  n.applied,
		Snapshot: n.snapshot.Meta.Index,
		Lease:    n.Lease(now),
		Failed:   n.failed,
		Members:  n.members,
	}
	for _, p := range n.lead.peers {
		if p.id == n.cfg.ID {
			continue
		}
		s.Peers = append(s.Peers, PeerStatus{
			ID:         p.id,
			Match:      p.match,
			Reached:    now < p.acked.Add(n.cfg.ElectionTimeout),
			Installing: p.phase == installing,
		})
	}
	return s
}

// Meta describes the applied state, for a snapshot taken now.
func (n *Node) Meta() Meta {
	t, _ := n.log.term(n.applied)
	members, _ := n.log.members(n.applied)
	return Meta{
		Index:   n.applied,
		Term:    t,
		Members: members,
	}
}

// Members returns the member list in effect here, committed or not.
func (n *Node) Members() []Member { return n.members }

// Applied returns the index of the last entry handed over by Apply or Restore.
func (n *Node) Applied() Index { return n.applied }

// SnapshotIndex returns the index of the last snapshot.
func (n *Node) SnapshotIndex() Index { return n.snapshot.Meta.Index }
