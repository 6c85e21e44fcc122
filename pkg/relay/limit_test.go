package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// limits are the limits that upstreams name in their answers.
type limits map[ident.Upstream]float64

// play sends a request each gap for a time, answers each call after work, and
// returns the number of calls to each upstream. This host owns all limits.
func (h *harness) play(path string, gap, work, total time.Duration, named limits) map[ident.Upstream]int {
	type pending struct {
		at   ident.Instant
		call relay.Call
	}
	var pendings []pending
	counts := make(map[ident.Upstream]int)
	owner := quota.NewOwner()
	var handle func(effects []relay.Effect)
	handle = func(effects []relay.Effect) {
		for _, f := range effects {
			switch f := f.(type) {
			case relay.Call:
				counts[f.Upstream.ID]++
				pendings = append(pendings, pending{
					at:   h.now.Add(work),
					call: f,
				})
			case relay.Report:
				handle(h.step(relay.Granted{
					Sent:   h.now,
					Domain: f.Domain,
					Grants: owner.Report(h.now, "self", quota.Fleet{Hosts: 1}, f.Demands),
				}))
			}
		}
	}
	end, next := h.now.Add(total), h.now
	for id := ident.QueryID(1000); h.now < end; h.now += ms {
		if h.now >= next {
			id, next = id+1, next.Add(gap)
			handle(h.arrive(id, path))
		}
		for len(pendings) > 0 && pendings[0].at <= h.now {
			c := pendings[0]
			pendings = pendings[1:]
			handle(h.step(relay.Ended{
				Attempt: c.call.Attempt,
				Result:  relay.Good,
				Status:  200,
				Limit:   named[c.call.Upstream.ID],
			}))
		}
		handle(h.step(relay.Tick{}))
	}
	return counts
}

// Guards against calls over a limit that the upstream has named. What the limit
// leaves goes to the other upstream of the service.
func TestCallsOverALimitGoToTheOtherUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	named := limits{"shard-0-a": 10}
	h.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, 4*time.Second, named)
	counts := h.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, 10*time.Second, named)
	is.True(counts["shard-0-a"] <= 105)
	is.True(counts["shard-0-a"] >= 60)
	is.True(counts["shard-0-a"]+counts["shard-0-b"] >= 500)
}

// Guards against hedges that are not counted in a limit.
func TestHedgesCountInALimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	named := limits{}
	for _, id := range []ident.Upstream{"shard-0-a", "shard-0-b"} {
		named[id] = 10
	}
	h.play("/search/x", 50*time.Millisecond, 95*time.Millisecond, 4*time.Second, named)
	counts := h.play("/search/x", 50*time.Millisecond, 95*time.Millisecond, 10*time.Second, named)
	is.True(counts["shard-0-a"] <= 105)
	is.True(counts["shard-0-b"] <= 105)
}

// Guards against calls for a query that cannot be answered, since the limits of
// more shards are used up than its route allows to be missing.
func TestQueryOverTheLimitsIsRefusedBeforeAnyCall(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	named := limits{}
	for _, id := range []ident.Upstream{"shard-0-a", "shard-0-b", "shard-1-a", "shard-1-b"} {
		named[id] = 1
	}
	h.play("/search/x", 50*time.Millisecond, 5*time.Millisecond, 4*time.Second, named)
	for id := ident.QueryID(1); id < 5; id++ {
		effects := h.arrive(id, "/search/x")
		if refused, ok := find[relay.Refuse](effects); ok {
			is.Equal(refused.Status, relay.NotNow)
			is.True(refused.After >= 50*time.Millisecond)
			is.Equal(len(calls(effects)), 0)
			return
		}
	}
	t.Fatal("no query was refused")
}

// Guards against a request that waits for a limit instead of being refused at
// once.
func TestRequestOverTheLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	named := limits{
		"desk-a": 1,
		"desk-b": 1,
	}
	h.play("/file/x", 50*time.Millisecond, 5*time.Millisecond, 4*time.Second, named)
	refused := 0
	for id := ident.QueryID(1); id < 20; id++ {
		if r, ok := find[relay.Refuse](h.arrive(id, "/file/x")); ok {
			is.Equal(r.Status, relay.NotNow)
			refused++
		}
	}
	is.True(refused >= 15)
}

// Guards against hosts that go on calling an upstream at full rate until each of
// them has got an answer with the limit.
func TestLimitReachesOtherHosts(t *testing.T) {
	is := is.New(t)
	first, second := newHarness(t, 1), newHarness(t, 1)
	first.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, time.Second, limits{"shard-0-a": 10})
	sent, ok := find[relay.Broadcast](first.seen)
	is.True(ok)
	effects := second.step(relay.FactsReceived{Facts: []gossip.Fact{sent.Fact}})
	limit, ok := find[relay.Limit](effects)
	is.True(ok)
	is.Equal(limit.Upstream, ident.Upstream("shard-0-a"))
	is.True(limit.Learned)
	_, ok = find[relay.Broadcast](effects)
	is.True(ok) // it is news, so it is passed on
	_, ok = find[relay.Broadcast](second.step(relay.FactsReceived{Facts: []gossip.Fact{sent.Fact}}))
	is.True(!ok)
}

