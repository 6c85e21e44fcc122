package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const ms = ident.Instant(time.Millisecond)

// harness drives an engine with a manual clock.
type harness struct {
	t      *testing.T
	engine *relay.Engine
	now    ident.Instant
	seen   []relay.Effect
}

func document(shards int) *rules.Document {
	d := &rules.Document{Version: 7}
	search := rules.Route{
		Name:             "search",
		Host:             "a.example",
		Prefix:           "/search/",
		Kind:             rules.Idempotent,
		Timeout:          time.Second,
		Target:           100 * time.Millisecond,
		Attempts:         2,
		TopK:             3,
		MinShardFraction: 0.75,
	}
	for i := range shards {
		name := ident.Service(fmt.Sprintf("shard-%d", i))
		search.Shards = append(search.Shards, name)
		d.Services = append(d.Services, rules.Service{
			Name:           name,
			MaxConnections: 400,
		})
	}
	d.Services = append(d.Services, rules.Service{
		Name:           "desk",
		MaxConnections: 400,
	})
	plain := rules.Route{
		Name:     "file",
		Host:     "a.example",
		Prefix:   "/file/",
		Kind:     rules.AtMostOnce,
		Timeout:  time.Second,
		Target:   100 * time.Millisecond,
		Attempts: 2,
		Backends: []rules.Backend{{
			Service: "desk",
			Weight:  1,
		}},
	}
	read := plain
	read.Name, read.Prefix, read.Kind = "read", "/read/", rules.Idempotent
	d.Routes = []rules.Route{search, plain, read}
	return d
}

func newHarness(t *testing.T, shards int) *harness {
	h := &harness{
		t: t,
		engine: relay.New(relay.Config{
			Domain: "a",
			Hosts:  1,
			Extra: budget.Config{
				Ratio:  0.2,
				Slack:  100,
				Window: 10 * time.Second,
			},
		}),
	}
	d := document(shards)
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	h.step(relay.Install{Table: rules.NewTable(d)})
	var ups []relay.Upstream
	for _, s := range d.Services {
		for _, domain := range []ident.Domain{"a", "b"} {
			id := ident.Upstream(string(s.Name) + "-" + string(domain))
			ups = append(ups, relay.Upstream{
				ID:      id,
				Service: s.Name,
				Address: string(id) + ":1",
				Domain:  domain,
				Slots:   2,
			})
		}
	}
	h.step(relay.Listed{Upstreams: ups})
	return h
}

func (h *harness) step(ev relay.Event) []relay.Effect {
	effects := h.engine.Step(relay.At(ev, h.now))
	h.seen = append(h.seen, effects...)
	return effects
}

func (h *harness) arrive(id ident.QueryID, path string) []relay.Effect {
	return h.step(relay.Arrive{
		Query: id,
		Host:  "a.example",
		Path:  path,
		Limit: time.Second,
	})
}

// advance ticks the engine every millisecond for d and returns all effects.
func (h *harness) advance(d time.Duration) []relay.Effect {
	var all []relay.Effect
	for end := h.now.Add(d); h.now < end; {
		h.now += ms
		all = append(all, h.step(relay.Tick{})...)
	}
	return all
}

// all returns the effects of type T.
func all[T relay.Effect](effects []relay.Effect) []T {
	var list []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

func calls(effects []relay.Effect) []relay.Call { return all[relay.Call](effects) }

func find[T relay.Effect](effects []relay.Effect) (found T, ok bool) {
	for _, e := range effects {
		if f, is := e.(T); is {
			return f, true
		}
	}
	return found, false
}

func (h *harness) end(c relay.Call, r relay.Result) []relay.Effect {
	return h.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  r,
	})
}

func ExampleEngine() {
	h := newHarness(&testing.T{}, 1)
	c := calls(h.arrive(1, "/search/x"))[0]
	fmt.Println(c.Upstream.ID, c.Limit)
	h.now += 20 * ms
	m, _ := find[relay.Merge](h.end(c, relay.Good))
	fmt.Println(len(m.Attempts), m.Missing, m.Top)
	// Output:
	// shard-0-a 990ms
	// 1 0 3
}

// Guards against an answer that has enough parts but waits past its target for
// a stalled shard, and against one that does not count the missing part.
func TestPartialAnswerBeforeTheTarget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	first := calls(h.arrive(1, "/search/x"))
	is.Equal(len(first), 4)
	h.now += 10 * ms
	for _, c := range first[:3] {
		h.end(c, relay.Good)
	}
	effects := h.advance(100 * time.Millisecond)
	m, ok := find[relay.Merge](effects)
	is.True(ok)
	is.Equal(m.Missing, 1)
	is.Equal(len(m.Attempts), 3)
	is.True(len(calls(effects)) == 1) // one hedge, for the late shard
}

