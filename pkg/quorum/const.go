package quorum

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	defaultElectionTimeout = 800 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond

	// leasePercent is the lease duration as a share of the election timeout.
	// The rest allows for clocks that run at slightly different rates.
	leasePercent = 90

	defaultBatchBytes = 256 << 10
	defaultChunkBytes = 256 << 10

	// maxInFlightEntries limits the entries sent to one follower that it has
	// not acknowledged yet.
	maxInFlightEntries = 4096

	// retainedEntries is the number of entries before a snapshot's index that
	// stay in memory, so that a follower that lags a little needs no snapshot.
	retainedEntries = 1024

	// maxLearnerLag is the number of entries that a learner may lack when it
	// becomes a voter.
	maxLearnerLag = 64
)

// minInstant is earlier than every instant that a process can observe.
const minInstant ident.Instant = math.MinInt64 / 2
