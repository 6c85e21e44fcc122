package follow

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// History is what a source keeps to serve hosts that are behind: the newest
// state and the last deltas that led to it.
type History struct {
	limit  int
	state  *config.State
	deltas []Delta
	// from is the version and digest before the first delta.
	from       ident.ConfigVersion
	fromDigest uint64
}

// NewHistory returns a history without a state that keeps at most limit
// deltas; zero means KeptDeltas.
func NewHistory(limit int) *History {
	if limit <= 0 {
		limit = KeptDeltas
	}
	return &History{limit: limit}
}

// State returns the newest state, or nil if there is none yet.
func (h *History) State() *config.State { return h.state }

// Advance makes state the newest one. The deltas lead from the last state to
// it; without deltas the history starts again.
func (h *History) Advance(state *config.State, deltas []Delta) {
	if h.state == nil || len(deltas) == 0 {
		h.deltas = nil
		h.from, h.fromDigest = state.Version, state.Digest
	} else {
		h.deltas = append(h.deltas, deltas...)
		if over := len(h.deltas) - h.limit; over > 0 {
			last := h.deltas[over-1]
			h.from, h.fromDigest = last.Version, last.Digest
			h.deltas = slices.Delete(h.deltas, 0, over)
		}
	}
	h.state = state
}

// Since returns what a host with the given version and digest lacks: deltas,
// or the whole state if the history does not reach back to that version, its
// digest differs or is zero. A host that is as new or newer lacks nothing.
func (h *History) Since(have ident.ConfigVersion, digest uint64) ([]Delta, *config.State) {
	switch {
	case h.state == nil || h.state.Version.Less(have):
		return nil, nil
	case have == h.state.Version && digest == h.state.Digest:
		return nil, nil
	case have == h.from && digest == h.fromDigest:
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
