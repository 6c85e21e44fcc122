//go:build race

package system_test

// memoryFactor is the memory of the daemons in these tests, relative to that of a release.
// The race detector needs more: up to 2.7 times was measured.
const memoryFactor = 4
