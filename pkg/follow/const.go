package follow

import "time"

const (
	// BeatEvery is how often a source shows on a watch stream that it is alive.
	BeatEvery = 500 * time.Millisecond

	// silentAfter is when a source without messages is given up: three beats.
	// A change must be in force within 2 s also behind a silent source; with
	// five beats the p99 of 200 changes came to 1.84 s.
	silentAfter = 3 * BeatEvery

	// staleAfter is when a source is given up that stays behind this host's
	// own version, for example a control host without a majority.
	staleAfter = 2 * time.Second

	// askEvery is the time between two questions to random peers.
	askEvery = time.Second

	// AskTimeout is how long the answer to a question is waited for.
	AskTimeout = time.Second

	// pullTimeout is how long a pull may last without a message.
	pullTimeout = 3 * time.Second

	// preferEvery is how often a host on a lower tier asks a source of a
	// better tier whether it is back.
	preferEvery = time.Second

	// minBackoff and maxBackoff bound how long a failed source is left alone.
	minBackoff = 5 * time.Second
	maxBackoff = 30 * time.Second

	// retryEvery is the time between attempts while every source is left alone.
	retryEvery = 500 * time.Millisecond

	// KeptDeltas bounds the history of a source. A host that is further behind
	// gets a full copy.
	KeptDeltas = 1024
)
