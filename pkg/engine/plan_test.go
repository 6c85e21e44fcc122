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

func report(u ident.Upstream, vs ...ident.IndexVersion) engine.UpstreamReported {
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

// Guards against a call without a version before the first health reports.
func TestHoldsUntilReported(t *testing.T) {
	is := is.New(t)
	e := engine.NewEngine(engine.Config{Host: "h"})
	e.Step(1, engine.ConfigApplied{State: deployment(t, 2)})
	is.Equal(len(pick[engine.Probe](e.Step(1, engine.SeatChanged{Seat: engine.SeatHeld}))), 4)
	is.Equal(len(pick[engine.Send](e.Step(ms, search(1)))), 0)
	e.Step(2*ms, report("a1", 3, 4))
	sends := pick[engine.Send](e.Step(3*ms, report("b2", 3)))
	is.Equal(len(sends), 2)
	is.Equal(sends[0].Version, ident.IndexVersion(3)) // 4 is not held by shard b
	is.Equal(len(pick[engine.Send](e.Step(4*ms, report("a2", 4)))), 0)
}

// Guards against a query that waits for ever for reports.
func TestHoldEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	e := engine.NewEngine(engine.Config{Host: "h"})
	e.Step(1, engine.ConfigApplied{State: deployment(t, 2)})
	e.Step(1, engine.SeatChanged{Seat: engine.SeatHeld})
	e.Step(ms, search(1))
	replies := pick[engine.Reply](e.Step(1001*ms, engine.Ticked{}))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Outcome, engine.NotRun)
}

// Guards against an answer from an old version when the last replica dropped
// it and a newer one is complete.
func TestPlansAgainAtNewerVersion(t *testing.T) {
	is := is.New(t)
	e := started(t, deployment(t, 2))
	sends := pick[engine.Send](e.Step(10*ms, search(1)))
	e.Step(11*ms, answer(sends[0], engine.Document{ID: "old"}))
	for _, u := range []ident.Upstream{"a1", "a2", "b1", "b2"} {
		e.Step(12*ms, report(u, 8))
	}
	again := pick[engine.Send](e.Step(13*ms, failure(sends[1], engine.VersionGone)))
	is.Equal(len(again), 2)
	is.Equal(again[0].Version, ident.IndexVersion(8))
	e.Step(14*ms, answer(again[0]))
	rep := pick[engine.Reply](e.Step(15*ms, answer(again[1], engine.Document{ID: "new"})))[0]
	is.Equal(rep.Outcome, engine.Done)
	is.Equal(rep.Version, ident.IndexVersion(8))
	is.Equal(rep.Documents, []engine.Document{{ID: "new"}})
}

// Guards against giving up when a shard moved while the query ran.
func TestFollowsMovedShard(t *testing.T) {
	is := is.New(t)
	s := deployment(t, 2)
	e := started(t, s)
	sends := pick[engine.Send](e.Step(10*ms, search(1)))
	s = apply(t, s, config.SwitchPreset{Name: preset.Peak})
	s = apply(t, s, config.PlaceShards{ID: "a1", Shards: []ident.Shard{"a", "b"}})
	s = apply(t, s, config.PlaceShards{ID: "b1", Shards: []ident.Shard{"x"}})
	s = apply(t, s, config.RetireUpstream{ID: "b2"})
	e.Step(11*ms, engine.ConfigApplied{State: s})
	moved := report("a1", 7)
	moved.Held = append(moved.Held, engine.Held{Shard: "b", Versions: []ident.IndexVersion{7}})
	e.Step(12*ms, moved)
	retry := pick[engine.Send](e.Step(13*ms, failure(sends[1], engine.WrongShard)))
	is.Equal(len(retry), 1)
	is.Equal(retry[0].Upstream, ident.Upstream("a1"))
	e.Step(14*ms, answer(sends[0]))
	rep := pick[engine.Reply](e.Step(15*ms, answer(retry[0])))[0]
	is.Equal(rep.Outcome, engine.Done)
	is.Equal(rep.Preset, preset.Ordinary) // the one it began with
}

// Guards against calls to other domains after the lease expired, and against
// a missing shard without its reason.
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
	e := started(t, s)
	warm := pick[engine.Warm](e.Step(ms, engine.SeatChanged{Seat: engine.SeatExpired}))
	is.Equal(warm, []engine.Warm{{Upstream: "z1", Address: "127.0.0.1:9"}})
	sends := pick[engine.Send](e.Step(10*ms, search(1)))
	is.Equal(len(sends), 1)
	rep := pick[engine.Reply](e.Step(11*ms, answer(sends[0])))[0]
	is.Equal(rep.Outcome, engine.Partial)
	is.Equal(rep.Coverage.Missing, []engine.Missing{{Shard: "z", Reason: engine.MissingCutOff}})
}

