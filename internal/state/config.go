package state

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
)

// ConfigName names the part of the configuration.
const ConfigName = "config"

// configPart replicates the configuration.
type configPart struct {
	machine *config.Machine
	// deltas are the last changes, the oldest first. Only appended to or
	// replaced. The first stands for the state before the others: after a
	// restart it has no change.
	deltas []follow.Delta
}

func newConfigPart() *configPart {
	p := &configPart{}
	p.reset(config.NewMachine(config.NewState()))
	return p
}

func (p *configPart) reset(m *config.Machine) {
	p.machine = m
	p.deltas = []follow.Delta{{
		Version: m.State.Version,
		Digest:  m.State.Digest,
	}}
}

// Name implements Part.
func (p *configPart) Name() string { return ConfigName }

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
		p.deltas = append(p.deltas, follow.Delta{
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
	p.reset(m)
	return nil
}

// ConfigCommand returns the command that runs c.
func ConfigCommand(c config.Command) (Command, error) {
	data, err := proto.Marshal(c)
	return Command{
		Part: ConfigName,
		Data: data,
	}, err
}
