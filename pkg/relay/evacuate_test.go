package relay_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

func (h *harness) evacuate(domains ...ident.Domain) []relay.Effect {
	return h.step(relay.Evacuated{Domains: domains})
}

// listShards lists a shard in each of the given domains, as shard-0, shard-1 and on,
// and "desk" in the domains a and b.
func (h *harness) listShards(domains ...string) {
	l := listed(func(*relay.Upstream) {})
	for i, d := range domains {
		name := "shard-" + string(rune('0'+i))
		for _, domain := range d {
			l.Upstreams = append(l.Upstreams, relay.Upstream{
				ID:      ident.Upstream(name + "-" + string(domain)),
				Service: ident.Service(name),
				Address: name + "-" + string(domain) + ":1",
				Domain:  ident.Domain(domain),
				Slots:   2,
			})
		}
	}
	h.step(l)
}

// Guards against any call to an upstream in an evacuated domain: a first one, a hedge,
// a retry, or one of a query that waits, also while orders change.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 4)
		gathers := rapid.Bool().Draw(rt, "gathers")
		h.step(relay.Hosts{Count: 1, Gatherers: 1, Gathers: gathers})
		if rapid.Bool().Draw(rt, "other domains have gatherers") {
			h.step(relay.Gatherers{Domains: []ident.Domain{"b"}})
		}
		var evacuated []ident.Domain
		var inFlight []relay.Call
		var delegated []relay.Delegate
		check := func(effects []relay.Effect) {
			for _, c := range calls(effects) {
				inFlight = append(inFlight, c)
				if slices.Contains(evacuated, c.Upstream.Domain) {
					rt.Fatalf("%s is called, evacuated are %v", c.Upstream.ID, evacuated)
				}
			}
			for _, d := range delegates(effects) {
				delegated = append(delegated, d)
				if slices.Contains(evacuated, d.Domain) {
					rt.Fatalf("shards %v go to domain %s, evacuated are %v", d.Shards, d.Domain, evacuated)
				}
			}
		}
		paths := []string{"/search/x", "/read/x", "/file/x"}
		for id := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			h.now += ident.Instant(rapid.IntRange(0, 60).Draw(rt, "pause")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				evacuated = rapid.SampledFrom([][]ident.Domain{nil, {"a"}, {"b"}, {"a", "b"}, {"x"}}).Draw(rt, "evacuated")
				check(h.evacuate(evacuated...))
			case 1:
				check(h.step(relay.Tick{}))
			case 2, 3:
				check(h.arrive(ident.QueryID(id+1), rapid.SampledFrom(paths).Draw(rt, "path")))
			case 4:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "call")
					a := inFlight[i].Attempt
					inFlight = slices.Delete(inFlight, i, i+1)
					check(h.step(relay.Ended{
						Attempt: a,
						Result:  rapid.SampledFrom([]relay.Result{relay.Good, relay.Bad, relay.Rejected, relay.Unsent, relay.Lost}).Draw(rt, "result"),
					}))
				}
			case 5:
				if len(delegated) > 0 {
					d := delegated[0]
					delegated = delegated[1:]
					check(h.step(relay.DelegateEnded{Query: d.Query, Group: d.Group, Answered: d.Shards[:len(d.Shards)/2]}))
				}
			}
		}
	})
}

// Guards against requests that wait, or run elsewhere, although no upstream may be
// called, and against callers that are told to come back at once.
func TestRequestsAreRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	h.evacuate("a", "b")
	for id, path := range []string{"/read/x", "/file/x", "/search/x"} {
		effects := h.arrive(ident.QueryID(id+1), path)
		is.Equal(len(calls(effects)), 0)
		r, ok := find[relay.Refuse](effects)
		is.True(ok)
		is.Equal(r.Status, relay.NotNow)
		is.Equal(r.After, time.Second)
		is.True(r.Reason == "the domains of the upstreams of desk are evacuated" || r.Reason == "the domains of too many shards are evacuated")
	}
	h.evacuate("a")
	is.Equal(h.called(9, "/read/x"), map[ident.Upstream]int{"desk-b": 1})
	h.evacuate()
	is.Equal(h.called(10, "/read/x"), map[ident.Upstream]int{"desk-a": 1})
}

