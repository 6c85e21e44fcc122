package quorum

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// changeMember starts one change of the member list. A change must be committed
// before the next one starts, so that majorities of consecutive lists overlap.
func (n *Node) changeMember(ev ChangeMember) {
	reason := n.proposalRefusal()
	if reason == "" {
		reason = n.memberChangeRefusal()
	}
	if reason != "" {
		n.reply(ev.ID, NotRun, reason)
		return
	}
	next, reason := n.membersAfter(ev.Change)
	if ev.After != nil && *ev.After != n.membersAt() {
		reason = "the members have changed since: list them with the status command and send it again if it is still wanted"
	}
	if reason != "" {
		n.effects = append(n.effects, Reply{
			Proposal: ev.ID,
			Kind:     NotRun,
			Leader:   n.leader,
			Reason:   reason,
			Invalid:  true,
		})
		return
	}
	if reason = n.majorityRefusal(next); reason != "" {
		n.reply(ev.ID, NotRun, reason)
		return
	}
	n.leadership.pending = append(n.leadership.pending, pendingProposal{
		index: n.log.lastIndex() + 1,
		id:    ev.ID,
	})
	n.appendMembership(next)
}

// memberChangeRefusal returns the reason why no member change can start now, or
// an empty string.
func (n *Node) memberChangeRefusal() string {
	if n.commit < n.leadership.firstIndex || n.membersIndex > n.commit {
		return "another change of the members or a new leader is being committed: send it again in a moment"
	}
	return ""
}

// membersAfter returns the member list after c, or the reason why c is invalid.
func (n *Node) membersAfter(c MemberChange) (next []Member, reason string) {
	switch c := c.(type) {
	case AddMember:
		return n.membersWith(c.Member)
	case RemoveMember:
		if _, ok := findMember(n.members, c.ID); !ok {
			return nil, "member " + string(c.ID) + " does not exist: list the members with the status command"
		}
		next = membersWithout(n.members, c.ID)
		if countVoters(next) == 0 {
			return nil, "member " + string(c.ID) + " is the only voter: add another member first"
		}
		return next, ""
	}
	return nil, "this kind of member change is not known: update this host"
}

// membersWith adds m as a learner. If m is already a member, it keeps its vote
// and gets the new address.
func (n *Node) membersWith(m Member) (next []Member, reason string) {
	if m.ID == "" || m.Address == "" {
		return nil, "a member needs an ID and an Address"
	}
	if _, ok := findMember(n.members, m.Replaces); !ok && m.Replaces != "" {
		return nil, "member " + string(m.Replaces) + " does not exist: list the members with the status command"
	}
	if m.Replaces == m.ID {
		return nil, "member " + string(m.ID) + " cannot replace itself"
	}
	old, ok := findMember(n.members, m.ID)
	m.Voter = ok && old.Voter
	next = append(membersWithout(n.members, m.ID), m)
	sortMembers(next)
	return next, ""
}

func membersWithout(members []Member, id ident.HostID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

// majorityRefusal returns the reason for refusing the list next if a majority of
// its voters is not reachable now, since the change could not be committed. Else
// it returns an empty string.
func (n *Node) majorityRefusal(next []Member) string {
	reached := 0
	for _, m := range next {
		if p := n.leadership.peer(m.ID); m.Voter && (m.ID == n.cfg.ID || p != nil && n.reachable(p)) {
			reached++
		}
	}
	if reached <= countVoters(next)/2 {
		return "the voters in reach would be no majority after this change: bring members back or remove dead ones first"
	}
	return ""
}

func (n *Node) appendMembership(next []Member) {
	n.appendEntries([]Entry{{
		Index:   n.log.lastIndex() + 1,
		Term:    n.hardState.Term,
		Kind:    Membership,
		Members: next,
	}})
	n.broadcast(false)
}

// continueMemberChanges starts the next step of a member change that takes
// several: a learner that has caught up becomes a voter, then the member that it
// replaces is removed.
func (n *Node) continueMemberChanges() {
	if n.proposalRefusal() != "" || n.memberChangeRefusal() != "" {
		return
	}
	for _, m := range n.members {
		var next []Member
		p := n.leadership.peer(m.ID)
		_, replaces := findMember(n.members, m.Replaces)
		switch {
		case !m.Voter && n.reachable(p) && p.match > 0 && p.match+maxLearnerLag > n.log.lastIndex():
			next = slices.Clone(n.members)
			i := slices.IndexFunc(next, func(o Member) bool { return o.ID == m.ID })
			next[i].Voter = true
		case m.Voter && replaces:
			next = membersWithout(n.members, m.Replaces)
			i := slices.IndexFunc(next, func(o Member) bool { return o.ID == m.ID })
			next[i].Replaces = ""
		default:
			continue
		}
		if n.majorityRefusal(next) == "" {
			n.appendMembership(next)
			return
		}
	}
}

// onMembershipCommitted runs when the commit index has advanced. Once the latest
// member list is committed, the leader steps down if it is no longer a voter, or
// else drops the peers of removed members.
func (n *Node) onMembershipCommitted() {
	if n.role != Leader || n.membersIndex > n.commit {
		return
	}
	if !n.isVoter(n.cfg.ID) {
		n.stepDownAfterRemoval()
		return
	}
	n.leadership.peers = slices.DeleteFunc(n.leadership.peers, func(p *peer) bool {
		_, ok := findMember(n.members, p.id)
		return !ok
	})
}

// stepDownAfterRemoval steps down and has a voter with the complete log start an
// election at once.
func (n *Node) stepDownAfterRemoval() {
	for _, m := range n.members {
		if p := n.leadership.peer(m.ID); m.Voter && p.match == n.log.lastIndex() {
			n.send(m.ID, TimeoutNow{})
			break
		}
	}
	n.becomeFollower(n.hardState.Term, "")
}
