package engine

import "time"

const (
	// probeAfter is the silence after which an upstream is probed. Twenty
	// hosts then cost an idle upstream 20 small requests a second.
	probeAfter = time.Second

	// probeLost is the time after which a probe without a result has failed.
	probeLost = 3 * time.Second

	// trialEvery is the interval between attempts to an upstream whose probes
	// fail. Its search port may work while its health report does not.
	trialEvery = time.Second

	// replyMargin and replyMarginShare bound how long before its deadline a
	// query ends, so that the answer still reaches the caller in time.
	replyMargin      = 5 * time.Millisecond
	replyMarginShare = 20

	// maxPlans is the first plan of a query and two new ones at newer versions.
	maxPlans = 3

	// maxTries bounds the attempts of one task in one plan that may have run.
	maxTries = 3

	// naiveTries is the number of tries of PolicyNaiveRetry.
	naiveTries = 3

	// retryBurst and retryStart are the most and the first tokens of a retry
	// budget: enough to fail over from one upstream before it is ejected.
	retryBurst = 10
	retryStart = 5

	// hedgeSpare is the number of hedge tokens that the lesser classes leave to
	// the class that is shed last.
	hedgeSpare = 10

	// retryPause is the wait before an upstream that was tried gets another
	// attempt, and before room is looked for again.
	retryPause = 2 * time.Millisecond

	// pumpEvery is the interval at which a blocked queue is looked at, besides
	// the results that may free it.
	pumpEvery = 5 * time.Millisecond

	// runShare weighs a new query's run time in the mean of its index.
	runShare = 0.05

	// lateFactor is the number of hedge delays after which an attempt that the
	// deadline cuts off counts as a failure of its upstream.
	lateFactor = 2
)
