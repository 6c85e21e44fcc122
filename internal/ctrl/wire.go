package ctrl

import "github.com/jujubethread/jujubethread/internal/peer"

// The requests that control hosts forward to each other are defined in
// internal/peer; the operator API uses them too.
type (
	// Transport carries messages to other members.
	Transport = peer.Transport
	// Request is a request for the leader.
	Request = peer.Request
	// Answer is the result of a Request.
	Answer = peer.Answer
	// MembersRequest requests one membership change of the control group.
	MembersRequest = peer.MembersRequest
	// AddMember adds a member.
	AddMember = peer.AddMember
	// RemoveMember removes a member.
	RemoveMember = peer.RemoveMember
	// ReplaceMember adds a member and then removes another.
	ReplaceMember = peer.ReplaceMember
)
