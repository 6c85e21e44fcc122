// Package proto defines the messages that the project's own processes send to
// each other and their CBOR encoding. Sealed interfaces are encoded with a
// CBOR tag for each concrete type.
package proto

// The methods of the links between processes.
const (
	// MethodPeer carries opaque messages between control hosts; Peer, PeerAnswer.
	MethodPeer = "/control/peer"
	// MethodWatch is a stream of configuration updates; Watch, then Update.
	MethodWatch = "/config/watch"
	// MethodPull is a stream that ends once the caller has the newest
	// configuration of the callee; Pull, then Update.
	MethodPull = "/config/pull"
	// MethodVersion asks for the version in force; VersionQuery, VersionAnswer.
	MethodVersion = "/config/version"
	// MethodHeartbeat reports a live entry host and renews its seat;
	// Heartbeat, HeartbeatAnswer. Only the control leader answers it.
	MethodHeartbeat = "/member/heartbeat"
	// MethodReserve reserves a filing; Reserve, FilingAnswer.
	MethodReserve = "/filing/reserve"
	// MethodComplete records the outcome of a filing; Complete, FilingAnswer.
	MethodComplete = "/filing/complete"
	// MethodRelease gives a reservation back; Release, FilingAnswer.
	MethodRelease = "/filing/release"
)
