package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

const second = ledger.Stamp(time.Second)

func reserve(id ident.RequestID, host ident.HostID, attempt uint64, at ledger.Stamp) ledger.Reserve {
	return ledger.Reserve{
		Request: id,
		Host:    host,
		Attempt: attempt,
		At:      at,
	}
}

// Guards against a second grant for one filing, against another body under the
// same request id, and against an outcome that is not returned later.
func TestFilingLifecycle(t *testing.T) {
	is := is.New(t)
	m := ledger.NewMachine(2)
	is.Equal(m.Run(reserve("a", "h1", 1, second)), ledger.Result{Kind: ledger.Granted, Fence: 1})
	is.Equal(m.Run(reserve("a", "h1", 1, second)).Fence, uint64(1)) // repeated because the answer was lost
	is.Equal(m.Run(reserve("a", "h2", 1, second)).Kind, ledger.InFlight)
	otherBody := reserve("a", "h1", 1, second)
	otherBody.BodyHash[0] = 1
	is.Equal(m.Run(otherBody).Kind, ledger.BodyDiffers)

	is.Equal(m.Run(ledger.Release{Request: "a", Fence: 1}).Kind, ledger.Applied)
	is.Equal(m.Run(reserve("a", "h1", 1, second)).Status, ledger.NotRun) // duplicate that arrives late
	is.Equal(m.Run(reserve("a", "h2", 1, second)).Fence, uint64(2))
	is.Equal(m.Run(ledger.Complete{Request: "a", Fence: 1}).Kind, ledger.Refused)
	is.Equal(m.Run(ledger.Resolve{Request: "a", Status: ledger.NotRun}).Kind, ledger.Refused)

	m.Run(ledger.Expire{At: 31 * second})
	is.Equal(m.Run(reserve("a", "h1", 2, 0)).Status, ledger.Unknown)
	is.Equal(m.Unresolved(9)[0].Age, 30*time.Second)
	is.Equal(m.Run(ledger.Complete{Request: "a", Fence: 2, Receipt: "r"}).Kind, ledger.Applied)
	is.Equal(m.Run(reserve("a", "h1", 2, 0)).Receipt, "r")
	is.Equal(m.Run(ledger.Release{Request: "a", Fence: 2}).Kind, ledger.Refused)
	is.Equal(m.Run(ledger.Resolve{Request: "a", Status: ledger.NotRun}).Kind, ledger.Recorded)
}

// Guards against a second run of a filing since a late copy of a decision, on a reservation
// that is over, says that the last one has not run.
func TestDecisionIsOnOneReservation(t *testing.T) {
	is := is.New(t)
	m := ledger.NewMachine(2)
	is.Equal(m.Run(reserve("a", "h1", 1, second)).Fence, uint64(1))
	m.Run(ledger.Expire{At: 31 * second})
	notRun := ledger.Resolve{Request: "a", Status: ledger.NotRun, Fence: 1}
	is.Equal(m.Run(notRun).Kind, ledger.Applied)
	is.Equal(m.Run(notRun).Kind, ledger.Applied) // a copy of the newest decision
	is.Equal(m.Run(reserve("a", "h2", 2, 32*second)).Fence, uint64(2))
	m.Run(ledger.Expire{At: 62 * second})
	is.Equal(len(m.Unresolved(9)), 1)
	is.Equal(m.Run(notRun).Kind, ledger.Refused)
	is.Equal(len(m.Unresolved(9)), 1)
	is.Equal(m.Run(ledger.Resolve{Request: "a", Status: ledger.NotRun}).Kind, ledger.Applied) // of the release before
}

// Guards against a full group that deletes a filing which may have run, and
// against one that refuses filings while it has some that it may delete.
func TestFullGroupRefuses(t *testing.T) {
	is := is.New(t)
	m := ledger.NewMachine(2)
	a := m.Run(reserve("a", "h", 1, 0))
	is.Equal(m.Run(reserve("b", "h", 2, 0)).Kind, ledger.Granted)
	is.Equal(m.Run(reserve("c", "h", 3, 0)).Kind, ledger.Full)
	m.Run(ledger.Release{Request: "a", Fence: a.Fence})
	is.Equal(m.Run(reserve("c", "h", 4, 0)).Fence, uint64(3))
	week := 7 * 24 * 3600 * second
	m.Run(ledger.Complete{Request: "c", Fence: 3, At: 1})
	m.Run(ledger.Expire{At: week})
	is.Equal(m.Run(reserve("a", "h", 5, 0)).Kind, ledger.Full)
	m.Run(ledger.Expire{At: week + 1})
	is.Equal(m.Count(ledger.Done), 0)
	is.Equal(m.Count(ledger.Unknown), 1) // kept until it is resolved
	is.Equal(m.Run(reserve("a", "h", 6, 0)).Kind, ledger.Granted)
}

// simulation runs entry hosts that send filings as they are granted, changing
// leaders with wrong wall clocks, lost answers, and an operator who resolves
// filings correctly.
type simulation struct {
	now       ident.Instant
	clock     ledger.Clock
	m         *ledger.Machine
	sends     []*send
	runs      map[ident.RequestID]int    // number of runs
	runFences map[ident.RequestID]uint64 // fence under which it ran
	attempts  uint64
	lastClock ledger.Stamp
}

// send is one arrival of a filing at an entry host.
type send struct {
	cmd     ledger.Reserve
	arrived ident.Instant
	fence   uint64 // zero until the host has received a grant
	sent    bool
	ended   bool
}

