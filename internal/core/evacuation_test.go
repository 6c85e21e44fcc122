package core_test

import (
	"context"
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
	"github.com/jujubethread/jujubethread/internal/fault"
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

// await waits until hosts offer the domains, with current copies of the same revision,
// which it returns.
func (g *group) await(within time.Duration, want string, hosts ...*member) evac.Revision {
	g.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		var got []string
		same, revision := true, evac.Revision(0)
		for i, m := range hosts {
			r, ok := g.poll(m, 0)
			offered := fmt.Sprint(ok, " ", r.Age >= 0, " none")
			if r.Evacuated != nil {
				offered = fmt.Sprint(ok, " ", r.Age >= 0, " ", r.Evacuated.Domains)
			}
			same = same && offered == "true true "+want && (i == 0 || r.EvacuationRevision == revision)
			revision = r.EvacuationRevision
			got = append(got, fmt.Sprint(m.cfg.Link, ": ", offered, " at ", revision))
		}
		if same {
			return revision
		}
		if time.Now().After(end) {
			g.t.Fatalf("%q, not %s at one revision, after %s", got, want, within)
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

// heldUpOrder returns the URL to which a host redirects an order, as a caller has it that
// gives up before it follows, or whose copy of the order is held up.
func (m *member) heldUpOrder(t *testing.T, method, domain string) string {
	t.Helper()
	is := is.New(t)
	status, location := m.send(t, method, "http://"+m.cfg.Operator+"/-/evacuation/"+domain)
	is.Equal(status, http.StatusTemporaryRedirect)
	return location
}

// send sends one request and follows no redirect.
func (m *member) send(t *testing.T, method, url string) (status int, location string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(method, url, http.NoBody)
	is.NoErr(err)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	is.NoErr(err)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("Location")
}

// Guards against an order that undoes later ones, in both directions: a copy that was held
// up on its way to a control host, in it or on its way to the leader, and whose caller has
// given up and has had other orders acknowledged since.
func TestLateOrderUndoesNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	g.acknowledge(g.hosts[0], http.MethodPost, "b")
	for _, row := range []struct{ late, latest, want string }{
		{http.MethodDelete, http.MethodPost, "[a b]"},
		{http.MethodPost, http.MethodDelete, "[b]"},
	} {
		g.acknowledge(g.hosts[0], row.latest, "a")
		g.await(waitTimeout, row.want, g.hosts...)
		heldUp := g.hosts[1].heldUpOrder(t, row.late, "a")
		g.acknowledge(g.hosts[2], row.late, "a") // the caller sends it again elsewhere
		newest := g.hosts[2].heldUpOrder(t, row.latest, "a")
		g.acknowledge(g.hosts[2], row.latest, "a")
		g.acknowledge(g.hosts[2], row.late, "c")
		for _, m := range g.hosts[:3] {
			status, location := m.send(t, row.late, strings.Replace(heldUp, g.hosts[1].cfg.Operator, m.cfg.Operator, 1))
			is.Equal(status, http.StatusTemporaryRedirect) // a caller that is still there may confirm it
			is.True(location != heldUp)
			status, _ = m.send(t, row.late, "http://"+m.cfg.Operator+"/-/evacuation/a")
			is.Equal(status, http.StatusTemporaryRedirect)
		}
		// A copy of the newest order itself is acknowledged.
		status, _ := g.hosts[2].send(t, row.latest, newest)
		is.Equal(status, http.StatusOK)
		g.acknowledge(g.hosts[0], http.MethodDelete, "c")
		g.await(reachTime, row.want, g.hosts...)
	}
}

// Guards against an order that undoes later ones since it was held up between its caller
// and a control host, or in a control host that was paused: nothing in it tells that its
// caller has given up, and the end of the connection arrives after it.
func TestOrderHeldUpBeforeAControlHostUndoesNothing(t *testing.T) {
	const (
		rounds   = 5
		patience = 100 * time.Millisecond
		settle   = 500 * time.Millisecond
	)
	is := is.New(t)
	g := newGroup(t, 0)
	g.acknowledge(g.hosts[0], http.MethodPost, "a")
	proxy, err := fault.New(fault.Config{
		Name:   "operator",
		Listen: "127.0.0.1:0",
		Target: g.hosts[1].cfg.Operator,
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- proxy.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	for range rounds {
		is.NoErr(proxy.Set(fault.Rules{Forward: fault.Path{Blackhole: true}}))
		impatient := &http.Client{
			Timeout:   patience,
			Transport: &http.Transport{DisableKeepAlives: true},
		}
		req, err := http.NewRequest(http.MethodDelete, "http://"+proxy.Address()+"/-/evacuation/a", http.NoBody)
		is.NoErr(err)
		_, err = impatient.Do(req)
		is.True(err != nil)
		g.acknowledge(g.hosts[2], http.MethodDelete, "a")
		g.acknowledge(g.hosts[2], http.MethodPost, "a")
		is.NoErr(proxy.Set(fault.Rules{}))
		time.Sleep(settle)
		g.await(reachTime, "[a]", g.hosts...)
	}
}

// Guards against an order that is lost, counted twice or refused although it is valid,
// and against one that does not reach a control host outside the replicated log.
func TestEvacuationIsAcknowledgedOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	g.acknowledge(g.hosts[0], http.MethodPost, "a")
	first := g.await(waitTimeout, "[a]", g.hosts...)
	for _, m := range g.hosts { // repeated at each host, also one outside the log
		g.acknowledge(m, http.MethodPost, "a")
		g.acknowledge(m, http.MethodDelete, "unknown")
	}
	is.Equal(g.await(waitTimeout, "[a]", g.hosts...), first)
	g.acknowledge(g.hosts[3], http.MethodPost, "b%2Dc")
	second := g.await(reachTime, "[a b-c]", g.hosts...)
	is.True(second > first)
	for _, m := range g.hosts {
		g.awaitMetric(m, "control_evacuated_domains 2\n")
		g.awaitMetric(m, fmt.Sprintf("control_evacuation_revision %d\n", second))
	}
	g.acknowledge(g.hosts[1], http.MethodDelete, "a")
	third := g.await(reachTime, "[b-c]", g.hosts...)
	g.acknowledge(g.hosts[2], http.MethodDelete, "a")
	is.True(third > second)
	is.Equal(g.await(reachTime, "[b-c]", g.hosts...), third)
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
	last := g.await(waitTimeout, "[b]", g.hosts...)
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
			if seen++; r.EvacuationRevision != last {
				t.Fatalf("%s confirms revision %d after its restart", m.cfg.Link, r.EvacuationRevision)
			}
		}
	}
	is.New(t).Equal(g.await(waitTimeout, "[b]", g.hosts...), last)
}

// Guards against an order that a new leader does not know, or that is lost with a disk,
// and against an acknowledgement without a majority.
func TestEvacuationSurvivesALeaderAndADisk(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 0)
	g.acknowledge(g.hosts[0], http.MethodPost, "a")
	g.await(waitTimeout, "[a]", g.hosts...)
	r, _ := g.poll(g.hosts[0], 0)
	for end := time.Now().Add(waitTimeout); r.Leader == "" && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, _ = g.poll(g.hosts[0], 0) // a host names the leader up to 100 ms after it has heard from it
	}
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
	second := g.await(waitTimeout, "[a b]", others...)
	is.NoErr(os.RemoveAll(lost.cfg.Folder))
	is.NoErr(os.Mkdir(lost.cfg.Folder, 0o700))
	lost.cfg.First = false
	g.start(lost)
	is.Equal(g.await(waitTimeout, "[a b]", g.hosts...), second) // also on the empty disk
	g.awaitVoter(lost)

	g.acknowledge(lost, http.MethodDelete, "a")
	others[0].stop() // the wiped member and one other are a majority
	g.acknowledge(others[1], http.MethodPost, "c")
	g.await(waitTimeout, "[b c]", lost, others[1])
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

