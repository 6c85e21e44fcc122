//go:build !race

package system_test

// memoryFactor is the memory of the daemons in these tests, relative to that of a release.
const memoryFactor = 1