func (sim *simulation) run(t *rapid.T, cmd ledger.Command) ledger.Result {
	return sim.runSince(t, cmd, 0)
}

// runSince runs a command that may have waited since it was stamped. The leader
// stamps it when it is proposed, so not before created, and never below its first
// stamp.
func (sim *simulation) runSince(t *rapid.T, cmd ledger.Command, created ident.Instant) ledger.Result {
	stamped := sim.now
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		stamped = max(created, stamped.Add(-time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "lag"))))
	}
	r := sim.m.Run(ledger.Stamped(cmd, sim.clock.At(stamped)))
	if sim.m.Clock() < sim.lastClock {
		t.Fatalf("clock fell from %d to %d", sim.lastClock, sim.m.Clock())
	}
	sim.lastClock = sim.m.Clock()
	return r
}

func (sim *simulation) arrive(t *rapid.T) {
	sim.attempts++
	id := ident.RequestID(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "id")))
	s := &send{
		cmd:     reserve(id, ident.HostID(rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")), sim.attempts, 0),
		arrived: sim.now,
	}
	sim.sends = append(sim.sends, s)
	sim.reserve(t, s)
}

func (sim *simulation) reserve(t *rapid.T, s *send) {
	r := sim.runSince(t, s.cmd, s.arrived)
	// A host ignores answers once it has a grant or has given up, so the
	// answer to a late duplicate has no effect.
	if r.Kind == ledger.Granted && s.fence == 0 && !s.ended && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		s.fence = r.Fence
	}
}

func (sim *simulation) pick(t *rapid.T) *send {
	if len(sim.sends) == 0 {
		t.Skip("no filing yet")
	}
	return sim.sends[rapid.IntRange(max(0, len(sim.sends)-4), len(sim.sends)-1).Draw(t, "send")]
}

func (sim *simulation) send(t *rapid.T) {
	s := sim.pick(t)
	if s.fence == 0 || s.sent || s.ended || sim.now.Sub(s.arrived) > ledger.SendWindow {
		return
	}
	s.sent = true
	if rapid.IntRange(0, 3).Draw(t, "shed") == 0 {
		return
	}
	id := s.cmd.Request
	if sim.runs[id]++; sim.runs[id] > 1 {
		t.Fatalf("%s ran twice", id)
	}
	sim.runFences[id] = s.fence
}

func (sim *simulation) finish(t *rapid.T) {
	s := sim.pick(t)
	if s.fence == 0 {
		return
	}
	s.ended = true
	if sim.runFences[s.cmd.Request] == s.fence {
		sim.run(t, ledger.Complete{Request: s.cmd.Request, Fence: s.fence})
		return
	}
	sim.run(t, ledger.Release{Request: s.cmd.Request, Fence: s.fence})
}

func (sim *simulation) resolve(t *rapid.T) {
	id, status := sim.pick(t).cmd.Request, ledger.NotRun
	if sim.runs[id] > 0 {
		status = ledger.Done
	}
	sim.run(t, ledger.Resolve{Request: id, Status: status})
}

func (sim *simulation) restore(t *rapid.T) {
	m, err := ledger.Restore(sim.m.Snapshot(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := fmt.Sprint(m.Snapshot()), fmt.Sprint(sim.m.Snapshot()); a != b {
		t.Fatalf("restored %s from %s", a, b)
	}
	sim.m = m
}

// Guards against a filing that runs twice after some sequence of lost answers,
// leader changes, expired reservations, resolutions and restarts from a snapshot.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			m:         ledger.NewMachine(2),
			clock:     ledger.NewClock(0, 0, 1000*second),
			runs:      make(map[ident.RequestID]int),
			runFences: make(map[ident.RequestID]uint64),
		}
		actions := map[string]func(*rapid.T){
			"arrive":  sim.arrive,
			"repeat":  func(t *rapid.T) { sim.reserve(t, sim.pick(t)) },
			"send":    sim.send,
			"finish":  sim.finish,
			"resolve": sim.resolve,
			"restore": sim.restore,
			"time": func(t *rapid.T) {
				sim.now = sim.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 4 * time.Second, 31 * time.Second}).Draw(t, "step"))
				sim.run(t, ledger.Expire{})
			},
			"leader": func(t *rapid.T) {
				wall := ledger.Stamp(rapid.Int64Range(0, 1<<50).Draw(t, "wall"))
				sim.clock = ledger.NewClock(sim.now, sim.m.Clock(), wall)
			},
		}
		for range 16 {
			t.Repeat(actions)
		}
		for id, fence := range sim.runFences {
			f, ok := sim.m.Find(id)
			if ok && f.Fence == fence && f.Status == ledger.NotRun {
				t.Fatalf("%s ran and is recorded as NotRun", id)
			}
		}
	})
}

// BenchmarkFiling measures one reservation and its completion in a group that
// holds the filings of the last 7 days.
func BenchmarkFiling(b *testing.B) {
	m := ledger.NewMachine(0)
	ids := make([]ident.RequestID, ledger.MaxFilings)
	for i := range ids {
		ids[i] = ident.RequestID(fmt.Sprintf("request-%08d", i))
	}
	at := ledger.Stamp(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at += 4 * second // at most 151,200 filings in 7 days
		r := m.Run(reserve(ids[i%len(ids)], "h", uint64(i), at))
		m.Run(ledger.Complete{Request: ids[i%len(ids)], Fence: r.Fence, At: at})
	}
}
