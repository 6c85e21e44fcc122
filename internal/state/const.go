package state

import "time"

const (
	// expireEvery is how often reservations are looked at for expiry, and
	// pruneEvery how often finished filings are.
	expireEvery = 2 * time.Second
	pruneEvery  = time.Hour

	// keptDeltas is the number of changes kept for subscribers that are behind.
	keptDeltas = 1024
)
