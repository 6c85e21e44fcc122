package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const helpedShards = 40 // enough for two helpers

func newHelperHarness(t *testing.T) *harness {
	h := newHarness(t, helpedShards)
	h.step(relay.Gatherers{Helpers: []ident.HostID{"h1", "h2"}})
	return h
}

func delegates(effects []relay.Effect) []relay.Delegate { return all[relay.Delegate](effects) }

func shards(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against a small host that sends all calls of a query over many shards
// itself, and against shards that are delegated to no helper or to two.
func TestHelpersShareTheShards(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	effects := h.arrive(1, "/search/x")
	is.Equal(len(calls(effects)), 0)
	list := delegates(effects)
	is.Equal(len(list), 2)
	seen := map[int]bool{}
	for i, del := range list {
		is.Equal(del.Helper, []ident.HostID{"h1", "h2"}[i])
		for _, s := range del.Shards {
			is.True(!seen[s])
			seen[s] = true
		}
		h.step(relay.DelegateEnded{Query: 1, Group: del.Group, Answered: del.Shards})
	}
	is.Equal(len(seen), helpedShards)
	m, ok := find[relay.Merge](h.seen)
	is.True(ok)
	is.Equal(m.Missing, 0)
}

// Guards against helpers that delegate a query to other helpers.
func TestHelperCallsTheUpstreams(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	effects := h.step(relay.Arrive{
		Query:  1,
		Host:   "a.example",
		Path:   "/search/x",
		Limit:  time.Second,
		Shards: shards(helpedShards),
		Target: 90 * time.Millisecond,
		Direct: true,
	})
	is.Equal(len(delegates(effects)), 0)
	is.Equal(len(calls(effects)), helpedShards)
}

// Guards against more runs of one request than the route allows: a gatherer
// that answers another domain while a helper still works on some shards does
// not know which of them were called, so the other domain must not call them.
func TestDelegatedShardsCountAsTried(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	list := delegates(h.step(relay.Arrive{
		Query:  1,
		Host:   "a.example",
		Path:   "/search/x",
		Limit:  time.Second,
		Shards: shards(helpedShards),
		Target: 60 * time.Millisecond,
	}))
	is.Equal(len(list), 2)
	h.step(relay.DelegateEnded{Query: 1, Group: list[0].Group, Answered: list[0].Shards})
	m, ok := find[relay.Merge](h.advance(80 * time.Millisecond))
	is.True(ok)
	is.Equal(len(m.Tried), len(list[1].Shards))
	for _, tried := range m.Tried {
		is.Equal(tried.Runs, 2) // as many as the route allows
	}
	h.step(relay.Arrive{
		Query:  2,
		Host:   "a.example",
		Path:   "/search/x",
		Limit:  time.Second,
		Shards: shards(helpedShards),
		Target: 60 * time.Millisecond,
	})
	r, ok := find[relay.Refuse](h.advance(80 * time.Millisecond))
	is.True(ok)
	is.True(r.Status != relay.NotNow) // helpers may have called
}

// Guards against other hosts that give up the shards of a late query, such as a
// caller's retry, at once because the target has passed.
func TestLateQueryGivesHelpersTime(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	h.arrive(1, "/search/x") // the route's callers wait for a second
	late := delegates(h.step(relay.Arrive{
		Query: 2,
		Host:  "a.example",
		Path:  "/search/x",
		Limit: 700 * time.Millisecond,
	}))
	is.Equal(len(late), 2)
	is.Equal(late[0].Target, 50*time.Millisecond) // half of the route's target
}

// Guards against a helper's parts that are discarded, and then called again,
// because the helper was scheduled a little after the target.
func TestLateHelperStillAnswersWithItsParts(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	list := calls(h.step(relay.Arrive{
		Query:  1,
		Host:   "a.example",
		Path:   "/search/x",
		Limit:  time.Second,
		Shards: shards(4),
		Target: 60 * time.Millisecond,
		Direct: true,
	}))
	is.Equal(len(list), 4)
	h.step(relay.Ended{Attempt: list[0].Attempt, Result: relay.Good})
	h.now += 76 * ms
	m, ok := find[relay.Merge](h.step(relay.Tick{}))
	is.True(ok)
	is.Equal(m.Shards, []int{0})
	is.Equal(len(m.Tried), 3)
}

// Guards against late answers to a query that passed through another host: the
// time spent there and on the return path counts against the target.
func TestTimeAtAnotherHostCounts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	start := h.now
	list := calls(h.step(relay.Arrive{
		Query: 1,
		Host:  "a.example",
		Path:  "/search/x",
		Limit: time.Second,
		Spent: 9 * time.Millisecond,
	}))
	for _, c := range list[1:] {
		h.step(relay.Ended{Attempt: c.Attempt, Result: relay.Good})
	}
	for h.now.Sub(start) < 100*time.Millisecond {
		if _, ok := find[relay.Merge](h.advance(time.Millisecond)); ok {
			break
		}
	}
	// 8 ms for the network to the caller and 9 ms at the other host.
	is.Equal(h.now.Sub(start), 83*time.Millisecond)
}

