package watch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// serve serves a state on loopback and returns a function that polls it.
func serve(t *testing.T, state *watch.State) func(watch.Request) watch.Reply {
	t.Helper()
	is := is.New(t)
	s, err := link.NewServer(link.Config{})
	is.NoErr(err)
	state.Register(s)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, lis) }()
	c, err := link.NewClient(link.Config{})
	is.NoErr(err)
	t.Cleanup(func() {
		_ = c.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return func(in watch.Request) (r watch.Reply) {
		in.From.ID, in.AtOnce = "poller", true
		is.NoErr(c.Call(t.Context(), lis.Addr().String(), watch.MethodPoll, &in, &r))
		return r
	}
}

func roster(n int) []watch.Host {
	var list []watch.Host
	for i := range n {
		list = append(list, watch.Host{
			ID:   ident.HostID(fmt.Sprintf("h%03d", i)),
			Kind: watch.Entry,
			Link: fmt.Sprint("10.0.0.", i),
		})
	}
	return list
}

// Guards against sending the full roster on each change, and against a host whose
// roster differs from the server's after applying deltas.
func TestRosterComesAsDeltas(t *testing.T) {
	is := is.New(t)
	state := watch.NewState()
	poll := serve(t, state)
	rng := rand.New(rand.NewPCG(1, 1))
	var current []watch.Host
	digest := uint64(0)
	for n := range 60 {
		all := roster(100)
		for range n % 7 {
			i := rng.IntN(len(all))
			all[i].Draining = !all[i].Draining
			j := rng.IntN(len(all))
			all = append(all[:j:j], all[j+1:]...)
		}
		state.SetRoster(all)
		r := poll(watch.Request{Roster: digest})
		if digest != 0 {
			is.Equal(len(r.Hosts), 0) // only a delta
		}
		if r.Roster != digest {
			next, ok := r.NewHosts(current)
			is.True(ok)
			current, digest = next, r.Roster
		}
		is.Equal(current, all)
	}
	r := poll(watch.Request{Roster: 12345}) // unknown digest: full copy
	is.Equal(r.Hosts, current)
	_, ok := (&watch.Reply{
		Roster:    digest + 1,
		HostDelta: &watch.HostDelta{},
	}).NewHosts(current)
	is.True(!ok) // a delta that does not apply is rejected
}

// Guards against a list of upstreams that differs from the server's after
// applying deltas, and against sending the full list because only warm-up times
// changed.
func TestListComesAsDeltas(t *testing.T) {
	is := is.New(t)
	state := watch.NewState()
	poll := serve(t, state)
	current := watch.List{}
	for n := range 20 {
		var ups []relay.Upstream
		for i := n; i < n+50; i++ {
			ups = append(ups, relay.Upstream{
				ID:       ident.Upstream(fmt.Sprintf("u%03d", (i*37)%90)),
				Service:  "s",
				Draining: i == n,
				Cold:     time.Duration(n) * time.Second,
			})
		}
		list := watch.NewList(ups)
		state.SetList(list, 0)
		r := poll(watch.Request{Digest: current.Digest})
		is.Equal(r.List != nil, n == 0)
		next, ok := r.NewList(current)
		is.True(ok)
		is.Equal(next.Digest, list.Digest)
		is.Equal(len(next.Upstreams), 50)
		current = next
	}
}
