package quorum

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// changeMember starts one change of the member list. One change must be
// committed before the next begins, so that the majorities of both lists overlap.
func (n *Node) changeMember(ev ChangeMember) {
	reason := n.refusal()
	if reason == "" {
		reason = n.changeRefusal()
	}
	if reason != "" {
		n.reply(ev.ID, NotRun, reason)
		return
	}
	next, reason := n.changed(ev.Change)
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
	n.lead.pending = append(n.lead.pending, pendingProposal{
		index: n.log.last() + 1,
		id:    ev.ID,
	})
	n.putMembers(next)
}

func (n *Node) changeRefusal() string {
	if n.commit < n.lead.first || n.membersIndex > n.commit {
		return "another change of the members or a new leader is being committed: send it again in a moment"
	}
	return ""
}

func (n *Node) changed(c MemberChange) (next []Member, reason string) {
	switch c := c.(type) {
	case AddMember:
		return n.withMember(c.Member)
	case RemoveMember:
		if _, ok := findMember(n.members, c.ID); !ok {
			return nil, "member " + string(c.ID) + " does not exist: list the members with the status command"
		}
		next = without(n.members, c.ID)
		if countVoters(next) == 0 {
			return nil, "member " + string(c.ID) + " is the only voter: add another member first"
		}
		return next, ""
	}
	return nil, "this kind of member change is not known: update this host"
}

func (n *Node) withMember(m Member) (next []Member, reason string) {
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
	next = append(without(n.members, m.ID), m)
	sortMembers(next)
	return next, ""
}

func without(members []Member, id ident.HostID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

// majorityRefusal refuses a list whose majority is not in reach now, since
// the change could not be committed.
func (n *Node) majorityRefusal(next []Member) string {
	reached := 0
	for _, m := range next {
		if p := n.lead.peer(m.ID); m.Voter && (m.ID == n.cfg.ID || p != nil && n.recent(p)) {
			reached++
		}
	}
	if reached <= countVoters(next)/2 {
		return "the voters in reach would be no majority after this change: bring members back or remove dead ones first"
	}
	return ""
}

func (n *Node) putMembers(next []Member) {
	n.put([]Entry{{
		Index:   n.log.last() + 1,
		Term:    n.hard.Term,
		Kind:    Membership,
		Members: next,
	}})
	n.broadcast(false)
}

// promote carries on with member changes that take several steps: learners
// that have caught up become voters, then replaced members are removed.
func (n *Node) promote() {
	if n.refusal() != "" || n.changeRefusal() != "" {
		return
	}
	for _, m := range n.members {
		var next []Member
		p := n.lead.peer(m.ID)
		_, replaces := findMember(n.members, m.Replaces)
		switch {
		case !m.Voter && n.recent(p) && p.match > 0 && p.match+promoteLag > n.log.last():
			next = slices.Clone(n.members)
			i := slices.IndexFunc(next, func(o Member) bool { return o.ID == m.ID })
			next[i].Voter = true
		case m.Voter && replaces:
			next = without(n.members, m.Replaces)
			i := slices.IndexFunc(next, func(o Member) bool { return o.ID == m.ID })
			next[i].Replaces = ""
		default:
			continue
		}
		if n.majorityRefusal(next) == "" {
			n.putMembers(next)
			return
		}
	}
}

// afterMembersCommit runs when commit has advanced: a leader that has been
// removed hands over, and removed members are forgotten.
func (n *Node) afterMembersCommit() {
	if n.role != Leader || n.membersIndex > n.commit {
		return
	}
	if !n.isVoter(n.cfg.ID) {
		n.leaveLead()
		return
	}
	n.lead.peers = slices.DeleteFunc(n.lead.peers, func(p *peer) bool {
		_, ok := findMember(n.members, p.id)
		return !ok
	})
}

// leaveLead steps down and lets a voter that holds the whole log take over.
func (n *Node) leaveLead() {
	for _, m := range n.members {
		if p := n.lead.peer(m.ID); m.Voter && p.match == n.log.last() {
			n.send(m.ID, TimeoutNow{})
			break
		}
	}
	n.becomeFollower(n.hard.Term, "")
}
