package golden

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/internal/simul"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// pairTraces are scenarios with two failures at the same time, or with one
// failure twice.
func pairTraces() []Trace {
	return slices.Concat(lossPairTraces(), controlPairTraces(), callerPairTraces())
}

// lossPairTraces combine slow or failed replicas, corrupted answers and index
// versions or shards that are replaced.
func lossPairTraces() []Trace {
	return []Trace{
		engineTrace("stragglers-wrong-answers", "a hedge whose crossed or doubled answer replaces the right one",
			simul.Setup{Seed: 21, SlowPercent: 3, SlowFactor: 20, CorruptFraction: 0.1},
			func(d *simul.Driver) { submitQueries(d, 36, 12*ms) },
			exactly("NotRun", 0), atLeast("Hedges", 1), atLeast("BadAnswers", 1)),
		engineTrace("lost-replica-roll-over", "a version that only a lost replica held, or answers that mix versions on retries",
			simul.Setup{Seed: 22},
			func(d *simul.Driver) {
				d.RollVersion(1, 250*ms, 0.2)
				submitQueries(d, 6, 12*ms)
				d.Leaves[2].Mode = simul.Misleading
				submitQueries(d, 16, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 20), atLeast("Failures", 1)),
		engineTrace("lost-replica-shard-move", "a moved shard whose new holder is lost",
			simul.Setup{Seed: 23, Shards: 3, Replicas: 2},
			func(d *simul.Driver) {
				d.OverlapShards()
				moveFirstShard(d, 0, 2)
				submitQueries(d, 6, 12*ms)
				d.Leaves[2].Mode = simul.Refusing
				submitQueries(d, 12, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 16)),
		engineTrace("lost-replica-twice", "a replica that is still ejected when the other one is lost",
			simul.Setup{Seed: 24},
			func(d *simul.Driver) {
				d.Leaves[0].Mode = simul.Refusing
				submitQueries(d, 8, 12*ms)
				d.Leaves[0].Mode, d.Leaves[1].Mode = simul.Up, simul.Refusing
				submitQueries(d, 8, 12*ms)
				d.Advance(2 * time.Second)
				submitQueries(d, 8, 12*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 16)),
		engineTrace("version-gone-twice", "a query that is planned again without end, or answered from two plans",
			simul.Setup{Seed: 25},
			func(d *simul.Driver) {
				d.Submit(preset.Critical, 0)
				replaceVersion(d, 1)
				d.Advance(2 * ms)
				d.Submit(preset.Standard, 0)
				replaceVersion(d, 2)
				submitQueries(d, 16, 6*ms)
			},
			exactly("NotRun", 0), atLeast("Failures", 2), atLeast("Done", 14)),
	}
}

// controlPairTraces combine slow, failed or overloaded upstreams, roll-overs and
// shard moves with seat changes, drains, stale configurations and shutdowns.
func controlPairTraces() []Trace {
	return []Trace{
		engineTrace("cut-off-stragglers", "a hedge to another domain while the seat has expired",
			simul.Setup{Seed: 26, SlowPercent: 10, SlowFactor: 20},
			func(d *simul.Driver) {
				submitQueries(d, 10, 12*ms)
				d.SetSeat(0, engine.SeatExpired)
				submitQueries(d, 16, 12*ms)
			},
			exactly("NotRun", 0)),
		engineTrace("cut-off-lost-replica", "a false coverage when the only replica in the own domain is lost while the seat has expired",
			simul.Setup{Seed: 33},
			func(d *simul.Driver) {
				d.SetSeat(0, engine.SeatExpired)
				submitQueries(d, 4, 12*ms)
				d.Leaves[0].Mode = simul.Refusing
				submitQueries(d, 6, 12*ms)
				d.Leaves[0].Mode = simul.Up
				d.Advance(2 * time.Second)
				submitQueries(d, 4, 12*ms)
			},
			exactly("NotRun", 0), exactly("Partial", 6), exactly("Done", 8)),
		engineTrace("shed-load-shutdown", "a queued query that is lost at a shutdown",
			simul.Setup{Seed: 27},
			func(d *simul.Driver) {
				for range 50 {
					d.Submit(preset.Tolerant, 20*ms)
				}
				d.Drain(0)
				submitQueries(d, 4, ms)
				d.Advance(300 * ms)
			},
			atLeast("NotRun", 8), atLeast("Done", 1)),
		engineTrace("lost-replica-shutdown", "a retry in flight that a shutdown interrupts",
			simul.Setup{Seed: 28},
			func(d *simul.Driver) {
				d.Leaves[0].Mode = simul.Misleading
				for range 6 {
					d.Submit(preset.Standard, 0)
				}
				d.Drain(0)
				submitQueries(d, 3, ms)
				d.Advance(400 * ms)
			},
			exactly("Done", 6), exactly("NotRun", 3), atLeast("Failures", 1)),
		engineTrace("drain-roll-over", "a draining upstream that is used because it alone holds the old version",
			simul.Setup{Seed: 29},
			func(d *simul.Driver) {
				d.RollVersion(1, 250*ms, 0.2)
				submitQueries(d, 4, 12*ms)
				d.Leaves[0].Mode = simul.Draining
				submitQueries(d, 16, 14*ms)
			},
			exactly("NotRun", 0), atLeast("Done", 18)),
		engineTrace("late-config-shard-move", "a late configuration that brings a moved shard back",
			simul.Setup{Seed: 30, Shards: 3, Replicas: 2},
			func(d *simul.Driver) {
				d.OverlapShards()
				old := d.State
				moveFirstShard(d, 0, 2)
				submitQueries(d, 8, 12*ms)
				d.Reapply(0, old)
				submitQueries(d, 8, 12*ms)
			},
			exactly("StaleConfigs", 1), exactly("NotRun", 0), atLeast("Done", 14)),
	}
}

// callerPairTraces are scenarios in which callers disconnect or operators
// switch presets while queries run.
func callerPairTraces() []Trace {
	return []Trace{
		engineTrace("caller-gone", "attempts of a caller that went away and are not cancelled, or still answered",
			simul.Setup{Seed: 31},
			func(d *simul.Driver) {
				for range 8 {
					id := d.Submit(preset.Standard, 0)
					d.Advance(ms)
					d.CancelQuery(id)
					submitQueries(d, 1, 12*ms)
				}
			},
			exactly("Done", 8), atLeast("Cancels", 8)),
		engineTrace("preset-switch", "a query that changes its preset while it runs",
			simul.Setup{Seed: 32},
			func(d *simul.Driver) {
				for i := range 6 {
					d.Submit(preset.Standard, 0)
					d.Submit(preset.Tolerant, 0)
					d.Change(config.SwitchPreset{Name: []preset.Name{preset.Peak, preset.Maintenance, preset.Ordinary}[i%3]})
					d.Advance(12 * ms)
				}
			},
			exactly("Done", 12), exactly("Version", 11)),
	}
}
