package relay

import "time"

const (
	// maxKeptTables is the number of recent documents kept for queries that
	// other hosts delegate. Bursts of configuration changes bring about 25
	// within 2 s.
	maxKeptTables = 32

	// connectionShare is the part of an upstream's connections that all hosts
	// together plan for. The rest covers hosts that are not known here, health
	// checks, and closed connections that the upstream still counts as open.
	connectionShare = 0.85

	// gathererShare is the part of an upstream's connections, and of the slack
	// for extra calls, that is reserved for gatherers.
	gathererShare = 0.7

	// helperShare is the part of a team's slack for extra calls that each helper
	// gets. The rest is for the gatherer, which calls the shards that helpers
	// could not answer.
	helperShare = 0.6

	// queueAtUpstream is how many calls beyond its slots a host sends to an
	// upstream. Other calls queue in this host, where a late one is dropped at
	// no cost.
	queueAtUpstream = 0

	// defaultConnections applies where the document states no limit.
	defaultConnections = 4

	// defaultLimit is how long a caller is assumed to wait if it does not say.
	defaultLimit = 10 * time.Second

	// deadlineMargin is subtracted from a caller's time limit for the return
	// path.
	deadlineMargin = 10 * time.Millisecond

	// targetMarginShare of the target, but at least minTargetMargin, is
	// subtracted from a target latency for the network between this host and
	// the caller, which this host does not measure.
	targetMarginShare = 0.06
	minTargetMargin   = 8 * time.Millisecond

	// serveTime is allowed, besides the round trip to the caller, for reading
	// the request and writing the answer.
	serveTime = 6 * time.Millisecond

	// initialDelegateMargin is subtracted from the target for the return latency
	// between two hosts until that has been observed. minDelegateLag and
	// maxDelegateLag bound the learned value: hosts with 0.134 cores take 2 to
	// 8 ms to send and read an answer.
	initialDelegateMargin = 4 * time.Millisecond
	minDelegateLag        = 3 * time.Millisecond
	maxDelegateLag        = 20 * time.Millisecond

	// delegateLagQuantile is the fraction of the answers sent by other hosts at
	// their due time that should arrive before the target. delegateLagStep
	// scales how far one answer moves the margin.
	delegateLagQuantile = 0.9
	delegateLagStep     = 500 * time.Microsecond

	// minDelegatedShards is the smallest number of shards that are delegated to
	// another host together; fewer are called directly.
	minDelegatedShards = 2

	// minHelperShards is the smallest number of a route's shards per helper, and
	// the smallest number of a query's shards that is divided among helpers. A
	// message to a helper costs about as much processor time as two calls, so
	// smaller parts would make the gatherer the bottleneck.
	minHelperShards = 16

	// skipShare is the part of the time remaining to the target that a shard's
	// expected latency must exceed for the shard to be skipped.
	skipShare = 0.9

	// overloadTime is how long a shard counts as overloaded after another host
	// has skipped it. About two calls to the shard end in that time.
	overloadTime = 60 * time.Millisecond

	// lateGrace is the part of the target for which an answer that has enough
	// shards but is already late still waits for the missing ones.
	lateGrace = 0.5

	// restShare is the part of a caller's time limit within which the rest of the
	// shards is waited for. What is left lets the caller try again.
	restShare = 0.5

	// maxPartial bounds the ended queries whose calls in flight other hosts may
	// still ask for.
	maxPartial = 1024

	// minRemainingShare is the part of the target that must be left for an
	// answer of another host to be expected in time.
	minRemainingShare = 0.25

	// maxArrivals bounds the calls for one part, rejected ones included.
	maxArrivals = 4

	// rejectPause is the backoff before upstreams that were full or unreachable
	// are called again.
	rejectPause = 8 * time.Millisecond

	// budgetPause is the backoff after a hedge was denied by the budget.
	budgetPause = 10 * time.Millisecond

	// retryAfter is the delay that a refused caller is told to wait.
	retryAfter = 50 * time.Millisecond

	// evacuatedRetry is the delay that a caller is told to wait while the domains of
	// all upstreams are evacuated. Operators withdraw an evacuation by hand, and a
	// withdrawal takes up to 2 s to reach all hosts.
	evacuatedRetry = time.Second

	// stopRetry is the delay that a caller is told to wait that a stopping host
	// refuses: other hosts can take the request at once.
	stopRetry = 10 * time.Millisecond

	// stopMargin is how many times the longest recent answer must fit before this
	// host ends for a request that may run once only to be sent.
	stopMargin = 2

	// longestDecay is the factor by which one answer reduces the longest recent one.
	longestDecay = 0.99

	// earlyCrashes is how many upstreams have to crash under calls that were sent
	// side by side, before any answer, for the other hosts to be told before the
	// other calls have ended. One connection breaks now and then.
	earlyCrashes = 2

	// crasherRetry is the delay that the caller of a request is told to wait that
	// has crashed upstreams; it is refused for longer.
	crasherRetry = time.Minute

	// maxLimitWait bounds the delay that a caller is told to wait for the limit of
	// an upstream. Callers that wait longer would miss the targets of all routes.
	maxLimitWait = time.Second
)

