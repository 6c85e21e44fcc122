package admin

import "time"

const (
	// readTimeout bounds one read, so that an unresponsive control host does not
	// use up the time for the others.
	readTimeout = 2 * time.Second

	// maxAnswerBytes bounds an answer. The configuration of 82,000 upstreams is
	// about 20 MB of JSON.
	maxAnswerBytes = 64 << 20
)
