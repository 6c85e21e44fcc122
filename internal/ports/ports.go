// Package ports picks free loopback addresses for processes whose address must
// be known before they listen.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minPort and maxPort stay below the usual ephemeral port range: an outgoing
	// connection could take a port of that range before the process listens.
	minPort = 12_000
	maxPort = 32_000

	maxAttempts = 200
)

// returned records the ports that Free has returned. Nothing may listen on them
// yet, so without this record a second call could return the same port.
var (
	mu       sync.Mutex
	returned = make(map[int]bool)
)

// Free returns a loopback address (IP:port) whose port is currently free and
// that this process has not received from Free before.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		if returned[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		returned[port] = true
		return address, l.Close()
	}
	return "", errors.Errorf("no free port between %d and %d on loopback: stop processes that listen there", minPort, maxPort)
}
