package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// Effect is one output of Node.Step, to be carried out in order.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send asks for a message to be sent. It may be dropped.
type Send struct{ Message Message }

// Append asks for entries and hard state to be written and synced, then
// reported with Synced. An entry replaces stored entries of its index and later.
type Append struct {
	Seq     Seq
	Hard    HardState
	Entries []Entry
}

// SaveSnapshot asks for a snapshot received from the leader to be stored in
// place of the whole log, then reported with Synced.
type SaveSnapshot struct {
	Seq      Seq
	Hard     HardState
	Snapshot Snapshot
}

// Restore asks for the state machine to be replaced by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Apply hands over a committed entry. Entries come in order, each once per
// process; Proposal is the handle of the proposal that led to it, if it was
// made here, else zero.
type Apply struct {
	Entry    Entry
	Proposal ProposalID
}

// Reply ends a proposal or member change that was not applied here, or
// whose member change was committed.
type Reply struct {
	Proposal ProposalID
	Kind     ReplyKind
	// Leader is the leader as far as known, to forward to.
	Leader ident.HostID
	// Reason says what to do; empty if committed.
	Reason string
	// Invalid is set on NotRun if the request itself is at fault, so that
	// sending it again does not help.
	Invalid bool
}

// ReplyKind is the kind of result of a proposal.
type ReplyKind uint8

// The kinds of reply.
const (
	// Committed means durable on a majority.
	Committed ReplyKind = iota + 1
	// NotRun means that the proposal was not appended and never will be.
	NotRun
	// Unknown means that it was appended here but this node lost the lead
	// before it was committed; it may or may not take effect.
	Unknown
)

func (Send) isEffect()         {}
func (Append) isEffect()       {}
func (SaveSnapshot) isEffect() {}
func (Restore) isEffect()      {}
func (Apply) isEffect()        {}
func (Reply) isEffect()        {}
