package limit

import "time"

const (
	// shortWeight and steadyWeight are the EWMA weights of a new latency in the
	// short and the steady mean. fallWeight is the weight at which the baseline
	// follows a steady mean below it. The baseline does not follow the short
	// mean: with widely spread latencies its noise kept the baseline a third
	// too low. Upwards the baseline moves with the time constant riseTime, so
	// that queues that grow under load show as a gap between short mean and
	// baseline. A rise per answer instead of per time hid an overload of 16
	// requests on 4 slots within a second. maxRiseGap caps the time credited to
	// one answer.
	shortWeight  = 0.1
	steadyWeight = 0.02
	fallWeight   = 0.02
	riseTime     = 2 * time.Minute
	maxRiseGap   = time.Second

	// outlierFactor is the multiple of the short mean at which a latency is
	// cut, so that a single straggler does not look like a growing queue.
	outlierFactor = 3

	// overloadRatio is the ratio of the short mean to the baseline latency that
	// counts as overload.
	overloadRatio = 2

	// shrinkFactor is the factor by which overload reduces a limit, at most
	// once per shrinkInterval so that one burst of failures counts once.
	shrinkFactor   = 0.7
	shrinkInterval = 100 * time.Millisecond

	// tokenUnits is the number of units per token. Integers keep the sum of
	// many small deposits exact.
	tokenUnits = 1_000_000

	// MaxSlowdown caps the slowdown of one answer, so that stragglers do not
	// look like overload. It is also the slowdown recorded for a shed request.
	MaxSlowdown = 4

	// Mean slowdowns above which a Pace lowers its rate; below them it raises
	// it. The ratios of ranks 1 and 2 apply if a more important class was
	// admitted within guardPeriod. With 4 hosts at twice capacity, the p99 of
	// Critical was 2.8 times its unloaded value at ratios of 1.3 and 1.15, and
	// up to 2.2 times at 1.13 and 1.08. With equal ratios for both ranks,
	// Standard was shed more than half as often as Tolerant.
	slowdownRank1     = 1.11
	slowdownRank2     = 1.06
	slowdownUnguarded = 1.8
	guardPeriod       = time.Second

	// adjustInterval is the least time between adjustments of a Pace. It spans
	// several run times of a query, so that an adjustment takes effect before
	// the next one. An adjustment also needs minAdjustAnswers since the last
	// one: among 50 answers, two stragglers alone raise the mean slowdown by
	// 0.12.
	adjustInterval   = 100 * time.Millisecond
	minAdjustAnswers = 100

	// rateStep is the increase of the rate per adjustment, in queries in
	// flight. maxRateCut is the largest factor by which one adjustment lowers
	// the rate. While the mean slowdown exceeds 1 by less than calmFraction of
	// the allowed excess, the rate is also multiplied by calmFactor: with steps
	// alone only 535 queries per second were allowed 10 s after an overload.
	rateStep     = 0.05
	maxRateCut   = 1.5
	calmFactor   = 1.2
	calmFraction = 0.25

	// unpacedRatio is the ratio of the allowed rate to the rate of admissions
	// above which pacing ends.
	unpacedRatio = 4

	// sparseRuns is the gap between admissions, in run times of a query, beyond
	// which a host is not paced. 25 hosts that each send a query every 6 run
	// times keep the 4 slots of a service busy; pacing rarer queries only
	// delayed them. It also bounds the interval between paced admissions: at
	// one query per second, a Pace got too few answers to recover.
	sparseRuns = 8

	// gapWeight is the EWMA weight of a new gap between two admissions.
	gapWeight = 0.1
)
