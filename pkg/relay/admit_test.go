package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// fillGate starts searches until one is not started, and returns their calls.
func fillGate(h *harness, first ident.QueryID) (started [][]relay.Call, waiting ident.QueryID) {
	for id := first; ; id++ {
		list := calls(h.arrive(id, "/search/x"))
		if len(list) == 0 {
			return started, id
		}
		started = append(started, list)
	}
}

// newAdmitHarness returns a harness whose document has accounts, so that admission is
// controlled.
func newAdmitHarness(t *testing.T, shards int) *harness {
	h := newHarness(t, shards)
	d := document(shards)
	d.Version++
	d.RequiresKey = true
	h.step(relay.Install{Table: rules.NewTable(d)})
	return h
}

func newAdmitHelperHarness(t *testing.T) *harness {
	h := newAdmitHarness(t, helpedShards)
	h.step(relay.Gatherers{Helpers: []ident.HostID{"h1", "h2"}})
	return h
}

// Guards against admission control in a deployment that does not ask for it, and against
// none where upstreams share their machines.
func TestAdmissionIsControlledWhereItIsAskedFor(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	h.step(relay.Hosts{
		Count:     1,
		Gatherers: 1,
		Gathers:   true,
	})
	id := ident.QueryID(0)
	burst := func() (sent []relay.Call) {
		for range 8 {
			id++
			sent = append(sent, calls(h.arrive(id, "/search/x"))...)
		}
		return sent
	}
	sent := burst()
	is.Equal(h.engine.Gate().Running+h.engine.Gate().Waiting, 0)
	for _, c := range sent {
		h.step(relay.Ended{
			Attempt: c.Attempt,
			Result:  relay.Good,
			Status:  200,
			Load: relay.Load{
				Known:  true,
				Slots:  2,
				Effort: 1,
			},
		})
	}
	h.advance(time.Second)
	burst()
	is.True(h.engine.Gate().Waiting > 0)
}

// Guards against searches that begin while upstreams are full, and against one that
// waits although another one has ended.
func TestSearchWaitsAtTheGate(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	started, waiting := fillGate(h, 1)
	is.Equal(len(started), 3)
	is.Equal(len(all[relay.Refuse](h.seen)), 0)
	is.Equal(h.engine.Gate().Waiting, 1)
	h.now += 5 * ms
	var next []relay.Call
	for _, c := range started[0] {
		next = append(next, calls(h.step(relay.Ended{Attempt: c.Attempt, Result: relay.Good, Status: 200}))...)
	}
	is.Equal(len(next), 4)
	is.Equal(next[0].Query, waiting)
}

// Guards against refusals that come late, as failures, or without a delay.
func TestGateRefusesInTime(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	_, waiting := fillGate(h, 1)
	next, ok := h.engine.Next()
	is.True(ok)
	is.True(next <= h.now+25*ms) // a quarter of the target
	var r relay.Refuse
	for range 25 {
		if f, ok := find[relay.Refuse](h.advance(time.Millisecond)); ok {
			r = f
		}
	}
	is.Equal(r.Query, waiting)
	is.Equal(r.Status, relay.NotNow)
	is.Equal(r.Cause, relay.CauseGate)
	is.True(r.After >= 50*time.Millisecond)
	is.True(len(calls(h.seen)) == 12) // three searches over four shards
}

// Guards against shards that another host delegates, whose search was already
// admitted there, and against requests to one upstream that wait at the gate.
func TestOnlyWholeSearchesPassTheGate(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	fillGate(h, 1)
	is.Equal(len(calls(h.step(relay.Arrive{
		Query:  100,
		Host:   "a.example",
		Path:   "/search/x",
		Limit:  time.Second,
		Shards: []int{0, 1},
		Target: 60 * time.Millisecond,
	}))), 2)
	is.Equal(len(calls(h.arrive(101, "/file/x"))), 1)
}

