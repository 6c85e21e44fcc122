package ledger

import "time"

const (
	// SendWindow is how long after the first Reserve of an attempt the entry
	// host may send the filing, measured on the clock of that host.
	SendWindow = 5 * time.Second

	// unknownAfter is the age at which a reservation without an outcome
	// becomes Unknown. It is well above SendWindow, so that no host can still
	// send a filing that an operator sees as Unknown and may resolve.
	unknownAfter = 30 * time.Second

	// retention is how long the outcome of a finished filing is kept to answer
	// callers that send the filing again.
	retention = 7 * 24 * time.Hour

	// MaxFilings is the default limit of the number of filings in one ledger
	// group.
	MaxFilings = 200_000

	// MaxRequest is the largest length of a request id in bytes.
	MaxRequest = 128

	// maxReceipt is the largest length of a stored receipt in bytes. Longer
	// receipts are truncated.
	maxReceipt = 1024
)
