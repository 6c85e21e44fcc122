package state

import (
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// LedgerName is the name of the ledger part.
const LedgerName = "ledger"

// ledgerPart is the Part of the ledger of filings.
type ledgerPart struct {
	machine *ledger.Machine
	// clock returns the timestamps of commands while this member leads.
	clock ledger.Clock
	// expireAt and pruneAt are when the next ledger.Expire is due for
	// reservations and for finished filings.
	expireAt ident.Instant
	pruneAt  ident.Instant
}

// filingCommand is the Data of a Command for the ledger part.
type filingCommand struct{ Command ledger.Command }

func newLedgerPart() *ledgerPart { return &ledgerPart{machine: ledger.NewMachine(0)} }

// Name implements Part.
func (p *ledgerPart) Name() string { return LedgerName }

// Apply implements Part. It decodes a filingCommand and returns an encoded
// ledger.Result.
func (p *ledgerPart) Apply(_ quorum.Index, command []byte) ([]byte, error) {
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
func (p *ledgerPart) Restore(_ quorum.Index, data []byte) error {
	var s ledger.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return err
	}
	m, err := ledger.Restore(s, 0)
	if err != nil {
		return err
	}
	p.machine = m
	return nil
}

// Reset implements Part.
func (p *ledgerPart) Reset() { p.machine = ledger.NewMachine(0) }

// StartLeading implements Proposer. The clock continues from the last applied
// timestamp.
func (p *ledgerPart) StartLeading(now ident.Instant) {
	p.clock = ledger.NewClock(now, p.machine.Clock(), ledger.Stamp(time.Now().UnixNano()))
	p.expireAt, p.pruneAt = now, now
}

// Prepare implements Proposer. It sets the timestamp of the command.
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

// DueCommand implements Proposer. It returns a ledger.Expire for reservations and
// finished filings when one is due.
func (p *ledgerPart) DueCommand(now ident.Instant) ([]byte, error) {
	expire := now >= p.expireAt && p.machine.Count(ledger.Reserved) > 0
	prune := now >= p.pruneAt && p.machine.Count(ledger.Done)+p.machine.Count(ledger.NotRun) > 0
	if !expire && !prune {
		return nil, nil
	}
	p.expireAt, p.pruneAt = now.Add(expireInterval), now.Add(pruneInterval)
	return proto.Marshal(filingCommand{Command: ledger.Expire{At: p.clock.At(now)}})
}

// FilingCommand wraps a ledger command for its part. The leader sets its
// timestamp.
func FilingCommand(c ledger.Command) (Command, error) {
	data, err := proto.Marshal(filingCommand{Command: c})
	return Command{
		Part: LedgerName,
		Data: data,
	}, err
}
