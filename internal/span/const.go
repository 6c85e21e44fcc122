package span

import "time"

const (
	defaultRing    = 8192 // spans kept in memory
	maxQueue       = 8192 // ended spans that wait for their export; more are dropped
	exportInterval = 500 * time.Millisecond
	defaultFile    = 64 << 20 // bytes of the current file and of the earlier one

	sampledFlag = "01"
	parentParts = 4 // of a traceparent
)
