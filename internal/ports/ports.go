// Package ports finds loopback addresses for processes that must know their
// addresses before they listen.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// lowest and highest bound the ports below those that the system gives to
	// outgoing connections. A port from there can be taken before it is used.
	lowest  = 12_000
	highest = 32_000

	tries = 200
)

// Free returns a loopback address whose port is free now.
func Free() (string, error) {
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.Errorf("no free port between %d and %d on loopback: end processes that listen there", lowest, highest)
}
