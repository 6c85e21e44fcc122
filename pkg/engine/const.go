package engine

import "time"

const (
	// probeInterval is the time without a version report after which an
	// upstream is probed. With 20 hosts, an idle upstream gets 20 small
	// requests per second.
	probeInterval = time.Second

	// probeTimeout is the time after which a probe without a result has failed.
	probeTimeout = 3 * time.Second

	// trialInterval is the interval between attempts to an upstream whose
	// probes fail. Its search port may work while its health endpoint does not.
	trialInterval = time.Second

	// A query ends before its deadline by replyMargin, or by 1 /
	// replyMarginDivisor of its time if that is shorter, so that the answer
	// reaches the caller in time.
	replyMargin        = 5 * time.Millisecond
	replyMarginDivisor = 20

	// maxPlans allows the first plan of a query and two more at newer index
	// versions.
	maxPlans = 3

	// maxAttempts bounds the attempts for one task of one plan. Those that
	// failed with Draining, VersionGone or WrongShard do not count.
	maxAttempts = 3

	// naiveMaxAttempts is maxAttempts for PolicyNaiveRetry.
	naiveMaxAttempts = 3

	// retryBurst and retryStart are the capacity and the initial tokens of a
	// retry budget: enough to fail over from one upstream before it is ejected.
	retryBurst = 10
	retryStart = 5

	// hedgeReserve is the number of hedge tokens reserved for the class that is
	// shed last.
	hedgeReserve = 10

	// retryDelay is the wait before upstreams that were already tried get
	// another attempt, and the shortest wait before hedging is reconsidered.
	retryDelay = 2 * time.Millisecond

	// roomPollInterval is the interval at which blocked queues and waiting
	// tasks look for room. Results of attempts also trigger that.
	roomPollInterval = 5 * time.Millisecond

	// runTimeWeight is the EWMA weight of a new run time of a query.
	runTimeWeight = 0.05

	// lateFactor is the number of hedge delays after which an attempt that has
	// no answer counts as a failure of its upstream.
	lateFactor = 2
)
