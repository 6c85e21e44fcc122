package follow

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Event is something that happened to the distribution at one entry host.
//
//sumtype:decl
type Event interface{ isEvent() }

// Started starts the distribution.
type Started struct{}

// Received carries one message of a watch or pull stream.
type Received struct {
	Stream uint64 `json:"Stream"`
	// Version is the newest version of the source.
	Version ident.ConfigVersion `json:"Version"`
	Deltas  []Delta             `json:"Deltas,omitempty"`
	// Copy is a full copy, not verified yet; nil if the message has none.
	Copy *config.State `json:"Copy,omitempty"`
	// Partial says that the message is part of a full copy that is not
	// complete yet.
	Partial bool `json:"Partial,omitempty"`
}

// StreamEnded tells that a watch or pull stream ended.
type StreamEnded struct {
	Stream uint64 `json:"Stream"`
}

// VersionAnswered carries the version of the host that an AskVersion asked.
type VersionAnswered struct {
	Try     uint64              `json:"Try"`
	Version ident.ConfigVersion `json:"Version"`
}

// VersionFailed tells that an AskVersion got no answer.
type VersionFailed struct {
	Try uint64 `json:"Try"`
}

// PeersChanged carries the peers that serve the configuration.
type PeersChanged struct {
	Peers []Source `json:"Peers"`
}

// Ticked tells that time passed; the reducer asks for it with Wake.
type Ticked struct{}

func (Started) isEvent()         {}
func (Received) isEvent()        {}
func (StreamEnded) isEvent()     {}
func (VersionAnswered) isEvent() {}
func (VersionFailed) isEvent()   {}
func (PeersChanged) isEvent()    {}
func (Ticked) isEvent()          {}

// Effect is something the runtime has to do.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Watch opens a watch stream. Its messages come back as Received and its end
// as StreamEnded, with the same Stream.
type Watch struct {
	Stream uint64              `json:"Stream"`
	To     string              `json:"To"`
	Have   ident.ConfigVersion `json:"Have"`
	// Digest is that of the state at Have; zero asks for a full copy.
	Digest uint64 `json:"Digest"`
}

// Pull opens a stream that ends once it has sent the newest configuration of
// the callee. Its messages come back like those of Watch.
type Pull struct {
	Stream uint64              `json:"Stream"`
	To     string              `json:"To"`
	Have   ident.ConfigVersion `json:"Have"`
	Digest uint64              `json:"Digest"`
}

// CloseStream ends a stream; no event about it follows.
type CloseStream struct {
	Stream uint64 `json:"Stream"`
}

// AskVersion asks a host for its version. The answer comes back as
// VersionAnswered or VersionFailed with the same Try.
type AskVersion struct {
	Try uint64 `json:"Try"`
	To  string `json:"To"`
}

// Apply puts a configuration in force.
type Apply struct {
	State *config.State `json:"State"`
	// Deltas lead from the last applied state to this one. Empty after a full copy.
	Deltas []Delta `json:"Deltas,omitempty"`
}

// Wake asks for a Ticked event at the given time or soon after.
type Wake struct {
	At ident.Instant `json:"At"`
}

func (Watch) isEffect()       {}
func (Pull) isEffect()        {}
func (CloseStream) isEffect() {}
func (AskVersion) isEffect()  {}
func (Apply) isEffect()       {}
func (Wake) isEffect()        {}

// Source names a host that serves the configuration.
type Source struct {
	Address string       `json:"Address"`
	Domain  ident.Domain `json:"Domain"`
}
