package golden

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/internal/simul"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// pairs are failures at the same time, or one failure twice.
func pairs() []Trace { return slices.Concat(lossPairs(), controlPairs(), callerPairs()) }

// lossPairs combine slow, lost and vanished parts.
func lossPairs() []Trace {
	return []Trace{
		query("stragglers-wrong-answers", "a hedge whose crossed or doubled answer replaces the right one",
			simul.Setup{Seed: 21, SlowPercent: 3, SlowFactor: 20, Wrong: 0.1},
			func(d *simul.Driver) { ask(d, 36, 12*ms) },
			exactly("NotRun", 0), atLeast("Hedges", 1), atLeast("BadAnswers", 1)),
		query("lost-replica-roll-over", "a version that only a lost replica held, or answers that mix versions on retries",
			simul.Setup{Seed: 22},
			func(d *simul.Driver) {
				d.Roll(1, 250*ms, 0.2)
				ask(d, 6, 12*ms)
				d.Leaves[2].Mode = simul.Misleading
				ask(d, 16, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 20), atLeast("Failures", 1)),
		query("lost-replica-shard-move", "a moved shard whose new holder is lost",
			simul.Setup{Seed: 23, Shards: 3, Replicas: 2},
			func(d *simul.Driver) {
				d.Spread()
				move(d, 0, 2)
				ask(d, 6, 12*ms)
				d.Leaves[2].Mode = simul.Refusing
				ask(d, 12, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 16)),
		query("lost-replica-twice", "a replica that is still ejected when the other one is lost",
			simul.Setup{Seed: 24},
			func(d *simul.Driver) {
				d.Leaves[0].Mode = simul.Refusing
				ask(d, 8, 12*ms)
				d.Leaves[0].Mode, d.Leaves[1].Mode = simul.Up, simul.Refusing
				ask(d, 8, 12*ms)
				d.Run(2 * time.Second)
				ask(d, 8, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 16)),
		query("version-gone-twice", "a query that is planned again without end, or answered from two plans",
			simul.Setup{Seed: 25},
			func(d *simul.Driver) {
				d.Ask(preset.Critical, 0)
				vanish(d, 1)
				d.Run(2 * ms)
				d.Ask(preset.Standard, 0)
				vanish(d, 2)
				ask(d, 16, 6*ms)
			},
			exactly("NotRun", 0), atLeast("Failures", 2), atLeast("Done", 14)),
	}
}

// controlPairs combine them with seats, configurations and shutdowns.
func controlPairs() []Trace {
	return []Trace{
		query("cut-off-stragglers", "a hedge to another domain while the seat has expired",
			simul.Setup{Seed: 26, SlowPercent: 10, SlowFactor: 20},
			func(d *simul.Driver) {
				ask(d, 10, 12*ms)
				d.Seat(0, engine.SeatExpired)
				ask(d, 16, 12*ms)
			},
			exactly("NotRun", 0)),
		query("cut-off-lost-replica", "a false coverage when the only replica in the own domain is lost while the seat has expired",
			simul.Setup{Seed: 33},
			func(d *simul.Driver) {
				d.Seat(0, engine.SeatExpired)
				ask(d, 4, 12*ms)
				d.Leaves[0].Mode = simul.Refusing
				ask(d, 6, 12*ms)
				d.Leaves[0].Mode = simul.Up
				d.Run(2 * time.Second)
				ask(d, 4, 12*ms)
			},
			exactly("NotRun", 0), exactly("Partial", 6), exactly("Done", 8)),
		query("shed-load-shutdown", "a queued query that is lost at a shutdown",
			simul.Setup{Seed: 27},
			func(d *simul.Driver) {
				for range 50 {
					d.Ask(preset.Tolerant, 20*ms)
				}
				d.Drain(0)
				ask(d, 4, ms)
				d.Run(300 * ms)
			},
			atLeast("NotRun", 8), atLeast("Done", 1)),
		query("lost-replica-shutdown", "a retry in flight that a shutdown interrupts",
			simul.Setup{Seed: 28},
			func(d *simul.Driver) {
				d.Leaves[0].Mode = simul.Misleading
				for range 6 {
					d.Ask(preset.Standard, 0)
				}
				d.Drain(0)
				ask(d, 3, ms)
				d.Run(400 * ms)
			},
			exactly("Done", 6), exactly("NotRun", 3), atLeast("Failures", 1)),
		query("drain-roll-over", "a draining upstream that is used because it alone holds the old version",
			simul.Setup{Seed: 29},
			func(d *simul.Driver) {
				d.Roll(1, 250*ms, 0.2)
				ask(d, 4, 12*ms)
				d.Leaves[0].Mode = simul.Draining
				ask(d, 16, 14*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 18)),
		query("late-config-shard-move", "a late configuration that brings a moved shard back",
			simul.Setup{Seed: 30, Shards: 3, Replicas: 2},
			func(d *simul.Driver) {
				d.Spread()
				old := d.State
				move(d, 0, 2)
				ask(d, 8, 12*ms)
				d.Reapply(0, old)
				ask(d, 8, 12*ms)
			},
			exactly("StaleConfigs", 1), exactly("NotRun", 0), atLeast("Done", 14)),
	}
}

// callerPairs change what callers and operators want while queries run.
func callerPairs() []Trace {
	return []Trace{
		query("caller-gone", "attempts of a caller that went away and are not cancelled, or still answered",
			simul.Setup{Seed: 31},
			func(d *simul.Driver) {
				for range 8 {
					id := d.Ask(preset.Standard, 0)
					d.Run(ms)
					d.HangUp(id)
					ask(d, 1, 12*ms)
				}
			},
			exactly("Done", 8), atLeast("Cancels", 8)),
		query("preset-switch", "a query that changes its preset while it runs",
			simul.Setup{Seed: 32},
			func(d *simul.Driver) {
				for i := range 6 {
					d.Ask(preset.Standard, 0)
					d.Ask(preset.Tolerant, 0)
					d.Change(config.SwitchPreset{Name: []preset.Name{preset.Peak, preset.Maintenance, preset.Ordinary}[i%3]})
					d.Run(12 * ms)
				}
			},
			exactly("Done", 12), exactly("Version", 11)),
	}
}
