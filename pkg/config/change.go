package config

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Change is one change of the configuration. It is also the delta that is sent
// to entry hosts, which apply it to the version before: the same change to the
// same state gives the same result on every host.
//
//sumtype:decl
type Change interface {
	isChange()
	// Summary describes the change in a few words. An operator whose command
	// conflicts is shown the summaries of the changes since the version that the
	// command expected.
	Summary() string
}

// SwitchPreset makes a preset the active one.
type SwitchPreset struct {
	Name preset.Name `json:"Name"`
}

// PutPreset creates a preset or replaces the one of the same name.
type PutPreset struct {
	Preset preset.Preset `json:"Preset"`
}

// AddUpstream adds an upstream. An empty Phase means Active.
type AddUpstream struct {
	Upstream Upstream `json:"Upstream"`
}

// RetireUpstream stops new requests to an upstream; those in flight are not
// cancelled.
type RetireUpstream struct {
	ID ident.Upstream `json:"ID"`
}

// RemoveUpstream deletes an upstream, which must have been retired before.
type RemoveUpstream struct {
	ID ident.Upstream `json:"ID"`
}

// PlaceShards replaces the list of shards that an upstream serves.
type PlaceShards struct {
	ID     ident.Upstream `json:"ID"`
	Shards []ident.Shard  `json:"Shards"`
}

// SetSeats sets the number of entry hosts that share the connection limit of
// each upstream; see State.Seats.
type SetSeats struct {
	Seats int `json:"Seats"`
}

func (SwitchPreset) isChange()   {}
func (PutPreset) isChange()      {}
func (AddUpstream) isChange()    {}
func (RetireUpstream) isChange() {}
func (RemoveUpstream) isChange() {}
func (PlaceShards) isChange()    {}
func (SetSeats) isChange()       {}

// Summary implements Change.
func (c SwitchPreset) Summary() string { return "preset in force is " + string(c.Name) }

// Summary implements Change.
func (c PutPreset) Summary() string { return "preset " + string(c.Preset.Name) + " was written" }

// Summary implements Change.
func (c AddUpstream) Summary() string { return "upstream " + string(c.Upstream.ID) + " was added" }

// Summary implements Change.
func (c RetireUpstream) Summary() string { return "upstream " + string(c.ID) + " was retired" }

// Summary implements Change.
func (c RemoveUpstream) Summary() string { return "upstream " + string(c.ID) + " was removed" }

// Summary implements Change.
func (c PlaceShards) Summary() string { return "shards of upstream " + string(c.ID) + " were placed" }

// Summary implements Change.
func (c SetSeats) Summary() string { return "seats were set" }

// Apply returns the state after c, whose version number is one higher, and
// leaves s unchanged. Its errors name the remedy.
func (s *State) Apply(c Change) (*State, error) {
	next := *s
	next.Version.Number++
	if err := next.apply(c); err != nil {
		return nil, err
	}
	return &next, nil
}

func (s *State) apply(c Change) error {
	switch c := c.(type) {
	case SwitchPreset:
		return s.switchPreset(c.Name)
	case PutPreset:
		return s.putPreset(c.Preset)
	case AddUpstream:
		return s.addUpstream(c.Upstream)
	case RetireUpstream:
		return s.editUpstream(c.ID, func(u *Upstream) { u.Phase = Retiring })
	case RemoveUpstream:
		return s.removeUpstream(c.ID)
	case PlaceShards:
		return s.placeShards(c)
	case SetSeats:
		return s.setSeats(c.Seats)
	default:
		return errors.Errorf("change of type %T is not known: update this host", c)
	}
}

func (s *State) switchPreset(name preset.Name) error {
	if _, ok := s.presetAt(name); !ok {
		return errors.Errorf("preset %q does not exist: put it first or name one that exists", name)
	}
	s.Digest += hashItem("InForce", name) - hashItem("InForce", s.InForce)
	s.InForce = name
	return nil
}

func (s *State) putPreset(p preset.Preset) error {
	if err := p.Check(); err != nil {
		return err
	}
	s.Presets = slices.Clone(s.Presets)
	i, ok := s.presetAt(p.Name)
	if ok {
		s.Digest -= hashItem("Preset", s.Presets[i])
		s.Presets[i] = p
	} else {
		s.Presets = slices.Insert(s.Presets, i, p)
	}
	s.Digest += hashItem("Preset", p)
	return nil
}

func (s *State) addUpstream(u Upstream) error {
	if u.Phase == "" {
		u.Phase = Active
	}
	if err := u.Check(); err != nil {
		return err
	}
	i, ok := s.upstreamAt(u.ID)
	if ok {
		return errors.Errorf("upstream %q exists: retire and remove it first, or choose another id", u.ID)
	}
	next := make([]Upstream, 0, len(s.Upstreams)+1)
	next = append(append(append(next, s.Upstreams[:i]...), u), s.Upstreams[i:]...)
	s.Upstreams = next
	s.Digest += hashItem("Upstream", u)
	return nil
}

func (s *State) removeUpstream(id ident.Upstream) error {
	i, ok := s.upstreamAt(id)
	if !ok {
		return unknownUpstream(id)
	}
	if s.Upstreams[i].Phase != Retiring {
		return errors.Errorf("upstream %q is in use: retire it first", id)
	}
	s.Digest -= hashItem("Upstream", s.Upstreams[i])
	s.Upstreams = slices.Delete(slices.Clone(s.Upstreams), i, i+1)
	return nil
}

func (s *State) placeShards(c PlaceShards) error {
	if len(c.Shards) == 0 {
		return errors.Errorf("upstream %q would hold no shard: retire it instead", c.ID)
	}
	return s.editUpstream(c.ID, func(u *Upstream) { u.Shards = slices.Clone(c.Shards) })
}

func (s *State) editUpstream(id ident.Upstream, edit func(*Upstream)) error {
	i, ok := s.upstreamAt(id)
	if !ok {
		return unknownUpstream(id)
	}
	s.Upstreams = slices.Clone(s.Upstreams)
	s.Digest -= hashItem("Upstream", s.Upstreams[i])
	edit(&s.Upstreams[i])
	s.Digest += hashItem("Upstream", s.Upstreams[i])
	return nil
}

func (s *State) setSeats(n int) error {
	if n < 1 || n > maxSeats {
		return errors.Errorf("seats are %d: use 1 to %d", n, maxSeats)
	}
	s.Digest += hashItem("Seats", n) - hashItem("Seats", s.Seats)
	s.Seats = n
	return nil
}

func unknownUpstream(id ident.Upstream) error {
	return errors.Errorf("upstream %q does not exist: list them with the status command", id)
}

// Check returns an error that names the first invalid field and its remedy, or
// nil.
func (u Upstream) Check() error {
	switch {
	case u.ID == "":
		return errors.New("upstream has no ID: give it one")
	case u.Address == "":
		return errors.Errorf("upstream %q has no Address: give IP:port", u.ID)
	case u.Index == "" || u.Service == "" || len(u.Shards) == 0:
		return errors.Errorf("upstream %q needs Index, Service and at least one of Shards", u.ID)
	case u.Slots < 1 || u.ConnLimit < 1:
		return errors.Errorf("upstream %q needs Slots and ConnLimit of at least 1", u.ID)
	case u.Phase != Active && u.Phase != Retiring:
		return errors.Errorf("upstream %q has Phase %q: use Active or Retiring", u.ID, u.Phase)
	}
	return nil
}
