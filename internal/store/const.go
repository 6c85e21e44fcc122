package store

import "time"

const (
	// defaultSegmentBytes is the size at which the next write starts a new log
	// segment.
	defaultSegmentBytes = 1 << 20

	// defaultSlowSync is the duration above which a sync is reported as slow.
	defaultSlowSync = 500 * time.Millisecond

	// maxFrameBytes bounds the payload of one frame. A larger value in the
	// length field means that the frame is corrupt.
	maxFrameBytes = 256 << 20

	identityName = "identity.json"
	lockName     = "lock"
	logSuffix    = ".log"
	snapSuffix   = ".snap"
	tempSuffix   = ".tmp"
)
