//go:build !race

package quorum_test

// histories is the number of random histories unless -rapid.checks is given.
const histories = "2000"
