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

	// defaultSnapshotBytes is the least size of the log at which it is
	// replaced by a snapshot. A larger snapshot raises it to its own size.
	defaultSnapshotBytes = 512 << 10

	// queueSize bounds the messages that wait for one member.
	queueSize = 256

	// callBytes bounds the entry data of one call to a member. A message may
	// exceed it by its own size, which is well below the limit of the link.
	callBytes = 1 << 20

	// peerTimeout bounds one call to a member, so that a member that was cut
	// off silently is reached soon after its return.
	peerTimeout = 500 * time.Millisecond

	// controlRole is the role in the certificates of control hosts.
	controlRole = "control"

	// expireEvery is how often reservations are looked at for expiry, and
	// pruneEvery how often finished filings are.
	expireEvery = 2 * time.Second
	pruneEvery  = time.Hour

	// maxUnresolved bounds the list of filings for operators.
	maxUnresolved = 1000

	// keptDeltas is the number of changes kept for subscribers that are behind.
	keptDeltas = 1024

	// deltasPerUpdate and upstreamsPerPart keep messages well below the limit of the link.
	deltasPerUpdate  = 256
	upstreamsPerPart = 2048

	// aliveEvery is the time between updates that only tell the version.
	aliveEvery = time.Second

	maxBody         = 1 << 20 // bytes
	readTimeout     = 5 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = 5 * time.Second
)
