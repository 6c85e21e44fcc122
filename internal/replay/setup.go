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

// LedgerSetup is the setup of a recorded ledger.
type LedgerSetup struct {
	Limit int
	// Snapshot is the state after a restart; nil means an empty ledger.
	Snapshot *ledger.Snapshot
}

// QuorumSetup is the setup of a recorded member of the replicated log.
type QuorumSetup struct {
	Config quorum.Config
	Stored quorum.Stored
	Now    ident.Instant
}

// LedgerStep returns the Step of a ledger. It ignores the time of the record,
// since ledger commands carry their own.
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

// ConfigStep returns the Step of a configuration machine, which does not depend
// on time. The setup of its record is the machine before the first command.
func ConfigStep(m *config.Machine) Step[config.Command, config.Outcome] {
	return func(_ ident.Instant, c config.Command) []config.Outcome { return []config.Outcome{m.Run(c)} }
}

// QuorumStep returns the Step of a member of the replicated log. It ignores the
// time of the record, since quorum events carry their own.
func QuorumStep(s QuorumSetup) (Step[quorum.Event, quorum.Effect], error) {
	n, err := quorum.New(s.Config, s.Stored, s.Now)
	if err != nil {
		return nil, err
	}
	return func(_ ident.Instant, ev quorum.Event) []quorum.Effect { return n.Step(ev) }, nil
}

func decodeSetup[C any](h Header) (C, error) {
	var c C
	err := jsonl.Decode(h.Setup, &c)
	return c, errors.Wrapf(err, "setup of reducer %q", h.Reducer)
}

// newEngine and the functions below create a reducer and its monitor from the
// header of a record.
func newEngine(h Header) (Step[engine.Event, engine.Effect], monitor[engine.Event, engine.Effect], error) {
	c, err := decodeSetup[engine.Config](h)
	return engine.NewEngine(c).Step, monitorEngine(c), err
}

func newFiling(h Header) (Step[filing.Event, filing.Effect], monitor[filing.Event, filing.Effect], error) {
	c, err := decodeSetup[filing.Config](h)
	return filing.New(c).Step, monitorFiling(), err
}

func newLedger(h Header) (Step[ledger.Command, ledger.Result], monitor[ledger.Command, ledger.Result], error) {
	c, err := decodeSetup[LedgerSetup](h)
	if err != nil {
		return nil, monitorLedger(), err
	}
	step, err := LedgerStep(c)
	return step, monitorLedger(), err
}

func newConfig(h Header) (Step[config.Command, config.Outcome], monitor[config.Command, config.Outcome], error) {
	m, err := decodeSetup[config.Machine](h)
	if err == nil && m.State == nil {
		err = errors.New("setup of the configuration machine has no State: record it again")
	}
	return ConfigStep(&m), monitorConfig(&m), err
}

func newFollow(h Header) (Step[follow.Event, follow.Effect], monitor[follow.Event, follow.Effect], error) {
	c, err := decodeSetup[follow.Config](h)
	return follow.New(c).Step, monitorFollow(), err
}

func newTable(Header) (Step[member.Event, member.Effect], monitor[member.Event, member.Effect], error) {
	return member.NewTable().Step, monitorTable(), nil
}

func newHolder(h Header) (Step[member.HolderEvent, member.HolderEffect], monitor[member.HolderEvent, member.HolderEffect], error) {
	var none monitor[member.HolderEvent, member.HolderEffect]
	c, err := decodeSetup[member.HolderConfig](h)
	if err != nil {
		return nil, none, err
	}
	if len(c.Controls) == 0 {
		return nil, none, errors.New("setup of the seat holder names no control host: record it again")
	}
	return member.NewHolder(c).Step, monitorHolder(), nil
}

func newQuorum(h Header) (Step[quorum.Event, quorum.Effect], monitor[quorum.Event, quorum.Effect], error) {
	var none monitor[quorum.Event, quorum.Effect]
	c, err := decodeSetup[QuorumSetup](h)
	if err != nil {
		return nil, none, err
	}
	step, err := QuorumStep(c)
	return step, monitorQuorum(c.Stored), err
}
