package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// ask sends a request that asks for what.
func (h *harness) ask(id ident.QueryID, path, what string) []relay.Effect {
	return h.step(relay.Arrive{
		Query:   id,
		Host:    "a.example",
		Path:    path,
		Limit:   time.Second,
		Request: ident.RequestID(rune(id)),
		Print:   blame.PrintOf(nil, what),
	})
}

func (h *harness) crash(c relay.Call) []relay.Effect {
	return h.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  relay.Lost,
		Crashed: true,
	})
}

// tell passes what one host tells to another.
func tell(from []relay.Effect, to *harness) {
	for _, t := range all[relay.Broadcast](from) {
		to.step(relay.FactsReceived{Facts: []gossip.Fact{t.Fact}})
	}
}

// Guards against a request that crashes one upstream after the other: the third
// crash is the last, on all hosts.
func TestThirdCrashIsTheLast(t *testing.T) {
	is := is.New(t)
	first, second := newHarness(t, 1), newHarness(t, 1)
	crashed := 0
	for id := ident.QueryID(1); id < 6; id++ {
		h := first
		if id%2 == 0 {
			h = second
		}
		effects := h.ask(id, "/read/x", "deadly")
		for pending := calls(effects); len(pending) > 0; pending = calls(effects) {
			is.Equal(len(pending), 1)
			crashed++
			h.now += 10 * ms
			effects = h.crash(pending[0])
		}
	}
	tell(first.seen, second)
	is.True(crashed >= 3)
	for _, h := range []*harness{first, second} {
		tell(first.seen, h)
		tell(second.seen, h)
		effects := h.ask(100, "/read/x", "deadly")
		is.Equal(len(calls(effects)), 0)
		r, ok := find[relay.Refuse](effects)
		is.True(ok)
		is.Equal(r.Status, relay.NotNow)
		is.Equal(len(calls(h.ask(101, "/read/x", "harmless"))), 1)
	}
}

// Guards against a fan-out of a request that crashed all upstreams it was sent
// to: the next attempt, at any host, is sent to one upstream, and its crash is
// the last.
func TestSuspectGatherIsTriedOnOneUpstream(t *testing.T) {
	is := is.New(t)
	first, second := newHarness(t, 8), newHarness(t, 8)
	pending := calls(first.ask(1, "/search/x", "deadly"))
	is.Equal(len(pending), 8)
	var effects []relay.Effect
	for _, c := range pending {
		first.now += ms
		effects = first.crash(c)
	}
	trial := calls(effects)
	is.Equal(len(trial), 1) // alone, in the same attempt
	tell(first.seen, second)
	is.Equal(len(calls(second.ask(2, "/search/x", "deadly"))), 1)
	effects = first.crash(trial[0])
	is.Equal(len(calls(effects)), 0)
	r, ok := find[relay.Refuse](effects)
	is.True(ok)
	is.Equal(r.Status, relay.Failed)
	seen := len(second.seen)
	tell(effects, second)
	_, stopped := find[relay.Stop](second.seen[seen:])
	_, refused := find[relay.Refuse](second.seen[seen:])
	is.True(stopped && refused)
}

// Guards against refusing requests that ran beside one that crashes upstreams.
func TestRequestBesideACrashIsServed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 8)
	pending := calls(h.ask(1, "/search/x", "harmless"))
	h.now += 10 * ms
	var effects []relay.Effect
	for _, c := range pending[:6] {
		effects = h.crash(c)
	}
	is.Equal(len(calls(effects)), 0) // two calls may still be answered
	effects = h.end(pending[6], relay.Good)
	is.Equal(len(calls(effects)), 6) // one answer clears it: all are called again
	for _, c := range calls(effects) {
		h.end(c, relay.Good)
	}
	m, ok := find[relay.Merge](h.end(pending[7], relay.Good))
	is.True(ok)
	is.Equal(m.Missing, 0)
	is.Equal(len(calls(h.ask(2, "/search/x", "harmless"))), 8)
}

// Guards against a trial of a request that was answered, and that holds up the
// other shards.
func TestAnsweredTrialGoesOn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	for _, c := range calls(h.ask(1, "/search/x", "beside")) {
		h.crash(c)
	}
	h.step(relay.Disconnected{Query: 1})
	trial := calls(h.ask(2, "/search/x", "beside"))
	is.Equal(len(trial), 1)
	rest := calls(h.end(trial[0], relay.Good))
	is.Equal(len(rest), 3)
	for _, c := range rest[:2] {
		h.end(c, relay.Good)
	}
	m, ok := find[relay.Merge](h.end(rest[2], relay.Good))
	is.True(ok)
	is.Equal(len(m.Attempts), 4)
}

// Guards against a hedge of a request under which an upstream has crashed.
func TestNoHedgeAfterACrash(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	c := calls(h.ask(1, "/read/x", "suspect"))
	h.crash(c[0])
	h.step(relay.Disconnected{Query: 1})
	is.Equal(len(calls(h.ask(2, "/read/x", "suspect"))), 1)
	is.Equal(len(calls(h.advance(900*time.Millisecond))), 0)
}

// Guards against two suspects at one upstream, whose crash would count against
// both.
func TestSuspectsAreTriedOnDifferentUpstreams(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	for id, what := range []string{"x", "y"} {
		h.crash(calls(h.ask(ident.QueryID(id), "/read/x", what))[0])
		h.step(relay.Disconnected{Query: ident.QueryID(id)})
	}
	one := calls(h.ask(10, "/read/x", "x"))
	two := calls(h.ask(11, "/read/x", "y"))
	is.Equal(len(one), 1)
	is.Equal(len(two), 1)
	is.True(one[0].Upstream.ID != two[0].Upstream.ID)
}

// Guards against a suspect that was tried on one upstream and is then refused as
// not run, since the other shards have no room.
func TestTriedSuspectIsNotRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	named := limits{}
	for _, shard := range []string{"shard-1", "shard-2", "shard-3"} {
		named[ident.Upstream(shard+"-a")], named[ident.Upstream(shard+"-b")] = 1, 1
	}
	h.play("/search/x", 20*time.Millisecond, 5*time.Millisecond, 6*time.Second, named)
	other := newHarness(t, 1)
	other.crash(calls(other.ask(1, "/read/x", "beside"))[0])
	other.step(relay.Disconnected{Query: 1})
	tell(other.seen, h)
	trial := calls(h.ask(1, "/search/x", "beside"))
	is.Equal(len(trial), 1)
	r, ok := find[relay.Refuse](h.end(trial[0], relay.Good))
	is.True(ok)
	is.Equal(r.Status, relay.Failed)
}
