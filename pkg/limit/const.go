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

	// A pace slows down above a ratio, else it speeds up. While more important
	// classes were admitted within guardTime the ratio is 1 + slowdownGuarded
	// for the second class and half as much above 1 for the third. With 4 hosts
	// at twice capacity the p99 of Critical was 46 ms at 1.5 and 35 ms at 1.3.
	// Nearer to 1 the noise of latencies alone would start the pace.
	slowdownGuarded = 0.3
	slowdownFree    = 1.8
	guardTime       = time.Second

	// paceEvery is the interval between adjustments of a pace. It is several run
	// times of a query, so that an adjustment shows before the next one. An
	// adjustment needs paceAnswers since the last one.
	paceEvery   = 100 * time.Millisecond
	paceAnswers = 50

	// paceUp is the step up, in queries in flight. paceDown bounds the factor
	// down, and paceLeast the pace: one query a second, so that it recovers.
	paceUp    = 0.05
	paceDown  = 1.5
	paceLeast = 1 / float64(time.Second)

	// paceOff is the ratio of the pace to the rate of admissions at which the
	// pace is not needed any more.
	paceOff = 4

	// sparse is the gap between admissions, in run times of a query, beyond which
	// a host is not paced. 25 hosts that each send a query every 6 run times keep
	// the 4 slots of a service busy; pacing rarer queries only delayed them.
	sparse = 8

	// intervalShare weighs a new interval between two admissions.
	intervalShare = 0.1
)
