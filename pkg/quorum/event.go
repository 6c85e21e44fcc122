package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// Event is one input of Node.Step. Now must never decrease.
//
//sumtype:decl
type Event interface{ isEvent() }

// Tick advances the node's time. It must come several times per heartbeat
// interval.
type Tick struct{ Now ident.Instant }

// Receive delivers a message from another member.
type Receive struct {
	Now     ident.Instant
	Message Message
}

// Synced reports that all disk writes up to Seq are durable.
type Synced struct {
	Now ident.Instant
	Seq Seq
}

// DiskFailed reports that a disk write failed. The node then sends and accepts
// nothing; a new node must be created from the stored state.
type DiskFailed struct{ Now ident.Instant }

// Propose requests that the leader replicate commands, in order.
type Propose struct {
	Now       ident.Instant
	Proposals []Proposal
}

// Proposal is one command with the caller's handle.
type Proposal struct {
	ID   ProposalID
	Data []byte
}

// ChangeMember requests one change of the member list from the leader.
type ChangeMember struct {
	Now    ident.Instant
	ID     ProposalID
	Change MemberChange
	// After, if set, is the Status.MembersAt that the change is based on. The change is
	// refused if the member list has changed since.
	After *Position `json:",omitzero"`
}

// MemberChange is one change of the member list.
//
//sumtype:decl
type MemberChange interface{ isMemberChange() }

// AddMember adds a learner, which the leader makes a voter once it has caught
// up. If Member.Replaces is set, that member is removed afterwards. A member
// with the same ID keeps its vote and gets the new address.
type AddMember struct{ Member Member }

// RemoveMember removes a voter or learner.
type RemoveMember struct{ ID ident.HostID }

// Transfer requests that the leader transfer leadership to the voter with the
// longest matching log, for example before a shutdown.
type Transfer struct{ Now ident.Instant }

// Compacted reports that a snapshot of applied state is durable, so that the log
// before it can be discarded.
type Compacted struct {
	Now      ident.Instant
	Snapshot Snapshot
}

func (Tick) isEvent()         {}
func (Receive) isEvent()      {}
func (Synced) isEvent()       {}
func (DiskFailed) isEvent()   {}
func (Propose) isEvent()      {}
func (ChangeMember) isEvent() {}
func (Transfer) isEvent()     {}
func (Compacted) isEvent()    {}

func (AddMember) isMemberChange()    {}
func (RemoveMember) isMemberChange() {}
