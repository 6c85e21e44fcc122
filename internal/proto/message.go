package proto

import (
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// Peer is a message between control hosts. Its payload is not interpreted here.
type Peer struct {
	From    ident.HostID `json:"From"`
	Payload []byte       `json:"Payload"`
}

// PeerAnswer is the answer to a Peer message; the payload may be empty.
type PeerAnswer struct {
	Payload []byte `json:"Payload,omitempty"`
}

// Watch subscribes to changes of the configuration after version Have.
type Watch struct {
	From ident.HostID        `json:"From"`
	Have ident.ConfigVersion `json:"Have"`
	// Digest is the digest of the state at Have; zero requests a full copy.
	Digest uint64 `json:"Digest"`
}

// Pull requests once the changes of the configuration after version Have. Its
// fields are those of Watch.
type Pull struct {
	From   ident.HostID        `json:"From"`
	Have   ident.ConfigVersion `json:"Have"`
	Digest uint64              `json:"Digest"`
}

// Update is one message of a watch or pull stream. Without Deltas and Part it
// is a heartbeat, which shows that the source is alive and at Version.
type Update struct {
	// Version is the newest version that the source has. Stale is set if it may not
	// be the newest one of all.
	Version ident.ConfigVersion `json:"Version"`
	Stale   bool                `json:"Stale,omitempty"`
	Deltas  []follow.Delta      `json:"Deltas,omitempty"`
	Part    *CopyPart           `json:"Part,omitempty"`
}

// CopyPart is one part of a full copy of the configuration. The parts of a copy
// are consecutive messages of a stream.
type CopyPart struct {
	Version ident.ConfigVersion `json:"Version"`
	Digest  uint64              `json:"Digest"`
	// InForce, Presets and Seats are set in the first part only.
	InForce   preset.Name       `json:"InForce,omitempty"`
	Presets   []preset.Preset   `json:"Presets,omitempty"`
	Seats     int               `json:"Seats,omitempty"`
	Upstreams []config.Upstream `json:"Upstreams,omitempty"`
	First     bool              `json:"First,omitempty"`
	Last      bool              `json:"Last,omitempty"`
}

// VersionQuery requests the version of the active configuration.
type VersionQuery struct{}

// VersionAnswer is the version of the active configuration.
type VersionAnswer struct {
	Version ident.ConfigVersion `json:"Version"`
	Stale   bool                `json:"Stale,omitempty"`
	Digest  uint64              `json:"Digest"`
}

// Heartbeat reports to the control leader that an entry host is alive. The
// leader sets Beat.Call.
type Heartbeat struct {
	Beat member.Beat `json:"Beat"`
	// Demands is the host's demand for upstreams with a limit.
	Demands []quota.Demand `json:"Demands,omitempty"`
}

// HeartbeatAnswer is the answer to a Heartbeat.
type HeartbeatAnswer struct {
	Answer member.Answer `json:"Answer"`
	// Leader is the address of the leader, if it is known and is another host
	// than the one that answers.
	Leader string `json:"Leader,omitempty"`
	// Grants is the answer to Demands.
	Grants []quota.Grant `json:"Grants,omitempty"`
}

// Gossip carries facts from one entry host to another, see package gossip. Pull
// asks for those of the other host in return.
type Gossip struct {
	Facts []gossip.Sent `json:"Facts,omitempty"`
	Pull  bool          `json:"Pull,omitempty"`
}

// Reserve requests permission to send a filing once; see ledger.Reserve.
type Reserve struct {
	Request  ident.RequestID `json:"Request"`
	BodyHash ledger.BodyHash `json:"BodyHash"`
	Host     ident.HostID    `json:"Host"`
	Attempt  uint64          `json:"Attempt"`
}

// Complete records that a filing ran, with its receipt; see ledger.Complete.
type Complete struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	Receipt string          `json:"Receipt,omitempty"`
}

// Release ends the reservation of a filing that did not run; see
// ledger.Release.
type Release struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
}

// FilingAnswer is the answer to Reserve, Complete and Release.
type FilingAnswer struct {
	// Kind says whether Result is valid: only FilingApplied has one.
	Kind   FilingKind    `json:"Kind"`
	Result ledger.Result `json:"Result"`
	// Leader is the address of the leader, if it is known and is another host
	// than the one that answers.
	Leader string `json:"Leader,omitempty"`
	Remedy string `json:"Remedy,omitempty"`
}

// FilingKind says whether a filing command was applied.
type FilingKind string

// The kinds of answer to a filing command.
const (
	// FilingApplied says that the command is in the replicated log and applied.
	FilingApplied FilingKind = "Applied"
	// FilingNotRun says that the command will never be applied.
	FilingNotRun FilingKind = "NotRun"
	// FilingUnknown says that the command may or may not be applied; the sender
	// repeats it.
	FilingUnknown FilingKind = "Unknown"
)
