package dial

import (
	"net"
	"syscall"
)

// alive reports whether an idle connection is still usable. Unread data or an
// end of file on it means that it is not: no response is due, and an end of file
// means that the peer has closed it.
func alive(c net.Conn) bool {
	if wrapped, ok := c.(*conn); ok {
		c = wrapped.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		open = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
