package member

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of an entry host.
	HeartbeatInterval = time.Second

	// AnswerTimeout is the deadline of a heartbeat. A later answer is ignored.
	AnswerTimeout = time.Second

	// Lease is the duration of a seat's lease, counted from the time at which
	// the renewing heartbeat was sent.
	Lease = 10 * time.Second

	// leaseMargin is how much longer than the holder the leader considers a
	// lease to run. It exceeds AnswerTimeout: a heartbeat that was sent just
	// before the lease ended and answered late must not find the seat granted
	// to another host.
	leaseMargin = 1500 * time.Millisecond

	// livenessTimeout is the time without a heartbeat after which a host is
	// reported as unresponsive.
	livenessTimeout = 3 * time.Second

	// unlistedRetention is how long after the end of its lease an unresponsive
	// host keeps its seat while the platform's list of hosts is not known.
	unlistedRetention = time.Minute

	// SweepInterval is the time between two checks of all hosts for expired
	// leases and missing heartbeats.
	SweepInterval = time.Second

	// maxHosts bounds the processes of entry hosts that a leader tracks.
	maxHosts = 10_000

	// maxPeers bounds the peers that one host is given.
	maxPeers = 8

	// redirectDelay is the delay before the next heartbeat after one that failed
	// or was declined by a control host that is not the leader.
	redirectDelay = 50 * time.Millisecond
)
