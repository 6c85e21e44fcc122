package golden

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/internal/simul"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// settleTime is how long a scenario runs after its last step, so that all
// queries get their replies.
const settleTime = 1500 * time.Millisecond

// engineTrace returns a trace of the query engine of the first host. Writing it
// fails if simul.Driver finds a violated guarantee.
func engineTrace(name, guards string, s simul.Setup, run func(*simul.Driver), expected ...replay.Outcome) Trace {
	return Trace{
		Name:   "engine-" + name,
		Guards: guards,
		write: func(path string) error {
			var rec *recording[engine.Event, engine.Effect]
			var recErr error
			s.Record = func(host int, c engine.Config, step simul.Step) simul.Step {
				if host != 0 {
					return step
				}
				rec, recErr = newRecording(path, replay.ReducerEngine, c, replay.Step[engine.Event, engine.Effect](step))
				return rec.Step
			}
			if s.Shards == 0 {
				s.Shards, s.Replicas = 2, 2
			}
			d := simul.New(s)
			if recErr != nil {
				return recErr
			}
			run(d)
			d.Advance(settleTime)
			if d.Stats.ViolationCount > 0 {
				return errors.Errorf("scenario %s violates %d guarantees: %q", name, d.Stats.ViolationCount, d.Stats.Violations)
			}
			return rec.finish(replay.EngineViolations, expected...)
		},
	}
}

// submitQueries sends n queries of alternating classes, one every gap.
func submitQueries(d *simul.Driver, n int, gap time.Duration) {
	classes := []preset.Class{preset.Critical, preset.Standard, preset.Tolerant}
	for i := range n {
		d.Submit(classes[i%len(classes)], 0)
		d.Advance(gap)
	}
}

const ms = time.Millisecond

// moveFirstShard moves the first shard between two leaves, given by number.
func moveFirstShard(d *simul.Driver, from, to int) {
	d.MoveShard(simul.ShardName(0), d.Leaves[from], d.Leaves[to], 60*ms)
}

// replaceVersion replaces index version v by v+1 on all leaves at once.
func replaceVersion(d *simul.Driver, v ident.IndexVersion) {
	for _, l := range d.Leaves {
		l.LoadVersion(v + 1)
		l.UnloadVersion(v)
	}
}

func engineTraces() []Trace {
	return slices.Concat(lossTraces(), loadTraces(), controlTraces())
}

// lossTraces are scenarios of slow and failed upstreams, wrong answers, and
// changes of index versions and shards.
func lossTraces() []Trace {
	return []Trace{
		engineTrace("stragglers", "a slow leaf call that is not hedged, or a hedge that loses the other answer",
			simul.Setup{Seed: 1, SlowPercent: 8, SlowFactor: 20},
			func(d *simul.Driver) { submitQueries(d, 30, 12*ms) },
			exactly("Done", 30), atLeast("Hedges", 1), atLeast("Cancels", 1)),
		engineTrace("lost-replicas", "an answer that misses a shard although another replica holds it",
			simul.Setup{Seed: 2},
			func(d *simul.Driver) {
				submitQueries(d, 4, 12*ms)
				d.Leaves[0].Mode, d.Leaves[3].Mode = simul.Refusing, simul.Misleading
				submitQueries(d, 16, 12*ms)
			},
			exactly("Done", 20), atLeast("Failures", 1)),
		engineTrace("lost-service", "a partial answer that does not name exactly the lost shard",
			simul.Setup{Seed: 3},
			func(d *simul.Driver) {
				submitQueries(d, 4, 12*ms)
				d.Leaves[0].Mode, d.Leaves[1].Mode = simul.Refusing, simul.Refusing
				submitQueries(d, 12, 12*ms)
			},
			exactly("Done", 4), exactly("Partial", 12), exactly("MissingLost", 12)),
		engineTrace("roll-over", "an answer that mixes two index versions",
			simul.Setup{Seed: 4},
			func(d *simul.Driver) {
				d.RollVersion(1, 250*ms, 0.2)
				submitQueries(d, 24, 12*ms)
			},
			exactly("Done", 24)),
		engineTrace("shard-move", "an answer that counts a moved shard twice or not at all",
			simul.Setup{Seed: 5, Shards: 3, Replicas: 2},
			func(d *simul.Driver) {
				d.OverlapShards()
				moveFirstShard(d, 0, 2)
				submitQueries(d, 10, 12*ms)
				moveFirstShard(d, 1, 3)
				submitQueries(d, 10, 12*ms)
			},
			atLeast("Done", 18), exactly("NotRun", 0), atLeast("Version", 14)),
		engineTrace("wrong-answers", "an answer of another request, attempt, shard or version that reaches a caller",
			simul.Setup{Seed: 6, CorruptFraction: 0.2},
			func(d *simul.Driver) { submitQueries(d, 24, 12*ms) },
			exactly("NotRun", 0), atLeast("BadAnswers", 5)),
	}
}

