package golden

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

const (
	ledgerDelay = 5 * time.Millisecond
	sendDelay   = 10 * time.Millisecond
)

// filingSim runs the filing reducers of two hosts against one ledger.
type filingSim struct {
	clock
	hosts  [2]*filing.Reducer
	steps  [2]replay.Step[filing.Event, filing.Effect]
	ledger replay.Step[ledger.Command, ledger.Result]
	// reserveOutcomes, sendFailures and recordOutcomes say what happens to the
	// next calls, in order. Calls beyond the lists succeed, and so do sends
	// with an empty failure kind.
	reserveOutcomes []ledgerOutcome
	sendFailures    []engine.FailKind
	recordOutcomes  []ledgerOutcome
	lastArrival     filing.ArrivalID
}

// ledgerOutcome is what happens to one ledger command.
type ledgerOutcome uint8

const (
	replied ledgerOutcome = iota
	// replyLost commands are applied, but the host receives no reply.
	replyLost
	// notApplied commands are not applied, and the host learns that.
	notApplied
)

// pop removes and returns the first element, or the zero value if there is
// none.
func pop[T any](list *[]T) (v T) {
	if len(*list) > 0 {
		v = (*list)[0]
		*list = (*list)[1:]
	}
	return v
}

// submit sends a filing to a host.
func (f *filingSim) submit(host int, id ident.RequestID, budget time.Duration) {
	f.lastArrival++
	f.step(host, filing.Arrived{
		Arrival:  f.lastArrival,
		Request:  id,
		BodyHash: ledger.BodyHash{1},
		Budget:   budget,
	})
}

func (f *filingSim) runLedger(c ledger.Command) ledger.Result { return f.ledger(f.now, c)[0] }

func (f *filingSim) step(host int, ev filing.Event) {
	for _, ef := range f.steps[host](f.now, ev) {
		f.effect(host, ef)
	}
}

func (f *filingSim) effect(host int, ef filing.Effect) {
	at := func() ledger.Stamp { return ledger.Stamp(f.now) }
	switch ef := ef.(type) {
	case filing.Reserve:
		f.callLedger(host, pop(&f.reserveOutcomes), ledger.Reserve{
			Request:  ef.Request,
			BodyHash: ef.BodyHash,
			Host:     ident.HostID(fmt.Sprint("h", host)),
			Attempt:  ef.Attempt,
			At:       at(),
		}, func(res ledger.Result) filing.Event {
			return filing.ReserveAnswered{
				Arrival:   ef.Arrival,
				CommandID: ef.CommandID,
				Result:    res,
			}
		}, func(notRun bool) filing.Event {
			return filing.ReserveFailed{
				Arrival:   ef.Arrival,
				CommandID: ef.CommandID,
				NotRun:    notRun,
			}
		})
	case filing.Send:
		kind := pop(&f.sendFailures)
		f.after(sendDelay, func() {
			if kind == "" {
				f.step(host, filing.SendAnswered{
					Arrival: ef.Arrival,
					Fence:   ef.Fence,
					Receipt: "receipt",
				})
				return
			}
			f.step(host, filing.SendFailed{
				Arrival: ef.Arrival,
				Fence:   ef.Fence,
				Kind:    kind,
			})
		})
	case filing.Complete:
		f.recordResult(host, ef.Arrival, ef.CommandID, ledger.Complete{
			Request: ef.Request,
			Fence:   ef.Fence,
			Receipt: ef.Receipt,
			At:      at(),
		})
	case filing.Release:
		f.recordResult(host, ef.Arrival, ef.CommandID, ledger.Release{
			Request: ef.Request,
			Fence:   ef.Fence,
			At:      at(),
		})
	case filing.Wake:
		f.scheduleWake(fmt.Sprint(host), ef.At, func() { f.step(host, filing.Ticked{}) })
	case filing.Reply:
	}
}

func (f *filingSim) recordResult(host int, id filing.ArrivalID, commandID uint64, c ledger.Command) {
	f.callLedger(host, pop(&f.recordOutcomes), c, func(res ledger.Result) filing.Event {
		return filing.RecordAnswered{
			Arrival:   id,
			CommandID: commandID,
			Result:    res,
		}
	}, func(bool) filing.Event {
		return filing.RecordFailed{
			Arrival:   id,
			CommandID: commandID,
		}
	})
}

