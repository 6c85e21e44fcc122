package agent

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// replyReserve is the part of the caller's budget that is kept for returning
	// the reply.
	replyReserve = 20 * time.Millisecond

	// replySlack is how long File waits for the reducer's reply after the caller's
	// deadline.
	replySlack = 200 * time.Millisecond
)

// arrival is a filing that a caller waits for.
type arrival struct {
	send  host.SendFiling
	reply chan host.FilingResult
}

// File implements host.Control.
func (a *Agent) File(ctx context.Context, f host.Filing, send host.SendFiling) host.FilingResult {
	budget := f.Budget
	if deadline, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(deadline))
	}
	arr := &arrival{
		send:  send,
		reply: make(chan host.FilingResult, 1),
	}
	a.post(func() {
		a.lastArrival++
		a.openFilings[a.lastArrival] = arr
		a.stepFiling(filing.Arrived{
			Arrival:  a.lastArrival,
			Request:  f.Request,
			BodyHash: f.BodyHash,
			Budget:   budget - replyReserve,
		})
	})
	timeout := time.NewTimer(budget + replySlack)
	defer timeout.Stop()
	select {
	case result := <-arr.reply:
		return result
	case <-timeout.C:
	case <-a.done:
	}
	select {
	case result := <-arr.reply:
		return result
	default:
	}
	return host.FilingResult{
		Outcome: engine.Unknown,
		Remedy:  "this host stopped or is overloaded: ask again with the same id",
	}
}

// stepFiling passes an event to the reducer of filings and carries out the
// effects.
func (a *Agent) stepFiling(event filing.Event) {
	for _, eff := range a.filing.Step(a.now(), event) {
		switch eff := eff.(type) {
		case filing.Reserve:
			a.reserve(eff)
		case filing.Send:
			a.sendFiling(eff)
		case filing.Complete:
			a.recordOutcome(eff.Arrival, eff.CommandID, proto.MethodComplete, &proto.Complete{
				Request: eff.Request,
				Fence:   eff.Fence,
				Receipt: eff.Receipt,
			})
		case filing.Release:
			a.recordOutcome(eff.Arrival, eff.CommandID, proto.MethodRelease, &proto.Release{
				Request: eff.Request,
				Fence:   eff.Fence,
			})
		case filing.Reply:
			a.openFilings[eff.Arrival].reply <- host.FilingResult{
				Outcome:     eff.Outcome,
				Receipt:     eff.Receipt,
				BodyDiffers: eff.BodyDiffers,
				Remedy:      eff.Remedy,
			}
			delete(a.openFilings, eff.Arrival)
		case filing.Wake:
			a.setTimer(filingTimer, eff.At)
		}
	}
}

func (a *Agent) reserve(eff filing.Reserve) {
	a.callLedger(proto.MethodReserve, &proto.Reserve{
		Request:  eff.Request,
		BodyHash: eff.BodyHash,
		Host:     a.cfg.Host,
		Attempt:  eff.Attempt,
	}, func(out *proto.FilingAnswer, notRun bool) {
		if out == nil {
			a.stepFiling(filing.ReserveFailed{
				Arrival:   eff.Arrival,
				CommandID: eff.CommandID,
				NotRun:    notRun,
			})
			return
		}
		a.stepFiling(filing.ReserveAnswered{
			Arrival:   eff.Arrival,
			CommandID: eff.CommandID,
			Result:    out.Result,
		})
	})
}

func (a *Agent) recordOutcome(id filing.ArrivalID, commandID uint64, method string, in any) {
	a.callLedger(method, in, func(out *proto.FilingAnswer, _ bool) {
		if out == nil {
			a.stepFiling(filing.RecordFailed{
				Arrival:   id,
				CommandID: commandID,
			})
			return
		}
		a.stepFiling(filing.RecordAnswered{
			Arrival:   id,
			CommandID: commandID,
			Result:    out.Result,
		})
	})
}

// callLedger sends a ledger command to the leader, or to a control host if the
// leader is unknown. It passes the answer of an applied command to onAnswer, or
// nil and whether the command provably did not run. After a failure the next
// call goes to the leader that was named, or else to the next control host.
func (a *Agent) callLedger(method string, in any, onAnswer func(out *proto.FilingAnswer, notRun bool)) {
	to := a.leader
	if to == "" {
		to = a.cfg.Controls[a.controlIndex%len(a.cfg.Controls)].Address
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		defer cancel()
		out := new(proto.FilingAnswer)
		err := a.call(ctx, to, method, in, out)
		a.post(func() {
			switch {
			case err == nil && out.Kind == proto.FilingApplied:
				onAnswer(out, false)
				return
			case err == nil && out.Leader != "" && out.Leader != to:
				a.leader = out.Leader
			default:
				a.leader = ""
				a.controlIndex++
			}
			onAnswer(nil, link.NotRun(err) || err == nil && out.Kind == proto.FilingNotRun)
		})
	})
}

// sendFiling calls the SendFiling function of the arrival and reports the result
// to the reducer. A stopping agent still waits for it, for up to stopTimeout.
func (a *Agent) sendFiling(eff filing.Send) {
	arr := a.openFilings[eff.Arrival]
	a.spawn(func(ctx context.Context) {
		deadline := a.wallTime(eff.Deadline)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		receipt, kind := arr.send(ctx, host.SendPermit{
			Fence:    eff.Fence,
			Earlier:  eff.Earlier,
			Until:    a.wallTime(eff.Until),
			Deadline: deadline,
		})
		a.post(func() {
			if kind != "" {
				a.stepFiling(filing.SendFailed{
					Arrival: eff.Arrival,
					Fence:   eff.Fence,
					Kind:    kind,
				})
				return
			}
			a.stepFiling(filing.SendAnswered{
				Arrival: eff.Arrival,
				Fence:   eff.Fence,
				Receipt: receipt,
			})
		})
	})
}

// wallTime converts an instant, which counts from the start of the agent.
func (a *Agent) wallTime(at ident.Instant) time.Time { return a.start.Add(time.Duration(at)) }
