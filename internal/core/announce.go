package core

import (
	"context"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// methodLead is the call by which a leader makes itself known; leadIn, leadOut.
const methodLead = "/core/lead"

// announceEvery is the time between two announcements. Hosts that ask a seed
// learn of a new leader that much later at most.
const announceEvery = 500 * time.Millisecond

type leadIn struct {
	// Leader is the link address of the leader.
	Leader string
}

type leadOut struct{}

// register serves the calls of other hosts.
func (c *Core) register(s *link.Server) {
	c.board.Register(s)
	link.Handle(s, methodLead, func(_ context.Context, in *leadIn) (*leadOut, error) {
		select {
		case <-c.leaders:
		default:
		}
		select {
		case c.leaders <- in.Leader:
		default: // another announcement came in between
		}
		return &leadOut{}, nil
	})
}

// announce tells the seeds that are no members who leads. The seeds may all
// have been replaced in the group; after a loss of power of all hosts they
// know of each other only, and every host that starts asks them alone.
func (c *Core) announce(ctx context.Context) error {
	tick := time.NewTicker(announceEvery)
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

// announceTo tells one host that this one leads. A seed that is gone does not
// answer, which is no news; the next announcement repeats this one.
func (c *Core) announceTo(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, watch.PollTimeout)
	defer cancel()
	if err := c.client.Call(ctx, seed, methodLead, &leadIn{Leader: c.cfg.Link}, &leadOut{}); err != nil {
		c.log.Debug("seed does not answer", "Seed", seed, "Error", err.Error())
	}
}
