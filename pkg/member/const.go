package member

import "time"

const (
	// BeatEvery is the time between two heartbeats of an entry host.
	BeatEvery = time.Second

	// AnswerWait is how long an entry host waits for the answer to a
	// heartbeat. A later answer is not used.
	AnswerWait = time.Second

	// Lease is how long a seat is held from the time at which the renewing
	// heartbeat was sent.
	Lease = 10 * time.Second

	// margin is how much longer the leader takes a lease to run than its
	// holder. It exceeds AnswerWait: a claim that was sent just before the
	// lease ended and answered late must not meet a new holder of the seat.
	margin = 1500 * time.Millisecond

	// silentAfter is when a host without heartbeats is reported as silent.
	silentAfter = 3 * time.Second

	// keepSilent is how long after the end of its lease a seat is kept for a
	// silent host while no list of the platform is known.
	keepSilent = time.Minute

	// SweepEvery is the time between two looks at all hosts.
	SweepEvery = time.Second

	// maxHosts bounds the hosts that a leader keeps track of.
	maxHosts = 10_000

	// maxPeers bounds the list of peers of one host.
	maxPeers = 8

	// redirectWait is the wait before a heartbeat follows to another control host.
	redirectWait = 50 * time.Millisecond
)