// Guards against a query that stays at the gate after its caller has left, and against
// one that is started twice.
func TestCallerLeavesTheGate(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	started, waiting := fillGate(h, 1)
	h.step(relay.Disconnected{Query: waiting})
	is.Equal(h.engine.Gate().Waiting, 0)
	for _, list := range started {
		for _, c := range list {
			is.Equal(len(calls(h.step(relay.Ended{Attempt: c.Attempt, Result: relay.Good, Status: 200}))), 0)
		}
	}
	is.Equal(h.engine.Gate().Running, 0)
}

// Guards against searches of an urgent account that wait behind those of other
// accounts on the same route.
func TestPriorityOfTheAccountGoesFirst(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	arrive := func(id ident.QueryID, priority int) []relay.Call {
		return calls(h.step(relay.Arrive{
			Query:       id,
			Host:        "a.example",
			Path:        "/search/x",
			Limit:       time.Second,
			Account:     "urgent",
			Priority:    priority,
			HasPriority: true,
		}))
	}
	id := ident.QueryID(1)
	for len(arrive(id, 3)) > 0 {
		id++
	}
	is.Equal(len(arrive(100, 1)), 4)
	is.Equal(len(arrive(101, 3)), 0)
}

// Guards against a query whose answer lacks a few shards that were skipped, and that
// fails although their upstreams could still be called.
func TestSkippedShardsAreCalledBeforeFailing(t *testing.T) {
	is := is.New(t)
	h := newAdmitHelperHarness(t)
	list := delegates(h.arrive(1, "/search/x"))
	is.Equal(len(list), 2)
	n := len(list[0].Shards)
	h.step(relay.DelegateEnded{Query: 1, Group: 0, Answered: list[0].Shards})
	var tried []relay.Tried
	for _, s := range list[1].Shards[:n-4] {
		tried = append(tried, relay.Tried{Shard: s, Skipped: true})
	}
	effects := h.step(relay.DelegateEnded{Query: 1, Group: 1, Answered: list[1].Shards[n-4:], Tried: tried})
	is.Equal(len(all[relay.Refuse](effects)), 0)
	list2 := calls(h.advance(15 * time.Millisecond))
	is.Equal(len(list2), n-4)
	for _, c := range list2 {
		h.step(relay.Ended{Attempt: c.Attempt, Result: relay.Good, Status: 200})
	}
	m, ok := find[relay.Merge](h.seen)
	is.True(ok)
	is.Equal(m.Missing, 0)
}

// Guards against requests to one upstream that wait for a connection in this host up
// to their deadline although no answer can come by then.
func TestRequestThatCannotStartIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 1)
	h.step(relay.Hosts{Count: 400, Gatherers: 1}) // one connection to each upstream
	first := calls(h.arrive(1, "/file/x"))
	is.Equal(len(first), 1)
	h.now += 600 * ms
	h.step(relay.Ended{Attempt: first[0].Attempt, Result: relay.Good, Status: 200})
	h.arrive(2, "/file/x")
	h.arrive(3, "/file/x")
	_, ok := find[relay.Refuse](h.arrive(4, "/file/x"))
	is.True(!ok) // expected to start after 300 ms and to take 600 ms
	h.now += ms
	r, ok := find[relay.Refuse](h.arrive(5, "/file/x"))
	is.True(ok)
	is.Equal(r.Query, ident.QueryID(5))
	is.Equal(r.Status, relay.NotNow)
	is.True(r.After >= 50*time.Millisecond)
}

// Guards against an account that keeps out the others where upstreams shed calls, and
// against requests that are refused for it while there is enough for all.
func TestLargeAccountIsRefusedWhereUpstreamsShed(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 1)
	id := ident.QueryID(0)
	refused := func(account ident.Account, result relay.Result) bool {
		id++
		h.now += 5 * ms
		effects := h.step(relay.Arrive{
			Query:   id,
			Host:    "a.example",
			Path:    "/file/x",
			Limit:   time.Second,
			Account: account,
		})
		if _, ok := find[relay.Refuse](effects); ok {
			return true
		}
		for _, c := range calls(effects) {
			h.step(relay.Ended{Attempt: c.Attempt, Result: result, Status: 200})
		}
		h.step(relay.Disconnected{Query: id})
		return false
	}
	count := map[ident.Account]int{}
	for i := range 200 {
		if refused("large", relay.Good) || i%10 == 0 && refused("small", relay.Good) {
			t.Fatal("a request is refused while there is enough for all")
		}
	}
	for i := range 400 {
		result := relay.Rejected
		if i%3 == 0 {
			result = relay.Good
		}
		if refused("large", result) {
			count["large"]++
		}
		if i%10 == 0 && refused("small", relay.Good) {
			count["small"]++
		}
	}
	is.True(count["large"] > 40)
	is.Equal(count["small"], 0)
}

