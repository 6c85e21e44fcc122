package board_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// poller returns a function that polls a board and gets the answer at once.
func poller(b *board.Board) func(board.Request) board.Reply {
	return func(in board.Request) board.Reply {
		in.From.ID, in.AtOnce = "poller", true
		r, _ := b.Answer(0, b.Open(0, &in))
		return *r
	}
}

func roster(n int) []board.Host {
	var list []board.Host
	for i := range n {
		list = append(list, board.Host{
			ID:   ident.HostID(fmt.Sprintf("h%03d", i)),
			Kind: board.Entry,
			Link: fmt.Sprint("10.0.0.", i),
		})
	}
	return list
}

// Guards against sending the full roster on each change, and against a host whose
// roster differs from the server's after applying deltas.
func TestRosterComesAsDeltas(t *testing.T) {
	is := is.New(t)
	state := board.New()
	poll := poller(state)
	state.ConfirmOwn(0, evac.Set{}, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	var current []board.Host
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
		r := poll(board.Request{Roster: digest})
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
	r := poll(board.Request{Roster: 12345}) // unknown digest: full copy
	is.Equal(r.Hosts, current)
	_, ok := (&board.Reply{
		Roster:    digest + 1,
		HostDelta: &board.HostDelta{},
	}).NewHosts(current)
	is.True(!ok) // a delta that does not apply is rejected
}

// Guards against a list of upstreams that differs from the server's after
// applying deltas, and against sending the full list because only warm-up times
// changed.
func TestListComesAsDeltas(t *testing.T) {
	is := is.New(t)
	state := board.New()
	poll := poller(state)
	current := board.List{}
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
		list := board.NewList(ups)
		state.SetList(list, ident.Instant(n)*ident.Instant(time.Second))
		r := poll(board.Request{Digest: current.Digest})
		is.Equal(r.List != nil, n == 0)
		next, ok := r.NewList(current)
		is.True(ok)
		is.Equal(next.Digest, list.Digest)
		is.Equal(len(next.Upstreams), 50)
		current = next
	}
}
