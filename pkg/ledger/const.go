package ledger

import "time"

const (
	// SendWindow is how long after its first Reserve an entry host may send
	// the filing, by its own clock.
	SendWindow = 5 * time.Second

	// unknownAfter is the age at which a reservation without an outcome
	// becomes Unknown. It is well over SendWindow, so that no host can still
	// send a filing that is listed as Unknown.
	unknownAfter = 30 * time.Second

	// retention is how long a finished filing is kept for resends.
	retention = 7 * 24 * time.Hour

	// MaxFilings is the number of filings that one group keeps.
	MaxFilings = 200_000

	// MaxRequest is the longest request id in bytes.
	MaxRequest = 128

	// maxReceipt is the longest receipt that is kept, in bytes. Longer ones are cut.
	maxReceipt = 1024
)