// loadTraces are scenarios of overload, of draining and retired upstreams, and
// of an index version that is removed while in use.
func loadTraces() []Trace {
	return []Trace{
		engineTrace("shed-load", "a request refused as not run although a part of it was sent",
			simul.Setup{Seed: 7},
			func(d *simul.Driver) {
				for range 30 {
					d.Submit(preset.Tolerant, 20*ms)
				}
				d.Submit(preset.Critical, 0)
				d.Advance(200 * ms)
			},
			atLeast("NotRun", 5), atLeast("Done", 1)),
		engineTrace("upstream-sheds", "a refused leaf call that is not sent to another replica, or retries without end",
			simul.Setup{Seed: 8, Hosts: 12},
			func(d *simul.Driver) {
				for range 240 {
					d.Submit(preset.Standard, 0)
				}
				d.Advance(500 * ms)
			},
			atLeast("Done", 1), atLeast("Failures", 1)),
		engineTrace("drain-slow", "work sent to a draining upstream because its replica is slow",
			simul.Setup{Seed: 9},
			func(d *simul.Driver) {
				submitQueries(d, 4, 12*ms)
				d.Leaves[0].Mode, d.Leaves[1].Slow = simul.Draining, 8
				submitQueries(d, 12, 30*ms)
				d.Advance(2 * time.Second)
				submitQueries(d, 4, 50*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 18)),
		engineTrace("retire-slow", "work sent to a retired upstream because its replica is slow",
			simul.Setup{Seed: 10},
			func(d *simul.Driver) {
				submitQueries(d, 4, 12*ms)
				d.Leaves[1].Slow = 8
				d.Retire(d.Leaves[0])
				submitQueries(d, 12, 40*ms)
			},
			exactly("Done", 16)),
		engineTrace("version-gone", "a mixed or false answer after a version vanished while queries used it",
			simul.Setup{Seed: 11},
			func(d *simul.Driver) {
				submitQueries(d, 4, 12*ms)
				d.Submit(preset.Critical, 0)
				replaceVersion(d, 1)
				submitQueries(d, 12, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Failures", 1), atLeast("Done", 12)),
	}
}

// controlTraces are scenarios of seat changes, stale configurations and
// shutdowns.
func controlTraces() []Trace {
	return []Trace{
		engineTrace("cut-off", "a host with an expired seat that uses other domains, or stops serving its own",
			simul.Setup{Seed: 12},
			func(d *simul.Driver) {
				submitQueries(d, 4, 12*ms)
				d.SetSeat(0, engine.SeatExpired)
				submitQueries(d, 8, 12*ms)
				d.Retire(d.Leaves[0])
				submitQueries(d, 4, 12*ms)
				d.SetSeat(0, engine.SeatHeld)
				submitQueries(d, 4, 12*ms)
			},
			exactly("NotRun", 0), exactly("Partial", 4), exactly("MissingCutOff", 4), exactly("Done", 16)),
		engineTrace("cold-start", "queries sent without a seat, or cold upstreams that get no work",
			simul.Setup{Seed: 13},
			func(d *simul.Driver) {
				d.SetSeat(0, engine.SeatNone)
				submitQueries(d, 4, ms)
				for _, l := range d.Leaves {
					l.Mode, l.Slow = simul.Cold, 3
				}
				d.SetSeat(0, engine.SeatHeld)
				submitQueries(d, 12, 30*ms)
			},
			exactly("NotRun", 4), exactly("Done", 12)),
		engineTrace("shutdown", "a graceful shutdown that interrupts a request in flight or runs a new one",
			simul.Setup{Seed: 14},
			func(d *simul.Driver) {
				for range 8 {
					d.Submit(preset.Standard, 0)
				}
				d.Drain(0)
				submitQueries(d, 6, ms)
				d.Advance(200 * ms)
			},
			exactly("Done", 8), exactly("NotRun", 6)),
		engineTrace("late-config", "a configuration that reverts because a lower version arrives late",
			simul.Setup{Seed: 15},
			func(d *simul.Driver) {
				old := d.State
				submitQueries(d, 4, 12*ms)
				d.Retire(d.Leaves[0])
				d.Change(config.SwitchPreset{Name: preset.Peak})
				d.Reapply(0, old)
				submitQueries(d, 12, 12*ms)
				d.Reapply(0, old)
				submitQueries(d, 4, 12*ms)
			},
			exactly("StaleConfigs", 2), exactly("Done", 20), exactly("Version", 7)),
	}
}
