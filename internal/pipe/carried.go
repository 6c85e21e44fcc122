package pipe

import (
	"hash/maphash"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// maxRejected is the number of rejected requests after which a connection is
	// replaced, which bounds what is remembered of it.
	maxRejected = 256

	// maxRecent is how many of the last requests are remembered whatever came of
	// them, for callers that use an id again.
	maxRecent = 64
)

// idHash is the hash of a request id.
type idHash uint64

func hashOf(seed maphash.Seed, id ident.RequestID) idHash {
	return idHash(maphash.String(seed, string(id)))
}

// carried remembers which requests a connection has carried. An upstream may send a
// second copy of an answer late, and only the request's id tells it from the answer
// to the next call. A request that is sent again to the same upstream, after that
// has rejected it, therefore needs another connection.
type carried struct {
	rejected []idHash
	recent   []idHash
	oldest   int // position in recent, once that is full
}

func (c *carried) add(id idHash) {
	if len(c.recent) < maxRecent {
		c.recent = append(c.recent, id)
		return
	}
	c.recent[c.oldest] = id
	c.oldest = (c.oldest + 1) % maxRecent
}

func (c *carried) addRejected(id idHash) { c.rejected = append(c.rejected, id) }

func (c *carried) has(id idHash) bool {
	return slices.Contains(c.rejected, id) || slices.Contains(c.recent, id)
}

func (c *carried) full() bool { return len(c.rejected) >= maxRejected }
