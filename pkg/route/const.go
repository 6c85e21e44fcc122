package route

import "time"

const (
	// latencyShare weighs a new latency: one answer 10 times slower than usual
	// nearly doubles the estimate, and ten usual ones undo most of it.
	latencyShare = 0.1

	// latencyHalfLife is how fast an unused estimate falls, so that an upstream
	// that was slow once is tried again.
	latencyHalfLife = 2 * time.Second

	// unmeasured is the latency assumed while no candidate was measured.
	unmeasured = time.Millisecond

	// loadTTL is the age at which a reported load no longer breaks ties.
	loadTTL = 2 * time.Second

	// tie is the ratio of expected waits within which candidates are equal.
	tie = 1.1

	// spill is the ratio of expected waits at which another domain is preferred
	// to the own one. Crossing domains costs about 1 ms each way.
	spill = 2

	// ejectAfter is the number of failures in a row that ejects.
	ejectAfter = 3

	// failWindow is the time without failure after which failures in a row
	// start anew.
	failWindow = 10 * time.Second

	// ejectFirst is the length of the first ejection. Each further one within
	// calmAfter of the last doubles it, up to ejectMost.
	ejectFirst = time.Second
	ejectMost  = 32 * time.Second
	calmAfter  = 60 * time.Second

	// hangLeast and hangFactor (times the usual latency) bound the time without
	// any result after which the requests of an upstream hang.
	hangLeast  = 100 * time.Millisecond
	hangFactor = 10

	// warmUp is the time over which a cold upstream's share of requests rises
	// from warmLeast to the full share.
	warmUp    = 10 * time.Second
	warmLeast = 0.1
)
