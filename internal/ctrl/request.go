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
// outcome. It waits up to commandTimeout for a leader and the outcome.
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

func unknown(reason string) config.Outcome {
	return config.Outcome{
		Kind:   config.Unknown,
		Remedy: reason + ": resend the same id",
	}
}

// Submit runs a request on this host or on the leader. A request that did not
// run is retried for up to commandTimeout, since an election may be in progress.
func (h *Host) Submit(ctx context.Context, r Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		a := h.route(ctx, r)
		if a.Kind != config.NotRun || !a.Retry {
			h.meters.countRequest(r, a.Kind)
			return a
		}
		pause := time.NewTimer(leaderRetryDelay)
		select {
		case <-ctx.Done():
			pause.Stop()
			h.meters.countRequest(r, a.Kind)
			return a
		case <-h.stopped:
			pause.Stop()
			h.meters.countRequest(r, a.Kind)
			return a
		case <-pause.C:
		}
	}
}

// route forwards a request to the leader if another member is known to lead,
// else runs it on this host.
func (h *Host) route(ctx context.Context, r Request) Answer {
	var leader quorum.Member
	var remote bool
	err := h.runOnOwner(ctx, func(o *owner) { leader, remote = leaderOf(o.node.Status(h.now())) })
	if err != nil {
		return notRun(err.Error())
	}
	if !remote {
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

// Local runs a request on this member without forwarding it. Transport.Forward
// calls it on the receiving side.
func (h *Host) Local(ctx context.Context, r Request) Answer {
	answer := make(chan Answer, 1)
	select {
	case h.requests <- request{
		Request: r,
		answer:  answer,
	}:
	case <-ctx.Done():
		return notRun("this host is busy: send it again later")
	case <-h.stopped:
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
	case <-h.stopped:
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

func notRun(reason string) Answer {
	return Answer{
		Kind:   config.NotRun,
		Remedy: reason,
		Retry:  true,
	}
}

func (h *Host) view(ctx context.Context) (view, error) {
	var v view
	err := h.runOnOwner(ctx, func(o *owner) { v = o.view() })
	return v, err
}

// runOnOwner runs fn on the goroutine that owns the state and waits for it.
func (h *Host) runOnOwner(ctx context.Context, fn func(*owner)) error {
	finished := make(chan struct{})
	select {
	case h.ownerCalls <- func(o *owner) { fn(o); close(finished) }:
		<-finished
		return nil
	case <-ctx.Done():
		return errors.New("this host is busy: send it again later")
	case <-h.stopped:
		return errors.New("this host stops: send it to another member")
	}
}