func (f *filingSim) callLedger(host int, outcome ledgerOutcome, c ledger.Command, ok func(ledger.Result) filing.Event, failed func(notRun bool) filing.Event) {
	f.after(ledgerDelay, func() {
		if outcome == notApplied {
			f.step(host, failed(true))
			return
		}
		res := f.runLedger(c)
		if outcome == replied {
			f.step(host, ok(res))
			return
		}
		f.step(host, failed(false))
	})
}

// filingTracePair returns two traces of one scenario: that of the first host,
// and that of the ledger which both hosts use.
func filingTracePair(name, guards string, run func(*filingSim), hostExpected, ledgerExpected []replay.Outcome) []Trace {
	writer := func(onLedger bool) func(string) error {
		return func(path string) error {
			f := &filingSim{}
			f.now = 1
			for i := range f.hosts {
				f.hosts[i] = filing.New(filing.Config{Boot: uint64(1000 * i)})
				f.steps[i] = f.hosts[i].Step
			}
			var err error
			if f.ledger, err = replay.LedgerStep(replay.LedgerSetup{}); err != nil {
				return err
			}
			if onLedger {
				rec, err := newRecording(path, replay.ReducerLedger, replay.LedgerSetup{}, f.ledger)
				if err != nil {
					return err
				}
				f.ledger = rec.Step
				run(f)
				return rec.finish(replay.LedgerViolations, ledgerExpected...)
			}
			rec, err := newRecording(path, replay.ReducerFiling, filing.Config{}, f.steps[0])
			if err != nil {
				return err
			}
			f.steps[0] = rec.Step
			run(f)
			return rec.finish(replay.FilingViolations, hostExpected...)
		}
	}
	return []Trace{
		{Name: "filing-" + name, Guards: guards, write: writer(false)},
		{Name: "ledger-" + name, Guards: guards + "; the ledger's side", write: writer(true)},
	}
}

// expireLedger advances time by span and expires old reservations in the
// ledger.
func (f *filingSim) expireLedger(span time.Duration) {
	f.advance(span)
	f.runLedger(ledger.Expire{At: ledger.Stamp(f.now)})
}

// callerBudget is the time from the arrival of a filing to the deadline of its
// caller.
const callerBudget = 4 * time.Second

func filingTraces() []Trace { return slices.Concat(lostReplyTraces(), refusedFilingTraces()) }

// lostReplyTraces are scenarios of filings that are resent, and of replies of
// the ledger or an upstream that are lost.
func lostReplyTraces() []Trace {
	var all []Trace
	add := func(name, guards string, run func(*filingSim), hostExpected, ledgerExpected []replay.Outcome) {
		all = append(all, filingTracePair(name, guards, run, hostExpected, ledgerExpected)...)
	}
	add("done", "a filing that runs again for a resend through either host",
		func(f *filingSim) {
			for host := range 4 {
				f.submit(host%2, "r", callerBudget)
				f.advance(time.Second)
			}
			f.submit(0, "r2", callerBudget)
			f.submit(1, "r2", callerBudget)
			f.advance(callerBudget)
		},
		outcomes(exactly("Sends", 2), exactly("Done", 3)),
		outcomes(exactly("Granted", 2), atLeast("Recorded", 4), atLeast("InFlight", 1)))
	add("answer-lost", "a filing that is sent again after its answer was lost and the caller resent it",
		func(f *filingSim) {
			f.sendFailures = []engine.FailKind{engine.Broken}
			f.submit(0, "r", callerBudget)
			f.advance(time.Second)
			f.submit(1, "r", callerBudget)
			f.submit(0, "r", callerBudget)
			f.expireLedger(40 * time.Second)
			f.submit(0, "r", callerBudget)
			f.advance(time.Second)
			f.runLedger(ledger.Resolve{
				Request: "r",
				Status:  ledger.Done,
				Receipt: "by hand",
				At:      ledger.Stamp(f.now),
			})
			f.submit(0, "r", callerBudget)
			f.advance(time.Second)
		},
		outcomes(exactly("Sends", 1), atLeast("Unknown", 2), exactly("Done", 1)),
		outcomes(exactly("Granted", 1), atLeast("Recorded", 2)))
	add("reserve-lost", "a reservation whose answer was lost and that is granted twice or never used",
		func(f *filingSim) {
			f.reserveOutcomes = []ledgerOutcome{replyLost, replyLost}
			f.submit(0, "r", callerBudget)
			f.advance(callerBudget)
			f.submit(1, "r", callerBudget)
			f.advance(callerBudget)
		},
		outcomes(exactly("Sends", 1), exactly("Done", 1), exactly("Reserves", 3)),
		outcomes(exactly("Granted", 3), exactly("Recorded", 1)))
	add("reserve-late", "a grant that is used after the send window or the caller's deadline",
		func(f *filingSim) {
			f.reserveOutcomes = []ledgerOutcome{replyLost, replyLost, replyLost, replyLost}
			f.submit(0, "r", 100*time.Millisecond)
			f.advance(callerBudget)
			f.submit(0, "r", callerBudget)
			f.advance(callerBudget)
		},
		outcomes(exactly("Sends", 1), exactly("NotRun", 1), exactly("Done", 1)),
		outcomes(atLeast("Granted", 2), atLeast("Applied", 2)))
	return all
}

