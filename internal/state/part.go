// Package state contains the replicated state of the control group: the
// configuration, the ledger of filings and additional parts. Each part is a
// state machine that applies the committed commands of the replicated log.
package state

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Part is one replicated state machine. All methods are called from one
// goroutine. Apply must be deterministic: the same commands in the same order
// give the same state and results on every member.
type Part interface {
	// Name identifies the part in log entries and snapshots.
	Name() string
	// Apply applies one committed command, the entry of the log at position at, and
	// returns its encoded result.
	Apply(at quorum.Index, command []byte) ([]byte, error)
	// Freeze captures the state and returns a function that encodes it. The
	// function may run in another goroutine while the part changes. A state of no
	// bytes is left out of snapshots, as members that do not know the part cannot
	// restore them.
	Freeze() func() ([]byte, error)
	// Restore replaces the state by an encoded one from a snapshot of the log up to
	// position at.
	Restore(at quorum.Index, data []byte) error
	// Reset replaces the state by that of a new group, which a snapshot that leaves
	// the part out stands for. What the part has passed on is not taken back.
	Reset()
}

// Proposer is a Part that completes the commands that the leader proposes for
// it and adds periodic ones.
type Proposer interface {
	Part
	// StartLeading is called once per term when this member becomes able to
	// propose: it has the leader lease and has applied all entries committed in
	// earlier terms.
	StartLeading(now ident.Instant)
	// Prepare completes a command before it is proposed, for example with a
	// timestamp.
	Prepare(now ident.Instant, command []byte) ([]byte, error)
	// DueCommand returns a periodic command if one is due, or nil.
	DueCommand(now ident.Instant) ([]byte, error)
}

// Command is a command for one part, as encoded in the data of a log entry.
type Command struct {
	Part string
	Data []byte
}

// partState is the encoded state of one part in a snapshot.
type partState struct {
	Part string
	Data []byte
}

// Set contains all parts of the replicated state. It is not safe for
// concurrent use.
type Set struct {
	config *configPart
	ledger *ledgerPart
	all    []Part
}

// NewSet returns the initial state of a new group: the configuration, the
// ledger and the extra parts. These are reset, since they outlive a set that is
// built again after a disk fault.
func NewSet(extra ...Part) *Set {
	c := newConfigPart()
	l := newLedgerPart()
	for _, part := range extra {
		part.Reset()
	}
	return &Set{
		config: c,
		ledger: l,
		all:    append([]Part{c, l}, extra...),
	}
}

// Find returns the part with the given name. The error names the remedy.
func (s *Set) Find(name string) (Part, error) {
	for _, part := range s.all {
		if part.Name() == name {
			return part, nil
		}
	}
	return nil, errors.Errorf("command is for part %q, which this host does not know: update this host", name)
}

// Apply decodes the command in the data of the log entry at position at, applies it to
// its part and returns the encoded result.
func (s *Set) Apply(at quorum.Index, data []byte) ([]byte, error) {
	var c Command
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "command cannot be decoded: update this host")
	}
	part, err := s.Find(c.Part)
	if err != nil {
		return nil, err
	}
	return part.Apply(at, c.Data)
}

// Freeze captures the state of all parts. The returned function encodes it and
// may run in another goroutine.
func (s *Set) Freeze() func() ([]byte, error) {
	encoders := make([]func() ([]byte, error), 0, len(s.all))
	names := make([]string, 0, len(s.all))
	for _, part := range s.all {
		names = append(names, part.Name())
		encoders = append(encoders, part.Freeze())
	}
	return func() ([]byte, error) {
		states := make([]partState, 0, len(names))
		for i, encode := range encoders {
			data, err := encode()
			if err != nil {
				return nil, errors.Wrapf(err, "state of part %q cannot be encoded", names[i])
			}
			if len(data) == 0 {
				continue
			}
			states = append(states, partState{
				Part: names[i],
				Data: data,
			})
		}
		return proto.Marshal(states)
	}
}

// Restore replaces the state of all parts by that of an encoded snapshot of the log up
// to position at.
func (s *Set) Restore(at quorum.Index, data []byte) error {
	var states []partState
	if err := proto.Unmarshal(data, &states); err != nil {
		return errors.Wrap(err, "snapshot cannot be decoded: update this host")
	}
	for _, part := range s.all {
		part.Reset()
	}
	for _, ps := range states {
		part, err := s.Find(ps.Part)
		if err != nil {
			return err
		}
		if err := part.Restore(at, ps.Data); err != nil {
			return errors.Wrapf(err, "state of part %q cannot be restored", ps.Part)
		}
	}
	return nil
}

// Config returns the current configuration, which is immutable.
func (s *Set) Config() *config.State { return s.config.machine.State }

// Deltas returns the last changes of the configuration, the oldest first. The
// first marks the version that the others build on and may have no Change.
// Elements of the returned slice are never overwritten.
func (s *Set) Deltas() []follow.Delta { return s.config.deltas }

// Ledger returns the ledger of filings.
func (s *Set) Ledger() *ledger.Machine { return s.ledger.machine }

// Proposers returns the parts that implement Proposer.
func (s *Set) Proposers() []Proposer {
	var list []Proposer
	for _, part := range s.all {
		if p, ok := part.(Proposer); ok {
			list = append(list, p)
		}
	}
	return list
}
