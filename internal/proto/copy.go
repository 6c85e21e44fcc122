package proto

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/config"
)

// upstreamsPerPart bounds one part of a full copy to about 200 KB.
const upstreamsPerPart = 1000

// Parts divides a configuration into the parts of a full copy.
func Parts(s *config.State) []*CopyPart {
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

// Assembler joins the parts of a full copy.
type Assembler struct {
	state *config.State
}

// Add takes the next part. It returns the state with the last part and nil
// before. The digest of the state is that of the source, not verified.
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
		return nil, errors.Errorf("part of the full copy %s does not fit the parts before it: ask for a new copy", p.Version)
	}
	a.state.Upstreams = append(a.state.Upstreams, p.Upstreams...)
	if !p.Last {
		return nil, nil
	}
	state := a.state
	a.state = nil
	return state, nil
}
