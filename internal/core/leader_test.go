package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/core"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
)

// Guards against a host that has lost the lead and still publishes a roster: it
// soon has only the hosts on its side of a partition.
func TestFormerLeaderPublishesNoRoster(t *testing.T) {
	is := is.New(t)
	const (
		timeout = 15 * time.Second
		// A host that no longer polls is removed from the leader's roster after 3.5 s.
		removal = 5 * time.Second
	)
	links := []string{free(t), free(t), free(t)}
	stops := make(map[string]func())
	for _, l := range links {
		cfg := config(t, l, free(t), true, links...)
		cfg.MaxDiskFailures = 1
		c, err := core.New(cfg)
		is.NoErr(err)
		stops[l] = run(t, c)
	}
	client, err := link.NewClient(link.Config{})
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	poll := func(address string) (r board.Reply) {
		_ = client.Call(t.Context(), address, watch.MethodPoll, &board.Request{
			From:   board.Host{ID: "test"},
			AtOnce: true,
		}, &r)
		return r
	}
	controls := func(address string) (n int) {
		for _, h := range poll(address).Hosts {
			if h.Kind == board.Control {
				n++
			}
		}
		return n
	}
	leader := ""
	for end := time.Now().Add(timeout); time.Now().Before(end) && (leader == "" || controls(leader) < 3); time.Sleep(50 * time.Millisecond) {
		leader = poll(links[0]).Leader
	}
	is.Equal(controls(leader), 3)
	for _, l := range links {
		if l != leader {
			go stops[l]()
		}
	}
	time.Sleep(removal)
	is.Equal(controls(leader), 3)
	is.True(poll(leader).Leader != leader)
}
