package core

import (
	"context"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// methodLead is the call by which a leader announces itself. It takes leadIn
// and returns leadOut.
const methodLead = "/core/lead"

// announceInterval is the time between two announcements. Hosts that contact a
// seed learn of a new leader at most this much later.
const announceInterval = 500 * time.Millisecond

type leadIn struct {
	// Leader is the link address of the leader.
	Leader string
}

type leadOut struct{}

// register registers the methods that other hosts call.
func (c *Core) register(s *link.Server) {
	c.watchState.Register(s)
	link.Handle(s, methodLead, func(_ context.Context, in *leadIn) (*leadOut, error) {
		select {
		case <-c.leaders:
		default:
		}
		select {
		case c.leaders <- in.Leader:
		default: // another announcement arrived in between
		}
		return &leadOut{}, nil
	})
}

// announce reports to the seeds that are not members that this host leads. All
// seeds may have been replaced in the group. After a power loss of all hosts,
// such seeds know only each other, and every host that starts contacts only
// the seeds.
func (c *Core) announce(ctx context.Context) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s, ok := c.status(ctx)
		if !ok || s.Role != quorum.Leader || !s.Lease {
			continue
		}
		for _, seed := range *c.seeds.Load() {
			if seed != c.cfg.Link && !slices.ContainsFunc(s.Members, func(m quorum.Member) bool { return m.Address == seed }) {
				go c.announceTo(ctx, seed)
			}
		}
	}
}

// announceTo reports to one seed that this host leads. A failed call is only
// logged for debugging: seeds that were removed never reply, and the next
// announcement repeats this one.
func (c *Core) announceTo(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, watch.PollTimeout)
	defer cancel()
	if err := c.client.Call(ctx, seed, methodLead, &leadIn{Leader: c.cfg.Link}, &leadOut{}); err != nil {
		c.log.Debug("seed does not answer", "Seed", seed, "Error", err.Error())
	}
}
