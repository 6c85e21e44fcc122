package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// answer ends a call with an answer that the upstream gives in full.
func (h *harness) answer(c relay.Call, ev relay.Ended) []relay.Effect {
	ev.Attempt = c.Attempt
	if ev.Result == 0 {
		ev.Result, ev.Status = relay.Good, 200
	}
	return h.step(ev)
}

// reject ends a call by a 503 that asks for a pause.
func (h *harness) reject(c relay.Call, pause time.Duration) []relay.Effect {
	return h.answer(c, relay.Ended{
		Result: relay.Rejected,
		Status: 503,
		Pause:  pause,
	})
}

// called returns how many calls a request sends to each upstream, and answers
// them.
func (h *harness) called(id ident.QueryID, path string) map[ident.Upstream]int {
	counts := make(map[ident.Upstream]int)
	for list := calls(h.arrive(id, path)); len(list) > 0; {
		c := list[0]
		counts[c.Upstream.ID]++
		list = append(list[1:], calls(h.answer(c, relay.Ended{}))...)
	}
	return counts
}

// listed is the list of upstreams of the route "/read/".
func listed(change func(u *relay.Upstream)) relay.Listed {
	var l relay.Listed
	for _, domain := range []ident.Domain{"a", "b"} {
		u := relay.Upstream{
			ID:      ident.Upstream("desk-" + domain),
			Service: "desk",
			Address: "desk-" + string(domain) + ":1",
			Domain:  domain,
			Slots:   2,
		}
		change(&u)
		l.Upstreams = append(l.Upstreams, u)
	}
	return l
}

// leave makes desk-a say that it leaves, in an answer.
func (h *harness) leave(t *testing.T) []relay.Effect {
	t.Helper()
	list := calls(h.arrive(1, "/read/x"))
	if len(list) != 1 || list[0].Upstream.ID != "desk-a" {
		t.Fatalf("the upstream of this domain is not called: %v", list)
	}
	return h.answer(list[0], relay.Ended{Leaving: true})
}

// Guards against calls to an upstream that has said that it leaves, while the list
// goes on showing it as ready.
func TestLeavingUpstreamIsNotCalled(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.leave(t)
	for id := ident.QueryID(2); id < 60; id++ {
		h.now += 200 * ms
		h.step(listed(func(*relay.Upstream) {}))
		is.Equal(h.called(id, "/read/x"), map[ident.Upstream]int{"desk-b": 1})
	}
}

// Guards against a statement that is forgotten because the list drops the upstream
// for a moment, or because the list shows it as draining and then as ready.
func TestDepartureOutlivesTheList(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.leave(t)
	h.now += 2000 * ms
	h.step(listed(func(u *relay.Upstream) { u.Draining = u.ID == "desk-a" }))
	h.step(relay.Listed{})
	h.step(listed(func(*relay.Upstream) {}))
	is.Equal(h.called(2, "/read/x"), map[ident.Upstream]int{"desk-b": 1})
}

// Guards against a new upstream that is held to leave because an earlier one had
// its ID or its address.
func TestNewIncarnationDoesNotLeave(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.leave(t)
	h.now += 2000 * ms
	h.step(listed(func(u *relay.Upstream) { u.Born = 17 }))
	is.Equal(h.called(2, "/read/x"), map[ident.Upstream]int{"desk-a": 1})
}

// Guards against a service that is refused although its only upstream, which
// leaves, still serves for a moment, and against one that waits for it later.
func TestLastUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	only := listed(func(*relay.Upstream) {})
	only.Upstreams = only.Upstreams[:1]
	h.step(only)
	h.leave(t)
	h.now += 500 * ms
	list := calls(h.arrive(2, "/read/x"))
	is.Equal(len(list), 1)
	h.answer(list[0], relay.Ended{Leaving: true})
	h.now += 501 * ms
	r, ok := find[relay.Refuse](h.arrive(3, "/read/x"))
	is.True(ok)
	is.Equal(r.Status, relay.NotNow)
}

