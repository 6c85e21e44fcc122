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

// settle is the time after which the queries of a scenario have ended.
const settle = 1500 * time.Millisecond

// query returns a trace of the query engine of one host. A scenario that
// violates a guarantee that the driver checks is an error.
func query(name, guards string, s simul.Setup, run func(*simul.Driver), outcomes ...replay.Outcome) Trace {
	return Trace{
		Name:   "engine-" + name,
		Guards: guards,
		write: func(path string) error {
			var out *tape[engine.Event, engine.Effect]
			var failed error
			s.Record = func(host int, c engine.Config, step simul.Step) simul.Step {
				if host != 0 {
					return step
				}
				out, failed = newTape(path, replay.ReducerEngine, c, replay.Step[engine.Event, engine.Effect](step))
				return out.Step
			}
			if s.Shards == 0 {
				s.Shards, s.Replicas = 2, 2
			}
			d := simul.New(s)
			if failed != nil {
				return failed
			}
			run(d)
			d.Run(settle)
			if d.Stats.FaultCount > 0 {
				return errors.Errorf("scenario %s has %d faults: %q", name, d.Stats.FaultCount, d.Stats.Faults)
			}
			return out.end(replay.EngineBroken, outcomes...)
		},
	}
}

// ask asks n queries of alternating classes, gap apart.
func ask(d *simul.Driver, n int, gap time.Duration) {
	classes := []preset.Class{preset.Critical, preset.Standard, preset.Tolerant}
	for i := range n {
		d.Ask(classes[i%len(classes)], 0)
		d.Run(gap)
	}
}

const ms = time.Millisecond

// move moves the first shard from its service to the next one.
func move(d *simul.Driver, from, to int) {
	d.Move(simul.ShardName(0), d.Leaves[from], d.Leaves[to], 60*ms)
}

// vanish replaces version v by the next one on all leaves at once.
func vanish(d *simul.Driver, v ident.IndexVersion) {
	for _, l := range d.Leaves {
		l.Load1(v + 1)
		l.Unload(v)
	}
}

func queries() []Trace {
	return slices.Concat(lossQueries(), loadQueries(), controlQueries())
}

// lossQueries are scenarios of slow and lost upstreams, versions and shards.
func lossQueries() []Trace {
	return []Trace{
		query("stragglers", "a slow leaf call that is not hedged, or a hedge that loses the other answer",
			simul.Setup{Seed: 1, SlowPercent: 8, SlowFactor: 20},
			func(d *simul.Driver) { ask(d, 30, 12*ms) },
			exactly("Done", 30), atLeast("Hedges", 1), atLeast("Cancels", 1)),
		query("lost-replicas", "an answer that misses a shard although another replica holds it",
			simul.Setup{Seed: 2},
			func(d *simul.Driver) {
				ask(d, 4, 12*ms)
				d.Leaves[0].Mode, d.Leaves[3].Mode = simul.Refusing, simul.Misleading
				ask(d, 16, 12*ms)
			},
			exactly("Done", 20), atLeast("Failures", 1)),
		query("lost-service", "a partial answer that does not name exactly the lost shard",
			simul.Setup{Seed: 3},
			func(d *simul.Driver) {
				ask(d, 4, 12*ms)
				d.Leaves[0].Mode, d.Leaves[1].Mode = simul.Refusing, simul.Refusing
				ask(d, 12, 12*ms)
			},
			exactly("Done", 4), exactly("Partial", 12), exactly("MissingLost", 12)),
		query("roll-over", "an answer that mixes two index versions",
			simul.Setup{Seed: 4},
			func(d *simul.Driver) {
				d.Roll(1, 250*ms, 0.2)
				ask(d, 24, 12*ms)
			},
			exactly("Done", 24)),
		query("shard-move", "an answer that counts a moved shard twice or not at all",
			simul.Setup{Seed: 5, Shards: 3, Replicas: 2},
			func(d *simul.Driver) {
				d.Spread()
				move(d, 0, 2)
				ask(d, 10, 12*ms)
				move(d, 1, 3)
				ask(d, 10, 12*ms)
			},
			atLeast("Done", 18), exactly("NotRun", 0), atLeast("Version", 14)),
		query("wrong-answers", "an answer of another request, attempt, shard or version that reaches a caller",
			simul.Setup{Seed: 6, Wrong: 0.2},
			func(d *simul.Driver) { ask(d, 24, 12*ms) },
			exactly("NotRun", 0), atLeast("BadAnswers", 5)),
	}
}

