package peer

import (
	"context"
	"fmt"

	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Transport carries messages to other members.
type Transport interface {
	// Send queues a message for a member. It does not block and may drop it.
	Send(to quorum.Member, m quorum.Message)
	// Forward sends a request to a member and returns its answer. If the
	// request provably did not leave this host, the error is a *NotSentError.
	Forward(ctx context.Context, to quorum.Member, r Request) (Answer, error)
}

// NotSentError reports a request that did not leave this host.
type NotSentError struct {
	To    ident.HostID
	Cause error
}

// Error names the member and the remedy.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("member %s cannot be reached: %v: send it again later", e.To, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Request is a request for the leader. Exactly one field is set.
type Request struct {
	Command *state.Command
	Members *MembersRequest
}

// MembersRequest asks for one change of the control group. Exactly one field is set.
type MembersRequest struct {
	Add     *AddMember     `json:"Add,omitempty"`
	Remove  *RemoveMember  `json:"Remove,omitempty"`
	Replace *ReplaceMember `json:"Replace,omitempty"`
}

// AddMember adds a member, which votes once it has caught up.
type AddMember struct {
	ID      ident.HostID `json:"ID"`
	Address string       `json:"Address"` // IP:port of its member transport
}

// RemoveMember removes a member.
type RemoveMember struct {
	ID ident.HostID `json:"ID"`
}

// ReplaceMember adds a member and then removes Old.
type ReplaceMember struct {
	Old     ident.HostID `json:"Old"`
	ID      ident.HostID `json:"ID"`
	Address string       `json:"Address"`
}

// Answer is the result of a Request.
type Answer struct {
	// Kind is Accepted if the request was committed and applied. The result
	// of the part is then in Data.
	Kind   config.OutcomeKind
	Data   []byte
	Remedy string
	// Retry is set if the request may be sent to another member or again.
	Retry bool
}

// Change returns the change for the replicated log, or false unless exactly
// one field is set.
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
