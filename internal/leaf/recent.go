package leaf

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// recentIDs records the request ids of the latest searches that ran, as hashes.
// A verifier uses it to find requests that were answered NotRun but ran.
type recentIDs struct {
	mu     sync.Mutex
	ring   []uint64
	next   int
	counts map[uint64]int // occurrences of each hash in ring
}

// resize clears the record and sets its capacity to n ids.
func (r *recentIDs) resize(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring = make([]uint64, n)
	r.next = 0
	r.counts = make(map[uint64]int, n)
}

func (r *recentIDs) add(id ident.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) == 0 {
		return
	}
	if old := r.ring[r.next]; r.counts[old] > 1 {
		r.counts[old]--
	} else {
		delete(r.counts, old)
	}
	h := xxhash.Sum64String(string(id))
	r.ring[r.next] = h
	r.counts[h]++
	r.next = (r.next + 1) % len(r.ring)
}

// remembered returns the given ids that are in the record.
func (r *recentIDs) remembered(ids []ident.RequestID) []ident.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []ident.RequestID{}
	for _, id := range ids {
		if r.counts[xxhash.Sum64String(string(id))] > 0 {
			list = append(list, id)
		}
	}
	return list
}