// Guards against an upstream that stays out because of a statement that it has
// taken back.
func TestUpstreamThatStaysIsCalledAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	only := listed(func(*relay.Upstream) {})
	only.Upstreams = only.Upstreams[:1]
	h.step(only)
	h.leave(t)
	h.now += 500 * ms
	effects := h.answer(calls(h.arrive(2, "/read/x"))[0], relay.Ended{})
	d, ok := find[relay.Departure](effects)
	is.True(ok)
	is.True(d.Stays)
	h.now += 2000 * ms
	is.Equal(len(calls(h.arrive(3, "/read/x"))), 1)
}

// Guards against hosts that go on calling an upstream until each of them has got
// an answer that says that it leaves, and against facts that are passed on for
// ever or that the list tells already.
func TestDepartureReachesOtherHosts(t *testing.T) {
	is := is.New(t)
	first, second := newHarness(t, 1), newHarness(t, 1)
	sent, ok := find[relay.Broadcast](first.leave(t))
	is.True(ok)
	second.now = first.now + 100*ms
	effects := second.step(relay.FactsReceived{Facts: []gossip.Fact{sent.Fact}})
	_, ok = find[relay.Broadcast](effects)
	is.True(ok)
	_, ok = find[relay.Broadcast](second.step(relay.FactsReceived{Facts: []gossip.Fact{sent.Fact}}))
	is.True(!ok)
	second.now += 1000 * ms
	is.Equal(second.called(1, "/read/x"), map[ident.Upstream]int{"desk-b": 1})

	shown := newHarness(t, 1)
	shown.step(listed(func(u *relay.Upstream) { u.Draining = u.ID == "desk-a" }))
	_, ok = find[relay.Broadcast](shown.step(relay.FactsReceived{Facts: []gossip.Fact{sent.Fact}}))
	is.True(!ok)
}

// Guards against a fact of another host that holds for longer than any host keeps
// it, or that is not understood.
func TestOddDepartureIsIgnored(t *testing.T) {
	is := is.New(t)
	first, second := newHarness(t, 1), newHarness(t, 1)
	sent, _ := find[relay.Broadcast](first.leave(t))
	forever, empty := sent.Fact, sent.Fact
	forever.Until = forever.Until.Add(time.Hour)
	empty.Body = nil
	second.step(relay.FactsReceived{Facts: []gossip.Fact{forever, empty}})
	second.now += 2000 * ms
	is.Equal(second.called(1, "/read/x"), map[ident.Upstream]int{"desk-a": 1})
}

// Guards against calls to an upstream that wants none for a while: of requests, of
// retries, of hedges, and of a success that an earlier call brings.
func TestPausedUpstreamIsNotCalled(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	early := calls(h.arrive(1, "/read/x"))[0]
	refused := calls(h.arrive(2, "/read/x"))[0]
	is.Equal(refused.Upstream.ID, early.Upstream.ID)
	next := calls(h.reject(refused, 3*time.Second))
	is.Equal(next[0].Upstream.ID, ident.Upstream("desk-b"))
	h.answer(next[0], relay.Ended{})
	h.answer(early, relay.Ended{})
	for id := ident.QueryID(3); h.now < 2990*ms; id++ {
		is.Equal(h.called(id, "/read/x"), map[ident.Upstream]int{"desk-b": 1})
		h.now += 70 * ms
	}
}

// Guards against a request that waits for upstreams which want no calls, and
// against a caller that is told to come back too early.
func TestPausedServiceIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	first := calls(h.arrive(1, "/file/x"))[0]
	second := calls(h.reject(first, 5*time.Second))[0]
	r, ok := find[relay.Refuse](h.reject(second, 2*time.Second))
	is.True(ok)
	is.Equal(r.Status, relay.NotNow) // both said that it has not run
	is.True(r.After >= 2*time.Second && r.After <= 3*time.Second)
	h.now += 500 * ms
	effects := h.arrive(2, "/file/x")
	is.Equal(len(calls(effects)), 0)
	r, ok = find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.NotNow)
	is.True(r.After >= 1500*time.Millisecond && r.After <= 2500*time.Millisecond)
}