// Guards against a delegated shard that counts as not called since its hedge was
// over the limit: the caller would be told that its request has not run.
func TestCalledShardIsNotSkippedByALimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	named := limits{
		"shard-0-a": 0.5,
		"shard-0-b": 0.5,
	}
	h.play("/search/x", 10*time.Millisecond, 5*time.Millisecond, 4*time.Second, named)
	for id := ident.QueryID(1); id < 2000; id++ {
		effects := h.step(relay.Arrive{
			Query:  id,
			Host:   "a.example",
			Path:   "/search/x",
			Limit:  time.Second,
			Shards: []int{0},
			Target: 100 * time.Millisecond,
		})
		h.now += 20 * ms
		if len(calls(effects)) == 0 {
			continue
		}
		r, ok := find[relay.Refuse](h.advance(300 * time.Millisecond))
		is.True(ok)
		is.Equal(len(r.Tried), 1)
		is.Equal(r.Tried[0].Runs, 1)
		is.True(!r.Tried[0].Skipped)
		return
	}
	t.Fatal("no call was sent")
}

// Guards against refused queries that use up the limits of the shards that they
// could have called.
func TestRefusedQueriesDoNotUseUpLimits(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	named := limits{
		"shard-0-a": 3,
		"shard-0-b": 3,
		"shard-1-a": 4,
		"shard-1-b": 4,
		"shard-2-a": 5,
		"shard-2-b": 5,
		"shard-3-a": 6,
		"shard-3-b": 6,
	}
	h.play("/search/x", 10*time.Millisecond, 5*time.Millisecond, 6*time.Second, named)
	counts := h.play("/search/x", 10*time.Millisecond, 5*time.Millisecond, 20*time.Second, named)
	for id, limit := range named {
		is.True(counts[id] <= int(limit*20)+5)
	}
	is.True(counts["shard-0-a"]+counts["shard-0-b"] >= 90) // of 120 that the limits allow
}

// Guards against queries over many shards that each shard admits by chance of
// its own, so that hardly any is admitted by enough of them.
func TestScarceLimitsAdmitWholeQueries(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 16)
	named := limits{}
	for shard := range 16 {
		for _, u := range []string{"a", "b"} {
			named[ident.Upstream(fmt.Sprintf("shard-%d-%s", shard, u))] = 0.5
		}
	}
	h.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, 6*time.Second, named)
	seen := len(h.seen)
	counts := h.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, 100*time.Second, named)
	is.True(len(all[relay.Merge](h.seen[seen:])) >= 60) // of 100 that the limits allow
	for _, n := range counts {
		is.True(n <= 50+5)
	}
}

// Guards against a query that is delegated in part and then refused as not run,
// since the limits of its other shards are used up.
func TestQueryOverTheLimitsIsRefusedBeforeItIsDelegated(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 8)
	var ups []relay.Upstream
	named := limits{}
	for i := range 8 {
		up := relay.Upstream{
			ID:      ident.Upstream(fmt.Sprintf("up-%d", i)),
			Service: ident.Service(fmt.Sprintf("shard-%d", i)),
			Address: fmt.Sprintf("up-%d:1", i),
			Domain:  "b",
			Slots:   2,
		}
		if i < 4 {
			up.Domain, named[up.ID] = "a", 1
		}
		ups = append(ups, up)
	}
	h.step(relay.Listed{Upstreams: ups})
	h.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, 6*time.Second, named)
	h.step(relay.Gatherers{Domains: []ident.Domain{"b"}})
	for id := ident.QueryID(1); id < 20; id++ {
		effects := h.arrive(id, "/search/x")
		if r, ok := find[relay.Refuse](effects); ok {
			is.Equal(r.Status, relay.NotNow)
			is.Equal(len(delegates(effects)), 0)
			return
		}
	}
	t.Fatal("no query was refused")
}

// Guards against a limit that ends, at all hosts, with a rejection or a failure
// that does not name it.
func TestOnlyASuccessEndsALimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.play("/read/x", 100*time.Millisecond, 5*time.Millisecond, time.Second, limits{
		"desk-a": 10,
		"desk-b": 10,
	})
	is.Equal(h.engine.Limited(), 2)
	end := func(id ident.QueryID, r relay.Result, status int, limit float64) {
		for h.now += 2000 * ms; ; h.now += 100 * ms {
			if c := calls(h.arrive(id, "/file/x")); len(c) > 0 {
				h.step(relay.Ended{
					Attempt: c[0].Attempt,
					Result:  r,
					Status:  status,
					Limit:   limit,
				})
				h.step(relay.Disconnected{Query: id})
				return
			}
		}
	}
	end(1, relay.Rejected, 503, 0)
	is.Equal(h.engine.Limited(), 2)
	end(2, relay.Bad, 500, 0)
	is.Equal(h.engine.Limited(), 2)
	end(3, relay.Good, 200, relay.UnreadableLimit)
	is.Equal(h.engine.Limited(), 2)
	end(4, relay.Good, 200, 0)
	is.Equal(h.engine.Limited(), 1)
}
