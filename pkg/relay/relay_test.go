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

// world drives an engine by hand.
type world struct {
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

func newWorld(t *testing.T, shards int) *world {
	w := &world{
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
	w.step(relay.Install{Table: rules.NewTable(d)})
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
	w.step(relay.Listed{Upstreams: ups})
	return w
}

func (w *world) step(ev relay.Event) []relay.Effect {
	switch e := ev.(type) {
	case relay.Install:
		e.Now = w.now
		ev = e
	case relay.Listed:
		e.Now = w.now
		ev = e
	case relay.Arrive:
		e.Now = w.now
		ev = e
	case relay.Ended:
		e.Now = w.now
		ev = e
	case relay.Gatherers:
		e.Now = w.now
		ev = e
	case relay.Handed:
		e.Now = w.now
		ev = e
	case relay.Left:
		e.Now = w.now
		ev = e
	case relay.Tick:
		e.Now = w.now
		ev = e
	}
	effects := w.engine.Step(ev)
	w.seen = append(w.seen, effects...)
	return effects
}

func (w *world) arrive(id ident.QueryID, path string) []relay.Effect {
	return w.step(relay.Arrive{
		Query: id,
		Host:  "a.example",
		Path:  path,
		Limit: time.Second,
	})
}

// advance ticks the engine each millisecond until d has passed.
func (w *world) advance(d time.Duration) []relay.Effect {
	var all []relay.Effect
	for end := w.now.Add(d); w.now < end; {
		w.now += ms
		all = append(all, w.step(relay.Tick{})...)
	}
	return all
}

// all returns the effects of one kind.
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

func (w *world) end(c relay.Call, r relay.Result) []relay.Effect {
	return w.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  r,
	})
}

func ExampleEngine() {
	w := newWorld(&testing.T{}, 1)
	c := calls(w.arrive(1, "/search/x"))[0]
	fmt.Println(c.Upstream.ID, c.Limit)
	w.now += 20 * ms
	m, _ := find[relay.Merge](w.end(c, relay.Good))
	fmt.Println(len(m.Attempts), m.Missing, m.Top)
	// Output:
	// shard-0-a 990ms
	// 1 0 3
}

// Guards against an answer that waits past its target for a stalled shard
// although enough parts are there, and against one that hides the gap.
func TestPartialAnswerBeforeTheTarget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	first := calls(w.arrive(1, "/search/x"))
	is.Equal(len(first), 4)
	w.now += 10 * ms
	for _, c := range first[:3] {
		w.end(c, relay.Good)
	}
	effects := w.advance(100 * time.Millisecond)
	m, ok := find[relay.Merge](effects)
	is.True(ok)
	is.Equal(m.Missing, 1)
	is.Equal(len(m.Attempts), 3)
	is.True(len(calls(effects)) == 1) // the late shard was hedged once
}

// Guards against a success below the least share of shards.
func TestNoAnswerBelowTheLeastShare(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	first := calls(w.arrive(1, "/search/x"))
	for _, c := range first[:2] {
		w.end(c, relay.Good)
	}
	_, merged := find[relay.Merge](w.advance(1100 * time.Millisecond))
	is.True(!merged)
	r, ok := find[relay.Refuse](w.seen)
	is.True(ok)
	is.Equal(r.Status, relay.TimedOut)
}

// Guards against a request that may run once and is sent again after it may
// have run, and against a refusal that claims that it has not.
func TestOnceIsNotSentAgainAfterALoss(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	c := calls(w.arrive(1, "/file/x"))[0]
	is.Equal(len(calls(w.advance(90*time.Millisecond))), 0) // no hedge
	effects := w.end(c, relay.Lost)
	is.Equal(len(calls(effects)), 0)
	r, _ := find[relay.Refuse](effects)
	is.Equal(r.Status, relay.Failed)
}

// Guards against a rejected request that is given up although it may run elsewhere.
func TestOnceIsSentAgainAfterARejection(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	c := calls(w.arrive(1, "/file/x"))[0]
	again := calls(w.end(c, relay.Rejected))
	is.Equal(len(again), 1)
	is.True(again[0].Upstream.ID != c.Upstream.ID)
}

