package link

import (
	"net"
	"syscall"
	"time"
)

// userTimeout is how long sent data may stay unacknowledged before the kernel
// closes the connection. Without it, a stream to a host that lost power stays
// open for about 15 minutes of retransmissions.
const userTimeout = 10 * time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not
// define.
const tcpUserTimeout = 0x12

// setUserTimeout sets TCP_USER_TIMEOUT. It ignores errors, since the timeouts of
// calls and writes still apply without the option.
func setUserTimeout(conn net.Conn) {
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

// closedByPeer reports whether the peer has closed the connection. It peeks at
// the socket, so it neither blocks nor consumes data of the reader. If
// the system call fails for another reason, the connection counts as open.
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
	// Control does not wait for the reader, which is blocked in Read.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err == syscall.ECONNRESET
	})
	return ended || err != nil
}
