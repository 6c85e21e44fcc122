// Package state is the replicated state of the control group: the
// configuration, the ledger of filings and any further part, each a state
// machine that runs the committed commands of the replicated log.
package state

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// Part is one state machine that the control group replicates. All methods
// are called by one goroutine. Equal commands in equal order must give equal
// state and results on every member.
type Part interface {
	// Name names the part in log entries and snapshots.
	Name() string
	// Apply runs one committed command and returns its encoded result.
	Apply(command []byte) ([]byte, error)
	// Freeze captures the state and returns a function that encodes it and
	// may be called by another goroutine while the part changes.
	Freeze() func() ([]byte, error)
	// Restore replaces the state.
	Restore(state []byte) error
}

// Proposer is a Part with a say in what the leader proposes for it.
type Proposer interface {
	Part
	// TakeOffice runs when this member may propose in a new term: it holds
	// the lease and has applied everything committed before.
	TakeOffice(now ident.Instant)
	// Prepare completes a command before it is proposed.
	Prepare(now ident.Instant, command []byte) ([]byte, error)
	// Routine returns a command that is due without a request, or nil.
	Routine(now ident.Instant) ([]byte, error)
}

// Command is a command for one part. It is the data of a log entry.
type Command struct {
	Part string
	Data []byte
}

// partState is the state of one part in a snapshot.
type partState struct {
	Part string
	Data []byte
}

// Set is the whole replicated state. Use it from one goroutine.
type Set struct {
	config *configPart
	ledger *ledgerPart
	all    []Part
}

// NewSet returns the state of a new group. Extra parts follow the built-in ones.
func NewSet(extra ...Part) *Set {
	c := newConfigPart()
	l := newLedgerPart()
	return &Set{
		config: c,
		ledger: l,
		all:    append([]Part{c, l}, extra...),
	}
}

// Find returns the part with a name.
func (s *Set) Find(name string) (Part, error) {
	for _, part := range s.all {
		if part.Name() == name {
			return part, nil
		}
	}
	return nil, errors.Errorf("command is for part %q, which this host does not know: update this host", name)
}

// Apply runs the command of a log entry and returns its encoded result.
func (s *Set) Apply(data []byte) ([]byte, error) {
	var c Command
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "command cannot be decoded: update this host")
	}
	part, err := s.Find(c.Part)
	if err != nil {
		return nil, err
	}
	return part.Apply(c.Data)
}

// Freeze captures the state; the returned function encodes it and may be
// called by another goroutine.
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
			states = append(states, partState{
				Part: names[i],
				Data: data,
			})
		}
		return proto.Marshal(states)
	}
}

// Restore replaces the state of all parts.
func (s *Set) Restore(data []byte) error {
	var states []partState
	if err := proto.Unmarshal(data, &states); err != nil {
		return errors.Wrap(err, "snapshot cannot be decoded: update this host")
	}
	for _, st := range states {
		part, err := s.Find(st.Part)
		if err != nil {
			return err
		}
		if err := part.Restore(st.Data); err != nil {
			return errors.Wrapf(err, "state of part %q cannot be restored", st.Part)
		}
	}
	return nil
}

// Config returns the configuration, which is immutable.
func (s *Set) Config() *config.State { return s.config.machine.State }

// Deltas returns the last changes of the configuration, the oldest first. The
// first only stands for the state before the others and may have no change.
// The list is never changed in place.
func (s *Set) Deltas() []follow.Delta { return s.config.deltas }

// Ledger returns the ledger of filings.
func (s *Set) Ledger() *ledger.Machine { return s.ledger.machine }

// Proposers returns the parts with a say in what the leader proposes.
func (s *Set) Proposers() []Proposer {
	var list []Proposer
	for _, part := range s.all {
		if p, ok := part.(Proposer); ok {
			list = append(list, p)
		}
	}
	return list
}
