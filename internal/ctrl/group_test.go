package ctrl_test

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// network connects hosts of one process in memory. Messages from and to
// isolated hosts are dropped without an error.
type network struct {
	mu    sync.Mutex
	hosts map[ident.HostID]*ctrl.Host
	cut   map[ident.HostID]bool
}

type port struct {
	net *network
	id  ident.HostID
}

func (n *network) reach(from, to ident.HostID) *ctrl.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.hosts[to]
}

func (n *network) isolate(id ident.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

func (p port) Send(_ quorum.Member, m quorum.Message) {
	if h := p.net.reach(p.id, m.To); h != nil {
		h.Deliver(m)
	}
}

func (p port) Forward(ctx context.Context, to quorum.Member, r ctrl.Request) (ctrl.Answer, error) {
	h := p.net.reach(p.id, to.ID)
	if h == nil {
		<-ctx.Done()
		return ctrl.Answer{}, ctx.Err()
	}
	return h.Local(ctx, r), nil
}

// group is a control group in one process. If net is nil it uses the real link.
type group struct {
	t       testing.TB
	net     *network
	configs []ctrl.Config
	hosts   []*ctrl.Host
	stops   []func()
}

func freePort(t testing.TB) string {
	t.Helper()
	address, err := ports.Free()
	is.New(t).NoErr(err)
	return address
}

// newGroup starts a group; settings change the settings of its members.
func newGroup(t testing.TB, size int, n *network, settings ...func(i int, cfg *ctrl.Config)) *group {
	t.Helper()
	g := &group{
		t:   t,
		net: n,
	}
	var members []quorum.Member
	for range size {
		members = append(members, g.prepare())
	}
	for i := range g.configs {
		g.configs[i].Bootstrap = members
		for _, set := range settings {
			set(i, &g.configs[i])
		}
		g.start(i)
	}
	return g
}

// prepare makes the data folder and the settings of one more host.
func (g *group) prepare() quorum.Member {
	g.t.Helper()
	folder := filepath.Join(g.t.TempDir(), "data")
	id, err := ctrl.Identify(folder)
	is.New(g.t).NoErr(err)
	cfg := ctrl.Config{
		Folder:  folder,
		Listen:  "127.0.0.1:0",
		Address: freePort(g.t),
	}
	if g.net != nil {
		cfg.Transport = port{
			net: g.net,
			id:  id,
		}
	}
	g.configs = append(g.configs, cfg)
	g.hosts = append(g.hosts, nil)
	g.stops = append(g.stops, nil)
	return quorum.Member{
		ID:      id,
		Address: cfg.Address,
	}
}

func (g *group) start(i int) {
	g.t.Helper()
	g.hosts[i], g.stops[i] = start(g.t, g.configs[i])
	if g.net != nil {
		g.net.mu.Lock()
		g.net.hosts[g.hosts[i].ID()] = g.hosts[i]
		g.net.mu.Unlock()
	}
}

func (g *group) stop(i int) {
	g.stops[i]()
	g.hosts[i] = nil
}

func (g *group) status(i int) ctrl.Status {
	if g.hosts[i] == nil {
		return ctrl.Status{}
	}
	s, err := g.hosts[i].Status(context.Background())
	is.New(g.t).NoErr(err)
	return s
}

// await polls until the condition holds and returns how long it took.
func (g *group) await(limit time.Duration, what string, cond func() bool) time.Duration {
	g.t.Helper()
	began := time.Now()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for !cond() {
		if time.Since(began) > limit {
			g.t.Fatalf("not within %s: %s", limit, what)
		}
		<-poll.C
	}
	return time.Since(began)
}

// leader waits for a host other than excluded that has the lease.
func (g *group) leader(excluded int) (index int, took time.Duration) {
	g.t.Helper()
	took = g.await(10*time.Second, "a leader with a lease", func() bool {
		for i := range g.hosts {
			if i != excluded && g.hosts[i] != nil && g.status(i).Lease {
				index = i
				return true
			}
		}
		return false
	})
	return index, took
}

// run sends commands to host i, each with a new id and the version that this
// host has, until one is accepted.
func (g *group) run(i int, id string) config.Outcome {
	g.t.Helper()
	var out config.Outcome
	g.await(10*time.Second, "command "+id+" is accepted", func() bool {
		out = g.hosts[i].Command(context.Background(), config.Command{
			ID:     ident.CommandID(id),
			Expect: g.status(i).Version,
			Change: config.SetSeats{Seats: 7},
		})
		id += "'"
		return out.Kind == config.Accepted
	})
	return out
}

// Guards against commands that are lost when the leader changes, and against
// members whose states diverge. Uses the real link.
func TestGroupOverLink(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, nil)
	first, _ := g.leader(-1)
	for i := range g.hosts {
		g.run(i, fmt.Sprint("c", i)) // two of these are forwarded
	}
	g.stop(first)
	second, took := g.leader(first)
	t.Logf("new leader %s after a graceful stop", took)
	is.True(took < 2*time.Second)
	out := g.run(second, "after")
	g.start(first)
	g.await(5*time.Second, "equal states", func() bool {
		for i := range g.hosts {
			if g.status(i).Version != out.Version || g.status(i).Digest != g.status(second).Digest {
				return false
			}
		}
		return true
	})
}

