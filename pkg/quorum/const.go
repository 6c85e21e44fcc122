package quorum

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	defaultElectionTimeout = 800 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond

	// leasePercent is the share of the election timeout that a lease lasts.
	// The rest allows for clocks that run at slightly different rates.
	leasePercent = 90

	defaultBatchBytes = 256 << 10
	defaultChunkBytes = 256 << 10

	// maxInFlight bounds the entries sent to one follower and not yet
	// acknowledged by it.
	maxInFlight = 4096

	// keptEntries is the number of entries kept in memory behind a snapshot,
	// so that a follower that lags a little needs no snapshot.
	keptEntries = 1024

	// promoteLag is the number of entries that a learner may lack when it
	// becomes a voter.
	promoteLag = 64
)

// never is earlier than every instant a process can see.
const never ident.Instant = math.MinInt64 / 2
