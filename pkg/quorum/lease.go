package quorum

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

func (n *Node) leaseDuration() time.Duration { return n.cfg.ElectionTimeout * leasePercent / 100 }

// majorityAckedAt returns the latest time t at which a majority of voters still
// followed this leader: each has answered a message sent at t or later. A member
// that answers a message sent at t refuses other candidates until at least t
// plus the election timeout.
func (n *Node) majorityAckedAt() ident.Instant {
	var ackedSendTimes []ident.Instant
	for _, m := range n.members {
		switch {
		case !m.Voter:
		case m.ID == n.cfg.ID:
			ackedSendTimes = append(ackedSendTimes, n.now)
		default:
			ackedSendTimes = append(ackedSendTimes, n.leadership.peer(m.ID).ackedSendTime)
		}
	}
	if len(ackedSendTimes) == 0 {
		return minInstant
	}
	slices.Sort(ackedSendTimes)
	return ackedSendTimes[len(ackedSendTimes)-n.quorumSize()]
}

// lastMajorityContact returns majorityAckedAt or the time of the election,
// whichever is later.
func (n *Node) lastMajorityContact() ident.Instant {
	return max(n.majorityAckedAt(), n.leadership.electedAt)
}

// Lease reports whether the applied state is current at now, so that it can be
// read without a round trip: this member leads, no other can have been elected,
// and everything committed in earlier terms has been applied.
func (n *Node) Lease(now ident.Instant) bool {
	return n.role == Leader && !n.diskFailed && !n.leadership.transfer.active &&
		n.applied >= n.leadership.firstIndex && now < n.majorityAckedAt().Add(n.leaseDuration())
}

// transferState is the progress of a leadership transfer.
type transferState struct {
	active         bool
	target         ident.HostID
	deadline       ident.Instant
	timeoutNowSent bool
}

// startTransfer refuses new proposals and chooses the reachable voter with the
// longest matching log as the next leader. The lease is given up for the rest of
// the term, since TimeoutNow may arrive late and start an election at any time.
func (n *Node) startTransfer() {
	if n.role != Leader || n.leadership.transfer.active {
		return
	}
	var target *peer
	for _, m := range n.members {
		p := n.leadership.peer(m.ID)
		if !m.Voter || m.ID == n.cfg.ID || !n.reachable(p) {
			continue
		}
		if target == nil || p.match > target.match {
			target = p
		}
	}
	if target == nil {
		return
	}
	n.leadership.transfer = transferState{
		active:   true,
		target:   target.id,
		deadline: n.now.Add(n.cfg.ElectionTimeout),
	}
	n.continueTransfer()
}

// continueTransfer sends TimeoutNow once the target has the complete log.
func (n *Node) continueTransfer() {
	t := &n.leadership.transfer
	if !t.active || t.timeoutNowSent || n.leadership.peer(t.target).match != n.log.lastIndex() {
		return
	}
	t.timeoutNowSent = true
	n.send(t.target, TimeoutNow{})
}

func (n *Node) transferExpired() bool {
	return n.leadership.transfer.active && n.now >= n.leadership.transfer.deadline
}

// reachable reports whether the member answered a message that was sent within
// the last election timeout.
func (n *Node) reachable(p *peer) bool {
	return n.now < p.ackedSendTime.Add(n.cfg.ElectionTimeout)
}
