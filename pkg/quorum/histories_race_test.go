//go:build race

package quorum_test

// histories is lower with the race detector, which makes them 6 times
// slower and cannot find anything in code of one goroutine.
const histories = "300"
