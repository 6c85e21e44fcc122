// Package proto defines the messages that jujubethread's own processes send to
// each other, and their CBOR encoding. Values of sealed interfaces are encoded
// with a CBOR tag for each concrete type.
package proto

// The methods of calls between processes, each with the messages that it sends
// and returns.
const (
	// MethodPeer carries opaque messages between control hosts; Peer,
	// PeerAnswer.
	MethodPeer = "/control/peer"
	// MethodWatch is a stream of configuration updates; Watch, then Update.
	MethodWatch = "/config/watch"
	// MethodPull is a stream that ends once the caller has the newest
	// configuration of the callee; Pull, then Update.
	MethodPull = "/config/pull"
	// MethodVersion returns the version of the active configuration;
	// VersionQuery, VersionAnswer.
	MethodVersion = "/config/version"
	// MethodHeartbeat reports a live entry host and renews its seat;
	// Heartbeat, HeartbeatAnswer. Only the control leader answers it.
	MethodHeartbeat = "/member/heartbeat"
	// MethodGossip exchanges facts between entry hosts; Gossip, Gossip.
	MethodGossip = "/entry/gossip"
	// MethodReserve reserves a filing; Reserve, FilingAnswer.
	MethodReserve = "/filing/reserve"
	// MethodComplete records that a filing ran; Complete, FilingAnswer.
	MethodComplete = "/filing/complete"
	// MethodRelease ends the reservation of a filing that did not run; Release,
	// FilingAnswer.
	MethodRelease = "/filing/release"
)
