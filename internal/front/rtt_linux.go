package front

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the kernel's smoothed round-trip time of a connection, or 0
// if it is not available.
func roundTrip(c net.Conn) time.Duration {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var trip time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			trip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return trip
}
