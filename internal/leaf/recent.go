package leaf

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// memory remembers the last request ids of searches that ran, as hashes, so
// that a checker can ask whether a refused request ran after all.
type memory struct {
	mu    sync.Mutex
	ring  []uint64
	next  int
	known map[uint64]int // hash to the number of its places in the ring
}

// resize forgets everything and remembers up to n ids from now on.
func (m *memory) resize(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ring = make([]uint64, n)
	m.next = 0
	m.known = make(map[uint64]int, n)
}

func (m *memory) add(id ident.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ring) == 0 {
		return
	}
	if old := m.ring[m.next]; m.known[old] > 1 {
		m.known[old]--
	} else {
		delete(m.known, old)
	}
	h := xxhash.Sum64String(string(id))
	m.ring[m.next] = h
	m.known[h]++
	m.next = (m.next + 1) % len(m.ring)
}

// ran returns those of the ids that are remembered.
func (m *memory) ran(ids []ident.RequestID) []ident.RequestID {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []ident.RequestID{}
	for _, id := range ids {
		if m.known[xxhash.Sum64String(string(id))] > 0 {
			list = append(list, id)
		}
	}
	return list
}
