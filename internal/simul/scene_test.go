package simul_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/simul"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func noFaults(t *testing.T, s *simul.Stats) {
	t.Helper()
	if s.FaultCount > 0 {
		t.Fatalf("%d faults: %q", s.FaultCount, s.Faults)
	}
}

// Guards against hedges that come too late, cost too much or lose shards.
func TestStragglers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plain := simul.StragglerRun(1, engine.PolicyPlain, 60*time.Second)
	tolerant := simul.StragglerRun(1, engine.PolicyTolerant, 60*time.Second)
	noFaults(t, plain.Stats)
	noFaults(t, tolerant.Stats)
	t.Logf("plain p50 %v p99 %v; tolerant p50 %v p99 %v, extra %.2f%%, coverage %.3f%%, asked %d",
		plain.P50, plain.P99, tolerant.P50, tolerant.P99, tolerant.ExtraPercent, tolerant.CoveragePercent, tolerant.Stats.Asked)
	is.True(float64(tolerant.P99) <= 0.40*float64(plain.P99))
	is.True(tolerant.ExtraPercent <= 5)
	is.Equal(tolerant.CoveragePercent, 100.0)
}

// Guards against a retry storm, a slow recovery and a wrong missing shard
// while a service is out.
func TestOutage(t *testing.T) {
	t.Parallel()
	for name, how := range map[string]simul.Mode{"refusing": simul.Refusing, "silent": simul.Silent, "misleading": simul.Misleading} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := simul.OutageRun(1, engine.PolicyTolerant, how)
			naive := simul.OutageRun(1, engine.PolicyNaiveRetry, how)
			t.Logf("calls/query %.3f (naive %.3f), worst %d, recovery %v (naive %v), bad answers %d, %+v",
				out.CallsPerQuery, naive.CallsPerQuery, out.WorstCalls, out.Recovery, naive.Recovery, out.BadAnswers, out.Stats.Class[0])
			noFaults(t, out.Stats)
			is.True(out.CallsPerQuery <= 1.2)
			is.True(out.Recovery <= 3*time.Second)
			is.Equal(out.BadAnswers, 0)
		})
	}
}

// Guards against errors that last after one replica of every service is lost.
func TestLoss(t *testing.T) {
	t.Parallel()
	for name, how := range map[string]simul.Mode{"refusing": simul.Refusing, "silent": simul.Silent, "draining": simul.Draining, "misleading": simul.Misleading} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := simul.LossRun(1, engine.PolicyTolerant, how)
			t.Logf("errors early %d, late %d of %d, hedges %d retries %d", out.ErrorsEarly, out.ErrorsLate, out.Late, out.Stats.Hedges, out.Stats.Retries)
			noFaults(t, out.Stats)
			is.Equal(out.ErrorsLate, 0)
		})
	}
}

// overload measures a rate without load, the best goodput at capacity, and
// twice that rate.
func overload(t *testing.T, seed uint64, hosts int, rates ...float64) (unloaded, best, over simul.Overload) {
	run := func(rate float64, span time.Duration) simul.Overload {
		o := simul.OverloadRun(seed, engine.PolicyTolerant, hosts, rate, span)
		noFaults(t, o.Stats)
		t.Logf("hosts %d rate %.0f goodput %.0f calls %.2f critical p99 %v whole %.4f %+v", hosts, rate, o.Goodput, o.CallsPerAnswer, o.CriticalP99, o.CriticalWhole, o.Stats.Class)
		return o
	}
	unloaded = run(100, 100*time.Second) // a short run has too few Critical queries for a p99
	for _, rate := range rates {
		if o := run(rate, 20*time.Second); o.Goodput > best.Goodput {
			best = o
		}
	}
	return unloaded, best, run(2*best.Goodput, 20*time.Second)
}

// Guards against goodput that collapses under overload, against extra calls,
// and against Critical queries that suffer for others.
func TestOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	unloaded, best, over := overload(t, 1, 1, 500, 600)
	is.True(over.Goodput >= 0.9*best.Goodput)
	is.True(over.CallsPerAnswer <= 1.1*unloaded.CallsPerAnswer)
	is.True(over.CriticalP99 <= 2*unloaded.CriticalP99)
	is.Equal(over.CriticalWhole, 1.0)
	tolerantFirst(is, over)
}

// tolerantFirst fails unless Tolerant queries are shed far more often than
// Standard ones.
func tolerantFirst(is *is.I, over simul.Overload) {
	is.Helper()
	standard, tolerant := over.Stats.Class[preset.Standard], over.Stats.Class[preset.Tolerant]
	is.True(float64(tolerant.NotRun)/float64(tolerant.Asked) > 2*float64(standard.NotRun)/float64(standard.Asked))
}

// Guards against hosts that each keep to their limit and together overload the
// few slots of their upstreams, so that Critical queries wait behind others.
func TestOverloadManyHosts(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			unloaded, best, over := overload(t, seed, 4, 500, 600, 700)
			is.True(over.Goodput >= 0.9*best.Goodput)
			is.True(over.CallsPerAnswer <= 1.1*unloaded.CallsPerAnswer)
			is.True(over.CriticalP99 <= 2*unloaded.CriticalP99)
			is.Equal(over.CriticalWhole, 1.0)
			tolerantFirst(is, over)
		})
	}
}

// Guards against mixed versions, false coverage and duplicates while versions
// roll over, shards move and upstreams lie.
func TestRollOver(t *testing.T) {
	t.Parallel()
	out := simul.RollRun(1, 100_000)
	t.Logf("queries %d done %d partial %d not run %d distorted %d retries %d", out.Queries, out.Done, out.Partial, out.NotRun, out.Stats.Distorted, out.Stats.Retries)
	noFaults(t, out.Stats)
	if out.Queries < 99_000 || out.Done < out.Queries*9/10 {
		t.Fatalf("%d of %d queries done", out.Done, out.Queries)
	}
}

// Guards against a choice that depends on map order or on anything else than
// the events and the seed, which would break replay of recorded traces.
func TestSameSeedSameCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	run := func() []engine.Send {
		d := simul.New(simul.Setup{
			Seed:        3,
			Hosts:       2,
			Shards:      8,
			Replicas:    3,
			SlowPercent: 2,
			SlowFactor:  20,
			Wrong:       0.01,
		})
		var sends []engine.Send
		d.Sent = func(s engine.Send) { sends = append(sends, s) }
		d.Spread()
		d.Roll(1, time.Second, 0.5)
		d.Load(600, time.Second, preset.Critical, preset.Tolerant)
		d.Leaves[0].Mode = simul.Silent
		d.Change(config.SwitchPreset{Name: preset.Peak})
		d.Load(600, 2*time.Second, preset.Critical, preset.Tolerant)
		noFaults(t, d.End())
		return sends
	}
	is.Equal(run(), run())
}
