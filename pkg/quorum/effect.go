package quorum

import "github.com/jujubethread/jujubethread/pkg/ident"

// Effect is one output of Node.Step, to be carried out in order.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send requests that a message be sent. The message may be dropped.
type Send struct{ Message Message }

// Append requests that entries and hard state be written and synced, then
// reported with Synced. An entry replaces stored entries of its index and later.
type Append struct {
	Seq     Seq
	Hard    HardState
	Entries []Entry
}

// SaveSnapshot requests that a snapshot received from the leader be stored in
// place of the whole log, then reported with Synced.
type SaveSnapshot struct {
	Seq      Seq
	Hard     HardState
	Snapshot Snapshot
}

// Restore requests that the state machine be replaced by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Apply passes a committed entry to the state machine. Entries come in order,
// each once per process. Proposal is the handle of the proposal that created the
// entry if this process proposed it in the current leadership, else zero.
type Apply struct {
	Entry    Entry
	Proposal ProposalID
}

// Reply answers a proposal that was refused or whose outcome is unknown, or a
// member change. A committed command is answered by Apply.
type Reply struct {
	Proposal ProposalID
	Kind     ReplyKind
	// Leader is the member to forward to, or empty if no leader is known.
	Leader ident.HostID
	// Reason names the cause and the remedy; empty if committed.
	Reason string
	// Invalid is set on NotRun if the request itself is wrong, so that a retry
	// does not help.
	Invalid bool
}

// ReplyKind is the outcome of a proposal or member change.
type ReplyKind uint8

// The outcomes of a proposal or member change.
const (
	// Committed means that it is durable on a majority.
	Committed ReplyKind = iota + 1
	// NotRun means that the proposal was not appended and never will be.
	NotRun
	// Unknown means that it was appended here, but this node stopped leading
	// before it was committed; it may or may not take effect.
	Unknown
)

func (Send) isEffect()         {}
func (Append) isEffect()       {}
func (SaveSnapshot) isEffect() {}
func (Restore) isEffect()      {}
func (Apply) isEffect()        {}
func (Reply) isEffect()        {}
