package state

import "time"

const (
	// expireInterval is how often the leader proposes ledger.Expire while there
	// are reservations, and pruneInterval while there are finished filings.
	expireInterval = 2 * time.Second
	pruneInterval  = time.Hour

	// keptDeltas is the number of configuration changes kept for subscribers
	// that lag. The list grows to twice this number before it is trimmed.
	keptDeltas = 1024
)
