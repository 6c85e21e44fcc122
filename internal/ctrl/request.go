package ctrl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/peer"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Command runs an operator command through the leader and returns its
// outcome. It waits up to 3 s for a leader.
func (h *Host) Command(ctx context.Context, c config.Command) config.Outcome {
	cmd, err := state.ConfigCommand(c)
	if err != nil {
		return config.Outcome{
			Kind:   config.NotRun,
			Remedy: err.Error(),
		}
	}
	a := h.Submit(ctx, Request{Command: &cmd})
	if a.Kind != config.Accepted {
		return config.Outcome{
			Kind:   a.Kind,
			Remedy: a.Remedy,
		}
	}
	var out config.Outcome
	if err := proto.Unmarshal(a.Data, &out); err != nil {
		return unknown("the outcome cannot be decoded: " + err.Error())
	}
	return out
}

func unknown(why string) config.Outcome {
	return config.Outcome{
		Kind:   config.Unknown,
		Remedy: why + ": resend the same id",
	}
}

// Submit runs a request here or on the leader. A request that did not run is
// tried again while an election may be under way.
func (h *Host) Submit(ctx context.Context, r Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, commandWait)
	defer cancel()
	for {
		a := h.route(ctx, r)
		if a.Kind != config.NotRun || !a.Retry {
			h.meters.ended(r, a.Kind)
			return a
		}
		pause := time.NewTimer(leaderPoll)
		select {
		case <-ctx.Done():
			pause.Stop()
			h.meters.ended(r, a.Kind)
			return a
		case <-pause.C:
		}
	}
}

// route runs a request here if this member leads, else on the leader.
func (h *Host) route(ctx context.Context, r Request) Answer {
	var leader quorum.Member
	var elsewhere bool
	err := h.ask(ctx, func(o *owner) { leader, elsewhere = leaderOf(o.node.Status(h.now())) })
	if err != nil {
		return notRun(err.Error())
	}
	if !elsewhere {
		return h.Local(ctx, r)
	}
	a, err := h.cfg.Transport.Forward(ctx, leader, r)
	var unsent *peer.NotSentError
	switch {
	case errors.As(err, &unsent):
		return notRun(err.Error())
	case err != nil:
		return Answer{
			Kind:   config.Unknown,
			Remedy: "the answer of the leader was lost: resend the same id: " + err.Error(),
		}
	}
	return a
}

// Local runs a request on this member only; it is what Transport.Forward
// calls on the receiving side.
func (h *Host) Local(ctx context.Context, r Request) Answer {
	answer := make(chan Answer, 1)
	select {
	case h.requests <- request{
		Request: r,
		answer:  answer,
	}:
	case <-ctx.Done():
		return notRun("this host is busy: send it again later")
	case <-h.done:
		return notRun("this host stops: send it to another member")
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return Answer{
			Kind:   config.Unknown,
			Remedy: "no outcome in time: resend the same id",
		}
	case <-h.done:
	}
	select {
	case a := <-answer:
		return a
	default:
		return Answer{
			Kind:   config.Unknown,
			Remedy: "this host stopped: resend the same id to another member",
		}
	}
}

func notRun(why string) Answer {
	return Answer{
		Kind:   config.NotRun,
		Remedy: why,
		Retry:  true,
	}
}

func (h *Host) view(ctx context.Context) (view, error) {
	var v view
	err := h.ask(ctx, func(o *owner) { v = o.view() })
	return v, err
}

// ask runs fn on the goroutine that owns the state and waits for it.
func (h *Host) ask(ctx context.Context, fn func(*owner)) error {
	ran := make(chan struct{})
	select {
	case h.asks <- func(o *owner) { fn(o); close(ran) }:
		<-ran
		return nil
	case <-ctx.Done():
		return errors.New("this host is busy: send it again later")
	case <-h.done:
		return errors.New("this host stops: send it to another member")
	}
}
