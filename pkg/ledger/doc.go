// Package ledger records filings so that each runs at most once. An entry host
// reserves a filing before it sends it, which gives it a fence, a number that no
// other reservation of the same ledger group has. The outcome is kept for a
// retention time and returned if the caller sends the filing again.
//
// The ledger is a state machine without I/O or a clock of its own, which the
// control group replicates: the same commands in the same order give the same
// state on every host. Request ids can be partitioned among several ledger
// groups, each with its own Machine and fences; see GroupOf.
package ledger
