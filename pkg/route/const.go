package route

import "time"

const (
	// latencyWeight is the EWMA weight of a new latency: one answer 10 times
	// slower than usual nearly doubles the estimate, and ten usual ones undo
	// most of it.
	latencyWeight = 0.1

	// latencyHalfLife is the half-life of an estimate that gets no new latency,
	// so that an upstream that was slow once is tried again.
	latencyHalfLife = 2 * time.Second

	// defaultLatency is assumed while no candidate has an estimate.
	defaultLatency = time.Millisecond

	// loadTTL is the age at which a reported load no longer breaks ties.
	loadTTL = 2 * time.Second

	// tieRatio is the ratio of expected waits within which candidates are
	// equal.
	tieRatio = 1.1

	// crossDomainRatio is the ratio of expected waits above which an upstream
	// in another domain is preferred to one in the host's own domain. Crossing
	// domains costs about 1 ms each way.
	crossDomainRatio = 2

	// ejectFailures is the number of consecutive failures that ejects.
	ejectFailures = 3

	// failureWindow is the time without failure after which the count of
	// consecutive failures restarts.
	failureWindow = 10 * time.Second

	// minEjection is the length of the first ejection. Each further one within
	// ejectionReset of the end of the last doubles it, up to maxEjection.
	minEjection   = time.Second
	maxEjection   = 32 * time.Second
	ejectionReset = 60 * time.Second

	// The requests of an upstream count as hanging after hangFactor times its
	// usual latency, but at least minHang, without any result.
	minHang    = 100 * time.Millisecond
	hangFactor = 10

	// slowStart is the time over which a cold upstream's share of requests
	// rises from minSlowStartShare to the full share.
	slowStart         = 10 * time.Second
	minSlowStartShare = 0.1
)
