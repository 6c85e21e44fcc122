package watch_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
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
