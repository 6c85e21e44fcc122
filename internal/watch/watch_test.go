package watch_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// serve serves a state on loopback and returns a function that polls it.
func serve(t *testing.T, state *watch.State) func(board.Request) board.Reply {
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
	return func(in board.Request) (r board.Reply) {
		in.From.ID, in.AtOnce = "poller", true
		is.NoErr(c.Call(t.Context(), lis.Addr().String(), watch.MethodPoll, &in, &r))
		return r
	}
}

// Guards against a host that gets no document for as long as changes come in
// quick succession: it should have them from the replicated log but does not.
func TestStormOfChangesReachesAHostWithoutTheLog(t *testing.T) {
	is := is.New(t)
	const (
		gap   = 100 * time.Millisecond
		bound = 2 * time.Second
	)
	state := watch.NewState()
	poll := serve(t, state)
	begin := time.Now()
	for v := rules.Version(1); time.Since(begin) < bound; v++ {
		state.SetDocument(board.Document{Version: v})
		if poll(board.Request{Follows: true}).Document != nil {
			return
		}
		<-time.After(gap)
	}
	is.Fail() // no document within the bound
}

// Guards against polls that take more of the network than control may.
func TestPollsKeepToTheTrafficOfControl(t *testing.T) {
	const (
		duration     = 5 * time.Second
		maxPerSecond = 3000 // bytes, of each host, both ways
		// A document of 40 routes takes about 2.5 kB packed, one of 13,000 changes a
		// day comes each 6.6 s.
		documentBytes = 2500
	)
	for _, hosts := range []int{30, 100} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			s, err := link.NewServer(link.Config{})
			is.NoErr(err)
			state := watch.NewState()
			state.Register(s)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return s.Serve(ctx, lis) })
			roster := make([]board.Host, hosts)
			for i := range roster {
				roster[i] = board.Host{
					ID:     ident.HostID(fmt.Sprint("front-amman-a-", i)),
					Kind:   board.Entry,
					Domain: "amman-a",
					Link:   fmt.Sprintf("10.1.0.%d:7380", i),
				}
			}
			state.SetRoster(roster)
			state.SetDocument(board.Document{
				Version: 1,
				Packed:  make([]byte, documentBytes),
			})
			began := time.Now()
			for i := range hosts {
				group.Go(func() error {
					c, err := link.NewClient(link.Config{})
					if err != nil {
						return err
					}
					defer func() { _ = c.Close() }()
					in := board.Request{From: roster[i]}
					for time.Since(began) < duration {
						var r board.Reply
						if err := c.Call(ctx, lis.Addr().String(), watch.MethodPoll, &in, &r); err != nil {
							return err
						}
						in.Version, in.Roster = r.Version, max(in.Roster, r.Roster)
					}
					return nil
				})
			}
			time.Sleep(duration / 2)
			state.SetDocument(board.Document{
				Version: 2,
				Packed:  make([]byte, documentBytes),
			})
			time.Sleep(duration - time.Since(began))
			stats := s.Stats()
			perSecond := float64(stats.BytesIn.Load()+stats.BytesOut.Load()) / duration.Seconds() / float64(hosts)
			t.Logf("%.0f bytes a second for each of %d hosts, start included", perSecond, hosts)
			is.True(perSecond < maxPerSecond)
			time.Sleep(board.PollWait) // the polls in progress end
			cancel()
			is.NoErr(group.Wait())
		})
	}
}
