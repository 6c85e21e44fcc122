// Package fleet measures how fast configuration changes reach entry hosts and
// what following the control group costs each of them. It runs the agents of many
// entry hosts in one process, with real links over loopback and a stand-in for
// the control group.
package fleet

import (
	"context"
	"net"
	"sync"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/mirror"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
)

// Group stands in for a control group. Its control hosts share the configuration
// and the ledger in memory instead of a replicated log.
type Group struct {
	mu       sync.Mutex
	state    *config.State
	ledger   *ledger.Machine
	clock    func() ledger.Stamp
	controls []*Control
}

// Control stands in for one control host.
type Control struct {
	Source  follow.Source
	group   *Group
	feed    *mirror.Feed
	members *mirror.Members
	server  *link.Server
	lis     net.Listener
}

// NewGroup returns a group with one control host in each of the given domains.
// The first one is the leader. The clock gives the timestamps of the ledger.
func NewGroup(state *config.State, domains []ident.Domain, clock func() ledger.Stamp) (*Group, error) {
	g := &Group{
		state:  state,
		ledger: ledger.NewMachine(0),
		clock:  clock,
	}
	for i, d := range domains {
		server, err := link.NewServer(link.Config{})
		if err != nil {
			return nil, err
		}
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		c := &Control{
			Source: follow.Source{
				Address: lis.Addr().String(),
				Domain:  d,
			},
			group:  g,
			feed:   mirror.NewFeed(0),
			server: server,
			lis:    lis,
		}
		c.members = mirror.NewMembers(mirror.MembersConfig{
			Leads:  func() bool { return i == 0 },
			Leader: func() string { return g.controls[0].Source.Address },
		})
		c.register()
		c.feed.Set(state, nil)
		g.controls = append(g.controls, c)
	}
	return g, nil
}

// Sources returns the address and domain of each control host.
func (g *Group) Sources() []follow.Source {
	list := make([]follow.Source, 0, len(g.controls))
	for _, c := range g.controls {
		list = append(list, c.Source)
	}
	return list
}

// Serve runs the control hosts until ctx ends.
func (g *Group) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(g.controls))
	for i, c := range g.controls {
		wg.Go(func() { _ = c.members.Run(ctx) })
		wg.Go(func() { errs <- c.server.Serve(ctx, c.lis) })
		if i == 0 {
			c.members.Post(member.LeaderStarted{
				Seats:   g.State().Seats,
				Version: g.State().Version,
				Fresh:   true,
			})
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// State returns the active configuration.
func (g *Group) State() *config.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// Change applies a change, publishes it through all control hosts and returns the
// new version.
func (g *Group) Change(c config.Change) (ident.ConfigVersion, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, err := g.state.Apply(c)
	if err != nil {
		return ident.ConfigVersion{}, err
	}
	if next.Seats != g.state.Seats {
		g.controls[0].members.Post(member.SeatsSet{
			Seats:   next.Seats,
			Version: next.Version,
		})
	}
	g.state = next
	for _, control := range g.controls {
		control.feed.Set(next, []follow.Delta{{
			Version: next.Version,
			Change:  c,
			Digest:  next.Digest,
		}})
	}
	return next.Version, nil
}

// Filing returns the ledger's record of a filing, if there is one.
func (g *Group) Filing(id ident.RequestID) (ledger.Filing, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Find(id)
}

func (g *Group) runLedger(cmd ledger.Command) (*proto.FilingAnswer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &proto.FilingAnswer{
		Kind:   proto.FilingApplied,
		Result: g.ledger.Run(ledger.Stamped(cmd, g.clock())),
	}, nil
}

func (c *Control) register() {
	c.feed.Register(c.server)
	c.members.Register(c.server)
	link.Handle(c.server, proto.MethodReserve, func(_ context.Context, in *proto.Reserve) (*proto.FilingAnswer, error) {
		return c.group.runLedger(ledger.Reserve{
			Request:  in.Request,
			BodyHash: in.BodyHash,
			Host:     in.Host,
			Attempt:  in.Attempt,
		})
	})
	link.Handle(c.server, proto.MethodComplete, func(_ context.Context, in *proto.Complete) (*proto.FilingAnswer, error) {
		return c.group.runLedger(ledger.Complete{
			Request: in.Request,
			Fence:   in.Fence,
			Receipt: in.Receipt,
		})
	})
	link.Handle(c.server, proto.MethodRelease, func(_ context.Context, in *proto.Release) (*proto.FilingAnswer, error) {
		return c.group.runLedger(ledger.Release{
			Request: in.Request,
			Fence:   in.Fence,
		})
	})
}
