package state

import (
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// LedgerName names the part of the ledger of filings.
const LedgerName = "ledger"

// ledgerPart replicates the ledger of filings.
type ledgerPart struct {
	machine *ledger.Machine
	// clock makes the stamps while this member leads.
	clock    ledger.Clock
	expireAt ident.Instant
	pruneAt  ident.Instant
}

// filingCommand is the data of a ledger command.
type filingCommand struct{ Command ledger.Command }

func newLedgerPart() *ledgerPart { return &ledgerPart{machine: ledger.NewMachine(0)} }

// Name implements Part.
func (p *ledgerPart) Name() string { return LedgerName }

// Apply implements Part. The command is a filingCommand, the result a ledger.Result.
func (p *ledgerPart) Apply(command []byte) ([]byte, error) {
	var c filingCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	return proto.Marshal(p.machine.Run(c.Command))
}

// Freeze implements Part.
func (p *ledgerPart) Freeze() func() ([]byte, error) {
	frozen := p.machine.Snapshot()
	return func() ([]byte, error) { return proto.Marshal(frozen) }
}

// Restore implements Part.
func (p *ledgerPart) Restore(state []byte) error {
	var s ledger.Snapshot
	if err := proto.Unmarshal(state, &s); err != nil {
		return err
	}
	m, err := ledger.Restore(s, 0)
	if err != nil {
		return err
	}
	p.machine = m
	return nil
}

// TakeOffice implements Proposer.
func (p *ledgerPart) TakeOffice(now ident.Instant) {
	p.clock = ledger.NewClock(now, p.machine.Clock(), ledger.Stamp(time.Now().UnixNano()))
	p.expireAt, p.pruneAt = now, now
}

// Prepare implements Proposer: it sets the time of a command.
func (p *ledgerPart) Prepare(now ident.Instant, command []byte) ([]byte, error) {
	var c filingCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	if c.Command == nil {
		return nil, errors.New("the filing command is empty: update the sender")
	}
	return proto.Marshal(filingCommand{Command: ledger.Stamped(c.Command, p.clock.At(now))})
}

// Routine implements Proposer: it lets reservations and finished filings expire.
func (p *ledgerPart) Routine(now ident.Instant) ([]byte, error) {
	expire := now >= p.expireAt && p.machine.Count(ledger.Reserved) > 0
	prune := now >= p.pruneAt && p.machine.Count(ledger.Done)+p.machine.Count(ledger.NotRun) > 0
	if !expire && !prune {
		return nil, nil
	}
	p.expireAt, p.pruneAt = now.Add(expireEvery), now.Add(pruneEvery)
	return proto.Marshal(filingCommand{Command: ledger.Expire{At: p.clock.At(now)}})
}

// FilingCommand returns the command that runs c; the leader sets its time.
func FilingCommand(c ledger.Command) (Command, error) {
	data, err := proto.Marshal(filingCommand{Command: c})
	return Command{
		Part: LedgerName,
		Data: data,
	}, err
}
