package follow

import "time"

const (
	// HeartbeatInterval is the interval at which a source without changes sends
	// its version on a watch stream as a heartbeat.
	HeartbeatInterval = 500 * time.Millisecond

	// sourceTimeout is the time without a message, three heartbeats, after
	// which the watched source is ejected. A change must be active within 2 s
	// even when the watched source is unresponsive; with five heartbeats the
	// p99 of 200 changes was 1.84 s.
	sourceTimeout = 3 * HeartbeatInterval

	// staleTimeout is how long the watched source may have an older version
	// than this host before it is ejected. A control host without a majority,
	// for example, is alive but does not advance.
	staleTimeout = 2 * time.Second

	// pollInterval is the time between version requests to random peers.
	pollInterval = time.Second

	// VersionTimeout is the deadline of a version request.
	VersionTimeout = time.Second

	// pullTimeout is the time without a message after which a pull is closed.
	pullTimeout = 3 * time.Second

	// failbackInterval is the time between version requests to sources of a
	// better tier than the watched one, which find those that are back.
	failbackInterval = time.Second

	// minBackoff and maxBackoff bound how long a failed source is ejected.
	minBackoff = 5 * time.Second
	maxBackoff = 30 * time.Second

	// retryInterval is the time between watch attempts while every source is
	// ejected.
	retryInterval = 500 * time.Millisecond

	// StaleAge is the age of a control host's copy past which other hosts look for
	// a fresher one. A control host confirms its copy every 0.5 s, and a change must
	// be in force within 3 s even if the polled control host is cut off just before.
	StaleAge = 1200 * time.Millisecond

	// pollRetryInterval is the time between polls while every source is ejected.
	pollRetryInterval = 150 * time.Millisecond

	// probeInterval is the time between two rounds of probes for a fresher
	// source, and maxProbes the most probes in flight.
	probeInterval = time.Second
	maxProbes     = 8

	// DefaultMaxDeltas is the default number of deltas that a source keeps. A
	// host that is further behind gets a full copy.
	DefaultMaxDeltas = 1024
)
