package limit

import "time"

const (
	// shortShare and longShare weigh a new latency in the short and the long
	// mean. The long mean follows rises slowly, so that growing queues show as
	// a gap between the two.
	shortShare = 0.2
	fallShare  = 0.1
	riseShare  = 0.002

	// growth is the ratio of short to long mean latency that counts as overload.
	// One sample 10 times slower than usual raises the ratio to 2.8 only.
	growth = 3

	// shrink is the factor by which overload reduces a limit, at most once per
	// shrinkPause so that one burst of failures counts once.
	shrink      = 0.7
	shrinkPause = 100 * time.Millisecond

	// millionths is the resolution of token counts. Whole numbers keep the sum
	// of many small deposits exact.
	millionths = 1_000_000

	// intervalShare weighs a new interval between two admissions.
	intervalShare = 0.1
)
