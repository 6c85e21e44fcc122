package link

import (
	"net"
	"syscall"
	"time"
)

// userTimeout is how long sent data may stay unacknowledged before the kernel
// gives a connection up. Without it a stream to a host that vanished, for
// example by a loss of power, lives for about 15 minutes of retransmissions.
const userTimeout = 10 * time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// detectVanished sets the user timeout. Without it only the timeouts of calls
// and streams hold, so errors are not reported.
func detectVanished(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}

// closedByPeer reports whether the peer has ended the connection, without
// waiting and without taking data from the reader. What cannot be told, such
// as a call that the system refuses, counts as open.
func closedByPeer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	// Control takes no lock of the reader, which is blocked in Read.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err == syscall.ECONNRESET
	})
	return ended || err != nil
}
