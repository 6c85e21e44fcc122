// Package engine decides how an entry host answers queries: which index
// version a query is pinned to, which upstreams are asked, when attempts are
// hedged, retried or cancelled, and what the answer covers. It is a reducer:
// Step takes one event and returns effects; it has no clock, does no I/O and
// is used by one goroutine.
package engine
