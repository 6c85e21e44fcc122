// Package system holds the tests of the whole system: real processes of the
// program behind the fault proxy.
package system
