package ctrl

import "time"

const (
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionTimeout = 800 * time.Millisecond

	// ticksPerHeartbeat is the number of times per heartbeat that the reducer
	// receives the current time.
	ticksPerHeartbeat = 4

	// commandTimeout bounds the wait of a command for a leader and its outcome.
	commandTimeout = 3 * time.Second

	// leaderRetryDelay is the pause before a command that found no leader is
	// attempted again.
	leaderRetryDelay = 50 * time.Millisecond

	// maxPendingRequests bounds the requests on this host that wait for their
	// outcome.
	maxPendingRequests = 4096

	// inboxCapacity bounds the queued messages of other members. Messages beyond
	// it are dropped; the log's protocol tolerates loss.
	inboxCapacity = 1024

	// reopenInterval is the time between attempts to open a failed data folder.
	reopenInterval = time.Second

	// diskWarningReportTime is how long the status reports a slow sync or a
	// snapshot that could not be written.
	diskWarningReportTime = time.Minute

	// defaultSnapshotBytes is the log size at which a snapshot replaces the log.
	// If the last snapshot is larger, the log may grow to the snapshot's size.
	defaultSnapshotBytes = 512 << 10

	// maxUnresolvedFilings bounds the unresolved filings listed for operators.
	maxUnresolvedFilings = 1000

	// metricsInterval is the time between two updates of the gauges and reports
	// of the metrics.
	metricsInterval = time.Second

	// MaxBodyBytes bounds the body of an operator's request.
	MaxBodyBytes    = 1 << 20
	readTimeout     = 5 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = 5 * time.Second
)

// platformListInterval is the time between two reads of the platform's list.
const platformListInterval = time.Second
