package simul

import "time"

const (
	// hopDelay is the one-way delay between an entry host and an upstream.
	hopDelay = 200 * time.Microsecond

	// probeTimeout is the time after which a health probe of an unresponsive
	// leaf fails.
	probeTimeout = 500 * time.Millisecond

	// The time of a leaf call is the sum of serviceTime and an exponentially
	// distributed part with the mean serviceSpread.
	serviceTime   = 4 * time.Millisecond
	serviceSpread = 500 * time.Microsecond

	// A leaf runs at most leafSlots calls at once and queues at most
	// leafQueueLimit; it sheds all others.
	leafSlots      = 2
	leafQueueLimit = 8

	// connLimit is the connection limit of each upstream, as in the index
	// review-panel of sample.Thesiswell. seats is the number of seats, as in
	// the default configuration.
	connLimit = 50
	seats     = 25

	// maxShards is the largest number of shards in a simulation.
	maxShards = 200

	// docsPerShard is the number of documents that only one shard has. One
	// further document is in all shards, with the shard's number as revision.
	docsPerShard = 2

	// deadlineSlack is how long after the deadline of a query a reply is still
	// allowed.
	deadlineSlack = 0
)
