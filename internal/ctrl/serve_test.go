package ctrl_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/member"
)

func newClient(t *testing.T) *link.Client {
	t.Helper()
	c, err := link.NewClient(link.Config{})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// next returns the next update with content and skips keep-alive messages.
func next(t *testing.T, s *link.Stream) proto.Update {
	t.Helper()
	for {
		var u proto.Update
		is.New(t).NoErr(s.Recv(&u))
		if u.Part != nil || len(u.Deltas) > 0 {
			return u
		}
	}
}

// Guards against subscribers that miss a change, receive one twice, or keep
// content that differs from the group's.
func TestWatchSendsCopyThenDeltas(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, nil)
	g.leader(-1)
	g.run(0, "c1")
	c := newClient(t)
	stream, err := c.Stream(t.Context(), g.hosts[0].LinkAddr(), proto.MethodWatch, &proto.Watch{})
	is.NoErr(err)
	first := next(t, stream)
	is.True(first.Part.First && first.Part.Last)
	is.Equal(first.Part.Version, ident.ConfigVersion{Number: 1})
	is.Equal(first.Part.Seats, 7)
	out := g.run(0, "c2")
	second := next(t, stream)
	is.Equal(len(second.Deltas), 1)
	is.Equal(second.Deltas[0].Version, out.Version)
	is.Equal(second.Deltas[0].Change, config.Change(config.SetSeats{Seats: 7}))
	for _, row := range []struct {
		digest uint64
		copied bool
	}{{first.Part.Digest, false}, {first.Part.Digest + 1, true}} {
		pull, err := c.Stream(t.Context(), g.hosts[0].LinkAddr(), proto.MethodPull, &proto.Pull{
			Have:   first.Part.Version,
			Digest: row.digest,
		})
		is.NoErr(err)
		is.Equal(next(t, pull).Part != nil, row.copied) // a wrong digest leads to a full copy
		pull.Close()
	}
	stream.Close()
	g.stop(0)
	g.start(0) // without the deltas, but it recognizes the subscriber's version
	stream, err = c.Stream(t.Context(), g.hosts[0].LinkAddr(), proto.MethodWatch, &proto.Watch{
		Have:   out.Version,
		Digest: second.Deltas[0].Digest,
	})
	is.NoErr(err)
	defer stream.Close()
	third := g.run(0, "c3")
	is.Equal(next(t, stream).Deltas[0].Version, third.Version)
}

// Guards against a filing that receives a second grant through another control
// host or after a restart, and against an outcome that is lost.
func TestFilingThroughAnyControlHost(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, nil)
	g.leader(-1)
	c := newClient(t)
	reserve := func(i int) proto.FilingAnswer {
		var a proto.FilingAnswer
		is.NoErr(c.Call(t.Context(), g.hosts[i].LinkAddr(), proto.MethodReserve, &proto.Reserve{
			Request: "r1",
			Host:    "h1",
			Attempt: 1,
		}, &a))
		is.Equal(a.Kind, proto.FilingApplied)
		return a
	}
	first := reserve(0)
	is.Equal(first.Result.Kind, ledger.Granted)
	for i := range g.hosts {
		is.Equal(reserve(i).Result, first.Result) // repeated: the same grant
	}
	var done proto.FilingAnswer
	is.NoErr(c.Call(t.Context(), g.hosts[1].LinkAddr(), proto.MethodComplete, &proto.Complete{
		Request: "r1",
		Fence:   first.Result.Fence,
		Receipt: "stored",
	}, &done))
	is.Equal(done.Result.Kind, ledger.Applied)
	for i := range g.hosts {
		g.stop(i)
	}
	for i := range g.hosts {
		g.start(i)
	}
	again := reserve(2)
	is.Equal(again.Result.Kind, ledger.Recorded)
	is.Equal(again.Result.Receipt, "stored")
	list, err := g.hosts[0].Unresolved(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// Guards against a full disk that stops the process, is not reported, or still
// requires a restart after space was freed.
func TestFullDiskIsReportedAndRecovers(t *testing.T) {
	is := is.New(t)
	full := &atomic.Bool{}
	h, _ := start(t, ctrl.Config{
		Folder:   t.TempDir(),
		Listen:   "127.0.0.1:0",
		Address:  "127.0.0.1:0",
		NewGroup: true,
		FS: sizedDisk{
			full: full,
			mode: failWrites,
		},
	})
	command := config.Command{
		ID:     "c1",
		Change: config.SetSeats{Seats: 7},
	}
	full.Store(true)
	is.True(h.Command(t.Context(), command).Kind != config.Accepted)
	s, err := h.Status(t.Context())
	is.NoErr(err)
	is.Equal(s.Faults[0].Kind, string(store.Full))
	is.True(s.Faults[0].Remedy != "")
	code, out := post(t, "http://"+h.Addr()+ctrl.PathMembers, `{"Remove":{"ID":"x"}}`)
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(out.Kind, config.NotRun)
	full.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for h.Command(ctx, command).Kind != config.Accepted {
		is.NoErr(ctx.Err())
	}
}

// Guards against seats granted by a host that does not lead, two processes with
// one seat, and an answer that does not name the leader.
func TestSeatsComeFromTheLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, nil)
	l, _ := g.leader(-1)
	g.await(10*time.Second, "all members name the leader", func() bool {
		for i := range g.hosts {
			if g.status(i).Leader != g.hosts[l].ID() {
				return false
			}
		}
		return true
	})
	c := newClient(t)
	beat := func(i int, host ident.HostID) proto.HeartbeatAnswer {
		var a proto.HeartbeatAnswer
		is.NoErr(c.Call(t.Context(), g.hosts[i].LinkAddr(), proto.MethodHeartbeat, &proto.Heartbeat{Beat: member.Beat{
			Host:   host,
			Domain: "d1",
			Boot:   1,
		}}, &a))
		return a
	}
	seen := map[int]bool{}
	for _, host := range []ident.HostID{"h1", "h2", "h3"} {
		for i := range g.hosts {
			a := beat(i, host)
			is.Equal(a.Answer.Accepted, i == l)
			if i != l {
				is.Equal(a.Leader, g.hosts[l].LinkAddr())
				continue
			}
			// A leader of a later term waits until leases of earlier terms have
			// expired.
			is.Equal(a.Answer.Granted, g.status(l).Term == 2)
			is.Equal(a.Answer.Undecided, !a.Answer.Granted)
			is.True(!a.Answer.Granted || !seen[a.Answer.Seat])
			seen[a.Answer.Seat] = true
		}
	}
	is.Equal(g.status(l).Domains[0].Live, 3)
	g.stop(l)
	next, _ := g.leader(l)
	is.True(beat(next, "h4").Answer.Undecided) // leases of the old leader may still run
}
