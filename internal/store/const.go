package store

import "time"

const (
	// defaultSegmentBytes is the size at which a log segment is closed.
	defaultSegmentBytes = 1 << 20

	// defaultSlowSync is the time over which a sync is reported as slow.
	defaultSlowSync = 500 * time.Millisecond

	// maxFrameBytes bounds one record; a longer length field is damage.
	maxFrameBytes = 256 << 20

	identityName = "identity.json"
	lockName     = "lock"
	logSuffix    = ".log"
	snapSuffix   = ".snap"
	tempSuffix   = ".tmp"
)
