// Package config holds the configuration of a deployment (its presets,
// upstreams and seats) and the state machine by which operator commands change
// it. The state machine does no I/O and reads no clock: the same commands in
// the same order give the same state and digest on every host.
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

// Phase tells whether an upstream may be sent new requests.
type Phase string

// The phases of an upstream. A Retiring upstream gets no new requests and can
// be removed.
const (
	Active   Phase = "Active"
	Retiring Phase = "Retiring"
)

// Upstream describes one leaf process, which serves shards of one index.
type Upstream struct {
	ID      ident.Upstream `json:"ID"`
	Address string         `json:"Address"` // IP:port
	Domain  ident.Domain   `json:"Domain"`
	Index   ident.Index    `json:"Index"`
	Service ident.Service  `json:"Service"`
	// Shards lists the shards that the upstream serves.
	Shards []ident.Shard `json:"Shards"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"Slots"`
	// ConnLimit is the number of connections that the upstream accepts from all
	// entry hosts together.
	ConnLimit int   `json:"ConnLimit"`
	Phase     Phase `json:"Phase"`
}

// State is one version of the configuration. It is immutable: Apply returns a
// new State that shares the unchanged parts, so readers need no lock.
type State struct {
	Version ident.ConfigVersion `json:"Version"`
	// InForce is the name of the active preset.
	InForce preset.Name `json:"InForce"`
	// Presets is sorted by name.
	Presets []preset.Preset `json:"Presets"`
	// Upstreams is sorted by ID.
	Upstreams []Upstream `json:"Upstreams"`
	// Seats is the number of entry hosts that may be connected to upstreams at
	// once. Each of them gets an equal part of the connection limit of an
	// upstream.
	Seats int `json:"Seats"`
	// Digest is the sum of the hashes of all items, so a change updates it
	// without hashing the other items. States of equal version and digest have
	// equal content.
	Digest uint64 `json:"Digest"`
}

// NewState returns the configuration of a new deployment: version zero, the
// default presets with ordinary active, and no upstreams.
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

// WithUpstreams returns a copy of s whose upstreams are those of list and whose
// version is the same. It builds large initial states at once; later changes
// go through Apply.
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

// Preset returns the active preset.
func (s *State) Preset() preset.Preset {
	p, _ := s.FindPreset(s.InForce)
	return p
}

// FindPreset returns the preset with the given name, if there is one.
func (s *State) FindPreset(name preset.Name) (preset.Preset, bool) {
	i, ok := s.presetAt(name)
	if !ok {
		return preset.Preset{}, false
	}
	return s.Presets[i], true
}

// FindUpstream returns the upstream with the given id, if there is one.
func (s *State) FindUpstream(id ident.Upstream) (Upstream, bool) {
	i, ok := s.upstreamAt(id)
	if !ok {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// FullDigest computes the digest anew from the whole content.
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

// presetAt returns the position of a preset, or where to insert it.
func (s *State) presetAt(name preset.Name) (int, bool) {
	return slices.BinarySearchFunc(s.Presets, name, func(p preset.Preset, n preset.Name) int {
		return strings.Compare(string(p.Name), string(n))
	})
}

// upstreamAt returns the position of an upstream, or where to insert it.
func (s *State) upstreamAt(id ident.Upstream) (int, bool) {
	return slices.BinarySearchFunc(s.Upstreams, id, func(u Upstream, n ident.Upstream) int {
		return strings.Compare(string(u.ID), string(n))
	})
}

// hashItem hashes one item together with its kind. It hashes the JSON form, in
// which encoding/json writes struct fields in a fixed order, so equal items have
// equal hashes on every host.
func hashItem(kind string, item any) uint64 {
	b, err := json.Marshal(item)
	if err != nil {
		panic("configuration item cannot be encoded as JSON: " + err.Error())
	}
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write(b)
	return h.Sum64()
}
