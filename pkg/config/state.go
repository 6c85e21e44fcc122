// Package config holds the configuration of a deployment and the rules by
// which operator commands change it. It is a pure state machine: the same
// commands in the same order give the same state and digest on every host.
package config

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Phase tells whether an upstream may get new work.
type Phase string

// The phases of an upstream.
const (
	Active   Phase = "Active"
	Retiring Phase = "Retiring"
)

// Upstream describes one leaf process.
type Upstream struct {
	ID      ident.Upstream `json:"ID"`
	Address string         `json:"Address"` // IP:port
	Domain  ident.Domain   `json:"Domain"`
	Index   ident.Index    `json:"Index"`
	Service ident.Service  `json:"Service"`
	// Shards lists what the upstream holds; Shard names are unique in a deployment.
	Shards []ident.Shard `json:"Shards"`
	// Slots is the number of requests the upstream runs at once.
	Slots int `json:"Slots"`
	// ConnLimit is the number of connections the upstream accepts in all.
	ConnLimit int   `json:"ConnLimit"`
	Phase     Phase `json:"Phase"`
}

// State is one configuration. It is treated as immutable: Apply returns a new
// State and shares the unchanged parts, so readers need no lock.
type State struct {
	Version ident.ConfigVersion `json:"Version"`
	// InForce names the one preset that new queries run under.
	InForce preset.Name `json:"InForce"`
	// Presets is sorted by name.
	Presets []preset.Preset `json:"Presets"`
	// Upstreams is sorted by ID.
	Upstreams []Upstream `json:"Upstreams"`
	// Seats is the number of entry hosts that connection limits are divided by.
	Seats int `json:"Seats"`
	// Digest is the sum of the hashes of all items. Equal digests at equal
	// versions mean equal content.
	Digest uint64 `json:"Digest"`
}

// NewState returns the configuration of a new deployment: the default
// presets with ordinary in force and no upstreams.
func NewState() *State {
	s := &State{
		InForce: preset.Ordinary,
		Presets: preset.Defaults(),
		Seats:   defaultSeats,
	}
	slices.SortFunc(s.Presets, func(a, b preset.Preset) int { return strings.Compare(string(a.Name), string(b.Name)) })
	s.Digest = s.FullDigest()
	return s
}

// WithUpstreams returns s with the given upstreams in place of its own and the
// same version. It serves to build large states; changes go through Apply.
func (s *State) WithUpstreams(list []Upstream) (*State, error) {
	next := *s
	next.Upstreams = slices.Clone(list)
	slices.SortFunc(next.Upstreams, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i, u := range next.Upstreams {
		if err := u.Check(); err != nil {
			return nil, err
		}
		if i > 0 && u.ID == next.Upstreams[i-1].ID {
			return nil, errors.Errorf("upstream %q is listed twice: give each its own id", u.ID)
		}
	}
	next.Digest = next.FullDigest()
	return &next, nil
}

// Preset returns the preset in force.
func (s *State) Preset() preset.Preset {
	p, _ := s.FindPreset(s.InForce)
	return p
}

// FindPreset returns the preset with the given name.
func (s *State) FindPreset(name preset.Name) (preset.Preset, bool) {
	i, ok := s.presetAt(name)
	if !ok {
		return preset.Preset{}, false
	}
	return s.Presets[i], true
}

// FindUpstream returns the upstream with the given id.
func (s *State) FindUpstream(id ident.Upstream) (Upstream, bool) {
	i, ok := s.upstreamAt(id)
	if !ok {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// FullDigest computes the digest from the content alone.
func (s *State) FullDigest() uint64 {
	sum := hashItem("InForce", s.InForce) + hashItem("Seats", s.Seats)
	for _, p := range s.Presets {
		sum += hashItem("Preset", p)
	}
	for i := range s.Upstreams {
		sum += hashItem("Upstream", s.Upstreams[i])
	}
	return sum
}

// Verify returns an error if the digest does not match the content.
func (s *State) Verify() error {
	if full := s.FullDigest(); full != s.Digest {
		return errors.Errorf("configuration %s has digest %x but its content gives %x: fetch a full copy", s.Version, s.Digest, full)
	}
	return nil
}

func (s *State) presetAt(name preset.Name) (int, bool) {
	return slices.BinarySearchFunc(s.Presets, name, func(p preset.Preset, n preset.Name) int {
		return strings.Compare(string(p.Name), string(n))
	})
}

func (s *State) upstreamAt(id ident.Upstream) (int, bool) {
	return slices.BinarySearchFunc(s.Upstreams, id, func(u Upstream, n ident.Upstream) int {
		return strings.Compare(string(u.ID), string(n))
	})
}

// hashItem hashes one item with its kind. encoding/json writes struct fields
// in a fixed order, so equal items hash equally on every host.
func hashItem(kind string, item any) uint64 {
	b, err := json.Marshal(item)
	if err != nil {
		panic("configuration items are plain data: " + err.Error())
	}
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write(b)
	return h.Sum64()
}
