package follow

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Event is an input of a Reducer.
//
//sumtype:decl
type Event interface{ isEvent() }

// Started starts the reducer: it watches a source and begins its periodic
// version requests.
type Started struct{}

// Received carries one message of a watch or pull stream.
type Received struct {
	Stream uint64 `json:"Stream"`
	// Version is the newest version that the source has.
	Version ident.ConfigVersion `json:"Version"`
	Deltas  []Delta             `json:"Deltas,omitempty"`
	// Copy is an unverified full copy, or nil if the message completes none.
	Copy *config.State `json:"Copy,omitempty"`
	// Stale is set if the source has lost the leader, so that its version may not
	// be the newest.
	Stale bool `json:"Stale,omitempty"`
	// Partial marks a message with a part of a full copy that is not complete
	// yet.
	Partial bool `json:"Partial,omitempty"`
}

// StreamEnded reports that the source or the network ended a watch or pull
// stream.
type StreamEnded struct {
	Stream uint64 `json:"Stream"`
}

// VersionAnswered carries the answer to the AskVersion with the same Attempt.
type VersionAnswered struct {
	Attempt uint64              `json:"Try"`
	Version ident.ConfigVersion `json:"Version"`
	Stale   bool                `json:"Stale,omitempty"`
}

// VersionFailed reports that the AskVersion with the same Attempt failed or
// timed out.
type VersionFailed struct {
	Attempt uint64 `json:"Try"`
}

// PeersChanged replaces the list of peers that serve the configuration.
type PeersChanged struct {
	Peers []Source `json:"Peers"`
}

// Ticked is the timer event that the reducer requests with Wake.
type Ticked struct{}

func (Started) isEvent()         {}
func (Received) isEvent()        {}
func (StreamEnded) isEvent()     {}
func (VersionAnswered) isEvent() {}
func (VersionFailed) isEvent()   {}
func (PeersChanged) isEvent()    {}
func (Ticked) isEvent()          {}

// Effect is an action that the runtime carries out.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Watch opens a stream of configuration changes from the host at To. Its
// messages arrive as Received and its end as StreamEnded, with the same Stream.
type Watch struct {
	Stream uint64              `json:"Stream"`
	To     string              `json:"To"`
	Have   ident.ConfigVersion `json:"Have"`
	// Digest is that of the state at Have; zero requests a full copy.
	Digest uint64 `json:"Digest"`
}

// Pull opens a stream that ends once the host at To has sent its newest
// configuration. Fields and events are those of Watch.
type Pull struct {
	Stream uint64              `json:"Stream"`
	To     string              `json:"To"`
	Have   ident.ConfigVersion `json:"Have"`
	Digest uint64              `json:"Digest"`
}

// CloseStream closes a watch or pull stream. Later events of the stream are
// ignored.
type CloseStream struct {
	Stream uint64 `json:"Stream"`
}

// AskVersion requests the configuration version of the host at To. The result
// arrives as VersionAnswered or VersionFailed with the same Attempt.
type AskVersion struct {
	Attempt uint64 `json:"Try"`
	To      string `json:"To"`
}

// Apply activates a verified configuration.
type Apply struct {
	State *config.State `json:"State"`
	// Deltas lead from the last applied state to State; empty after a full copy.
	Deltas []Delta `json:"Deltas,omitempty"`
}

// Wake requests a Ticked event at the given time or soon after.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Watch) isEffect()       {}
func (Pull) isEffect()        {}
func (CloseStream) isEffect() {}
func (AskVersion) isEffect()  {}
func (Apply) isEffect()       {}
func (Wake) isEffect()        {}

// Source is a host that serves the configuration: a control host or a peer.
type Source struct {
	Address string       `json:"Address"`
	Domain  ident.Domain `json:"Domain"`
}