// Guards against a query that calls its other shards although more of them than
// its route allows cannot be called, so that it fails after having run.
func TestQueryOverPausedShardsIsRefusedBeforeAnyCall(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4) // one of them may be missing
	pauses := map[ident.Service]time.Duration{
		"shard-0": 4 * time.Second,
		"shard-1": 2 * time.Second,
	}
	for list := calls(h.arrive(1, "/search/x")); len(list) > 0; {
		c := list[0]
		ev := relay.Ended{}
		if p := pauses[c.Upstream.Service]; p > 0 {
			ev = relay.Ended{
				Result: relay.Rejected,
				Status: 503,
				Pause:  p,
			}
		}
		list = append(list[1:], calls(h.answer(c, ev))...)
	}
	effects := h.arrive(2, "/search/x")
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.NotNow)
	is.True(r.After >= 2*time.Second && r.After <= 2500*time.Millisecond) // then three can be called

	h.now += 3000 * ms
	counts := h.called(3, "/search/x")
	is.Equal(counts["shard-0-a"]+counts["shard-0-b"], 0)
	is.Equal(len(counts), 3)
	m, ok := find[relay.Merge](h.seen)
	is.True(ok)
	is.Equal(m.Missing, 1)
}

// Guards against the calls that waited for the end of a pause and all come at
// once.
func TestCallsReturnOneByOneAfterAPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	for {
		list := calls(h.arrive(1, "/read/x"))
		if len(list) == 0 {
			break
		}
		for _, c := range list {
			for _, next := range calls(h.reject(c, time.Second)) {
				h.reject(next, time.Second)
			}
		}
	}
	h.now += 2000 * ms
	first := calls(h.arrive(2, "/read/x"))
	is.Equal(len(first), 1)
	second := calls(h.arrive(3, "/read/x"))
	is.Equal(len(second), 1)
	is.True(first[0].Upstream.ID != second[0].Upstream.ID)
	is.Equal(len(calls(h.arrive(4, "/read/x"))), 0) // waits
	effects := h.answer(first[0], relay.Ended{})
	is.Equal(len(calls(effects)), 1)
	is.Equal(len(calls(h.arrive(5, "/read/x"))), 1) // the first one is back
}

// Guards against shards that a helper may not call now and that its gatherer then
// calls itself, or asks the helper for again with each query.
func TestPauseOfAHelperIsToldToTheGatherer(t *testing.T) {
	is := is.New(t)
	helper := newHelperHarness(t)
	ask := func(id ident.QueryID) []relay.Effect {
		return helper.step(relay.Arrive{
			Query:  id,
			Host:   "a.example",
			Path:   "/search/x",
			Limit:  time.Second,
			Shards: []int{0, 1},
			Target: 90 * time.Millisecond,
			Direct: true,
		})
	}
	for list := calls(ask(1)); len(list) > 0; {
		c := list[0]
		ev := relay.Ended{}
		if c.Upstream.Service == "shard-0" {
			ev = relay.Ended{
				Result: relay.Rejected,
				Status: 503,
				Pause:  5 * time.Second,
			}
		}
		list = append(list[1:], calls(helper.answer(c, ev))...)
	}
	var m relay.Merge
	for _, c := range calls(ask(2)) {
		is.Equal(c.Upstream.Service, ident.Service("shard-1"))
		if found, ok := find[relay.Merge](helper.answer(c, relay.Ended{})); ok {
			m = found
		}
	}
	is.Equal(len(m.Tried), 1)
	is.True(m.Tried[0].Skipped)
	is.True(m.Tried[0].Pause >= 5*time.Second)

	gatherer := newHelperHarness(t)
	for _, del := range delegates(gatherer.arrive(1, "/search/x")) {
		gatherer.step(relay.DelegateEnded{
			Query:    1,
			Group:    del.Group,
			Answered: del.Shards[1:],
			Tried: []relay.Tried{{
				Shard:   del.Shards[0],
				Skipped: true,
				Pause:   5 * time.Second,
			}},
		})
	}
	gatherer.now += 900 * ms
	for _, del := range delegates(gatherer.arrive(2, "/search/x")) {
		for _, s := range del.Shards {
			is.True(s != 0)
		}
	}
}
