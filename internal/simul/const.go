package simul

import "time"

const (
	// hop is the one-way delay between an entry host and an upstream.
	hop = 200 * time.Microsecond

	// probeTimeout is how long a host waits for a health report.
	probeTimeout = 500 * time.Millisecond

	// serviceTime and serviceSpread give the usual time of one leaf call: the
	// sum of a fixed and an exponentially distributed part.
	serviceTime   = 4 * time.Millisecond
	serviceSpread = 500 * time.Microsecond

	// slots and queueBound are the calls a leaf runs and holds at once.
	slots      = 2
	queueBound = 8

	// connLimit and seats follow Thesiswell's review-panel.
	connLimit = 50
	seats     = 25

	// maxShards bounds the shards of a driven deployment.
	maxShards = 200

	// docsPerShard is the number of documents in every shard. One further
	// document is in all shards, with the shard's number as revision.
	docsPerShard = 2

	// slack is the time after the deadline of a query at which its answer
	// counts as late.
	slack = 0
)
