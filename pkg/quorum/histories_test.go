//go:build !race

package quorum_test

// defaultChecks is the number of random histories unless -rapid.checks is given.
const defaultChecks = "2000"
