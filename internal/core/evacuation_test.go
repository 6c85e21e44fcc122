package core_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/internal/core"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

const (
	// waitTimeout bounds each wait of a test, also on a busy machine.
	waitTimeout = 20 * time.Second

	// reachTime is how long a change may take to reach all control hosts in touch.
	reachTime = 2 * time.Second
)

// group is some control hosts, each with its settings, which a restart keeps.
type group struct {
	t      *testing.T
	client *link.Client
	hosts  []*member
}

type member struct {
	cfg  core.Config
	host *core.Core
	stop func()
}

// newGroup starts three members and, as further ones, hosts outside the replicated log.
func newGroup(t *testing.T, further int) *group {
	t.Helper()
	client, err := link.NewClient(link.Config{})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	g := &group{
		t:      t,
		client: client,
	}
	links := []string{free(t), free(t), free(t)}
	for n := range len(links) + further {
		address := ""
		if n < len(links) {
			address = links[n]
		} else {
			address = free(t)
		}
		cfg := config(t, address, free(t), n < len(links), links...)
		cfg.MaxDiskFailures = 1
		cfg.Metrics = free(t)
		g.hosts = append(g.hosts, &member{cfg: cfg})
	}
	for _, m := range g.hosts {
		g.start(m)
	}
	return g
}

func (g *group) start(m *member) {
	g.t.Helper()
	c, err := core.New(m.cfg)
	if err != nil {
		g.t.Fatal(err)
	}
	m.host, m.stop = c, run(g.t, c)
}

func (g *group) stopAll() {
	ended := make(chan struct{})
	for _, m := range g.hosts {
		go func() {
			m.stop()
			ended <- struct{}{}
		}()
	}
	for range g.hosts {
		<-ended
	}
}

// order sends one order to a host and returns the status, 0 without an answer.
func (m *member) order(method, domain string) int {
	req, err := http.NewRequest(method, "http://"+m.cfg.Operator+"/-/evacuation/"+domain, http.NoBody)
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// acknowledge repeats an order until it is acknowledged.
func (g *group) acknowledge(m *member, method, domain string) {
	g.t.Helper()
	status := 0
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status = m.order(method, domain); status == http.StatusOK {
			return
		}
	}
	g.t.Fatalf("%s %s: the last status is %d", method, domain, status)
}

// poll polls a host as an entry host does that has a revision.
func (g *group) poll(m *member, have evac.Revision) (r board.Reply, ok bool) {
	err := g.client.Call(g.t.Context(), m.cfg.Link, watch.MethodPoll, &board.Request{
		From:       board.Host{ID: "test"},
		Evacuation: have,
		AtOnce:     true,
	}, &r)
	return r, err == nil
}

// await waits until a host offers the set, with a current copy.
func (g *group) await(m *member, within time.Duration, want string) {
	g.t.Helper()
	got := ""
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		r, ok := g.poll(m, 0)
		if got = fmt.Sprint(ok, " ", r.Age >= 0, " none"); r.Evacuated != nil {
			got = fmt.Sprint(ok, " ", r.Age >= 0, " ", r.Evacuated.Revision, r.Evacuated.Domains)
		}
		if got == "true true "+want {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("%s offers %q, not %q, after %s", m.cfg.Link, got, want, within)
		}
	}
}

// awaitMetric waits until the metrics of a host have a line.
func (g *group) awaitMetric(m *member, line string) {
	g.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + m.cfg.Metrics)
		if err != nil {
			continue
		}
		page, err := io.ReadAll(res.Body)
		if res.Body.Close() == nil && err == nil && strings.Contains(string(page), line) {
			return
		}
	}
	g.t.Fatalf("the metrics of %s have no line %q", m.cfg.Link, line)
}

// Guards against an order that is lost, counted twice or refused although it is valid,
// and against one that does not reach a control host outside the replicated log.
func TestEvacuationIsAcknowledgedOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	g.acknowledge(g.hosts[0], http.MethodPost, "a")
	for _, m := range g.hosts { // repeated at each host, also one outside the log
		g.acknowledge(m, http.MethodPost, "a")
		g.acknowledge(m, http.MethodDelete, "unknown")
	}
	for _, m := range g.hosts {
		g.await(m, waitTimeout, "1 [a]")
	}
	g.acknowledge(g.hosts[3], http.MethodPost, "b%2Dc")
	for _, m := range g.hosts {
		g.await(m, reachTime, "2 [a b-c]")
		g.awaitMetric(m, "control_evacuated_domains 2\n")
	}
	g.acknowledge(g.hosts[1], http.MethodDelete, "a")
	g.acknowledge(g.hosts[2], http.MethodDelete, "a")
	for _, m := range g.hosts {
		g.await(m, reachTime, "3 [b-c]")
	}
	for _, bad := range []string{"", "a/b", "a%2Fb", "a%20b", "%00", strings.Repeat("x", evac.MaxName+1)} {
		is.Equal(g.hosts[0].order(http.MethodPost, bad), http.StatusBadRequest)
		is.Equal(g.hosts[3].order(http.MethodDelete, bad), http.StatusBadRequest)
	}
	is.Equal(g.hosts[0].order(http.MethodPut, "a"), http.StatusMethodNotAllowed)
}