// Guards against a member that applies its log in another way, from a snapshot or again
// after a disk fault, and has another set or revision than one that has applied each entry
// once, and against one that distributes an older set than it did before.
func TestSnapshotAndReplayAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boards := []*watch.State{watch.NewState(), watch.NewState()}
		part := core.NewEvacuationPart(boards[1])
		whole, other := state.NewSet(core.NewEvacuationPart(boards[0])), state.NewSet(part)
		apply := func(s *state.Set, at int, command []byte) {
			raw, err := proto.Marshal(state.Command{Part: "evacuation", Data: command})
			if err == nil {
				_, err = s.Apply(quorum.Index(at), raw)
			}
			if err != nil {
				rt.Fatal(err)
			}
		}
		// The log has a command at each position, after the first snapshot at 0. The
		// other member has applied it up to a position, and has snapshots of these ones.
		log := [][]byte{nil}
		snapshots := make(map[int][]byte)
		takeSnapshot := func(s *state.Set, at int) {
			raw, err := s.Freeze()()
			if err != nil {
				rt.Fatal(err)
			}
			snapshots[at] = raw
		}
		takeSnapshot(whole, 0)
		applied, last := 0, evac.Revision(0)
		catchUp := func(to int) {
			for applied < to {
				applied++
				apply(other, applied, log[applied])
			}
			if r := boards[1].Evacuation().Revision; r < last {
				rt.Fatalf("revision %d follows %d", r, last)
			}
			last = boards[1].Evacuation().Revision
		}
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				end, d := rapid.Bool().Draw(rt, "end"), ident.Domain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"))
				command, err := core.EvacuationCommand(!end, d)
				if rapid.Bool().Draw(rt, "numbered") {
					command, err = core.OrderCommand(evac.Order{
						Domain: d,
						End:    end,
						After:  evac.Revision(rapid.IntRange(0, len(log)-1).Draw(rt, "after")),
					})
				}
				if err != nil {
					rt.Fatal(err)
				}
				log = append(log, command)
				apply(whole, len(log)-1, command)
			case 1:
				catchUp(rapid.IntRange(applied, len(log)-1).Draw(rt, "applied"))
			case 2: // by either member, which may then send it to the other
				takeSnapshot(whole, len(log)-1)
				takeSnapshot(other, applied)
			case 3: // a disk fault, or an installed snapshot
				var at []int
				for i := range snapshots {
					at = append(at, i)
				}
				slices.Sort(at)
				applied = rapid.SampledFrom(at).Draw(rt, "snapshot")
				other = state.NewSet(part)
				if err := other.Restore(quorum.Index(applied), snapshots[applied]); err != nil {
					rt.Fatal(err)
				}
			}
		}
		catchUp(len(log) - 1)
		a, b := boards[0].Evacuation(), boards[1].Evacuation()
		if a.Revision != b.Revision || !slices.Equal(a.Domains, b.Domains) {
			rt.Fatalf("%v, but %v for a member that has applied the log in another way", a, b)
		}
	})
}

// Guards against a member that comes from the release before with a snapshot in which it
// has counted the changes for itself: its set must count as newer than any before it, and
// as older than the next one.
func TestSnapshotOfTheReleaseBefore(t *testing.T) {
	is := is.New(t)
	counted, err := proto.Marshal(struct {
		Revision uint64
		Domains  []ident.Domain `cbor:",omitempty"`
	}{
		Revision: 90,
		Domains:  []ident.Domain{"a"},
	})
	is.NoErr(err)
	w := watch.NewState()
	part := core.NewEvacuationPart(w)
	is.NoErr(part.Restore(40, counted))
	is.Equal(w.Evacuation(), evac.Set{Revision: 40, Domains: []ident.Domain{"a"}})
	command, err := core.EvacuationCommand(false, "a")
	is.NoErr(err)
	_, err = part.Apply(41, command)
	is.NoErr(err)
	is.Equal(w.Evacuation().Revision, evac.Revision(41))
}