// Guards against a hedge that is missing, sent to the same upstream, or leaves
// the slower attempt running.
func TestHedgesAndCancelsLoser(t *testing.T) {
	is := is.New(t)
	e := started(t, deployment(t, 1))
	now := 10 * ms
	for id := range ident.QueryID(100) { // earns tokens and teaches 4 ms
		now += 10 * ms
		sends := pick[engine.Send](e.Step(now, search(id+1)))
		e.Step(now+4*ms, answer(sends[0]))
	}
	now += 10 * ms
	effects := e.Step(now, search(1000))
	first := pick[engine.Send](effects)[0]
	hedges := pick[engine.Send](e.Step(now+10*ms, engine.Ticked{}))
	is.Equal(len(hedges), 1)
	is.Equal(hedges[0].Reason, engine.Hedge)
	is.True(hedges[0].Upstream != first.Upstream)
	effects = e.Step(now+12*ms, answer(hedges[0]))
	is.Equal(pick[engine.Cancel](effects), []engine.Cancel{{Attempt: first.Attempt}})
	is.Equal(pick[engine.Reply](effects)[0].Outcome, engine.Done)
	is.Equal(len(pick[engine.Reply](e.Step(now+13*ms, answer(first)))), 0) // the late answer is dropped
	is.Equal(e.Retained(), engine.Retained{})
}

// Guards against probes that add load to upstreams that answer anyway, and
// against upstreams that are never probed.
func TestProbesSilentUpstreamsOnly(t *testing.T) {
	is := is.New(t)
	e := started(t, deployment(t, 1))
	probes := map[ident.Upstream]int{}
	step := func(now ident.Instant, ev engine.Event) []engine.Send {
		effects := e.Step(now, ev)
		for _, p := range pick[engine.Probe](effects) {
			probes[p.Upstream]++
			e.Step(now, report(p.Upstream, 7))
		}
		return pick[engine.Send](effects)
	}
	for now := 10 * ms; now < 10_000*ms; now += 10 * ms {
		for sends := step(now, search(ident.QueryID(now))); len(sends) > 0; sends = sends[1:] {
			if sends[0].Upstream == "a2" {
				sends = append(sends, step(now+4*ms, failure(sends[0], engine.Shed))...)
				continue
			}
			a := answer(sends[0])
			a.Answer.Held = []engine.Held{{Shard: "a", Versions: []ident.IndexVersion{7}}}
			step(now+4*ms, a)
		}
	}
	is.True(probes["a1"] <= 1)
	is.True(probes["a2"] >= 9 && probes["a2"] <= 12)
}

// Guards against an answer below the least coverage that passes for whole, or
// that does not say what is short.
func TestRemedyNamesShortfall(t *testing.T) {
	is := is.New(t)
	s := deployment(t, 2)
	p := s.Preset()
	p.Critical.MinCoveragePercent = 90
	e := started(t, apply(t, s, config.PutPreset{Preset: p}))
	sends := pick[engine.Send](e.Step(10*ms, search(1)))
	e.Step(11*ms, answer(sends[0]))
	rep := pick[engine.Reply](e.Step(1010*ms, engine.Ticked{}))[0]
	is.Equal(rep.Outcome, engine.Partial)
	is.True(strings.Contains(rep.Remedy, "50.0%") && strings.Contains(rep.Remedy, "90.0%"))
}

// Guards against a query of a class without hedges that waits for its deadline
// although its upstream answers neither the call nor a probe.
func TestAbandonsSilentUpstream(t *testing.T) {
	is := is.New(t)
	e := started(t, deployment(t, 1))
	ask := search(1)
	ask.Class = preset.Tolerant
	first := pick[engine.Send](e.Step(10*ms, ask))[0]
	effects := e.Step(1500*ms, engine.ProbeFailed{Upstream: first.Upstream})
	is.Equal(pick[engine.Cancel](effects), []engine.Cancel{{Attempt: first.Attempt}})
	retry := pick[engine.Send](effects)
	is.Equal(len(retry), 1)
	is.True(retry[0].Upstream != first.Upstream)
	e.Step(1501*ms, failure(first, engine.Broken))
	is.Equal(pick[engine.Reply](e.Step(1504*ms, answer(retry[0])))[0].Outcome, engine.Done)
	is.Equal(e.Retained(), engine.Retained{})
}

// Guards against refusing every query of callers with short deadlines while
// no latency is known yet.
func TestRunsShortDeadlineBeforeLatencyIsKnown(t *testing.T) {
	is := is.New(t)
	e := started(t, deployment(t, 1))
	ask := search(1)
	ask.Budget = 10 * time.Millisecond
	is.Equal(len(pick[engine.Send](e.Step(10*ms, ask))), 1)
}