// Guards against searches that run at most shards although more shards than an answer
// may miss have no upstream, and against refusals although the upstreams may be back.
func TestSearchWithoutEnoughUpstreamsIsRefused(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4) // one shard may be missing
	down := func(c relay.Call) bool { return c.Upstream.Service == "shard-0" || c.Upstream.Service == "shard-1" }
	var run func(list []relay.Call)
	run = func(list []relay.Call) {
		for _, c := range list {
			result := relay.Good
			if down(c) {
				result = relay.Unsent
			}
			run(calls(h.step(relay.Ended{Attempt: c.Attempt, Result: result})))
		}
	}
	run(calls(h.arrive(1, "/search/x")))
	for range 50 {
		run(calls(h.advance(time.Millisecond)))
	}
	effects := h.arrive(2, "/search/x")
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.NotNow)
	is.True(r.After > 500*time.Millisecond && r.After <= 1500*time.Millisecond)
	h.now = h.now.Add(r.After + 100*time.Millisecond)
	is.Equal(len(calls(h.arrive(3, "/search/x"))), 4)
	is.Equal(len(calls(h.arrive(4, "/search/x"))), 0) // the first one finds out
}

// Guards against shards without any listed upstream that are noticed only when the
// calls for the others have run.
func TestShardsThatAreNotListedCount(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	var ups []relay.Upstream
	for _, s := range []ident.Service{"shard-0", "shard-1"} {
		ups = append(ups, relay.Upstream{
			ID:      ident.Upstream(s),
			Service: s,
			Address: "x:1",
			Domain:  "a",
			Slots:   2,
		})
	}
	h.step(relay.Listed{Upstreams: ups})
	effects := h.arrive(1, "/search/x")
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.NotNow)
}

// Guards against a gatherer that goes on delegating a search whose shards are
// unreachable, as its helpers have said.
func TestUnreachableShardsOfHelpersAreKnown(t *testing.T) {
	is := is.New(t)
	h := newAdmitHelperHarness(t)
	list := delegates(h.arrive(1, "/search/x"))
	is.Equal(len(list), 2)
	for _, del := range list {
		var tried []relay.Tried
		for _, s := range del.Shards {
			tried = append(tried, relay.Tried{Shard: s, Skipped: true, Pause: 800 * time.Millisecond})
		}
		h.step(relay.DelegateEnded{Query: 1, Group: del.Group, Tried: tried})
	}
	h.now += 100 * ms
	effects := h.arrive(2, "/search/x")
	is.Equal(len(delegates(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.True(r.After >= 700*time.Millisecond)
	h.now += 800 * ms
	is.Equal(len(delegates(h.arrive(3, "/search/x"))), 2)
}

// Guards against a helper that calls upstreams once more for each search although all
// of a shard have refused its connections.
func TestHelperReportsUnreachableShards(t *testing.T) {
	is := is.New(t)
	h := newAdmitHarness(t, 4)
	arrive := func(id ident.QueryID) []relay.Effect {
		return h.step(relay.Arrive{
			Query:  id,
			Host:   "a.example",
			Path:   "/search/x",
			Limit:  time.Second,
			Shards: []int{0},
			Target: 60 * time.Millisecond,
			Direct: true,
		})
	}
	for list := calls(arrive(1)); len(list) > 0; {
		list = calls(h.step(relay.Ended{Attempt: list[0].Attempt, Result: relay.Unsent}))
	}
	h.now += 60 * ms
	h.step(relay.Tick{})
	effects := arrive(2)
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(len(r.Tried), 1)
	is.True(r.Tried[0].Skipped && r.Tried[0].Pause > 500*time.Millisecond)
}
