//go:build !linux

package link

import "net"

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists on Linux only.
func setUserTimeout(net.Conn) {}

// closedByPeer always returns false: there is no portable way to peek at a
// connection that another goroutine reads.
func closedByPeer(net.Conn) bool { return false }
