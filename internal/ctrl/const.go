package ctrl

import "time"

const (
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionTimeout = 800 * time.Millisecond

	// ticksPerHeartbeat is how often the reducer learns the time.
	ticksPerHeartbeat = 4

	// commandWait bounds how long a command waits for a leader and its outcome.
	commandWait = 3 * time.Second

	// leaderPoll is the pause before a command looks for a leader again.
	leaderPoll = 50 * time.Millisecond

	// maxWaiting bounds the commands that wait for their outcome here.
	maxWaiting = 4096

	// inboxSize bounds the messages of other members that wait to be handled;
	// more are dropped, as on a lossy network.
	inboxSize = 1024

	// reopenPause is the time between attempts to open a failed data folder.
	reopenPause = time.Second

	// slowShown is how long the status shows the last slow sync.
	slowShown = time.Minute

	// defaultSnapshotBytes is the least size of the log at which it is
	// replaced by a snapshot. A larger snapshot raises it to its own size.
	defaultSnapshotBytes = 512 << 10

	// maxUnresolved bounds the list of filings for operators.
	maxUnresolved = 1000

	// meterEvery is how often gauges are set and metrics reported.
	meterEvery = time.Second

	maxBody         = 1 << 20 // bytes
	readTimeout     = 5 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = 5 * time.Second
)

// platformEvery is the time between two reads of the platform's list.
const platformEvery = time.Second
