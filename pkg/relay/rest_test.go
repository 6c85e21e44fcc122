package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// left is what a helper reports of shards whose calls are in flight, with all
// attempts used.
func left(shards ...int) (list []relay.Tried) {
	for _, s := range shards {
		list = append(list, relay.Tried{
			Shard:    s,
			Arrivals: 2,
			Runs:     2,
			Pending:  true,
		})
	}
	return list
}

// partly makes each helper answer a delegation without its first n shards, whose
// calls are in flight. It returns what the gatherer does then.
func (h *harness) partly(list []relay.Delegate, n int) (effects []relay.Effect) {
	for _, del := range list {
		effects = append(effects, h.step(relay.DelegateEnded{
			Query:    del.Query,
			Group:    del.Group,
			Answered: del.Shards[n:],
			Tried:    left(del.Shards[:n]...),
		})...)
	}
	return effects
}

// Guards against a query that fails, and that its caller sends again whole, while
// the calls for the shards that it lacks are about to end at other hosts.
func TestRestIsAskedForInsteadOfFailing(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t) // 10 of the 40 shards may be missing
	first := delegates(h.arrive(1, "/search/x"))
	h.now += 90 * ms
	rest := delegates(h.partly(first, 6))
	is.Equal(len(rest), 2)
	for i, del := range rest {
		is.True(del.Rest)
		is.Equal(del.Helper, first[i].Helper)
		is.Equal(del.Shards, first[i].Shards[:6])
	}
	h.now += 30 * ms
	h.step(relay.DelegateEnded{Query: 1, Group: rest[0].Group, Answered: rest[0].Shards})
	m, ok := find[relay.Merge](h.step(relay.DelegateEnded{
		Query:    1,
		Group:    rest[1].Group,
		Answered: rest[1].Shards[:5],
		Tried:    left(rest[1].Shards[5]),
	}))
	is.True(ok)
	is.Equal(m.Missing, 1)
	is.Equal(len(m.Groups), 4)
}

// Guards against an answer that waits for shards that it may lack.
func TestRestIsNotAskedForWithEnoughShards(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	first := delegates(h.arrive(1, "/search/x"))
	h.now += 90 * ms
	effects := h.partly(first, 5)
	is.Equal(len(delegates(effects)), 0)
	m, ok := find[relay.Merge](append(effects, h.advance(10*time.Millisecond)...))
	is.True(ok)
	is.Equal(m.Missing, 10)
}

// Guards against a caller that is kept waiting for upstreams that hang until it has
// no time left to try again, and against a rest that cannot suffice.
func TestRestIsNotWaitedForWithoutEnd(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	list := delegates(h.arrive(1, "/search/x"))
	var refused relay.Refuse
	for ok := false; !ok; {
		h.now += 95 * ms
		is.True(h.now < 700*ms) // the caller waits for a second
		var again []relay.Effect
		for _, del := range list {
			n := min(len(del.Shards), 6)
			again = append(again, h.step(relay.DelegateEnded{
				Query:    1,
				Group:    del.Group,
				Answered: del.Shards[n:],
				Tried:    left(del.Shards[:n]...),
			})...)
		}
		list = delegates(again)
		refused, ok = find[relay.Refuse](again)
	}
	is.Equal(refused.Status, relay.Failed)
	is.True(h.now >= 400*ms)

	for _, del := range delegates(h.arrive(2, "/search/x")) {
		h.step(relay.DelegateEnded{Query: 2, Group: del.Group, Answered: del.Shards[8:], Tried: append(left(del.Shards[:2]...), failed(del.Shards[2:8])...)})
	}
	refused, ok := find[relay.Refuse](h.seen[len(h.seen)-1:])
	is.True(ok)
	is.Equal(refused.Query, ident.QueryID(2))
}

// failed is what a helper reports of shards whose attempts have all failed.
func failed(shards []int) (list []relay.Tried) {
	for _, s := range shards {
		list = append(list, relay.Tried{
			Shard:    s,
			Arrivals: 2,
			Runs:     2,
		})
	}
	return list
}

// Guards against a shard that is in an answer twice: this host has called it again
// itself, so the other host must not be asked for it.
func TestShardCalledAgainIsNotAskedFor(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	asked := false
	for _, del := range delegates(h.arrive(1, "/search/x")) {
		tried := left(del.Shards[:8]...)
		tried[0].Runs = 1 // one attempt remains
		for _, f := range h.step(relay.DelegateEnded{Query: 1, Group: del.Group, Answered: del.Shards[8:], Tried: tried}) {
			switch f := f.(type) {
			case relay.Call:
				is.True(f.Upstream.Service == "shard-0" || f.Upstream.Service == "shard-20")
			case relay.Delegate:
				asked = true
				for _, s := range f.Shards {
					is.True(s != 0 && s != 20)
				}
			}
		}
	}
	is.True(asked)
}

// sub asks a helper for shards until 60 ms later.
func (h *harness) sub(id ident.QueryID, rest bool, list ...int) []relay.Effect {
	return h.step(relay.Arrive{
		Query:   id,
		Request: "r-1",
		Host:    "a.example",
		Path:    "/search/x",
		Limit:   time.Second,
		Version: 7,
		Shards:  list,
		Target:  60 * time.Millisecond,
		Direct:  true,
		Rest:    rest,
	})
}