// Guards against an isolated leader that accepts commands, a failover that
// takes longer than 3 s, and an old leader that forces an election when it
// reconnects.
func TestIsolatedLeaderOfRunningGroup(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 5, &network{
		hosts: map[ident.HostID]*ctrl.Host{},
		cut:   map[ident.HostID]bool{},
	})
	old, _ := g.leader(-1)
	g.run(old, "before")
	before := g.status(old)
	g.net.isolate(before.ID, true)
	fresh, took := g.leader(old)
	t.Logf("new leader %s after the isolation", took)
	is.True(took < 3*time.Second)
	out := g.hosts[old].Command(t.Context(), config.Command{
		ID:     "late",
		Expect: before.Version,
		Change: config.SetSeats{Seats: 9},
	})
	is.Equal(out.Kind, config.NotRun)
	want := g.run(fresh, "after")
	term := g.status(fresh).Term
	g.net.isolate(before.ID, false)
	g.await(5*time.Second, "the old leader catches up", func() bool { return g.status(old).Version == want.Version })
	is.Equal(g.status(fresh).Term, term)
	is.True(g.status(fresh).Lease)
}

// Guards against a replacement after which the group does not tolerate the
// failure of another member.
func TestReplaceThenLoseAnother(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 5, &network{
		hosts: map[ident.HostID]*ctrl.Host{},
		cut:   map[ident.HostID]bool{},
	})
	leader, _ := g.leader(-1)
	failed := (leader + 1) % 5
	old := g.status(failed).ID
	g.stop(failed)
	m := g.prepare()
	g.start(5)
	a := g.hosts[leader].Submit(t.Context(), ctrl.Request{Members: &ctrl.MembersRequest{Replace: &ctrl.ReplaceMember{
		Old:     old,
		ID:      m.ID,
		Address: m.Address,
	}}})
	is.Equal(a.Kind, config.Accepted)
	repaired := g.await(5*time.Second, "the new member votes and the old one is removed", func() bool {
		voters := 0
		for _, m := range g.status(leader).Members {
			if m.Voter && m.ID != old {
				voters++
			}
		}
		return voters == 5 && len(g.status(leader).Members) == 5
	})
	began := time.Now()
	g.net.isolate(g.status(leader).ID, true)
	next, _ := g.leader(leader)
	g.run(next, "after")
	took := time.Since(began)
	t.Logf("replaced in %s, accepting again %s after the second failure", repaired, took)
	is.True(took < 3*time.Second)
}

// Guards against a host that rejoins under its old member entry after its disk
// was wiped, without the data that it had acknowledged.
func TestWipedFolderIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := ctrl.New(ctrl.Config{
		Folder:  t.TempDir(),
		Listen:  "127.0.0.1:0",
		Address: "127.0.0.1:0",
		Bootstrap: []quorum.Member{{
			ID:      "old",
			Address: "127.0.0.1:1",
		}},
	})
	var wiped *ctrl.NotInBootstrapError
	is.True(errors.As(err, &wiped))
}
