//go:build !linux

package link

import "net"

// detectVanished does nothing: only Linux has a user timeout for TCP.
func detectVanished(net.Conn) {}
