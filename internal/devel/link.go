package devel

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// link follows a control host of the same process.
type link struct {
	control *ctrl.Host
	configs chan *config.State
	seats   chan engine.Seat
}

func newLink(c *ctrl.Host) *link {
	return &link{
		control: c,
		configs: make(chan *config.State),
		seats:   make(chan engine.Seat),
	}
}

// Configs implements host.Control.
func (l *link) Configs() <-chan *config.State { return l.configs }

// Seats implements host.Control.
func (l *link) Seats() <-chan engine.Seat { return l.seats }

// File implements host.Control.
func (l *link) File(context.Context, host.Filing, host.SendFiling) host.FilingEnd {
	return host.FilingEnd{
		Outcome: engine.NotRun,
		Remedy:  "this deployment keeps no filings: start control hosts with a ledger",
	}
}

func (l *link) run(ctx context.Context) error {
	select {
	case l.seats <- engine.SeatHeld:
	case <-ctx.Done():
		return nil
	}
	var last *config.State
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		s, err := l.control.Config(ctx)
		if err == nil && (last == nil || last.Version.Less(s.Version)) {
			last = s
			select {
			case l.configs <- s:
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}
