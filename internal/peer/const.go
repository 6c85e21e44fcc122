package peer

import "time"

const (
	// queueSize is the maximum number of messages queued for one member.
	queueSize = 256

	// maxCallBytes is the size of entry and snapshot data at which no further
	// message is added to a call. The last message may exceed it by its own
	// size, which is well below the message limit of package link.
	maxCallBytes = 1 << 20

	// callTimeout bounds one call to a member. After a network partition that
	// dropped packets without closing the connection, sending to the member
	// resumes within this time.
	callTimeout = 500 * time.Millisecond

	// controlRole is the role in the certificates of control hosts.
	controlRole = "control"
)
