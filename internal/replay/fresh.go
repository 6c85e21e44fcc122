package replay

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// LedgerSetup is the set-up of a recorded ledger.
type LedgerSetup struct {
	Limit int
	// Snapshot is what a restarted process begins with; nil is an empty ledger.
	Snapshot *ledger.Snapshot
}

// QuorumSetup is the set-up of a recorded member of the replicated log.
type QuorumSetup struct {
	Config quorum.Config
	Stored quorum.Stored
	Now    ident.Instant
}

// LedgerStep returns the Step of a ledger. The time is in its commands.
func LedgerStep(s LedgerSetup) (Step[ledger.Command, ledger.Result], error) {
	m := ledger.NewMachine(s.Limit)
	if s.Snapshot != nil {
		var err error
		if m, err = ledger.Restore(*s.Snapshot, s.Limit); err != nil {
			return nil, err
		}
	}
	return func(_ ident.Instant, c ledger.Command) []ledger.Result { return []ledger.Result{m.Run(c)} }, nil
}

// ConfigStep returns the Step of a configuration machine, which has no time.
// The set-up of its record is the machine before the first command.
func ConfigStep(m *config.Machine) Step[config.Command, config.Outcome] {
	return func(_ ident.Instant, c config.Command) []config.Outcome { return []config.Outcome{m.Run(c)} }
}

// QuorumStep returns the Step of a member. The time is in its events.
func QuorumStep(s QuorumSetup) (Step[quorum.Event, quorum.Effect], error) {
	n, err := quorum.New(s.Config, s.Stored, s.Now)
	if err != nil {
		return nil, err
	}
	return func(_ ident.Instant, ev quorum.Event) []quorum.Effect { return n.Step(ev) }, nil
}

// setup decodes the set-up in a header.
func setup[C any](h Header) (C, error) {
	var c C
	err := jsonl.Decode(h.Setup, &c)
	return c, errors.Wrapf(err, "set-up of reducer %q", h.Reducer)
}

func newEngine(h Header) (Step[engine.Event, engine.Effect], watch[engine.Event, engine.Effect], error) {
	c, err := setup[engine.Config](h)
	return engine.NewEngine(c).Step, watchEngine(c), err
}

func newFiling(h Header) (Step[filing.Event, filing.Effect], watch[filing.Event, filing.Effect], error) {
	c, err := setup[filing.Config](h)
	return filing.New(c).Step, watchFiling(), err
}

func newLedger(h Header) (Step[ledger.Command, ledger.Result], watch[ledger.Command, ledger.Result], error) {
	c, err := setup[LedgerSetup](h)
	if err != nil {
		return nil, watchLedger(), err
	}
	step, err := LedgerStep(c)
	return step, watchLedger(), err
}

func newConfig(h Header) (Step[config.Command, config.Outcome], watch[config.Command, config.Outcome], error) {
	m, err := setup[config.Machine](h)
	if err == nil && m.State == nil {
		err = errors.New("set-up of the configuration has no State: record it again")
	}
	return ConfigStep(&m), watchConfig(&m), err
}

func newSpread(h Header) (Step[follow.Event, follow.Effect], watch[follow.Event, follow.Effect], error) {
	c, err := setup[follow.Config](h)
	return follow.New(c).Step, watchSpread(), err
}

func newTable(Header) (Step[member.Event, member.Effect], watch[member.Event, member.Effect], error) {
	return member.NewTable().Step, watchTable(), nil
}

func newHolder(h Header) (Step[member.HolderEvent, member.HolderEffect], watch[member.HolderEvent, member.HolderEffect], error) {
	var none watch[member.HolderEvent, member.HolderEffect]
	c, err := setup[member.HolderConfig](h)
	if err != nil {
		return nil, none, err
	}
	if len(c.Controls) == 0 {
		return nil, none, errors.New("set-up of the seat holder names no control host: record it again")
	}
	return member.NewHolder(c).Step, watchHolder(), nil
}

func newQuorum(h Header) (Step[quorum.Event, quorum.Effect], watch[quorum.Event, quorum.Effect], error) {
	var none watch[quorum.Event, quorum.Effect]
	c, err := setup[QuorumSetup](h)
	if err != nil {
		return nil, none, err
	}
	step, err := QuorumStep(c)
	return step, watchQuorum(c.Stored), err
}