// refusedFilingTraces are scenarios in which the ledger or an upstream refuses
// a request, or a reply to the host is lost.
func refusedFilingTraces() []Trace {
	var all []Trace
	add := func(name, guards string, run func(*filingSim), hostExpected, ledgerExpected []replay.Outcome) {
		all = append(all, filingTracePair(name, guards, run, hostExpected, ledgerExpected)...)
	}
	add("no-majority", "a filing that is sent without a reservation",
		func(f *filingSim) {
			for range 100 {
				f.reserveOutcomes = append(f.reserveOutcomes, notApplied)
			}
			f.submit(0, "r", callerBudget)
			f.advance(10 * time.Second)
			f.reserveOutcomes = nil
			f.submit(0, "r", callerBudget)
			f.advance(callerBudget)
		},
		outcomes(exactly("Sends", 1), exactly("NotRun", 1), exactly("Done", 1)),
		outcomes(exactly("Granted", 1)))
	add("shed-twice", "a refused send that is repeated under the same fence or more than twice",
		func(f *filingSim) {
			f.sendFailures = []engine.FailKind{engine.Shed, engine.Draining}
			f.submit(0, "r", callerBudget)
			f.advance(callerBudget)
			f.submit(1, "r", callerBudget)
			f.advance(callerBudget)
		},
		outcomes(exactly("Sends", 2), exactly("NotRun", 1)),
		outcomes(exactly("Granted", 3), exactly("Applied", 3)))
	add("record-lost", "a filing that ran and whose outcome is not recorded",
		func(f *filingSim) {
			f.recordOutcomes = []ledgerOutcome{replyLost, notApplied, replyLost}
			f.submit(0, "r", callerBudget)
			f.advance(callerBudget)
			f.submit(1, "r", callerBudget)
			f.advance(callerBudget)
		},
		outcomes(exactly("Sends", 1), exactly("Done", 1), exactly("Completes", 4)),
		outcomes(exactly("Granted", 1), exactly("Recorded", 1)))
	add("reserve-lost-answer-lost", "a filing that runs twice when the reservation's answer and the filing's answer are both lost",
		func(f *filingSim) {
			f.reserveOutcomes = []ledgerOutcome{replyLost}
			f.sendFailures = []engine.FailKind{engine.TimedOut}
			f.submit(0, "r", callerBudget)
			f.advance(time.Second)
			f.reserveOutcomes = []ledgerOutcome{replyLost}
			f.submit(0, "r", callerBudget)
			f.expireLedger(40 * time.Second)
			f.submit(0, "r", callerBudget)
			f.advance(time.Second)
		},
		outcomes(exactly("Sends", 1), exactly("Done", 0), atLeast("Unknown", 2)),
		outcomes(exactly("Granted", 2), exactly("Recorded", 2)))
	return all
}

func outcomes(o ...replay.Outcome) []replay.Outcome { return o }
