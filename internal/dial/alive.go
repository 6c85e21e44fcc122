package dial

import (
	"net"
	"syscall"
)

// alive reports whether an idle connection is still open at the other end. A
// byte or an end of file waiting to be read means that it is not usable.
func alive(c net.Conn) bool {
	if w, ok := c.(*conn); ok {
		c = w.Conn
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
