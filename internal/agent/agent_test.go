package agent_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/agent"
	"github.com/jujubethread/jujubethread/internal/fleet"
	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs fn in the background. The returned stop function cancels it and
// waits until it has returned; it is also called when the test ends.
func start(t *testing.T, fn func(context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fn(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(stop)
	return stop
}

func startGroup(t *testing.T) (g *fleet.Group, stop func()) {
	t.Helper()
	began := time.Now()
	g, err := fleet.NewGroup(config.NewState(), []ident.Domain{"d0", "d1"}, func() ledger.Stamp {
		return ledger.Stamp(time.Since(began)) + 1
	})
	is.New(t).NoErr(err)
	return g, start(t, g.Serve)
}

func startAgent(t *testing.T, g *fleet.Group, i int) (*agent.Agent, func()) {
	t.Helper()
	a, err := agent.New(agent.Config{
		Host:     ident.HostID(fmt.Sprint("h", i)),
		Domain:   ident.Domain(fmt.Sprint("d", i%2)),
		Listen:   "127.0.0.1:0",
		Controls: g.Sources(),
	})
	is.New(t).NoErr(err)
	return a, start(t, a.Run)
}

func awaitVersion(t *testing.T, a *agent.Agent, v ident.ConfigVersion) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case s := <-a.Configs():
			if s.Version == v {
				return
			}
		case <-timeout:
			t.Fatalf("host did not reach %s", v)
		}
	}
}

// Guards against a filing that runs again when it is sent again through another
// host, that is not retried after an upstream refused it, or whose answer differs
// from the outcome in the ledger.
func TestFilings(t *testing.T) {
	is := is.New(t)
	g, _ := startGroup(t)
	a, _ := startAgent(t, g, 0)
	b, _ := startAgent(t, g, 1)
	is.Equal(<-a.Seats(), engine.SeatHeld)

	sends := 0
	send := func(_ context.Context, permit host.SendPermit) (string, engine.FailKind) {
		sends++
		if permit.Earlier == 0 {
			return "", engine.Refused
		}
		return fmt.Sprint("receipt ", permit.Fence), ""
	}
	f := host.Filing{Request: "r1", Budget: 10 * time.Second}
	result := a.File(t.Context(), f, send)
	is.Equal(result, host.FilingResult{Outcome: engine.Done, Receipt: "receipt 2"})
	is.Equal(b.File(t.Context(), f, send), result)
	is.Equal(sends, 2)
	f.BodyHash[0] = 1
	is.True(b.File(t.Context(), f, send).BodyDiffers)

	f.Request = "r2"
	broken := func(context.Context, host.SendPermit) (string, engine.FailKind) { return "", engine.Broken }
	is.Equal(a.File(t.Context(), f, broken).Outcome, engine.Unknown)
	record, _ := g.Filing("r2")
	is.Equal(record.Status, ledger.Reserved)
}

// Guards against a filing that waits beyond its budget for an unreachable
// control group, or that is sent without a grant.
func TestFilingWithoutControl(t *testing.T) {
	is := is.New(t)
	g, stop := startGroup(t)
	a, _ := startAgent(t, g, 0)
	awaitVersion(t, a, ident.ConfigVersion{})
	stop()
	result := a.File(t.Context(), host.Filing{Request: "r", Budget: 300 * time.Millisecond}, func(context.Context, host.SendPermit) (string, engine.FailKind) {
		t.Error("filing was sent without a grant")
		return "", ""
	})
	is.Equal(result.Outcome, engine.NotRun)
}

// Guards against a stopped host that does not release its seat: with one seat,
// the next host would not get it.
func TestStopReleasesSeat(t *testing.T) {
	is := is.New(t)
	g, _ := startGroup(t)
	_, err := g.Change(config.SetSeats{Seats: 1})
	is.NoErr(err)
	a, stop := startAgent(t, g, 0)
	is.Equal(<-a.Seats(), engine.SeatHeld)
	for i := range 3 {
		stop()
		a, stop = startAgent(t, g, i+1)
		is.Equal(<-a.Seats(), engine.SeatHeld)
	}
}