// loadQueries are scenarios of refused, draining and vanished work.
func loadQueries() []Trace {
	return []Trace{
		query("shed-load", "a request refused as not run although a part of it was sent",
			simul.Setup{Seed: 7},
			func(d *simul.Driver) {
				for range 30 {
					d.Ask(preset.Tolerant, 20*ms)
				}
				d.Ask(preset.Critical, 0)
				d.Run(200 * ms)
			},
			atLeast("NotRun", 5), atLeast("Done", 1)),
		query("upstream-sheds", "a refused leaf call that is not sent to another replica, or retries without end",
			simul.Setup{Seed: 8, Hosts: 12},
			func(d *simul.Driver) {
				for range 240 {
					d.Ask(preset.Standard, 0)
				}
				d.Run(500 * ms)
			},
			atLeast("Done", 1), atLeast("Failures", 1)),
		query("drain-slow", "work sent to a draining upstream because its replica is slow",
			simul.Setup{Seed: 9},
			func(d *simul.Driver) {
				ask(d, 4, 12*ms)
				d.Leaves[0].Mode, d.Leaves[1].Slow = simul.Draining, 8
				ask(d, 12, 30*ms)
				d.Run(2 * time.Second)
				ask(d, 4, 50*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 18)),
		query("retire-slow", "work sent to a retired upstream because its replica is slow",
			simul.Setup{Seed: 10},
			func(d *simul.Driver) {
				ask(d, 4, 12*ms)
				d.Leaves[1].Slow = 8
				d.Retire(d.Leaves[0])
				ask(d, 12, 40*ms)
			},
			exactly("Done", 16)),
		query("version-gone", "a mixed or false answer after a version vanished while queries used it",
			simul.Setup{Seed: 11},
			func(d *simul.Driver) {
				ask(d, 4, 12*ms)
				d.Ask(preset.Critical, 0)
				vanish(d, 1)
				ask(d, 12, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Failures", 1), atLeast("Done", 12)),
	}
}

// controlQueries are scenarios of seats, configurations and shutdowns.
func controlQueries() []Trace {
	return []Trace{
		query("cut-off", "a host with an expired seat that uses other domains, or stops serving its own",
			simul.Setup{Seed: 12},
			func(d *simul.Driver) {
				ask(d, 4, 12*ms)
				d.Seat(0, engine.SeatExpired)
				ask(d, 8, 12*ms)
				d.Retire(d.Leaves[0])
				ask(d, 4, 12*ms)
				d.Seat(0, engine.SeatHeld)
				ask(d, 4, 12*ms)
			},
			exactly("NotRun", 0), exactly("Partial", 4), exactly("MissingCutOff", 4), exactly("Done", 16)),
		query("cold-start", "queries sent without a seat, or cold upstreams that get no work",
			simul.Setup{Seed: 13},
			func(d *simul.Driver) {
				d.Seat(0, engine.SeatNone)
				ask(d, 4, ms)
				for _, l := range d.Leaves {
					l.Mode, l.Slow = simul.Cold, 3
				}
				d.Seat(0, engine.SeatHeld)
				ask(d, 12, 30*ms)
			},
			exactly("NotRun", 4), exactly("Done", 12)),
		query("shutdown", "a graceful shutdown that interrupts a request in flight or runs a new one",
			simul.Setup{Seed: 14},
			func(d *simul.Driver) {
				for range 8 {
					d.Ask(preset.Standard, 0)
				}
				d.Drain(0)
				ask(d, 6, ms)
				d.Run(200 * ms)
			},
			exactly("Done", 8), exactly("NotRun", 6)),
		query("late-config", "a configuration that reverts because a lower version arrives late",
			simul.Setup{Seed: 15},
			func(d *simul.Driver) {
				old := d.State
				ask(d, 4, 12*ms)
				d.Retire(d.Leaves[0])
				d.Change(config.SwitchPreset{Name: preset.Peak})
				d.Reapply(0, old)
				ask(d, 12, 12*ms)
				d.Reapply(0, old)
				ask(d, 4, 12*ms)
			},
			exactly("StaleConfigs", 2), exactly("Done", 20), exactly("Version", 7)),
	}
}
