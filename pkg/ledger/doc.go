// Package ledger records filings so that each runs at most once: a filing is
// reserved under a fence before it is sent, and its outcome is kept for
// resends. It is a pure state machine that the control group replicates; the
// same commands in the same order give the same state on every host.
package ledger
