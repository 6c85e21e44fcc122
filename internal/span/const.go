package span

import "time"

const (
	defaultRingSpans = 8192 // spans kept in memory
	maxQueuedSpans   = 8192 // ended spans waiting to be exported; more are dropped
	exportInterval   = 500 * time.Millisecond
	defaultFileBytes = 64 << 20 // bytes of the current file, and of the previous one

	sampledFlag       = "01"
	traceparentFields = 4 // fields of a traceparent header
)
