package front_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

// applyTimeout is how long a confirmed change may take to be in force.
const applyTimeout = 3 * time.Second

// controlHost is a stand-in of a control host: a state that entry hosts poll. It
// confirms its copy unless it has lost the leader.
type controlHost struct {
	*watch.State
	host       board.Host
	lostLeader atomic.Bool
}

func startControlHost(t *testing.T, domain ident.Domain) *controlHost {
	t.Helper()
	return startControlHostThat(t, domain, false)
}

// startControlHostThat starts a control host that has lost the leader or has it.
func startControlHostThat(t *testing.T, domain ident.Domain, lostLeader bool) *controlHost {
	t.Helper()
	is := is.New(t)
	s, err := link.NewServer(link.Config{})
	is.NoErr(err)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := &controlHost{
		State: watch.NewState(),
		host: board.Host{
			ID:     ident.HostID("control-" + domain),
			Kind:   board.Control,
			Domain: domain,
			Link:   lis.Addr().String(),
		},
	}
	c.lostLeader.Store(lostLeader)
	c.Register(s)
	run(t, func(ctx context.Context) error { return s.Serve(ctx, lis) })
	run(t, func(ctx context.Context) error {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		for {
			if !c.lostLeader.Load() {
				at := c.Now()
				c.ConfirmOwn(c.Evacuation(), at)
			}
			c.Sweep()
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
	return c
}

// run runs f until the test ends.
func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func document(t *testing.T, version rules.Version, prefix string) board.Document {
	t.Helper()
	packed, err := board.Pack(fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":%q,"Kind":"safe",
		"TimeoutMs":1000,"TargetLatencyMs":500,"Priority":1,"Service":"s","MaxAttempts":1}],
		"Services":[{"Name":"s","MaxConnections":8}],"Limits":{}}`, version, prefix))
	is.New(t).NoErr(err)
	return board.Document{
		Version: version,
		Packed:  packed,
	}
}

// startEntryHost runs an entry host of domain a and returns functions that report
// whether it has a route for a path, and whether it is ready.
func startEntryHost(t *testing.T, seeds ...string) (hasRoute func(path string) bool, isReady func() bool) {
	t.Helper()
	is := is.New(t)
	free := func() string {
		address, err := ports.Free()
		is.NoErr(err)
		return address
	}
	address, ready := free(), free()
	f, err := front.New(front.Config{
		Name:   "entry",
		Domain: "a",
		Front:  address,
		Ready:  ready,
		Link:   free(),
		Seeds:  seeds,
		Extra: budget.Config{
			Ratio:  0.2,
			Slack:  10,
			Window: 10 * time.Second,
		},
		Grace: time.Second,
		Log:   slog.New(slog.DiscardHandler),
	})
	is.NoErr(err)
	run(t, f.Run)
	isReady = func() bool {
		res, err := http.Get("http://" + ready + platform.PathReady)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	hasRoute = func(path string) bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		is.NoErr(err)
		req.Host = "a.example"
		req.Header.Set("Request-Id", "r-1")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode != http.StatusNotFound
	}
	return hasRoute, isReady
}

func waitFor(t *testing.T, limit time.Duration, cond func() bool) bool {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

// Guards against an entry host that keeps an old configuration because the
// control host of its domain answers polls but has lost the leader.
func TestEntryHostLeavesAControlHostWithoutTheLeader(t *testing.T) {
	is := is.New(t)
	cutOff, other := startControlHost(t, "a"), startControlHost(t, "b")
	roster := []board.Host{cutOff.host, other.host}
	for _, c := range []*controlHost{cutOff, other} {
		c.SetRoster(roster)
		c.SetDocument(document(t, 1, "/old/"))
	}
	hasRoute, _ := startEntryHost(t, cutOff.host.Link)
	is.True(waitFor(t, applyTimeout, func() bool { return hasRoute("/old/") && !hasRoute("/new/") }))
	cutOff.lostLeader.Store(true)
	other.SetDocument(document(t, 2, "/new/"))
	is.True(waitFor(t, applyTimeout, func() bool { return hasRoute("/new/") }))
}

// Guards against an entry host that starts and refuses the list of upstreams
// since that was read before its start.
func TestFreshEntryHostTakesAnOlderList(t *testing.T) {
	is := is.New(t)
	c := startControlHost(t, "a")
	c.SetDocument(document(t, 1, "/x/"))
	c.SetList(board.NewList([]relay.Upstream{{
		ID:      "u",
		Service: "s",
		Address: "127.0.0.1:1",
		Slots:   1,
	}}), c.Now().Add(-10*time.Second))
	_, isReady := startEntryHost(t, c.host.Link)
	is.True(waitFor(t, applyTimeout, isReady))
}