// Guards against an acknowledged order that a restart of all control hosts undoes, and
// against an older state that they offer before they have a leader.
func TestEvacuationSurvivesARestartOfAllControlHosts(t *testing.T) {
	g := newGroup(t, 0)
	g.acknowledge(g.hosts[0], http.MethodPost, "a")
	g.acknowledge(g.hosts[0], http.MethodPost, "b")
	g.acknowledge(g.hosts[0], http.MethodDelete, "a")
	g.stopAll()
	for _, m := range g.hosts {
		g.start(m)
	}
	for seen, end := 0, time.Now().Add(waitTimeout); seen < len(g.hosts) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		seen = 0
		for _, m := range g.hosts {
			r, ok := g.poll(m, 0)
			if !ok || r.Age < 0 {
				continue // an entry host that starts does not take it
			}
			if seen++; r.EvacuationRevision != 3 {
				t.Fatalf("%s confirms revision %d after its restart", m.cfg.Link, r.EvacuationRevision)
			}
		}
	}
	for _, m := range g.hosts {
		g.await(m, waitTimeout, "3 [b]")
	}
}

// Guards against an order that a new leader does not know, or that is lost with a disk,
// and against an acknowledgement without a majority.
func TestEvacuationSurvivesALeaderAndADisk(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 0)
	g.acknowledge(g.hosts[0], http.MethodPost, "a")
	g.await(g.hosts[0], waitTimeout, "1 [a]")
	r, _ := g.poll(g.hosts[0], 0)
	leader, others := 0, []*member{}
	for n, m := range g.hosts {
		if m.cfg.Link == r.Leader {
			leader = n
		} else {
			others = append(others, m)
		}
	}
	lost := g.hosts[leader]
	is.Equal(lost.cfg.Link, r.Leader)
	lost.stop()
	g.acknowledge(others[0], http.MethodPost, "a")
	g.acknowledge(others[1], http.MethodPost, "b")
	for _, m := range others {
		g.await(m, waitTimeout, "2 [a b]")
	}
	is.NoErr(os.RemoveAll(lost.cfg.Folder))
	is.NoErr(os.Mkdir(lost.cfg.Folder, 0o700))
	lost.cfg.First = false
	g.start(lost)
	g.await(lost, waitTimeout, "2 [a b]")
	g.awaitVoter(lost)

	g.acknowledge(lost, http.MethodDelete, "a")
	others[0].stop() // the wiped member and one other are a majority
	g.acknowledge(others[1], http.MethodPost, "c")
	g.await(lost, waitTimeout, "4 [b c]")
	others[1].stop()
	status := lost.order(http.MethodPost, "d")
	is.True(status == http.StatusServiceUnavailable || status == 0)
}

// awaitVoter waits until a host that has come back empty votes again, in a group of
// three.
func (g *group) awaitVoter(m *member) {
	g.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s, ok := m.host.Status(g.t.Context())
		if ok && len(s.Members) == 3 && slices.ContainsFunc(s.Members, func(o quorum.Member) bool { return o.ID == s.ID && o.Voter }) {
			return
		}
	}
	g.t.Fatalf("%s does not vote again", m.cfg.Link)
}

// Guards against a member that restarts from a snapshot and the rest of the log and has
// another set than one that has applied all of it, and against one that distributes an
// older set after a restart than it did before.
func TestSnapshotAndReplayAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boards := []*watch.State{watch.NewState(), watch.NewState()}
		whole, restored := state.NewSet(core.NewEvacuationPart(boards[0])), state.NewSet(core.NewEvacuationPart(boards[1]))
		apply := func(s *state.Set, command []byte) {
			raw, err := proto.Marshal(state.Command{Part: "evacuation", Data: command})
			if err == nil {
				_, err = s.Apply(raw)
			}
			if err != nil {
				rt.Fatal(err)
			}
		}
		n := rapid.IntRange(0, 20).Draw(rt, "orders")
		at := rapid.IntRange(0, n).Draw(rt, "snapshot")
		last := evac.Revision(0)
		for i := range n + 1 {
			if i == at {
				raw, err := whole.Freeze()()
				if err != nil {
					rt.Fatal(err)
				}
				if err := restored.Restore(raw); err != nil {
					rt.Fatal(err)
				}
			}
			if i == n {
				break
			}
			command, err := core.EvacuationCommand(rapid.Bool().Draw(rt, "start"), ident.Domain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain")))
			if err != nil {
				rt.Fatal(err)
			}
			apply(whole, command)
			if i >= at {
				apply(restored, command)
			}
			if r := boards[0].Evacuation().Revision; r < last {
				rt.Fatalf("revision %d follows %d", r, last)
			}
			last = boards[0].Evacuation().Revision
		}
		a, b := boards[0].Evacuation(), boards[1].Evacuation()
		if a.Revision != b.Revision || !slices.Equal(a.Domains, b.Domains) {
			rt.Fatalf("%v, but %v after a snapshot", a, b)
		}
	})
}
