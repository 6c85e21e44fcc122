//go:build race

package quorum_test

// defaultChecks is the number of random histories unless -rapid.checks is given.
// It is lower with the race detector, which makes a history 6 times slower and
// cannot find anything in code of one goroutine.
const defaultChecks = "300"
