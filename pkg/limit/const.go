package limit

import "time"

const (
	// shortShare and steadyShare weigh a new latency in the short and the steady
	// mean, fallShare a steady mean that is below the long one. The short mean
	// would do for that too, but its noise kept the long one a third too low
	// with widely spread latencies. The long mean rises with riseTime, so
	// that queues that grow under load show as a gap between the two. A rise per
	// answer hid an overload of 16 requests on 4 slots within a second.
	shortShare  = 0.1
	steadyShare = 0.02
	fallShare   = 0.02
	riseTime    = 2 * time.Minute
	riseMost    = time.Second

	// outlier is the multiple of the short mean at which a latency is cut, so
	// that a single straggler does not look like a growing queue.
	outlier = 3

	// growth is the ratio of short to long mean latency that counts as overload.
	growth = 2

	// shrink is the factor by which overload reduces a limit, at most once per
	// shrinkPause so that one burst of failures counts once.
	shrink      = 0.7
	shrinkPause = 100 * time.Millisecond

	// millionths is the resolution of token counts. Whole numbers keep the sum
	// of many small deposits exact.
	millionths = 1_000_000

	// SlowdownMost cuts the slowdown of one answer, so that stragglers do not
	// look like overload. It stands for a request that was shed.
	SlowdownMost = 4

	// A pace slows down above a ratio, else it speeds up. The first two ratios
	// hold while more important classes were admitted within guardTime. With 4
	// hosts at twice capacity the p99 of Critical was 2.8 times the unloaded one
	// at 1.3 and 1.15, and up to 2.2 times at 1.13 and 1.08. With the same ratio
	// for both classes Standard was shed more than half as often as Tolerant.
	slowdownSecond = 1.11
	slowdownThird  = 1.06
	slowdownFree   = 1.8
	guardTime      = time.Second

	// paceEvery is the interval between adjustments of a pace. It is several run
	// times of a query, so that an adjustment shows before the next one. An
	// adjustment needs paceAnswers since the last one: among 50 answers, two
	// stragglers alone raise the mean slowdown by 0.12.
	paceEvery   = 100 * time.Millisecond
	paceAnswers = 100

	// paceUp is the step up, in queries in flight. paceDown bounds the factor
	// down. While the slowdown is below calmShare of what is allowed, the pace
	// also rises by the factor paceCalm: by steps alone it allowed only 535
	// queries a second 10 s after an overload.
	paceUp    = 0.05
	paceDown  = 1.5
	paceCalm  = 1.2
	calmShare = 0.25

	// paceOff is the ratio of the pace to the rate of admissions at which the
	// pace is not needed any more.
	paceOff = 4

	// sparse is the gap between admissions, in run times of a query, beyond which
	// a host is not paced. 25 hosts that each send a query every 6 run times keep
	// the 4 slots of a service busy; pacing rarer queries only delayed them.
	// It also bounds the interval of a pace, which at one query a second had too
	// few answers to recover from.
	sparse = 8

	// intervalShare weighs a new interval between two admissions.
	intervalShare = 0.1
)
