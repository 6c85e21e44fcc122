// Package ports finds loopback addresses for processes that must know their
// addresses before they listen.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

const (
	// lowest and highest bound the ports below those that the system gives to
	// outgoing connections. A port from there can be taken before it is used.
	lowest  = 12_000
	highest = 32_000

	tries = 200
)

// given holds the ports that were returned before. They may not be used yet, so
// that a second process would get the same one.
var (
	mu    sync.Mutex
	given = make(map[int]bool)
)

// Free returns a loopback address whose port is free now and that it has not
// returned before.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		if given[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		given[port] = true
		return address, l.Close()
	}
	return "", errors.Errorf("no free port between %d and %d on loopback: end processes that listen there", lowest, highest)
}
