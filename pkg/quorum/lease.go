package quorum

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

func (n *Node) leaseDuration() time.Duration { return n.cfg.ElectionTimeout * leasePercent / 100 }

// confirmed returns the latest time at which a majority still followed this
// leader. A member that answers a message sent at t refuses other candidates
// until at least t plus the election timeout.
func (n *Node) confirmed() ident.Instant {
	var acked []ident.Instant
	for _, m := range n.members {
		switch {
		case !m.Voter:
		case m.ID == n.cfg.ID:
			acked = append(acked, n.now)
		default:
			acked = append(acked, n.lead.peer(m.ID).acked)
		}
	}
	if len(acked) == 0 {
		return never
	}
	slices.Sort(acked)
	return acked[len(acked)-n.quorum()]
}

// contact is confirmed, or the election if that is later.
func (n *Node) contact() ident.Instant { return max(n.confirmed(), n.lead.electedAt) }

// Lease reports whether the applied state is current at now: this member
// leads, no other can have been elected, and everything committed in earlier
// terms has been applied.
func (n *Node) Lease(now ident.Instant) bool {
	return n.role == Leader && !n.failed && !n.lead.transfer.active &&
		n.applied >= n.lead.first && now < n.confirmed().Add(n.leaseDuration())
}

type transferState struct {
	active bool
	target ident.HostID
	until  ident.Instant
	sent   bool
}

// transfer stops new proposals and lets the most advanced voter take over.
// The lease is given up for the rest of the term, since the request for the
// election may arrive late.
func (n *Node) transfer() {
	if n.role != Leader || n.lead.transfer.active {
		return
	}
	var best *peer
	for _, m := range n.members {
		p := n.lead.peer(m.ID)
		if !m.Voter || m.ID == n.cfg.ID || !n.recent(p) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	if best == nil {
		return
	}
	n.lead.transfer = transferState{
		active: true,
		target: best.id,
		until:  n.now.Add(n.cfg.ElectionTimeout),
	}
	n.continueTransfer()
}

func (n *Node) continueTransfer() {
	t := &n.lead.transfer
	if !t.active || t.sent || n.lead.peer(t.target).match != n.log.last() {
		return
	}
	t.sent = true
	n.send(t.target, TimeoutNow{})
}

func (n *Node) transferExpired() bool {
	return n.lead.transfer.active && n.now >= n.lead.transfer.until
}

// recent reports whether the member answered within the election timeout.
func (n *Node) recent(p *peer) bool {
	return n.now < p.acked.Add(n.cfg.ElectionTimeout)
}
