package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func healthReport(u ident.Upstream, vs ...ident.IndexVersion) engine.UpstreamReported {
	return engine.UpstreamReported{
		Upstream: u,
		Health:   engine.HealthReady,
		Held: []engine.Held{{
			Shard:    ident.Shard(u[:1]),
			Versions: vs,
		}},
	}
}

func failure(s engine.Send, kind engine.FailKind) engine.AttemptFailed {
	return engine.AttemptFailed{
		Attempt: s.Attempt,
		Kind:    kind,
	}
}

func apply(t *testing.T, s *config.State, c config.Change) *config.State {
	t.Helper()
	next, err := s.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

const ms = ident.Instant(time.Millisecond)

// Guards against attempts without a version before each shard has a health
// report.
func TestQueuesUntilVersionsReported(t *testing.T) {
	is := is.New(t)
	e := engine.NewEngine(engine.Config{Host: "h"})
	e.Step(1, engine.ConfigApplied{State: deployment(t, 2)})
	is.Equal(len(filter[engine.Probe](e.Step(1, engine.SeatChanged{Seat: engine.SeatHeld}))), 4)
	is.Equal(len(filter[engine.Send](e.Step(ms, search(1)))), 0)
	e.Step(2*ms, healthReport("a1", 3, 4))
	sends := filter[engine.Send](e.Step(3*ms, healthReport("b2", 3)))
	is.Equal(len(sends), 2)
	is.Equal(sends[0].Version, ident.IndexVersion(3)) // shard b does not have version 4
	is.Equal(len(filter[engine.Send](e.Step(4*ms, healthReport("a2", 4)))), 0)
}

// Guards against a query that waits forever for health reports.
func TestQueuedQueryEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	e := engine.NewEngine(engine.Config{Host: "h"})
	e.Step(1, engine.ConfigApplied{State: deployment(t, 2)})
	e.Step(1, engine.SeatChanged{Seat: engine.SeatHeld})
	e.Step(ms, search(1))
	replies := filter[engine.Reply](e.Step(1001*ms, engine.Ticked{}))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Outcome, engine.NotRun)
}

// Guards against an answer from an old version after its last replica dropped
// it, when all shards have a newer one.
func TestPlansAgainAtNewerVersion(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 2))
	sends := filter[engine.Send](e.Step(10*ms, search(1)))
	e.Step(11*ms, answer(sends[0], engine.Document{ID: "old"}))
	for _, u := range []ident.Upstream{"a1", "a2", "b1", "b2"} {
		e.Step(12*ms, healthReport(u, 8))
	}
	replanned := filter[engine.Send](e.Step(13*ms, failure(sends[1], engine.VersionGone)))
	is.Equal(len(replanned), 2)
	is.Equal(replanned[0].Version, ident.IndexVersion(8))
	e.Step(14*ms, answer(replanned[0]))
	reply := filter[engine.Reply](e.Step(15*ms, answer(replanned[1], engine.Document{ID: "new"})))[0]
	is.Equal(reply.Outcome, engine.Done)
	is.Equal(reply.Version, ident.IndexVersion(8))
	is.Equal(reply.Documents, []engine.Document{{ID: "new"}})
}

// Guards against a missing shard after it moved to another upstream during the
// query.
func TestFollowsMovedShard(t *testing.T) {
	is := is.New(t)
	s := deployment(t, 2)
	e := newReadyEngine(t, s)
	sends := filter[engine.Send](e.Step(10*ms, search(1)))
	s = apply(t, s, config.SwitchPreset{Name: preset.Peak})
	s = apply(t, s, config.PlaceShards{ID: "a1", Shards: []ident.Shard{"a", "b"}})
	s = apply(t, s, config.PlaceShards{ID: "b1", Shards: []ident.Shard{"x"}})
	s = apply(t, s, config.RetireUpstream{ID: "b2"})
	e.Step(11*ms, engine.ConfigApplied{State: s})
	moved := healthReport("a1", 7)
	moved.Held = append(moved.Held, engine.Held{Shard: "b", Versions: []ident.IndexVersion{7}})
	e.Step(12*ms, moved)
	retry := filter[engine.Send](e.Step(13*ms, failure(sends[1], engine.WrongShard)))
	is.Equal(len(retry), 1)
	is.Equal(retry[0].Upstream, ident.Upstream("a1"))
	e.Step(14*ms, answer(sends[0]))
	reply := filter[engine.Reply](e.Step(15*ms, answer(retry[0])))[0]
	is.Equal(reply.Outcome, engine.Done)
	is.Equal(reply.Preset, preset.Ordinary) // the preset that the query started with
}

