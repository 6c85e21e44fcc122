package admin

import (
	"errors"
	"net"
	"syscall"
)

// notSent reports whether err proves that the control host received no byte.
func notSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
