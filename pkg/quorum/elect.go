package quorum

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// campaignPre asks whether an election could be won, without raising the
// term, so that a member that was cut off does not disturb a working leader.
func (n *Node) campaignPre() {
	n.role = PreCandidate
	n.leader = ""
	n.resetElection()
	n.startVote(true, false)
}

// mayCampaign also holds for a voter whose removal is not known to be
// committed: it may be the only one that can complete the removal. After a
// restart the commit is known up to the snapshot only, so any later list may
// be the committed one.
func (n *Node) mayCampaign() bool {
	return slices.ContainsFunc(n.log.listsFrom(n.commit), func(list []Member) bool {
		m, ok := findMember(list, n.cfg.ID)
		return ok && m.Voter
	})
}

// campaign starts a real election in the next term.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.leader = ""
	n.hard = HardState{
		Term: n.hard.Term + 1,
		Vote: n.cfg.ID,
	}
	n.resetElection()
	n.writeHard()
	n.startVote(false, transfer)
}

// startVote asks all others; the own vote counts once it is durable.
func (n *Node) startVote(pre, transfer bool) {
	n.votes = map[ident.HostID]bool{}
	for _, m := range n.members {
		if m.ID == n.cfg.ID || !m.Voter {
			continue
		}
		n.sendAfter(n.hardSeq, m.ID, VoteRequest{
			Pre:       pre,
			LastIndex: n.log.last(),
			LastTerm:  n.log.lastTerm(),
			Transfer:  transfer,
		})
	}
	own := VoteReply{
		Pre:     pre,
		Granted: true,
		For:     n.hard.Term,
	}
	if n.hardSeq <= n.doneSeq {
		n.onVoteReply(n.cfg.ID, own)
		return
	}
	n.sendAfter(n.hardSeq, n.cfg.ID, own)
}

// leaderAlive reports whether this member may have confirmed a lease that
// still runs, or leads a majority itself.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return n.now < n.contact().Add(n.cfg.ElectionTimeout)
	}
	return n.now < n.lastHeard.Add(n.cfg.ElectionTimeout)
}

func (n *Node) onVoteRequest(m Message, v VoteRequest) {
	if v.Pre {
		n.sendAfter(n.hardSeq, m.From, VoteReply{
			Pre:     true,
			Granted: m.Term >= n.hard.Term && !n.leaderAlive() && n.upToDate(v),
			For:     m.Term,
		})
		return
	}
	if m.Term > n.hard.Term {
		if !v.Transfer && n.leaderAlive() {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	granted := m.Term == n.hard.Term && n.role == Follower && n.upToDate(v) &&
		(n.hard.Vote == m.From || n.hard.Vote == "" && n.leader == "")
	if granted {
		if n.hard.Vote == "" {
			n.hard.Vote = m.From
			n.writeHard()
		}
		n.resetElection()
	}
	n.sendAfter(n.hardSeq, m.From, VoteReply{
		Granted: granted,
		For:     m.Term,
	})
}

func (n *Node) upToDate(v VoteRequest) bool {
	t := n.log.lastTerm()
	return v.LastTerm > t || v.LastTerm == t && v.LastIndex >= n.log.last()
}

func (n *Node) onVoteReply(from ident.HostID, v VoteReply) {
	want := n.role == PreCandidate && v.Pre || n.role == Candidate && !v.Pre
	if !want || !v.Granted || v.For != n.hard.Term || !n.isVoter(from) {
		return
	}
	n.votes[from] = true
	if len(n.votes) < n.quorum() {
		return
	}
	if v.Pre {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}