// Guards against answers that come between the reply of a host and the request for
// the rest, or after that, and that are lost, are called for anew, or are sent
// twice.
func TestHostKeepsItsCallsForTheRest(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	list := calls(h.sub(1, false, 0, 1, 2))
	is.Equal(len(list), 3)
	h.answer(list[0], relay.Ended{})
	list = append(list, calls(h.advance(50*time.Millisecond))...) // hedges
	effects := h.advance(10 * time.Millisecond)
	m, ok := find[relay.Merge](effects)
	is.True(ok)
	is.Equal(m.Shards, []int{0})
	for _, tried := range m.Tried {
		is.True(tried.Pending)
	}
	kept, ok := find[relay.Keep](effects)
	is.True(ok)
	is.Equal(len(kept.Attempts), len(list)-1)
	is.Equal(kept.Query, ident.QueryID(0))

	h.answer(list[1], relay.Ended{})
	effects = h.sub(2, true, 1, 2)
	is.Equal(len(calls(effects)), 0)
	adopted, ok := find[relay.Keep](effects)
	is.True(ok)
	is.Equal(adopted.Query, ident.QueryID(2))
	is.Equal(adopted.Attempts, kept.Attempts)
	h.now += 20 * ms
	m, ok = find[relay.Merge](h.answer(list[2], relay.Ended{}))
	is.True(ok)
	is.Equal(m.Query, ident.QueryID(2))
	is.Equal(m.Shards, []int{1, 2})
	is.Equal(m.Missing, 0)

	r, ok := find[relay.Refuse](h.sub(3, true, 1, 2)) // once more
	is.True(ok)
	is.Equal(r.Status, relay.Failed)
}

// Guards against a rest that a host asks for and whose shards it has got, or never
// asked for, and against one of a host that has restarted.
func TestUnknownRestIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	list := calls(h.sub(1, false, 0, 1))
	h.answer(list[0], relay.Ended{})
	h.advance(60 * time.Millisecond)
	for _, shards := range [][]int{{0}, {0, 1}, {5}, {1, 5}, {-1}, {}} {
		effects := h.sub(2, true, shards...)
		r, ok := find[relay.Refuse](effects)
		is.True(ok)
		is.Equal(r.Status, relay.Failed)
		is.Equal(len(calls(effects)), 0)
	}
}

// Guards against calls that are kept for ever because nobody asks for them.
func TestKeptCallsAreDropped(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	h.sub(1, false, 0, 1)
	kept, ok := find[relay.Keep](h.advance(60 * time.Millisecond))
	is.True(ok)
	h.now += 1000 * ms
	h.sub(2, false, 3)
	dropped, ok := find[relay.Drop](h.advance(60 * time.Millisecond))
	is.True(ok)
	is.Equal(dropped.Attempts, kept.Attempts)
	_, ok = find[relay.Refuse](h.sub(3, true, 0))
	is.True(ok)
}

// Guards against a sub-query without any answer that keeps the other host waiting
// past the time at which it wanted one.
func TestSubQueryWithoutAnswersEndsAtItsTarget(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	h.sub(1, false, 0, 1)
	next, ok := h.engine.Next()
	is.True(ok)
	is.True(next <= 60*ms)
	r, ok := find[relay.Refuse](h.advance(60 * time.Millisecond))
	is.True(ok)
	is.Equal(len(r.Tried), 2)
	is.True(r.Tried[0].Pending)
}

// Guards against calls that go on at other hosts after the caller has left: at one that
// has answered without their shards, and at one that has not answered.
func TestCallsOfOtherHostsStopWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	first := delegates(h.step(relay.Arrive{
		Query:   1,
		Request: "r-1",
		Host:    "a.example",
		Path:    "/search/x",
		Limit:   time.Second,
	}))
	h.partly(first[:1], 6)
	list := all[relay.Abandon](h.step(relay.Disconnected{Query: 1}))
	is.Equal(len(list), 2)
	for _, a := range list {
		want := first[0].Shards[:6]
		if a.Helper == first[1].Helper {
			want = first[1].Shards
		}
		is.Equal(a.Request, ident.RequestID("r-1"))
		is.Equal(a.Version, first[0].Version)
		is.Equal(a.Shards, want)
	}

	h = newHelperHarness(t)
	h.step(relay.Arrive{
		Query: 1,
		Host:  "a.example",
		Path:  "/search/x",
		Limit: time.Second,
	})
	for _, del := range first {
		h.step(relay.DelegateEnded{Query: 1, Group: del.Group, Answered: del.Shards})
	}
	is.Equal(len(all[relay.Abandon](h.step(relay.Disconnected{Query: 1}))), 0)
}

// Guards against kept calls that outlive the caller, and against stopping the calls of
// another request, or of shards that the caller has got.
func TestKeptCallsStopWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	list := calls(h.sub(1, false, 0, 1, 2))
	h.answer(list[0], relay.Ended{})
	kept, ok := find[relay.Keep](h.advance(60 * time.Millisecond))
	is.True(ok)
	for _, other := range []relay.Abandoned{
		{Request: "r-2", Version: 7, Shards: []int{1, 2}},
		{Request: "r-1", Version: 6, Shards: []int{1, 2}},
		{Request: "r-1", Version: 7, Shards: []int{0, 5}},
		{Request: "r-1", Version: 7},
	} {
		is.Equal(len(h.step(other)), 0)
	}
	effects := h.step(relay.Abandoned{
		Request: "r-1",
		Version: 7,
		Shards:  []int{1, 2},
	})
	var stopped []ident.AttemptID
	for _, s := range all[relay.Stop](effects) {
		stopped = append(stopped, s.Attempt)
	}
	is.Equal(stopped, kept.Attempts)
	dropped, ok := find[relay.Drop](effects)
	is.True(ok)
	is.Equal(dropped.Attempts, kept.Attempts)
	r, ok := find[relay.Refuse](h.sub(2, true, 1, 2))
	is.True(ok)
	is.Equal(r.Status, relay.Failed)
}