// Guards against a successful answer with less than MinShardFraction.
func TestNoAnswerBelowMinShardFraction(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	first := calls(h.arrive(1, "/search/x"))
	for _, c := range first[:2] {
		h.end(c, relay.Good)
	}
	_, merged := find[relay.Merge](h.advance(1100 * time.Millisecond))
	is.True(!merged)
	r, ok := find[relay.Refuse](h.seen)
	is.True(ok)
	is.Equal(r.Status, relay.TimedOut)
}

// Guards against retrying an at-most-once request that may have run, and against
// a refusal which claims that it has not.
func TestAtMostOnceIsNotRetriedAfterALoss(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	c := calls(h.arrive(1, "/file/x"))[0]
	is.Equal(len(calls(h.advance(90*time.Millisecond))), 0) // no hedge
	effects := h.end(c, relay.Lost)
	is.Equal(len(calls(effects)), 0)
	r, _ := find[relay.Refuse](effects)
	is.Equal(r.Status, relay.Failed)
}

// Guards against giving up an at-most-once request that one upstream rejected,
// although another one could run it.
func TestAtMostOnceIsRetriedAfterARejection(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	c := calls(h.arrive(1, "/file/x"))[0]
	again := calls(h.end(c, relay.Rejected))
	is.Equal(len(again), 1)
	is.True(again[0].Upstream.ID != c.Upstream.ID)
}

// Guards against calls to an address that belongs to another upstream: each
// counts as an extra call there.
func TestMovedUpstreamIsEjected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	c := calls(h.arrive(1, "/search/x"))[0]
	h.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  relay.Rejected,
		Moved:   true,
	})
	for id := ident.QueryID(2); id < 40; id++ {
		h.now += 50 * ms
		for _, next := range calls(h.arrive(id, "/search/x")) {
			is.True(next.Upstream.ID != c.Upstream.ID)
			h.end(next, relay.Lost)
		}
	}
}

// Guards against new calls to a draining upstream while another is available.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.step(relay.Listed{Upstreams: []relay.Upstream{
		{
			ID:       "shard-0-a",
			Service:  "shard-0",
			Domain:   "a",
			Slots:    2,
			Draining: true,
		},
		{
			ID:      "shard-0-b",
			Service: "shard-0",
			Domain:  "b",
			Slots:   2,
		},
	}})
	c := calls(h.arrive(1, "/search/x"))[0]
	is.Equal(c.Upstream.ID, ident.Upstream("shard-0-b"))
}

// Guards against calls that continue after the caller has disconnected.
func TestCallsStopWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	h.arrive(1, "/search/x")
	stops := 0
	for _, e := range h.step(relay.Disconnected{Query: 1}) {
		if _, ok := e.(relay.Stop); ok {
			stops++
		}
	}
	is.Equal(stops, 4)
}

// Guards against calls that go on with a withdrawn key, also those that may run once only.
func TestCallsStopWhenTheKeyIsWithdrawn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	c := calls(h.arrive(1, "/file/x"))[0]
	stops := all[relay.Stop](h.step(relay.Disconnected{
		Query:     1,
		Withdrawn: true,
	}))
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Attempt, c.Attempt)
}

// Guards against more extra calls than the budget while every upstream fails.
func TestFailuresKeepToTheBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	sent := 0
	const queries = 400
	for id := ident.QueryID(1); id <= queries; id++ {
		h.now += 20 * ms
		for pending := calls(h.arrive(id, "/search/x")); len(pending) > 0; {
			sent += len(pending)
			var next []relay.Call
			for _, c := range pending {
				next = append(next, calls(h.end(c, relay.Lost))...)
			}
			pending = next
		}
	}
	is.True(sent <= queries+queries/5+100)
}

// Guards against replacing a document by an older one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	old := document(1)
	old.Version = 6
	old.Routes = nil
	h.step(relay.Install{Table: rules.NewTable(old)})
	is.Equal(h.engine.Version(), rules.Version(7))
	is.Equal(len(calls(h.arrive(1, "/search/x"))), 1)
}

// newDelegateHarness returns a harness whose shards have upstreams only in
// domain b, which has a gatherer, and the Delegate effect of query 1.
func newDelegateHarness(t *testing.T) (h *harness, del relay.Delegate) {
	h = newHarness(t, 4)
	var ups []relay.Upstream
	for i := range 4 {
		for _, id := range []string{"x", "y", "z"} {
			ups = append(ups, relay.Upstream{
				ID:      ident.Upstream(fmt.Sprintf("shard-%d-%s", i, id)),
				Service: ident.Service(fmt.Sprintf("shard-%d", i)),
				Domain:  "b",
				Slots:   2,
			})
		}
	}
	h.step(relay.Listed{Upstreams: ups})
	h.step(relay.Gatherers{Domains: []ident.Domain{"b"}})
	effects := h.arrive(1, "/search/x")
	if len(calls(effects)) != 0 {
		t.Fatal("delegated shards were called as well")
	}
	del, ok := find[relay.Delegate](effects)
	if !ok {
		t.Fatal("no shards were delegated")
	}
	return h, del
}

