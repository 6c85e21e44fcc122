package proto

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/config"
)

// upstreamsPerPart limits one part of a full copy to about 200 KB.
const upstreamsPerPart = 1000

// SplitCopy splits a configuration into the parts of a full copy, at least one.
func SplitCopy(s *config.State) []*CopyPart {
	var list []*CopyPart
	rest := s.Upstreams
	for first := true; first || len(rest) > 0; first = false {
		n := min(len(rest), upstreamsPerPart)
		part := &CopyPart{
			Version:   s.Version,
			Digest:    s.Digest,
			Upstreams: rest[:n],
			First:     first,
			Last:      n == len(rest),
		}
		if first {
			part.InForce, part.Presets, part.Seats = s.InForce, s.Presets, s.Seats
		}
		rest = rest[n:]
		list = append(list, part)
	}
	return list
}

// Assembler joins the parts of full copies, one copy after another.
type Assembler struct {
	state *config.State
}

// Add appends the next part. It returns the complete state with the last part,
// and nil before. It returns an error and discards the copy if the part does
// not continue it. The digest of the state is the one sent by the source; it
// is not verified.
func (a *Assembler) Add(p *CopyPart) (*config.State, error) {
	switch {
	case p.First:
		a.state = &config.State{
			Version: p.Version,
			InForce: p.InForce,
			Presets: p.Presets,
			Seats:   p.Seats,
			Digest:  p.Digest,
		}
	case a.state == nil || a.state.Version != p.Version || a.state.Digest != p.Digest:
		a.state = nil
		return nil, errors.Errorf("part of full copy %s does not match the preceding parts: request a new copy", p.Version)
	}
	a.state.Upstreams = append(a.state.Upstreams, p.Upstreams...)
	if !p.Last {
		return nil, nil
	}
	state := a.state
	a.state = nil
	return state, nil
}
