package peer

import (
	"context"
	"fmt"

	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Transport sends messages and requests to other members.
type Transport interface {
	// Send queues a message for a member. It does not block and may drop the
	// message.
	Send(to quorum.Member, m quorum.Message)
	// Forward sends a request to a member and returns its answer. The error is
	// a *NotSentError if the member certainly did not process the request.
	Forward(ctx context.Context, to quorum.Member, r Request) (Answer, error)
}

// NotSentError reports a request that the member certainly did not process, so
// that it is safe to send it again.
type NotSentError struct {
	To    ident.HostID
	Cause error
}

// Error returns the member, the cause and the remedy.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("member %s cannot be reached: %v: send it again later", e.To, e.Cause)
}

// Unwrap returns the error of the call.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Request is a request for the leader. Exactly one field must be set.
type Request struct {
	Command *state.Command
	Members *MembersRequest
}

// MembersRequest requests one change of the control group's members. Exactly
// one of Add, Remove and Replace must be set.
type MembersRequest struct {
	// After, if set, is the position of the member list that the change is based on. A
	// copy that arrives after another change is refused.
	After *quorum.Position `json:"-" cbor:",omitempty"`

	Add     *AddMember     `json:"Add,omitempty"`
	Remove  *RemoveMember  `json:"Remove,omitempty"`
	Replace *ReplaceMember `json:"Replace,omitempty"`
}

// AddMember adds a member. It becomes a voter when it has caught up with the
// log.
type AddMember struct {
	ID      ident.HostID `json:"ID"`
	Address string       `json:"Address"` // IP:port of its member transport
}

// RemoveMember removes a member from the control group.
type RemoveMember struct {
	ID ident.HostID `json:"ID"`
}

// ReplaceMember adds the member ID and removes the member Old afterwards.
type ReplaceMember struct {
	Old     ident.HostID `json:"Old"`
	ID      ident.HostID `json:"ID"`
	Address string       `json:"Address"`
}

// Answer is the result of a Request.
type Answer struct {
	// Kind is Accepted if the request was committed and applied.
	Kind config.OutcomeKind
	// Data is the encoded result of the part if Kind is Accepted.
	Data []byte
	// Remedy is the action for the sender if the request failed.
	Remedy string
	// Retry is true if the request may be repeated at this or another member.
	Retry bool
}

// Change returns the change for the replicated log, or false if not exactly one
// field is set.
func (r MembersRequest) Change() (quorum.MemberChange, bool) {
	switch {
	case r.Add != nil && r.Remove == nil && r.Replace == nil:
		return quorum.AddMember{Member: quorum.Member{
			ID:      r.Add.ID,
			Address: r.Add.Address,
		}}, true
	case r.Add == nil && r.Remove != nil && r.Replace == nil:
		return quorum.RemoveMember{ID: r.Remove.ID}, true
	case r.Add == nil && r.Remove == nil && r.Replace != nil:
		return quorum.AddMember{Member: quorum.Member{
			ID:       r.Replace.ID,
			Address:  r.Replace.Address,
			Replaces: r.Replace.Old,
		}}, true
	}
	return nil, false
}