// Guards against answers of slow helpers that arrive just after the gatherer has
// answered without them.
func TestMarginFollowsTheLagOfHelpers(t *testing.T) {
	is := is.New(t)
	h := newHelperHarness(t)
	delegate := func(id ident.QueryID) []relay.Delegate {
		list := delegates(h.arrive(id, "/search/x"))
		is.Equal(len(list), 2)
		return list
	}
	first := delegate(1)[0].Target
	for id := ident.QueryID(2); id < 40; id++ {
		start := h.now
		for _, del := range delegate(id) {
			h.now = start.Add(del.Target + 9*time.Millisecond)
			h.step(relay.DelegateEnded{Query: id, Group: del.Group, Answered: del.Shards[1:], Tried: []relay.Tried{{
				Shard:    del.Shards[0],
				Arrivals: 4,
				Runs:     2,
			}}})
		}
		h.now = start.Add(time.Second)
	}
	is.Equal(first, 88*time.Millisecond) // initial margin of 4 ms
	learned := delegate(41)[0].Target
	is.True(learned <= 84*time.Millisecond)
	is.True(learned >= 82*time.Millisecond)
}

// Guards against a margin that jumps with one late answer, or that never
// shrinks.
func TestLagIsAHighQuantile(t *testing.T) {
	is := is.New(t)
	l := relay.NewLag()
	for i := range 400 {
		late := 5 * time.Millisecond
		if i%20 == 0 {
			late = 100 * time.Millisecond
		}
		l.Learn(late)
		l.Learn(-time.Millisecond) // early answers are ignored
	}
	is.True(l.Margin() >= 4*time.Millisecond)
	is.True(l.Margin() < 7*time.Millisecond)
}

// Guards against answers that leave this host in time but reach a caller with a
// long round trip after the target.
func TestFarCallerIsAnsweredSooner(t *testing.T) {
	is := is.New(t)
	const target = 100 * time.Millisecond
	is.Equal(relay.CallerMargin(target, 0), 8*time.Millisecond)
	is.Equal(relay.CallerMargin(target, 2*time.Millisecond), 8*time.Millisecond)
	is.Equal(relay.CallerMargin(target, 10*time.Millisecond), 16*time.Millisecond)
}

// Guards against more extra calls than the budget allows over all hosts: the
// extra calls of a helper, and of the gatherer that reclaims its shards, must
// each stay within their part of the team's slack.
func TestTeamKeepsToItsSlack(t *testing.T) {
	is := is.New(t)
	const queries, slack, others, team = 200, 100 * 0.5, 0.3 / 6, 0.7 / 2
	helper := newHelperHarness(t)
	helper.step(relay.Hosts{Count: 6, Gatherers: 2})
	extra := 0
	for id := ident.QueryID(1); id <= queries; id++ {
		helper.now += 10 * ms
		list := calls(helper.step(relay.Arrive{
			Query:  id,
			Host:   "a.example",
			Path:   "/search/x",
			Limit:  time.Second,
			Shards: []int{0},
			Target: 90 * time.Millisecond,
			Direct: true,
		}))
		is.Equal(len(list), 1)
		for _, c := range calls(helper.step(relay.Ended{Attempt: list[0].Attempt, Result: relay.Lost})) {
			extra++
			helper.step(relay.Ended{Attempt: c.Attempt, Result: relay.Lost})
		}
	}
	is.True(extra > 0)
	is.True(float64(extra) <= queries*0.2*0.85+slack*(others+team*0.6)+1)

	gatherer := newHelperHarness(t)
	gatherer.step(relay.Hosts{Count: 6, Gatherers: 2, Gathers: true})
	extra = 0
	for id := ident.QueryID(1); id <= queries; id++ {
		gatherer.now += 10 * ms
		for _, del := range delegates(gatherer.arrive(id, "/search/x")) {
			back := calls(gatherer.step(relay.DelegateEnded{
				Query:    id,
				Group:    del.Group,
				Answered: del.Shards[1:],
				Tried:    []relay.Tried{{Shard: del.Shards[0], Arrivals: 1, Runs: 1}},
			}))
			for _, c := range back {
				if c.Upstream.Service == "shard-0" {
					extra++
				}
				gatherer.step(relay.Ended{Attempt: c.Attempt, Result: relay.Lost})
			}
		}
	}
	is.True(extra > 0)
	is.True(float64(extra) <= slack*(others+team*0.4)+1) // the helper has counted the requests
}
