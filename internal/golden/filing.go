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

// filer runs the filing reducers of two hosts against one ledger.
type filer struct {
	clock
	hosts  [2]*filing.Reducer
	steps  [2]replay.Step[filing.Event, filing.Effect]
	ledger replay.Step[ledger.Command, ledger.Result]
	// reserve, send and record say what happens to the next calls, in order;
	// calls beyond these lists succeed.
	reserve []fate
	send    []engine.FailKind
	record  []fate
	last    filing.ArrivalID
}

// fate is what happens to one ledger command.
type fate uint8

const (
	answered fate = iota
	// answerLost commands are applied, and the host does not learn it.
	answerLost
	// refused commands are not applied, and the host learns it.
	refused
)

func pop[T any](list *[]T) (v T) {
	if len(*list) > 0 {
		v = (*list)[0]
		*list = (*list)[1:]
	}
	return v
}

// file lets a filing arrive at a host.
func (f *filer) file(host int, id ident.RequestID, budget time.Duration) {
	f.last++
	f.step(host, filing.Arrived{
		Arrival:  f.last,
		Request:  id,
		BodyHash: ledger.BodyHash{1},
		Budget:   budget,
	})
}

func (f *filer) run(c ledger.Command) ledger.Result { return f.ledger(f.now, c)[0] }

func (f *filer) step(host int, ev filing.Event) {
	for _, ef := range f.steps[host](f.now, ev) {
		f.effect(host, ef)
	}
}