// Guards against shards that are both delegated and called, and against an
// answer that omits the other host's parts.
func TestDelegatedShardsAreMerged(t *testing.T) {
	is := is.New(t)
	h, del := newDelegateHarness(t)
	is.Equal(del.Shards, []int{0, 1, 2, 3})
	m, ok := find[relay.Merge](h.step(relay.DelegateEnded{
		Query:    1,
		Group:    del.Group,
		Answered: del.Shards,
	}))
	is.True(ok)
	is.Equal(m.Groups, []int{del.Group})
	is.Equal(m.Missing, 0)
}

// Guards against more runs of one request than the route allows: the attempts
// that another host used for a shard count after the shard is reclaimed.
func TestReclaimedShardsKeepTheirAttempts(t *testing.T) {
	is := is.New(t)
	h, del := newDelegateHarness(t)
	again := calls(h.step(relay.DelegateEnded{
		Query:    1,
		Group:    del.Group,
		Answered: []int{0, 1},
		Tried: []relay.Tried{
			{
				Shard:    2,
				Arrivals: 2,
				Runs:     2,
			},
			{
				Shard:    3,
				Arrivals: 1,
				Runs:     1,
			},
		},
	}))
	is.Equal(len(again), 1)
	is.Equal(again[0].Upstream.Service, ident.Service("shard-3"))
}

// Guards against calling shards again after the other host failed to answer: it
// may have called any of them.
func TestShardsOfAFailedHostAreNotCalledAgain(t *testing.T) {
	is := is.New(t)
	h, del := newDelegateHarness(t)
	effects := h.step(relay.DelegateEnded{
		Query: 1,
		Group: del.Group,
		Lost:  true,
	})
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.Failed)
}

// Guards against a host that, after a slow period, expects no upstream to answer
// by the target and so never calls one again to update its estimates.
func TestSlowPeriodDoesNotStopAllCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	for id := ident.QueryID(1); id < 100; id++ {
		sent := calls(h.arrive(id, "/search/x"))
		h.now += 98 * ms
		for _, c := range sent {
			h.step(relay.Ended{Attempt: c.Attempt, Result: relay.Good})
		}
		h.now += 2000 * ms
	}
	is.Equal(len(calls(h.arrive(100, "/search/x"))), 4)
}

// Guards against calls to an upstream whose answers do not end: each one costs
// a host the reading of a bound's worth of bytes.
func TestUpstreamWithoutEndIsEjected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	c := calls(h.arrive(1, "/search/x"))[0]
	h.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  relay.Lost,
		Endless: true,
	})
	for id := ident.QueryID(2); id < 40; id++ {
		h.now += 50 * ms
		for _, next := range calls(h.arrive(id, "/search/x")) {
			is.True(next.Upstream.ID != c.Upstream.ID)
			h.end(next, relay.Good)
		}
	}
}

// Guards against a split whose parts get other shares than their weights.
func TestSplitFollowsItsWeights(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	d := document(1)
	d.Version++
	for i := range d.Routes {
		if d.Routes[i].Name == "read" {
			d.Routes[i].Backends = []rules.Backend{
				{Service: "desk", Weight: 3},
				{Service: "shard-0", Weight: 1},
			}
		}
	}
	is.NoErr(d.Check())
	h.step(relay.Install{Table: rules.NewTable(d)})
	const requests = 400
	got := make(map[ident.Service]int)
	for id := ident.QueryID(1); id <= requests; id++ {
		h.now += 20 * ms
		for _, c := range calls(h.arrive(id, "/read/x")) {
			got[c.Upstream.Service]++
			h.end(c, relay.Good)
		}
	}
	is.True(got["desk"] >= requests*3/4-1 && got["desk"] <= requests*3/4+1)
	is.Equal(got["desk"]+got["shard-0"], requests)
}

// Guards against a refusal that does not say which service has no upstream.
func TestRefusalNamesTheServiceWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.step(relay.Listed{})
	for _, e := range h.arrive(1, "/read/x") {
		if r, ok := e.(relay.Refuse); ok {
			is.Equal(r.Status, relay.NotNow)
			is.Equal(r.Reason, "no upstream of desk may be called, nor of 0 other services")
			is.True(r.Detail.Parts[0].None)
			return
		}
	}
	is.Fail() // no refusal
}
