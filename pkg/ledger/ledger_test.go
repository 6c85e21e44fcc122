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

// Guards against a second grant for one filing, against a body that replaces
// another under the same id and against lost outcomes.
func TestFilingLifecycle(t *testing.T) {
	is := is.New(t)
	m := ledger.NewMachine(2)
	is.Equal(m.Run(reserve("a", "h1", 1, second)), ledger.Result{Kind: ledger.Granted, Fence: 1})
	is.Equal(m.Run(reserve("a", "h1", 1, second)).Fence, uint64(1)) // repeated after a lost answer
	is.Equal(m.Run(reserve("a", "h2", 1, second)).Kind, ledger.InFlight)
	other := reserve("a", "h1", 1, second)
	other.BodyHash[0] = 1
	is.Equal(m.Run(other).Kind, ledger.BodyDiffers)

	is.Equal(m.Run(ledger.Release{Request: "a", Fence: 1}).Kind, ledger.Applied)
	is.Equal(m.Run(reserve("a", "h1", 1, second)).Status, ledger.NotRun) // late duplicate
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

// Guards against a full group that forgets a filing which may have run, and
// against one that refuses while it holds filings that are safe to forget.
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

// world simulates hosts that send under grants, a leader that changes with
// wrong wall clocks, lost answers and an operator who resolves truthfully.
type world struct {
	now      ident.Instant
	clock    ledger.Clock
	m        *ledger.Machine
	sends    []*send
	runs     map[ident.RequestID]int
	ran      map[ident.RequestID]uint64 // fence of the run
	attempts uint64
	high     ledger.Stamp
}

type send struct {
	cmd   ledger.Reserve
	began ident.Instant
	fence uint64
	sent  bool
	ended bool
}

func (w *world) run(t *rapid.T, cmd ledger.Command) ledger.Result {
	at := w.clock.At(w.now)
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		at -= ledger.Stamp(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "lag"))
	}
	r := w.m.Run(ledger.Stamped(cmd, at))
	if w.m.Clock() < w.high {
		t.Fatalf("clock fell from %d to %d", w.high, w.m.Clock())
	}
	w.high = w.m.Clock()
	return r
}

func (w *world) arrive(t *rapid.T) {
	w.attempts++
	id := ident.RequestID(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "id")))
	s := &send{
		cmd:   reserve(id, ident.HostID(rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")), w.attempts, 0),
		began: w.now,
	}
	w.sends = append(w.sends, s)
	w.ask(t, s)
}

func (w *world) ask(t *rapid.T, s *send) {
	r := w.run(t, s.cmd)
	// A host stops asking once it has a grant or has given up, so the answer
	// to a late duplicate reaches nobody.
	if r.Kind == ledger.Granted && s.fence == 0 && !s.ended && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		s.fence = r.Fence
	}
}

func (w *world) pick(t *rapid.T) *send {
	if len(w.sends) == 0 {
		t.Skip("no filing yet")
	}
	return w.sends[rapid.IntRange(max(0, len(w.sends)-4), len(w.sends)-1).Draw(t, "send")]
}

func (w *world) send(t *rapid.T) {
	s := w.pick(t)
	if s.fence == 0 || s.sent || s.ended || w.now.Sub(s.began) > ledger.SendWindow {
		return
	}
	s.sent = true
	if rapid.IntRange(0, 3).Draw(t, "shed") == 0 {
		return
	}
	id := s.cmd.Request
	if w.runs[id]++; w.runs[id] > 1 {
		t.Fatalf("%s ran twice", id)
	}
	w.ran[id] = s.fence
}

func (w *world) finish(t *rapid.T) {
	s := w.pick(t)
	if s.fence == 0 {
		return
	}
	s.ended = true
	if w.ran[s.cmd.Request] == s.fence {
		w.run(t, ledger.Complete{Request: s.cmd.Request, Fence: s.fence})
		return
	}
	w.run(t, ledger.Release{Request: s.cmd.Request, Fence: s.fence})
}

func (w *world) resolve(t *rapid.T) {
	id, status := w.pick(t).cmd.Request, ledger.NotRun
	if w.runs[id] > 0 {
		status = ledger.Done
	}
	w.run(t, ledger.Resolve{Request: id, Status: status})
}

func (w *world) restore(t *rapid.T) {
	m, err := ledger.Restore(w.m.Snapshot(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := fmt.Sprint(m.Snapshot()), fmt.Sprint(w.m.Snapshot()); a != b {
		t.Fatalf("restored %s from %s", a, b)
	}
	w.m = m
}

// Guards against two runs of one filing under any order of lost answers,
// leader changes, expiry, resolution and restarts from a snapshot.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			m:     ledger.NewMachine(2),
			clock: ledger.NewClock(0, 0, 1000*second),
			runs:  make(map[ident.RequestID]int),
			ran:   make(map[ident.RequestID]uint64),
		}
		actions := map[string]func(*rapid.T){
			"arrive":  w.arrive,
			"repeat":  func(t *rapid.T) { w.ask(t, w.pick(t)) },
			"send":    w.send,
			"finish":  w.finish,
			"resolve": w.resolve,
			"restore": w.restore,
			"time": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 4 * time.Second, 31 * time.Second}).Draw(t, "step"))
				w.run(t, ledger.Expire{})
			},
			"leader": func(t *rapid.T) {
				wall := ledger.Stamp(rapid.Int64Range(0, 1<<50).Draw(t, "wall"))
				w.clock = ledger.NewClock(w.now, w.m.Clock(), wall)
			},
		}
		for range 16 {
			t.Repeat(actions)
		}
		for id, fence := range w.ran {
			f, ok := w.m.Find(id)
			if ok && f.Fence == fence && f.Status == ledger.NotRun {
				t.Fatalf("%s ran and is recorded as NotRun", id)
			}
		}
	})
}

// BenchmarkFiling measures one reservation and its outcome in a full group.
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
