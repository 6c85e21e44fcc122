package bench

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/simul"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// The measurements of this file run the query reducer in virtual time, so
// their figures do not depend on the machine.

const (
	stragglerSpan = 60 * time.Second
	overloadSpan  = 20 * time.Second

	// unloadedSpan holds 2,000 Critical queries at unloadedRate. The 400 of a
	// run of 20 s gave an unstable p99.
	unloadedSpan = 100 * time.Second

	unloadedRate = 100.0 // queries/s
)

// capacityRates are the rates at which the best goodput is looked for, in queries/s.
var capacityRates = []float64{400, 500, 600, 700}

func stragglers(_ context.Context, s *sink) error {
	plain := simul.StragglerRun(s.seed, engine.PolicyPlain, stragglerSpan)
	tolerant := simul.StragglerRun(s.seed, engine.PolicyTolerant, stragglerSpan)
	s.most("Stragglers.P99OfBaseline", ratio(tolerant.P99, plain.P99), "ratio", 0.40, 1)
	s.most("Stragglers.ExtraCalls", tolerant.ExtraPercent, "percent", 5, plain.ExtraPercent)
	s.least("Stragglers.Coverage", tolerant.CoveragePercent, "percent", 100, plain.CoveragePercent)
	s.most("Stragglers.Violations", float64(tolerant.Stats.ViolationCount), "count", 0)
	return nil
}

func loss(_ context.Context, s *sink) error {
	for _, how := range []struct {
		name string
		mode simul.Mode
	}{
		{name: "Refusing", mode: simul.Refusing},
		{name: "Silent", mode: simul.Unresponsive},
	} {
		tolerant := simul.ReplicaFailureRun(s.seed, engine.PolicyTolerant, how.mode)
		plain := simul.ReplicaFailureRun(s.seed, engine.PolicyPlain, how.mode)
		s.most("Loss."+how.name+".ErrorsAfter2s", float64(tolerant.ErrorsLate), "count", 0, float64(plain.ErrorsLate))
		s.note("Loss."+how.name+".ErrorsWithin2s", float64(tolerant.ErrorsEarly), "count", float64(plain.ErrorsEarly))
		s.most("Loss."+how.name+".Violations", float64(tolerant.Stats.ViolationCount), "count", 0)
	}
	return nil
}

func outage(_ context.Context, s *sink) error {
	for _, how := range []struct {
		name string
		mode simul.Mode
	}{
		{name: "Refusing", mode: simul.Refusing},
		{name: "Silent", mode: simul.Unresponsive},
	} {
		tolerant := simul.OutageRun(s.seed, engine.PolicyTolerant, how.mode)
		naive := simul.OutageRun(s.seed, engine.PolicyNaiveRetry, how.mode)
		s.most("Outage."+how.name+".AttemptsPerQuery", tolerant.CallsPerQuery, "ratio", 1.2, naive.CallsPerQuery)
		s.most("Outage."+how.name+".Recovery", tolerant.Recovery.Seconds(), "seconds", 3, naive.Recovery.Seconds())
		s.most("Outage."+how.name+".WrongMissing", float64(tolerant.WrongMissing), "count", 0, float64(naive.WrongMissing))
		s.most("Outage."+how.name+".Violations", float64(tolerant.Stats.ViolationCount), "count", 0)
	}
	return nil
}

// overload measures one entry host and several that share their upstreams.
func overload(_ context.Context, s *sink) error {
	overloadOf(s, "Overload", 1)
	overloadOf(s, "Overload4Hosts", 4)
	return nil
}

func overloadOf(s *sink, name string, hosts int) {
	run := func(p engine.Policy, rate float64, span time.Duration) simul.Overload {
		return simul.OverloadRun(s.seed, p, hosts, rate, span)
	}
	unloaded := run(engine.PolicyTolerant, unloadedRate, unloadedSpan)
	best := unloaded
	for _, rate := range capacityRates {
		if o := run(engine.PolicyTolerant, rate, overloadSpan); o.Goodput > best.Goodput {
			best = o
		}
	}
	over := run(engine.PolicyTolerant, 2*best.Goodput, overloadSpan)
	plain := run(engine.PolicyPlain, 2*best.Goodput, overloadSpan)
	s.note(name+".Capacity", best.Goodput, "queries/s")
	s.least(name+".Goodput", over.Goodput/best.Goodput, "ratio", 0.9, plain.Goodput/best.Goodput)
	s.most(name+".CallsPerQuery", over.CallsPerAnswer/unloaded.CallsPerAnswer, "ratio", 1.1, plain.CallsPerAnswer/unloaded.CallsPerAnswer)
	s.most(name+".CriticalP99", ratio(over.CriticalP99, unloaded.CriticalP99), "ratio", 2, ratio(plain.CriticalP99, unloaded.CriticalP99))
	s.least(name+".CriticalWhole", 100*over.CriticalComplete, "percent", 100, 100*plain.CriticalComplete)
	standard, tolerant := over.Stats.Class[preset.Standard], over.Stats.Class[preset.Tolerant]
	s.least(name+".TolerantRefusedOverStandard", refused(tolerant)-refused(standard), "percent", 0)
	s.most(name+".Violations", float64(over.Stats.ViolationCount), "count", 0)
}

func refused(o simul.Outcomes) float64 { return 100 * float64(o.NotRun) / float64(max(o.Queries, 1)) }

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