// Guards against attempts to other failure domains after the lease of the seat
// expired, and against a missing shard without that reason.
func TestExpiredSeatKeepsToOwnDomain(t *testing.T) {
	is := is.New(t)
	s := deployment(t, 1)
	s = apply(t, s, config.AddUpstream{Upstream: config.Upstream{
		ID:        "z1",
		Address:   "127.0.0.1:9",
		Domain:    "far",
		Index:     "review-panel",
		Service:   "z",
		Shards:    []ident.Shard{"z"},
		Slots:     2,
		ConnLimit: 50,
	}})
	e := newReadyEngine(t, s)
	warm := filter[engine.Warm](e.Step(ms, engine.SeatChanged{Seat: engine.SeatExpired}))
	is.Equal(warm, []engine.Warm{{Upstream: "z1", Address: "127.0.0.1:9"}})
	sends := filter[engine.Send](e.Step(10*ms, search(1)))
	is.Equal(len(sends), 1)
	reply := filter[engine.Reply](e.Step(11*ms, answer(sends[0])))[0]
	is.Equal(reply.Outcome, engine.Partial)
	is.Equal(reply.Coverage.Missing, []engine.Missing{{Shard: "z", Reason: engine.MissingCutOff}})
}

// Guards against a missing hedge, one to the same upstream, and a slower attempt
// that is not cancelled.
func TestHedgesAndCancelsLoser(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 1))
	now := 10 * ms
	for id := range ident.QueryID(100) { // earns hedge tokens at a latency of 4 ms
		now += 10 * ms
		sends := filter[engine.Send](e.Step(now, search(id+1)))
		e.Step(now+4*ms, answer(sends[0]))
	}
	now += 10 * ms
	effects := e.Step(now, search(1000))
	first := filter[engine.Send](effects)[0]
	hedges := filter[engine.Send](e.Step(now+10*ms, engine.Ticked{}))
	is.Equal(len(hedges), 1)
	is.Equal(hedges[0].Reason, engine.Hedge)
	is.True(hedges[0].Upstream != first.Upstream)
	effects = e.Step(now+12*ms, answer(hedges[0]))
	is.Equal(filter[engine.Cancel](effects), []engine.Cancel{{Attempt: first.Attempt}})
	is.Equal(filter[engine.Reply](effects)[0].Outcome, engine.Done)
	is.Equal(len(filter[engine.Reply](e.Step(now+13*ms, answer(first)))), 0) // the late answer is ignored
	is.Equal(e.Retained(), engine.Retained{})
}

// Guards against probes of upstreams whose answers already report versions, and
// against missing probes of an upstream that sheds every request.
func TestProbesUpstreamsWithoutReportsOnly(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 1))
	probes := map[ident.Upstream]int{}
	step := func(now ident.Instant, ev engine.Event) []engine.Send {
		effects := e.Step(now, ev)
		for _, p := range filter[engine.Probe](effects) {
			probes[p.Upstream]++
			e.Step(now, healthReport(p.Upstream, 7))
		}
		return filter[engine.Send](effects)
	}
	for now := 10 * ms; now < 10_000*ms; now += 10 * ms {
		for sends := step(now, search(ident.QueryID(now))); len(sends) > 0; sends = sends[1:] {
			if sends[0].Upstream == "a2" {
				sends = append(sends, step(now+4*ms, failure(sends[0], engine.Shed))...)
				continue
			}
			ans := answer(sends[0])
			ans.Answer.Held = []engine.Held{{Shard: "a", Versions: []ident.IndexVersion{7}}}
			step(now+4*ms, ans)
		}
	}
	is.True(probes["a1"] <= 1)
	is.True(probes["a2"] >= 9 && probes["a2"] <= 12)
}

// Guards against an answer below the minimum coverage that counts as complete,
// or whose remedy does not state both percentages.
func TestRemedyNamesShortfall(t *testing.T) {
	is := is.New(t)
	s := deployment(t, 2)
	p := s.Preset()
	p.Critical.MinCoveragePercent = 90
	e := newReadyEngine(t, apply(t, s, config.PutPreset{Preset: p}))
	sends := filter[engine.Send](e.Step(10*ms, search(1)))
	e.Step(11*ms, answer(sends[0]))
	reply := filter[engine.Reply](e.Step(1010*ms, engine.Ticked{}))[0]
	is.Equal(reply.Outcome, engine.Partial)
	is.True(strings.Contains(reply.Remedy, "50.0%") && strings.Contains(reply.Remedy, "90.0%"))
}

// Guards against a query of a class without hedges that waits for its deadline
// although its upstream answers neither the attempt nor a probe.
func TestAbandonsUnresponsiveUpstream(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 1))
	query := search(1)
	query.Class = preset.Tolerant
	first := filter[engine.Send](e.Step(10*ms, query))[0]
	effects := e.Step(1500*ms, engine.ProbeFailed{Upstream: first.Upstream})
	is.Equal(filter[engine.Cancel](effects), []engine.Cancel{{Attempt: first.Attempt}})
	retry := filter[engine.Send](effects)
	is.Equal(len(retry), 1)
	is.True(retry[0].Upstream != first.Upstream)
	e.Step(1501*ms, failure(first, engine.Broken))
	is.Equal(filter[engine.Reply](e.Step(1504*ms, answer(retry[0])))[0].Outcome, engine.Done)
	is.Equal(e.Retained(), engine.Retained{})
}

// Guards against rejecting all queries with short deadlines while no latency is
// known yet.
func TestRunsShortDeadlineBeforeLatencyIsKnown(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 1))
	query := search(1)
	query.Budget = 10 * time.Millisecond
	is.Equal(len(filter[engine.Send](e.Step(10*ms, query))), 1)
}
