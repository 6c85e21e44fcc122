package relay

import "time"

const (
	// keptTables is the number of documents kept for queries of other hosts;
	// storms of changes bring about 25 in 2 s.
	keptTables = 32

	// connectionShare is the part of an upstream's connections that all hosts
	// together plan for. The rest covers hosts that are not seen, health checks
	// and connections that an upstream has not noticed to be closed.
	connectionShare = 0.85

	// gathererShare is the part of an upstream's connections, and of the slack
	// for extra calls, that gatherers get.
	gathererShare = 0.7

	// helperShare is the part of a team's slack for extra calls that each helper
	// gets; the gatherer, which calls shards that helpers give back, has the
	// rest.
	helperShare = 0.6

	// queueAtUpstream is how many calls more than an upstream has slots a host
	// sends there. The rest wait here, where a late one is dropped at no cost.
	queueAtUpstream = 0

	// defaultConnections holds where the document states no limit.
	defaultConnections = 4

	// defaultLimit is how long a caller is assumed to wait if it does not say.
	defaultLimit = 10 * time.Second

	// deadlineMargin is kept of a caller's time for the way back.
	deadlineMargin = 10 * time.Millisecond

	// targetMargin and leastTargetMargin are kept of a target latency for the
	// ways to and from the caller, which this host does not see.
	targetMargin      = 0.06
	leastTargetMargin = 8 * time.Millisecond

	// serveTime is kept besides the round trip to the caller for reading the
	// request and writing the answer.
	serveTime = 6 * time.Millisecond

	// handMargin is kept of the target for the way back between two hosts until
	// it has been observed; leastHandLag and mostHandLag bound what is learned.
	// Hosts of 0.134 cores take 2 to 8 ms to send and read an answer.
	handMargin   = 4 * time.Millisecond
	leastHandLag = 3 * time.Millisecond
	mostHandLag  = 20 * time.Millisecond

	// handQuantile of the answers that other hosts send at the time they were
	// asked for come before the target; handStep is how far one answer moves
	// the margin.
	handQuantile = 0.9
	handStep     = 500 * time.Microsecond

	// leastHand is the smallest number of shards that are handed to another
	// host together; fewer are called directly.
	leastHand = 2

	// leastSlice is the smallest number of a route's shards for which a helper
	// is used, and of a query's shards that are shared among helpers. A message to a helper costs about as much processor time as two
	// calls, so finer slices would make the gatherer the slowest part.
	leastSlice = 16

	// skipShare is the part of the time to the target that a shard's expected
	// latency must exceed to be skipped.
	skipShare = 0.9

	// busyTime is how long a shard counts as overloaded after another host has
	// skipped it; about two calls end there in that time.
	busyTime = 60 * time.Millisecond

	// lateGrace is the part of the target that a late answer waits for missing
	// shards once it has enough of them.
	lateGrace = 0.5

	// leastLeft is the part of the target that must be left for an answer of
	// other hosts to be expected in time.
	leastLeft = 0.25

	// maxArrivals bounds the calls for one part, rejected ones included.
	maxArrivals = 4

	// rejectPause is the wait before an upstream that was full is asked again.
	rejectPause = 8 * time.Millisecond

	// budgetPause is the wait before a hedge that found no budget looks again.
	budgetPause = 10 * time.Millisecond

	// retryAfter is the pause that a refused caller is told.
	retryAfter = 50 * time.Millisecond
)

const (
	// crossFactor and crossLeast price an upstream in another domain, in parts
	// of the typical latency: it must be that much faster to be taken. On days
	// of hanbit-jt 0.5 sent a fifth of the calls to another domain because of
	// queues of one or two calls; 4.0 left queues that cost more than the bytes.
	crossFactor = 2.0
	crossLeast  = 3 * time.Millisecond

	// failCost is the expected loss of a call that fails.
	failCost = 150 * time.Millisecond

	// downCost ranks upstreams that do not accept connections behind all others.
	downCost = 10 * time.Second

	// downTime is how long a failed connection keeps an upstream last.
	downTime = time.Second

	// goneTime is how long an upstream at whose address another one answers is
	// left alone. Each call there would count as an extra call to the other's
	// service. The platform lists a crashed upstream for some seconds.
	goneTime = 5 * time.Second

	// drainCost ranks a draining upstream behind all that stay.
	drainCost = 5 * time.Second

	// drainUse is how long a draining upstream is used where no other is left.
	drainUse = time.Second

	// coldFactor is how much slower an upstream is just after its start.
	coldFactor = 1.6

	// stallFactor is the multiple of the expected latency after which a call
	// in progress counts as stalled, and stallLeast its lower bound.
	stallFactor = 2.5
	stallLeast  = 5 * time.Millisecond

	// loadLife is how long a reported load is believed.
	loadLife = 150 * time.Millisecond

	// learnRate is the weight of a new sample in moving averages.
	learnRate = 0.2

	// medianStep is the factor by which one call moves the typical latency.
	medianStep = 1.02

	// forgetTime halves what was learned of an upstream that is not used.
	forgetTime = 2 * time.Second

	// slowest and fastest bound an upstream's learned factor. One pause in the
	// middle of a short call is no sign of a slow upstream.
	slowest = 5
	fastest = 0.5
)

const (
	// hedgeQuantile is the quantile of latencies after which a call is late. The
	// budget of 0.2 extra calls a request allows it. Upstreams that pause for
	// 4% of the time, with 1% of slow requests, put the quantile 0.95 at the
	// edge of the pauses.
	hedgeQuantile = 0.9

	// hedgeLeast and hedgeMost bound the hedge delay in parts of the target.
	hedgeLeast = 0.08
	hedgeMost  = 0.4

	// hedgeTime is how long before the target a second call is sent, in parts of
	// the latency after which a call is late.
	hedgeTime = 1.5

	// firstTypical is the latency assumed before any is known, as a part of
	// the target.
	firstTypical = 0.15
)
