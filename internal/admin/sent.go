package admin

import (
	"errors"
	"net"
	"syscall"
)

// notSent reports whether err proves that no byte reached the control host.
func notSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
