package filing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// host is one entry host process with the effects it has still to carry out.
type host struct {
	id      ident.HostID
	red     *filing.Reducer
	pending []filing.Effect
	open    map[filing.ArrivalID]bool
	wake    ident.Instant
}

// world connects hosts to one ledger over a network that loses, delays and
// duplicates messages, and counts what upstreams run.
type world struct {
	now      ident.Instant
	ledger   *ledger.Machine
	hosts    []*host
	boots    uint64
	arrivals filing.ArrivalID
	request  map[filing.ArrivalID]ident.RequestID
	runs     map[ident.RequestID]int
	ranBy    map[filing.ArrivalID]bool
	fences   map[string]bool
	// mayStay holds ids that may end Unknown: a kill or a lost answer hit them.
	mayStay map[ident.RequestID]bool
	// delayed are ledger commands whose sender gave up waiting.
	delayed []ledger.Command
	// tries holds the newest Reserve carried out for an arrival.
	tries map[filing.ArrivalID]uint64
}

func newWorld(hosts int) *world {
	w := &world{
		ledger:  ledger.NewMachine(0),
		request: make(map[filing.ArrivalID]ident.RequestID),
		runs:    make(map[ident.RequestID]int),
		ranBy:   make(map[filing.ArrivalID]bool),
		fences:  make(map[string]bool),
		mayStay: make(map[ident.RequestID]bool),
		tries:   make(map[filing.ArrivalID]uint64),
	}
	for i := range hosts {
		h := &host{id: ident.HostID(fmt.Sprint("h", i))}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	return w
}

func (w *world) boot(h *host) {
	w.boots++
	h.red = filing.New(filing.Config{Boot: w.boots << 32})
	h.pending, h.open = nil, make(map[filing.ArrivalID]bool)
}

func (w *world) run(cmd ledger.Command) ledger.Result {
	return w.ledger.Run(ledger.Stamped(cmd, ledger.Stamp(w.now)+1))
}

type failer interface{ Fatalf(string, ...any) }

func (w *world) step(t failer, h *host, e filing.Event) {
	for _, eff := range h.red.Step(w.now, e) {
		switch eff := eff.(type) {
		case filing.Reply:
			w.reply(t, h, eff)
		case filing.Wake:
			h.wake = eff.At
		case filing.Send:
			key := fmt.Sprint(eff.Request, eff.Fence)
			if w.fences[key] {
				t.Fatalf("two sends under fence %d of %s", eff.Fence, eff.Request)
			}
			w.fences[key] = true
			h.pending = append(h.pending, eff)
		default:
			h.pending = append(h.pending, eff)
		}
	}
}

func (w *world) reply(t failer, h *host, r filing.Reply) {
	if !h.open[r.Arrival] {
		t.Fatalf("second reply to arrival %d: %+v", r.Arrival, r)
	}
	delete(h.open, r.Arrival)
	if (r.Outcome != engine.Done) != (r.Remedy != "") {
		t.Fatalf("reply and remedy do not fit: %+v", r)
	}
	switch {
	case r.Outcome == engine.Done && w.runs[r.Request] != 1:
		t.Fatalf("replied Done to %s, which ran %d times", r.Request, w.runs[r.Request])
	case r.Outcome == engine.NotRun && w.ranBy[r.Arrival]:
		t.Fatalf("replied NotRun to arrival %d of %s, which ran", r.Arrival, r.Request)
	}
}

func (w *world) arrive(t failer, h *host, id ident.RequestID, budget time.Duration) {
	w.arrivals++
	w.request[w.arrivals] = id
	h.open[w.arrivals] = true
	w.step(t, h, filing.Arrived{Arrival: w.arrivals, Request: id, Budget: budget})
}

// fate says what the network and the upstream do with one effect.
type fate int

const (
	works      fate = iota
	lost            // the request is lost
	answerLost      // the request arrives, the answer is lost
	delayed         // the request arrives after its sender gave up
	shed            // the upstream refuses a Send; else as works
)

// carry carries out the i-th pending effect of h.
func (w *world) carry(t failer, h *host, i int, f fate) {
	eff := h.pending[i]
	h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
	switch eff := eff.(type) {
	case filing.Send:
		w.send(t, h, eff, f)
	case filing.Reserve:
		res, ok := w.command(ledger.Reserve{Request: eff.Request, BodyHash: eff.BodyHash, Host: h.id, Attempt: eff.Attempt}, f)
		if f == delayed || eff.Try < w.tries[eff.Arrival] {
			w.mayStay[eff.Request] = true // a late duplicate may reserve for nobody
		}
		w.tries[eff.Arrival] = max(w.tries[eff.Arrival], eff.Try)
		if ok {
			w.step(t, h, filing.ReserveAnswered{Arrival: eff.Arrival, Try: eff.Try, Result: res})
		} else {
			w.step(t, h, filing.ReserveFailed{Arrival: eff.Arrival, Try: eff.Try, NotRun: f == lost})
		}
	case filing.Complete:
		res, ok := w.command(ledger.Complete{Request: eff.Request, Fence: eff.Fence, Receipt: eff.Receipt}, f)
		w.recorded(t, h, eff.Arrival, eff.Try, res, ok)
	case filing.Release:
		res, ok := w.command(ledger.Release{Request: eff.Request, Fence: eff.Fence}, f)
		w.recorded(t, h, eff.Arrival, eff.Try, res, ok)
	default:
		t.Fatalf("effect %T is not carried out here", eff)
	}
}

func (w *world) command(cmd ledger.Command, f fate) (ledger.Result, bool) {
	switch f {
	case lost:
		return ledger.Result{}, false
	case delayed:
		w.delayed = append(w.delayed, cmd)
		return ledger.Result{}, false
	}
	res := w.run(cmd)
	return res, f != answerLost
}

func (w *world) recorded(t failer, h *host, id filing.ArrivalID, try uint64, res ledger.Result, ok bool) {
	if ok {
		w.step(t, h, filing.RecordAnswered{Arrival: id, Try: try, Result: res})
	} else {
		w.step(t, h, filing.RecordFailed{Arrival: id, Try: try})
	}
}

func (w *world) send(t failer, h *host, eff filing.Send, f fate) {
	switch {
	case w.now >= eff.Until || f == shed:
		w.step(t, h, filing.SendFailed{Arrival: eff.Arrival, Fence: eff.Fence, Kind: engine.Refused})
		return
	case f == lost || f == delayed:
		w.mayStay[eff.Request] = true
		w.step(t, h, filing.SendFailed{Arrival: eff.Arrival, Fence: eff.Fence, Kind: lostKind(eff)})
		return
	}
	if w.runs[eff.Request]++; w.runs[eff.Request] > 1 {
		t.Fatalf("%s ran twice", eff.Request)
	}
	w.ranBy[eff.Arrival] = true
	if f == answerLost {
		w.mayStay[eff.Request] = true
		w.step(t, h, filing.SendFailed{Arrival: eff.Arrival, Fence: eff.Fence, Kind: lostKind(eff)})
		return
	}
	w.step(t, h, filing.SendAnswered{Arrival: eff.Arrival, Fence: eff.Fence, Receipt: "ok"})
}

// lostKind alternates the kinds of failure that leave the outcome open.
func lostKind(s filing.Send) engine.FailKind {
	return []engine.FailKind{engine.Broken, engine.TimedOut, engine.Malformed}[s.Fence%3]
}

func (w *world) pass(t failer, d time.Duration) {
	w.now = w.now.Add(d)
	w.run(ledger.Expire{})
	for _, h := range w.hosts {
		if h.wake <= w.now {
			w.step(t, h, filing.Ticked{})
		}
	}
}

func (w *world) kill(h *host) {
	for id := range h.open {
		w.mayStay[w.request[id]] = true
	}
	for _, eff := range h.pending {
		switch eff := eff.(type) {
		case filing.Complete:
			w.mayStay[eff.Request] = true
		case filing.Release:
			w.mayStay[eff.Request] = true
		case filing.Reserve:
			w.mayStay[eff.Request] = true
		default: // nothing is sent by a dead host
		}
	}
	if h.red.Open() > 0 {
		for _, id := range w.request {
			w.mayStay[id] = true
		}
	}
	w.boot(h)
}

// settle lets everything work until nothing is left to do.
func (w *world) settle(t failer) {
	for range 200 {
		busy := false
		for _, h := range w.hosts {
			for len(h.pending) > 0 {
				w.carry(t, h, 0, works)
			}
			busy = busy || h.red.Open() > 0
		}
		if !busy {
			break
		}
		w.pass(t, time.Second)
	}
	w.pass(t, time.Minute)
	for _, h := range w.hosts {
		if len(h.open) > 0 || h.red.Open() > 0 {
			t.Fatalf("host %s has %d callers without a reply and %d filings in progress", h.id, len(h.open), h.red.Open())
		}
	}
	if n := w.ledger.Count(ledger.Reserved); n > 0 {
		t.Fatalf("%d reservations never ended", n)
	}
	for _, u := range w.ledger.Unresolved(1000) {
		if !w.mayStay[u.Filing.Request] {
			t.Fatalf("%s is Unknown without a kill or a lost answer", u.Filing.Request)
		}
	}
}

// Guards against a second run, a false NotRun or Done, a caller without a
// reply and a filing that stays Unknown without cause, under lost, delayed and
// duplicated messages, host kills and resends through other hosts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		pick := func(t *rapid.T) *host { return w.hosts[rapid.IntRange(0, 2).Draw(t, "host")] }
		actions := map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id := ident.RequestID(fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "id")))
				w.arrive(t, pick(t), id, rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second}).Draw(t, "budget"))
			},
			"carry": func(t *rapid.T) {
				h := pick(t)
				if len(h.pending) == 0 {
					t.Skip("nothing pending")
				}
				f := rapid.SampledFrom([]fate{works, works, works, works, lost, answerLost, delayed, shed}).Draw(t, "fate")
				w.carry(t, h, rapid.IntRange(0, len(h.pending)-1).Draw(t, "effect"), f)
			},
			"late": func(t *rapid.T) {
				if len(w.delayed) == 0 {
					t.Skip("nothing delayed")
				}
				w.run(w.delayed[0])
				w.delayed = w.delayed[1:]
			},
			"time": func(t *rapid.T) {
				w.pass(t, rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second}).Draw(t, "step"))
			},
			"kill": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
					w.kill(pick(t))
				}
			},
		}
		actions["carry again"] = actions["carry"]
		actions["carry more"] = actions["carry"]
		for range 8 {
			t.Repeat(actions)
		}
		w.settle(t)
	})
}

