// Package system holds the tests of the whole system. They run the program as
// real processes, with fault proxies in front of the control hosts.
package system
