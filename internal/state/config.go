package state

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// ConfigName is the name of the configuration part.
const ConfigName = "config"

// configPart is the Part of the configuration.
type configPart struct {
	machine *config.Machine
	// deltas are the last changes, the oldest first. The first marks the version
	// that the others build on; after a restore it has no Change. Readers share
	// the slice, so elements are appended or the slice is replaced, but elements
	// are never overwritten.
	deltas []follow.Delta
}

func newConfigPart() *configPart {
	p := &configPart{}
	p.Reset()
	return p
}

// Reset implements Part.
func (p *configPart) Reset() { p.replace(config.NewMachine(config.NewState())) }

func (p *configPart) replace(m *config.Machine) {
	p.machine = m
	p.deltas = []follow.Delta{{
		Version: m.State.Version,
		Digest:  m.State.Digest,
	}}
}

// Name implements Part.
func (p *configPart) Name() string { return ConfigName }

// Apply implements Part. It decodes a config.Command and returns an encoded
// config.Outcome.
func (p *configPart) Apply(_ quorum.Index, command []byte) ([]byte, error) {
	var c config.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "configuration command cannot be decoded: update this host")
	}
	before := p.machine.State
	outcome := p.machine.Run(c)
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
	return proto.Marshal(outcome)
}

// Freeze implements Part. The state is immutable; the lists are copied.
func (p *configPart) Freeze() func() ([]byte, error) {
	frozen := &config.Machine{
		State:   p.machine.State,
		Recent:  slices.Clone(p.machine.Recent),
		History: slices.Clone(p.machine.History),
	}
	return func() ([]byte, error) { return proto.Marshal(frozen) }
}

// Restore implements Part.
func (p *configPart) Restore(_ quorum.Index, data []byte) error {
	m := &config.Machine{}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	if m.State == nil {
		return errors.New("the encoded state contains no configuration")
	}
	if err := m.State.Verify(); err != nil {
		return err
	}
	p.replace(m)
	return nil
}

// ConfigCommand wraps a configuration command for its part.
func ConfigCommand(c config.Command) (Command, error) {
	data, err := proto.Marshal(c)
	return Command{
		Part: ConfigName,
		Data: data,
	}, err
}