// Guards against filings that fail or wait when nothing goes wrong, and
// against a retry of a refused send that is not under a new fence.
func TestPlainAndRefusedSends(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.arrive(t, w.hosts[0], "a", time.Second)
	w.settle(t)
	is.Equal(w.runs["a"], 1)
	w.arrive(t, w.hosts[1], "a", time.Second) // a resend through another host
	w.settle(t)
	is.Equal(w.runs["a"], 1)

	w.arrive(t, w.hosts[0], "b", time.Second)
	w.carry(t, w.hosts[0], 0, works)
	w.carry(t, w.hosts[0], 0, shed)
	w.settle(t)
	is.Equal(w.runs["b"], 1)
	f, _ := w.ledger.Find("b")
	is.Equal(f.Fence, uint64(3))
}

// Guards against a ledger result that is passed on as another outcome, which
// would invite a caller to file again what ran.
func TestLedgerResultsBecomeReplies(t *testing.T) {
	for _, row := range []struct {
		res  ledger.Result
		want engine.Outcome
	}{
		{ledger.Result{Kind: ledger.Recorded, Status: ledger.Done, Receipt: "r"}, engine.Done},
		{ledger.Result{Kind: ledger.Recorded, Status: ledger.Unknown}, engine.Unknown},
		{ledger.Result{Kind: ledger.Recorded, Status: ledger.NotRun}, engine.NotRun},
		{ledger.Result{Kind: ledger.BodyDiffers}, engine.NotRun},
		{ledger.Result{Kind: ledger.Full}, engine.NotRun},
		{ledger.Result{Kind: ledger.Refused}, engine.NotRun},
	} {
		r := filing.New(filing.Config{})
		res := r.Step(0, filing.Arrived{Arrival: 1, Request: "a", Budget: time.Second})
		out := r.Step(1, filing.ReserveAnswered{Arrival: 1, Try: res[0].(filing.Reserve).Try, Result: row.res})
		is.New(t).Equal(out[0].(filing.Reply).Outcome, row.want)
		is.New(t).Equal(out[0].(filing.Reply).BodyDiffers, row.res.Kind == ledger.BodyDiffers)
		is.New(t).Equal(r.Open(), 0)
	}
}
