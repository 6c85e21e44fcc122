package ctrl

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/spread"
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

// PartCommand is a command for one part. It is the data of a log entry.
type PartCommand struct {
	Part string
	Data []byte
}

// partState is the state of one part in a snapshot.
type partState struct {
	Part string
	Data []byte
}

// parts is the whole replicated state.
type parts struct {
	config *configPart
	ledger *ledgerPart
	all    []Part
}

func newParts(extra []Part) *parts {
	c := &configPart{machine: config.NewMachine(config.NewState())}
	l := newLedgerPart()
	return &parts{
		config: c,
		ledger: l,
		all:    append([]Part{c, l}, extra...),
	}
}

func (p *parts) find(name string) (Part, error) {
	for _, part := range p.all {
		if part.Name() == name {
			return part, nil
		}
	}
	return nil, errors.Errorf("command is for part %q, which this host does not know: update this host", name)
}

func (p *parts) apply(data []byte) ([]byte, error) {
	var c PartCommand
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "command cannot be decoded: update this host")
	}
	part, err := p.find(c.Part)
	if err != nil {
		return nil, err
	}
	return part.Apply(c.Data)
}

func (p *parts) freeze() func() ([]byte, error) {
	encoders := make([]func() ([]byte, error), 0, len(p.all))
	names := make([]string, 0, len(p.all))
	for _, part := range p.all {
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

func (p *parts) restore(data []byte) error {
	var states []partState
	if err := proto.Unmarshal(data, &states); err != nil {
		return errors.Wrap(err, "snapshot cannot be decoded: update this host")
	}
	for _, s := range states {
		part, err := p.find(s.Part)
		if err != nil {
			return err
		}
		if err := part.Restore(s.Data); err != nil {
			return errors.Wrapf(err, "state of part %q cannot be restored", s.Part)
		}
	}
	return nil
}

const configName = "config"

// configPart replicates the configuration.
type configPart struct {
	machine *config.Machine
	// deltas are the last changes, the oldest first. Only appended to or replaced.
	deltas []spread.Delta
}

// Name implements Part.
func (p *configPart) Name() string { return configName }

// Apply implements Part. The command is a config.Command, the result a config.Outcome.
func (p *configPart) Apply(command []byte) ([]byte, error) {
	var c config.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "configuration command cannot be decoded: update this host")
	}
	before := p.machine.State
	out := p.machine.Run(c)
	if s := p.machine.State; s != before {
		if len(p.deltas) >= 2*keptDeltas {
			p.deltas = slices.Clone(p.deltas[keptDeltas:])
		}
		p.deltas = append(p.deltas, spread.Delta{
			Version: s.Version,
			Change:  c.Change,
			Digest:  s.Digest,
		})
	}
	return proto.Marshal(out)
}

// Freeze implements Part. State is immutable; the lists are copied.
func (p *configPart) Freeze() func() ([]byte, error) {
	frozen := &config.Machine{
		State:   p.machine.State,
		Recent:  slices.Clone(p.machine.Recent),
		History: slices.Clone(p.machine.History),
	}
	return func() ([]byte, error) { return proto.Marshal(frozen) }
}

// Restore implements Part.
func (p *configPart) Restore(state []byte) error {
	m := &config.Machine{}
	if err := proto.Unmarshal(state, m); err != nil {
		return err
	}
	if m.State == nil {
		return errors.New("it holds no configuration")
	}
	if err := m.State.Verify(); err != nil {
		return err
	}
	p.machine, p.deltas = m, nil
	return nil
}
