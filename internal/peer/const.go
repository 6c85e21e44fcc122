package peer

import "time"

const (
	// queueSize bounds the messages that wait for one member.
	queueSize = 256

	// callBytes bounds the entry data of one call to a member. A message may
	// exceed it by its own size, which is well below the limit of the link.
	callBytes = 1 << 20

	// callTimeout bounds one call to a member, so that a member that was cut
	// off silently is reached soon after its return.
	callTimeout = 500 * time.Millisecond

	// controlRole is the role in the certificates of control hosts.
	controlRole = "control"
)
