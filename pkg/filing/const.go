package filing

import "time"

const (
	// defaultMaxOpen is the number of filings in progress of one host.
	defaultMaxOpen = 10_000

	// minBackoff and maxBackoff bound the wait before a ledger command is
	// repeated. The wait doubles and is jittered by a quarter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	// askTimeout is how long the answer to a ledger command is waited for
	// before it is repeated.
	askTimeout = 2 * time.Second

	// recordWait is how long a reply waits for the outcome to be recorded, so
	// that a resend through another host finds it. The outcome holds without.
	recordWait = time.Second

	// maxSends is the number of sends of one arrival, each under its own
	// fence and only if all earlier ones provably did not run.
	maxSends = 2
)

// Remedies of replies.
const (
	remedyBusy     = "this host has too many filings in progress: send it again with the same id"
	remedyNoLedger = "this request was not sent, the ledger did not grant it in time: send it again with the same id, an earlier outcome of the id stands"
	remedyResend   = "the filing did not run: send it again with the same id"
	remedyInFlight = "the filing is being sent for another request with the same id: ask again with the same id"
	remedyUnknown  = "the filing may have run: ask again with the same id, an operator resolves it, do not file it under another id"
)
