package quorum

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// startPreVote asks whether an election could be won, without raising the term,
// so that a member that returns from a partition does not depose a working
// leader.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.resetElectionTimer()
	n.requestVotes(true, false)
}

// mayCampaign reports whether this member is a voter in any list that may be the
// committed one. A voter whose removal is not known to be committed may be the
// only member that can complete the removal. After a restart the commit index is
// known up to the snapshot only, so any later list may be committed.
func (n *Node) mayCampaign() bool {
	return slices.ContainsFunc(n.log.memberListsFrom(n.commit), func(list []Member) bool {
		m, ok := findMember(list, n.cfg.ID)
		return ok && m.Voter
	})
}

// startElection raises the term and requests votes in it.
func (n *Node) startElection(transfer bool) {
	n.role = Candidate
	n.leader = ""
	n.hardState = HardState{
		Term: n.hardState.Term + 1,
		Vote: n.cfg.ID,
	}
	n.resetElectionTimer()
	n.writeHardState()
	n.requestVotes(false, transfer)
}

// requestVotes asks all other voters. The own vote counts once it is durable.
func (n *Node) requestVotes(pre, transfer bool) {
	n.votes = map[ident.HostID]bool{}
	for _, m := range n.members {
		if m.ID == n.cfg.ID || !m.Voter {
			continue
		}
		n.sendAfter(n.hardStateSeq, m.ID, VoteRequest{
			Pre:       pre,
			LastIndex: n.log.lastIndex(),
			LastTerm:  n.log.lastTerm(),
			Transfer:  transfer,
		})
	}
	ownVote := VoteReply{
		Pre:     pre,
		Granted: true,
		For:     n.hardState.Term,
	}
	if n.hardStateSeq <= n.syncedSeq {
		n.onVoteReply(n.cfg.ID, ownVote)
		return
	}
	n.sendAfter(n.hardStateSeq, n.cfg.ID, ownVote)
}

// leaderAlive reports whether this member may have confirmed a leader's lease
// that has not expired or, on the leader, whether a majority still follows it.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return n.now < n.lastMajorityContact().Add(n.cfg.ElectionTimeout)
	}
	return n.now < n.lastLeaderContact.Add(n.cfg.ElectionTimeout)
}

func (n *Node) onVoteRequest(m Message, v VoteRequest) {
	if v.Pre {
		n.sendAfter(n.hardStateSeq, m.From, VoteReply{
			Pre:     true,
			Granted: m.Term >= n.hardState.Term && !n.leaderAlive() && n.candidateUpToDate(v),
			For:     m.Term,
		})
		return
	}
	if m.Term > n.hardState.Term {
		if !v.Transfer && n.leaderAlive() {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	granted := m.Term == n.hardState.Term && n.role == Follower && n.candidateUpToDate(v) &&
		(n.hardState.Vote == m.From || n.hardState.Vote == "" && n.leader == "")
	if granted {
		if n.hardState.Vote == "" {
			n.hardState.Vote = m.From
			n.writeHardState()
		}
		n.resetElectionTimer()
	}
	n.sendAfter(n.hardStateSeq, m.From, VoteReply{
		Granted: granted,
		For:     m.Term,
	})
}

// candidateUpToDate reports whether the candidate's log is at least as recent as
// this one.
func (n *Node) candidateUpToDate(v VoteRequest) bool {
	t := n.log.lastTerm()
	return v.LastTerm > t || v.LastTerm == t && v.LastIndex >= n.log.lastIndex()
}

func (n *Node) onVoteReply(from ident.HostID, v VoteReply) {
	expected := n.role == PreCandidate && v.Pre || n.role == Candidate && !v.Pre
	if !expected || !v.Granted || v.For != n.hardState.Term || !n.isVoter(from) {
		return
	}
	n.votes[from] = true
	if len(n.votes) < n.quorumSize() {
		return
	}
	if v.Pre {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}