// Guards against calls to an address that belongs to another upstream: each
// counts as an extra call there.
func TestMovedUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	c := calls(w.arrive(1, "/search/x"))[0]
	w.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  relay.Rejected,
		Moved:   true,
	})
	for id := ident.QueryID(2); id < 40; id++ {
		w.now += 50 * ms
		for _, next := range calls(w.arrive(id, "/search/x")) {
			is.True(next.Upstream.ID != c.Upstream.ID)
			w.end(next, relay.Lost)
		}
	}
}

// Guards against new work for an upstream that is leaving while another is there.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.step(relay.Listed{Upstreams: []relay.Upstream{
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
	c := calls(w.arrive(1, "/search/x"))[0]
	is.Equal(c.Upstream.ID, ident.Upstream("shard-0-b"))
}

// Guards against calls that go on after their caller has left.
func TestCallsStopWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.arrive(1, "/search/x")
	stops := 0
	for _, e := range w.step(relay.Left{Query: 1}) {
		if _, ok := e.(relay.Stop); ok {
			stops++
		}
	}
	is.Equal(stops, 4)
}

// Guards against more extra calls than the budget while every upstream fails.
func TestFailuresKeepToTheBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	sent := 0
	const queries = 400
	for id := ident.QueryID(1); id <= queries; id++ {
		w.now += 20 * ms
		for pending := calls(w.arrive(id, "/search/x")); len(pending) > 0; {
			sent += len(pending)
			var next []relay.Call
			for _, c := range pending {
				next = append(next, calls(w.end(c, relay.Lost))...)
			}
			pending = next
		}
	}
	is.True(sent <= queries+queries/5+100)
}

// Guards against a document that is replaced by an older one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	old := document(1)
	old.Version = 6
	old.Routes = nil
	w.step(relay.Install{Table: rules.NewTable(old)})
	is.Equal(w.engine.Version(), rules.Version(7))
	is.Equal(len(calls(w.arrive(1, "/search/x"))), 1)
}

// handWorld is a world whose shards have their only upstreams in domain b,
// where another host gathers.
func handWorld(t *testing.T) (w *world, h relay.Hand) {
	w = newWorld(t, 4)
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
	w.step(relay.Listed{Upstreams: ups})
	w.step(relay.Gatherers{Domains: []ident.Domain{"b"}})
	effects := w.arrive(1, "/search/x")
	if len(calls(effects)) != 0 {
		t.Fatal("handed shards were called as well")
	}
	h, ok := find[relay.Hand](effects)
	if !ok {
		t.Fatal("no shards were handed over")
	}
	return w, h
}

// Guards against shards that are handed to another host and called as well,
// and against an answer that leaves the other host's parts out.
func TestHandedShardsAreMerged(t *testing.T) {
	is := is.New(t)
	w, h := handWorld(t)
	is.Equal(h.Shards, []int{0, 1, 2, 3})
	m, ok := find[relay.Merge](w.step(relay.Handed{
		Query: 1,
		Group: h.Group,
		Good:  h.Shards,
	}))
	is.True(ok)
	is.Equal(m.Groups, []int{h.Group})
	is.Equal(m.Missing, 0)
}

// Guards against more runs of one request than the route allows: the shards
// that another host could not answer have used up attempts there.
func TestShardsComeBackWithTheirAttempts(t *testing.T) {
	is := is.New(t)
	w, h := handWorld(t)
	again := calls(w.step(relay.Handed{
		Query: 1,
		Group: h.Group,
		Good:  []int{0, 1},
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

// Guards against a second round of calls after the other host was lost: it
// may have made any.
func TestShardsOfALostHostAreNotCalledAgain(t *testing.T) {
	is := is.New(t)
	w, h := handWorld(t)
	effects := w.step(relay.Handed{
		Query: 1,
		Group: h.Group,
		Lost:  true,
	})
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.Failed)
}

// Guards against a host that has seen a slow time, expects no upstream to
// answer by the target, and so never calls one again to learn better.
func TestSlowTimeDoesNotStopAllCalls(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	for id := ident.QueryID(1); id < 100; id++ {
		sent := calls(w.arrive(id, "/search/x"))
		w.now += 98 * ms
		for _, c := range sent {
			w.step(relay.Ended{Attempt: c.Attempt, Result: relay.Good})
		}
		w.now += 2000 * ms
	}
	is.Equal(len(calls(w.arrive(100, "/search/x"))), 4)
}
