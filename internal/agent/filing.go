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
	// replyReserve is how long before the caller's deadline the reply is made.
	replyReserve = 20 * time.Millisecond

	// replySlack is how long after the caller's deadline a reply is awaited.
	replySlack = 200 * time.Millisecond
)

// arrival is a filing in progress.
type arrival struct {
	send  host.SendFiling
	reply chan host.FilingResult
}

// File implements host.Control.
func (a *Agent) File(ctx context.Context, f host.Filing, send host.SendFiling) host.FilingResult {
	budget := f.Budget
	if until, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(until))
	}
	arr := &arrival{
		send:  send,
		reply: make(chan host.FilingResult, 1),
	}
	a.post(func() {
		a.arrivals++
		a.open[a.arrivals] = arr
		a.stepFiling(filing.Arrived{
			Arrival:  a.arrivals,
			Request:  f.Request,
			BodyHash: f.BodyHash,
			Budget:   budget - replyReserve,
		})
	})
	late := time.NewTimer(budget + replySlack)
	defer late.Stop()
	select {
	case end := <-arr.reply:
		return end
	case <-late.C:
	case <-a.done:
	}
	select {
	case end := <-arr.reply:
		return end
	default:
	}
	return host.FilingResult{
		Outcome: engine.Unknown,
		Remedy:  "this host stopped or is overloaded: ask again with the same id",
	}
}

// stepFiling carries out the effects of one event of a filing.
func (a *Agent) stepFiling(event filing.Event) {
	for _, eff := range a.filing.Step(a.now(), event) {
		switch eff := eff.(type) {
		case filing.Reserve:
			a.reserve(eff)
		case filing.Send:
			a.send(eff)
		case filing.Complete:
			a.record(eff.Arrival, eff.CommandID, proto.MethodComplete, &proto.Complete{
				Request: eff.Request,
				Fence:   eff.Fence,
				Receipt: eff.Receipt,
			})
		case filing.Release:
			a.record(eff.Arrival, eff.CommandID, proto.MethodRelease, &proto.Release{
				Request: eff.Request,
				Fence:   eff.Fence,
			})
		case filing.Reply:
			a.open[eff.Arrival].reply <- host.FilingResult{
				Outcome:     eff.Outcome,
				Receipt:     eff.Receipt,
				BodyDiffers: eff.BodyDiffers,
				Remedy:      eff.Remedy,
			}
			delete(a.open, eff.Arrival)
		case filing.Wake:
			a.wake(filingTimer, eff.At)
		}
	}
}

func (a *Agent) reserve(eff filing.Reserve) {
	a.ledger(proto.MethodReserve, &proto.Reserve{
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

func (a *Agent) record(id filing.ArrivalID, try uint64, method string, in any) {
	a.ledger(method, in, func(out *proto.FilingAnswer, _ bool) {
		if out == nil {
			a.stepFiling(filing.RecordFailed{
				Arrival:   id,
				CommandID: try,
			})
			return
		}
		a.stepFiling(filing.RecordAnswered{
			Arrival:   id,
			CommandID: try,
			Result:    out.Result,
		})
	})
}

// ledger calls a control host and hands the applied answer to then, or nil if
// there is none. A failure moves on to the next control host.
func (a *Agent) ledger(method string, in any, then func(out *proto.FilingAnswer, notRun bool)) {
	to := a.leader
	if to == "" {
		to = a.cfg.Controls[a.control%len(a.cfg.Controls)].Address
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		defer cancel()
		out := new(proto.FilingAnswer)
		err := a.call(ctx, to, method, in, out)
		a.post(func() {
			switch {
			case err == nil && out.Kind == proto.FilingApplied:
				then(out, false)
				return
			case err == nil && out.Leader != "" && out.Leader != to:
				a.leader = out.Leader
			default:
				a.leader = ""
				a.control++
			}
			then(nil, link.NotRun(err) || err == nil && out.Kind == proto.FilingNotRun)
		})
	})
}

// send has the filing sent by the host. The result always comes back, also
// when the agent stops, because Run waits for it.
func (a *Agent) send(eff filing.Send) {
	arr := a.open[eff.Arrival]
	a.spawn(func(ctx context.Context) {
		deadline := a.time(eff.Deadline)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		receipt, kind := arr.send(ctx, host.SendPermit{
			Fence:    eff.Fence,
			Earlier:  eff.Earlier,
			Until:    a.time(eff.Until),
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

// time converts an instant of this process.
func (a *Agent) time(at ident.Instant) time.Time { return a.start.Add(time.Duration(at)) }
