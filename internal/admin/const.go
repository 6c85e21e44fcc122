package admin

import "time"

const (
	// maxAsk bounds one read, so that a silent control host does not use up
	// the time for the others.
	maxAsk = 2 * time.Second

	// maxAnswer bounds an answer; the configuration of 82,000 upstreams is
	// about 20 MB of JSON.
	maxAnswer = 64 << 20 // bytes
)