func (f *filer) effect(host int, ef filing.Effect) {
	at := func() ledger.Stamp { return ledger.Stamp(f.now) }
	switch ef := ef.(type) {
	case filing.Reserve:
		f.call(host, pop(&f.reserve), ledger.Reserve{
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
		kind := pop(&f.send)
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
		f.note(host, ef.Arrival, ef.CommandID, ledger.Complete{
			Request: ef.Request,
			Fence:   ef.Fence,
			Receipt: ef.Receipt,
			At:      at(),
		})
	case filing.Release:
		f.note(host, ef.Arrival, ef.CommandID, ledger.Release{
			Request: ef.Request,
			Fence:   ef.Fence,
			At:      at(),
		})
	case filing.Wake:
		f.wake(fmt.Sprint(host), ef.At, func() { f.step(host, filing.Ticked{}) })
	case filing.Reply:
	}
}

func (f *filer) note(host int, id filing.ArrivalID, try uint64, c ledger.Command) {
	f.call(host, pop(&f.record), c, func(res ledger.Result) filing.Event {
		return filing.RecordAnswered{
			Arrival:   id,
			CommandID: try,
			Result:    res,
		}
	}, func(bool) filing.Event {
		return filing.RecordFailed{
			Arrival:   id,
			CommandID: try,
		}
	})
}

func (f *filer) call(host int, how fate, c ledger.Command, ok func(ledger.Result) filing.Event, failed func(notRun bool) filing.Event) {
	f.after(ledgerDelay, func() {
		if how == refused {
			f.step(host, failed(true))
			return
		}
		res := f.run(c)
		if how == answered {
			f.step(host, ok(res))
			return
		}
		f.step(host, failed(false))
	})
}

// filed returns the traces of one scenario: that of the first host, and that
// of the ledger which both hosts use.
func filed(name, guards string, run func(*filer), host, group []replay.Outcome) []Trace {
	play := func(onLedger bool) func(string) error {
		return func(path string) error {
			f := &filer{}
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
				out, err := newTape(path, replay.ReducerLedger, replay.LedgerSetup{}, f.ledger)
				if err != nil {
					return err
				}
				f.ledger = out.Step
				run(f)
				return out.end(replay.LedgerBroken, group...)
			}
			out, err := newTape(path, replay.ReducerFiling, filing.Config{}, f.steps[0])
			if err != nil {
				return err
			}
			f.steps[0] = out.Step
			run(f)
			return out.end(replay.FilingBroken, host...)
		}
	}
	return []Trace{
		{Name: "filing-" + name, Guards: guards, write: play(false)},
		{Name: "ledger-" + name, Guards: guards + "; the ledger's side", write: play(true)},
	}
}

// expire lets the ledger age.
func (f *filer) expire(span time.Duration) {
	f.pass(span)
	f.run(ledger.Expire{At: ledger.Stamp(f.now)})
}

// budget is the time that callers give a filing.
const budget = 4 * time.Second

func filings() []Trace { return slices.Concat(lostAnswers(), refusedFilings()) }

// lostAnswers are filings whose answers are lost on the way.
func lostAnswers() []Trace {
	var all []Trace
	add := func(name, guards string, run func(*filer), host, group []replay.Outcome) {
		all = append(all, filed(name, guards, run, host, group)...)
	}
	add("done", "a filing that runs again for a resend through either host",
		func(f *filer) {
			for host := range 4 {
				f.file(host%2, "r", budget)
				f.pass(time.Second)
			}
			f.file(0, "r2", budget)
			f.file(1, "r2", budget)
			f.pass(budget)
		},
		outcomes(exactly("Sends", 2), exactly("Done", 3)),
		outcomes(exactly("Granted", 2), atLeast("Recorded", 4), atLeast("InFlight", 1)))
	add("answer-lost", "a filing that is sent again after its answer was lost and the caller resent it",
		func(f *filer) {
			f.send = []engine.FailKind{engine.Broken}
			f.file(0, "r", budget)
			f.pass(time.Second)
			f.file(1, "r", budget)
			f.file(0, "r", budget)
			f.expire(40 * time.Second)
			f.file(0, "r", budget)
			f.pass(time.Second)
			f.run(ledger.Resolve{
				Request: "r",
				Status:  ledger.Done,
				Receipt: "by hand",
				At:      ledger.Stamp(f.now),
			})
			f.file(0, "r", budget)
			f.pass(time.Second)
		},
		outcomes(exactly("Sends", 1), atLeast("Unknown", 2), exactly("Done", 1)),
		outcomes(exactly("Granted", 1), atLeast("Recorded", 2)))
	add("reserve-lost", "a reservation whose answer was lost and that is granted twice or never used",
		func(f *filer) {
			f.reserve = []fate{answerLost, answerLost}
			f.file(0, "r", budget)
			f.pass(budget)
			f.file(1, "r", budget)
			f.pass(budget)
		},
		outcomes(exactly("Sends", 1), exactly("Done", 1), exactly("Reserves", 3)),
		outcomes(exactly("Granted", 3), exactly("Recorded", 1)))
	add("reserve-late", "a grant that is used after the send window or the caller's deadline",
		func(f *filer) {
			f.reserve = []fate{answerLost, answerLost, answerLost, answerLost}
			f.file(0, "r", 100*time.Millisecond)
			f.pass(budget)
			f.file(0, "r", budget)
			f.pass(budget)
		},
		outcomes(exactly("Sends", 1), exactly("NotRun", 1), exactly("Done", 1)),
		outcomes(atLeast("Granted", 2), atLeast("Applied", 2)))
	return all
}

// refusedFilings are filings that the ledger or an upstream refuses.
func refusedFilings() []Trace {
	var all []Trace
	add := func(name, guards string, run func(*filer), host, group []replay.Outcome) {
		all = append(all, filed(name, guards, run, host, group)...)
	}
	add("no-majority", "a filing that is sent without a reservation",
		func(f *filer) {
			for range 100 {
				f.reserve = append(f.reserve, refused)
			}
			f.file(0, "r", budget)
			f.pass(10 * time.Second)
			f.reserve = nil
			f.file(0, "r", budget)
			f.pass(budget)
		},
		outcomes(exactly("Sends", 1), exactly("NotRun", 1), exactly("Done", 1)),
		outcomes(exactly("Granted", 1)))
	add("shed-twice", "a refused send that is repeated under the same fence or more than twice",
		func(f *filer) {
			f.send = []engine.FailKind{engine.Shed, engine.Draining}
			f.file(0, "r", budget)
			f.pass(budget)
			f.file(1, "r", budget)
			f.pass(budget)
		},
		outcomes(exactly("Sends", 2), exactly("NotRun", 1)),
		outcomes(exactly("Granted", 3), exactly("Applied", 3)))
	add("record-lost", "a filing that ran and whose outcome is not recorded",
		func(f *filer) {
			f.record = []fate{answerLost, refused, answerLost}
			f.file(0, "r", budget)
			f.pass(budget)
			f.file(1, "r", budget)
			f.pass(budget)
		},
		outcomes(exactly("Sends", 1), exactly("Done", 1), exactly("Completes", 4)),
		outcomes(exactly("Granted", 1), exactly("Recorded", 1)))
	add("reserve-lost-answer-lost", "a filing that runs twice when the reservation's answer and the filing's answer are both lost",
		func(f *filer) {
			f.reserve = []fate{answerLost}
			f.send = []engine.FailKind{engine.TimedOut}
			f.file(0, "r", budget)
			f.pass(time.Second)
			f.reserve = []fate{answerLost}
			f.file(0, "r", budget)
			f.expire(40 * time.Second)
			f.file(0, "r", budget)
			f.pass(time.Second)
		},
		outcomes(exactly("Sends", 1), exactly("Done", 0), atLeast("Unknown", 2)),
		outcomes(exactly("Granted", 2), exactly("Recorded", 2)))
	return all
}

func outcomes(o ...replay.Outcome) []replay.Outcome { return o }
