package follow

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// History holds what a source serves to hosts that are behind: the newest
// state and the last deltas that led to it. It is not safe for concurrent use.
type History struct {
	maxDeltas int
	state     *config.State
	deltas    []Delta
	// base and baseDigest belong to the state before the first delta.
	base       ident.ConfigVersion
	baseDigest uint64
}

// NewHistory returns a history without a state that keeps at most limit
// deltas; zero means DefaultMaxDeltas.
func NewHistory(limit int) *History {
	if limit <= 0 {
		limit = DefaultMaxDeltas
	}
	return &History{maxDeltas: limit}
}

// State returns the newest state, or nil if there is none yet.
func (h *History) State() *config.State { return h.state }

// Advance makes state the newest one. The deltas lead from the previous state
// to it; without deltas the history is reset to the new state.
func (h *History) Advance(state *config.State, deltas []Delta) {
	if h.state == nil || len(deltas) == 0 {
		h.deltas = nil
		h.base, h.baseDigest = state.Version, state.Digest
	} else {
		h.deltas = append(h.deltas, deltas...)
		if excess := len(h.deltas) - h.maxDeltas; excess > 0 {
			last := h.deltas[excess-1]
			h.base, h.baseDigest = last.Version, last.Digest
			h.deltas = slices.Delete(h.deltas, 0, excess)
		}
	}
	h.state = state
}

// Since returns what a host with the given version and digest lacks: the later
// deltas, or the full state if the history does not reach back to that version
// or the digest is zero or differs. Both are nil for a host that is up to date
// or ahead.
func (h *History) Since(have ident.ConfigVersion, digest uint64) ([]Delta, *config.State) {
	switch {
	case h.state == nil || h.state.Version.Less(have):
		return nil, nil
	case have == h.state.Version && digest == h.state.Digest:
		return nil, nil
	case have == h.base && digest == h.baseDigest:
		return h.deltas, nil
	}
	i, ok := slices.BinarySearchFunc(h.deltas, have, func(d Delta, v ident.ConfigVersion) int {
		switch {
		case d.Version.Less(v):
			return -1
		case v.Less(d.Version):
			return 1
		}
		return 0
	})
	if ok && digest == h.deltas[i].Digest {
		return h.deltas[i+1:], nil
	}
	return nil, h.state
}
