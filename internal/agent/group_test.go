package agent_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/agent"
	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// control is a real control group with agents that use it.
type control struct {
	t     *testing.T
	hosts []*ctrl.Host
	stops []func()
}

func freePort(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer lis.Close()
	return lis.Addr().String()
}

func newControl(t *testing.T, size int) *control {
	t.Helper()
	is := is.New(t)
	c := &control{t: t}
	var members []quorum.Member
	var configs []ctrl.Config
	for range size {
		cfg := ctrl.Config{
			Folder:  filepath.Join(t.TempDir(), "data"),
			Listen:  "127.0.0.1:0",
			Address: freePort(t),
		}
		id, err := ctrl.Identify(cfg.Folder)
		is.NoErr(err)
		configs = append(configs, cfg)
		members = append(members, quorum.Member{ID: id, Address: cfg.Address})
	}
	for _, cfg := range configs {
		cfg.Bootstrap = members
		h, err := ctrl.New(cfg)
		is.NoErr(err)
		c.hosts = append(c.hosts, h)
		c.stops = append(c.stops, start(t, h.Run))
	}
	return c
}

func (c *control) agent(i int) *agent.Agent {
	var sources []follow.Source
	for j, h := range c.hosts {
		sources = append(sources, follow.Source{Address: h.LinkAddr(), Domain: ident.Domain(fmt.Sprint("d", j))})
	}
	a, err := agent.New(agent.Config{
		Host:     ident.HostID(fmt.Sprint("h", i)),
		Domain:   ident.Domain(fmt.Sprint("d", i%len(sources))),
		Listen:   "127.0.0.1:0",
		Controls: sources,
	})
	is.New(c.t).NoErr(err)
	start(c.t, a.Run)
	return a
}

// command runs a change at any control host until it is accepted.
func (c *control) command(id ident.CommandID, change config.Change) ident.ConfigVersion {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Second)
	defer cancel()
	var last config.Outcome
	for i := 0; ctx.Err() == nil; i++ {
		h := c.hosts[i%len(c.hosts)]
		s, err := h.Config(ctx)
		if err != nil {
			continue
		}
		last = h.Command(ctx, config.Command{ID: id, Expect: s.Version, Change: change})
		if last.Kind == config.Accepted {
			return last.Version
		}
		// A refused id keeps its outcome, so the next try is a new command.
		id += "+"
	}
	c.t.Fatalf("command %s was not accepted: %+v", id, last)
	return last.Version
}

// runs counts how often an upstream ran each filing.
type runs struct {
	mu sync.Mutex
	of map[ident.RequestID]int
}

func (r *runs) send(id ident.RequestID) host.SendFiling {
	return func(context.Context, host.SendPermit) (string, engine.FailKind) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.of[id]++
		return "receipt of " + string(id), ""
	}
}

// Guards against a filing that runs twice or whose outcome is lost, and against
// hosts that miss a change, when the leader of a real control group stops while
// callers file and resend through several entry hosts.
func TestLeaderStopsDuringFilings(t *testing.T) {
	is := is.New(t)
	c := newControl(t, 3)
	agents := []*agent.Agent{c.agent(0), c.agent(1), c.agent(2)}
	v := c.command("c1", config.SwitchPreset{Name: preset.Peak})
	for _, a := range agents {
		await(t, a, v)
		is.Equal(<-a.Seats(), engine.SeatHeld)
	}
	const filings = 60
	ran := &runs{of: make(map[ident.RequestID]int)}
	ends := make(chan host.FilingResult, 2*filings)
	var wg sync.WaitGroup
	for i := range filings {
		id := ident.RequestID(fmt.Sprint("r", i))
		f := host.Filing{Request: id, Budget: 8 * time.Second}
		for j := range 2 { // each filing arrives at two hosts
			wg.Go(func() { ends <- agents[(i+j)%3].File(t.Context(), f, ran.send(id)) })
		}
		if i == filings/2 {
			c.stopLeader()
		}
	}
	wg.Wait()
	close(ends)
	count := make(map[engine.Outcome]int)
	for end := range ends {
		count[end.Outcome]++
	}
	for id, n := range ran.of {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	t.Logf("%d filings of %d ran, outcomes %v", len(ran.of), filings, count)
	is.Equal(len(ran.of), filings)
	is.True(count[engine.Done] >= filings)
	v = c.command("c2", config.SwitchPreset{Name: preset.Ordinary})
	for _, a := range agents {
		await(t, a, v)
		select {
		case seat := <-a.Seats():
			t.Errorf("a seat became %s through the change of leader", seat)
		default:
		}
	}
}

func (c *control) stopLeader() {
	for i, h := range c.hosts {
		s, err := h.Status(c.t.Context())
		if err == nil && s.Leader == h.ID() {
			c.stops[i]()
			c.hosts = append(c.hosts[:i:i], c.hosts[i+1:]...)
			return
		}
	}
	c.t.Fatal("the group has no leader")
}