const (
	// crossDomainFactor times the typical latency, but at least
	// minCrossDomainCost, is the surcharge on an upstream in another domain: it
	// is picked only if it is faster by that much. With a factor of 0.5, queues
	// of one or two calls sent a fifth of the calls to another domain; with 4.0,
	// the queues in this domain cost more than the saved bytes.
	crossDomainFactor  = 2.0
	minCrossDomainCost = 3 * time.Millisecond

	// failCost is the expected loss of a call that fails.
	failCost = 150 * time.Millisecond

	// downCost ranks upstreams that do not accept connections behind all others.
	downCost = 10 * time.Second

	// endlessTime is how long an upstream is not chosen after an answer that did
	// not end. Each such answer costs a host the reading of up to 1 MiB.
	endlessTime = 5 * time.Second

	// downTime is how long an upstream is ranked last after a failed connection.
	downTime = time.Second

	// movedTime is how long an upstream is ejected when another one answers at
	// its address. Each call there would count as an extra call to the other's
	// service. The platform still lists a crashed upstream for some seconds.
	movedTime = 5 * time.Second

	// drainCost ranks a leaving upstream behind those that stay.
	drainCost = 5 * time.Second

	// drainGrace is how long a leaving upstream is still used if there is no
	// other.
	drainGrace = time.Second

	// maxPauseTold bounds how long a host leaves out a shard, after another host
	// has said that the upstreams there want no calls from it, before it asks again.
	maxPauseTold = time.Second

	// coldFactor is how much slower an upstream is just after its start.
	coldFactor = 1.6

	// stallFactor is the multiple of the expected latency, plus minStallTime,
	// after which a call in flight counts as stalled.
	stallFactor  = 2.5
	minStallTime = 5 * time.Millisecond

	// loadTTL is how long a reported load is used; its weight falls to zero over
	// that time.
	loadTTL = 150 * time.Millisecond

	// ewmaWeight is the weight of a new sample in moving averages.
	ewmaWeight = 0.2

	// medianStep is the factor by which one call moves the typical latency.
	medianStep = 1.02

	// forgetHalfLife is the half-life of what was learned of an upstream that is
	// not used.
	forgetHalfLife = 2 * time.Second

	// maxSlowdown and minSlowdown clamp each sample of an upstream's slowdown,
	// so that one pause during a short call does not mark the upstream as slow.
	maxSlowdown = 5
	minSlowdown = 0.5
)

const (
	// hedgeQuantile is the quantile of latencies after which a call is late. The
	// budget of 0.2 extra calls per request allows for it. With upstreams that
	// pause for 4% of the time and 1% of slow requests, the quantile 0.95 would
	// lie at the edge of the pauses.
	hedgeQuantile = 0.9

	// minHedgeShare and maxHedgeShare bound the hedge delay as parts of the
	// target.
	minHedgeShare = 0.08
	maxHedgeShare = 0.4

	// hedgeLeadFactor is how long before the target a hedge is sent, as a
	// multiple of the latency after which a call is late.
	hedgeLeadFactor = 1.5

	// initialTypicalShare is the latency assumed before any is known, as a part
	// of the target.
	initialTypicalShare = 0.15
)