// Guards against a search whose calls are sent although too many shards are only in
// evacuated domains, and against one that is refused although the others suffice.
func TestSearchLacksTheShardsOfAnEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	h.listShards("ab", "ab", "b", "b")
	h.evacuate("b")
	effects := h.arrive(1, "/search/x")
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.NotNow)
	is.Equal(r.Reason, "the domains of too many shards are evacuated")

	h.listShards("ab", "ab", "ab", "b")
	list := calls(h.arrive(2, "/search/x"))
	is.Equal(len(list), 3)
	for _, c := range list {
		effects = h.answer(c, relay.Ended{})
	}
	m, ok := find[relay.Merge](effects)
	is.True(ok)
	is.Equal(m.Missing, 1)
	is.Equal(m.Detail.Parts[0].Evacuated, true)
}

// Guards against shards that a gatherer gets from a host that does not know of the
// evacuation yet, and that both of them call.
func TestGathererTellsThatItsDomainIsEvacuated(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	h.listShards("ab", "a")
	h.evacuate("a")
	list := calls(h.step(relay.Arrive{
		Query:  1,
		Host:   "a.example",
		Path:   "/search/x",
		Limit:  time.Second,
		Shards: []int{0, 1},
		Target: 60 * time.Millisecond,
	}))
	is.Equal(len(list), 1)
	is.Equal(list[0].Upstream.ID, ident.Upstream("shard-0-b"))
	m, ok := find[relay.Merge](h.answer(list[0], relay.Ended{}))
	is.True(ok)
	is.Equal(m.Tried, []relay.Tried{{Shard: 1, Skipped: true}})
}

// Guards against a query that waits for a connection to an evacuated domain until its
// time is over, and against calls in flight that are given up.
func TestWaitingQueryFollowsAnEvacuation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.step(relay.Hosts{Count: 1, Gatherers: 1, Gathers: true})
	// Shards that another host delegates do not wait at the gate.
	arrive := func(id ident.QueryID) []relay.Effect {
		return h.step(relay.Arrive{
			Query:  id,
			Host:   "a.example",
			Path:   "/search/x",
			Limit:  time.Second,
			Shards: []int{0},
			Target: 500 * time.Millisecond,
		})
	}
	var running []relay.Call
	for id := ident.QueryID(1); id <= 4; id++ { // two slots in each of two domains
		running = append(running, calls(arrive(id))...)
	}
	is.Equal(len(running), 4)
	is.Equal(len(arrive(5)), 0) // it waits
	r, ok := find[relay.Refuse](h.evacuate("a", "b"))
	is.True(ok)
	is.Equal(r.Query, ident.QueryID(5))
	is.Equal(r.Status, relay.NotNow)
	for _, c := range running {
		m, ok := find[relay.Merge](h.answer(c, relay.Ended{}))
		is.True(ok)
		is.Equal(m.Query, c.Query)
	}
}

// Guards against a hedge or a retry that goes back to the domain that was evacuated
// while the first call was in flight.
func TestNextCallLeavesTheEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	hedged := calls(h.arrive(1, "/read/x"))
	retried := calls(h.arrive(2, "/file/x"))
	is.Equal(hedged[0].Upstream.Domain, ident.Domain("a"))
	is.Equal(retried[0].Upstream.Domain, ident.Domain("a"))
	h.evacuate("a")
	again := calls(h.answer(retried[0], relay.Ended{Result: relay.Rejected, Status: 503}))
	is.Equal(len(again), 1)
	is.Equal(again[0].Upstream.ID, ident.Upstream("desk-b"))
	late := calls(h.advance(90 * time.Millisecond))
	is.Equal(len(late), 1)
	is.Equal(late[0].Query, ident.QueryID(1))
	is.Equal(late[0].Upstream.ID, ident.Upstream("desk-b"))
	p, ok := find[relay.Pass](h.answer(hedged[0], relay.Ended{}))
	is.True(ok) // the call in flight still counts
	is.Equal(p.Query, ident.QueryID(1))
}

// Guards against a host that is cut off from the other domains and stays ready although
// it may not call its own upstreams.
func TestEvacuatedDomainCoversNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	is.True(h.engine.Local())
	h.evacuate("b")
	is.True(h.engine.Local())
	h.evacuate("a")
	is.True(!h.engine.Local())
}
