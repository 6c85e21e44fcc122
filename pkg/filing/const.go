package filing

import "time"

const (
	// defaultMaxOpen is the default of Config.MaxOpen.
	defaultMaxOpen = 10_000

	// minBackoff and maxBackoff bound the wait before a failed ledger command
	// is repeated. The wait doubles each time, with a jitter of a quarter up or
	// down.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	// commandTimeout is how long the reducer waits for the result of a ledger
	// command before it repeats the command.
	commandTimeout = 2 * time.Second

	// recordTimeout is how long a reply waits for the ledger to record the
	// outcome, so that a resend through another host finds it there. The
	// outcome is final by then, so the reply goes out even if it is not
	// recorded yet.
	recordTimeout = time.Second

	// maxSends bounds the sends of one arrival. Each has its own fence, and a
	// further one is made only if all earlier ones provably did not run.
	maxSends = 2
)

// Values of Reply.Remedy.
const (
	remedyBusy     = "this host has too many filings in progress: send it again with the same id"
	remedyNoLedger = "this request was not sent, the ledger did not grant it in time: send it again with the same id, an earlier outcome of the id stands"
	remedyResend   = "the filing did not run: send it again with the same id"
	remedyInFlight = "the filing is being sent for another request with the same id: ask again with the same id"
	remedyUnknown  = "the filing may have run: ask again with the same id, an operator resolves it, do not file it under another id"
)
