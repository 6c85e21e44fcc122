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
	stragglerDuration = 60 * time.Second
	overloadDuration  = 20 * time.Second

	// unloadedDuration gives 2,000 Critical queries at unloadedRate. The 400
	// queries of a run of 20 s gave an unstable p99.
	unloadedDuration = 100 * time.Second

	unloadedRate = 100.0 // queries/s
)

// capacityRates are the offered loads, in queries/s, of which the one with the
// highest goodput counts as the capacity.
var capacityRates = []float64{400, 500, 600, 700}

func stragglers(_ context.Context, s *sink) error {
	plain := simul.StragglerRun(s.seed, engine.PolicyPlain, stragglerDuration)
	tolerant := simul.StragglerRun(s.seed, engine.PolicyTolerant, stragglerDuration)
	s.atMost("Stragglers.P99OfBaseline", ratio(tolerant.P99, plain.P99), "ratio", 0.40, 1)
	s.atMost("Stragglers.ExtraCalls", tolerant.ExtraPercent, "percent", 5, plain.ExtraPercent)
	s.atLeast("Stragglers.Coverage", tolerant.CoveragePercent, "percent", 100, plain.CoveragePercent)
	s.atMost("Stragglers.Violations", float64(tolerant.Stats.ViolationCount), "count", 0)
	return nil
}

func loss(_ context.Context, s *sink) error {
	for _, failure := range []struct {
		name string
		mode simul.Mode
	}{
		{name: "Refusing", mode: simul.Refusing},
		{name: "Silent", mode: simul.Unresponsive},
	} {
		tolerant := simul.ReplicaFailureRun(s.seed, engine.PolicyTolerant, failure.mode)
		plain := simul.ReplicaFailureRun(s.seed, engine.PolicyPlain, failure.mode)
		s.atMost("Loss."+failure.name+".ErrorsAfter2s", float64(tolerant.ErrorsLate), "count", 0, float64(plain.ErrorsLate))
		s.unbounded("Loss."+failure.name+".ErrorsWithin2s", float64(tolerant.ErrorsEarly), "count", float64(plain.ErrorsEarly))
		s.atMost("Loss."+failure.name+".Violations", float64(tolerant.Stats.ViolationCount), "count", 0)
	}
	return nil
}

func outage(_ context.Context, s *sink) error {
	for _, failure := range []struct {
		name string
		mode simul.Mode
	}{
		{name: "Refusing", mode: simul.Refusing},
		{name: "Silent", mode: simul.Unresponsive},
	} {
		tolerant := simul.OutageRun(s.seed, engine.PolicyTolerant, failure.mode)
		naive := simul.OutageRun(s.seed, engine.PolicyNaiveRetry, failure.mode)
		s.atMost("Outage."+failure.name+".AttemptsPerQuery", tolerant.CallsPerQuery, "ratio", 1.2, naive.CallsPerQuery)
		s.atMost("Outage."+failure.name+".Recovery", tolerant.Recovery.Seconds(), "seconds", 3, naive.Recovery.Seconds())
		s.atMost("Outage."+failure.name+".WrongMissing", float64(tolerant.WrongMissing), "count", 0, float64(naive.WrongMissing))
		s.atMost("Outage."+failure.name+".Violations", float64(tolerant.Stats.ViolationCount), "count", 0)
	}
	return nil
}

// overload measures twice the capacity with a single entry host and with four
// that share their upstreams.
func overload(_ context.Context, s *sink) error {
	measureOverload(s, "Overload", 1)
	measureOverload(s, "Overload4Hosts", 4)
	return nil
}

func measureOverload(s *sink, name string, hosts int) {
	run := func(p engine.Policy, rate float64, duration time.Duration) simul.Overload {
		return simul.OverloadRun(s.seed, p, hosts, rate, duration)
	}
	unloaded := run(engine.PolicyTolerant, unloadedRate, unloadedDuration)
	best := unloaded
	for _, rate := range capacityRates {
		if o := run(engine.PolicyTolerant, rate, overloadDuration); o.Goodput > best.Goodput {
			best = o
		}
	}
	over := run(engine.PolicyTolerant, 2*best.Goodput, overloadDuration)
	plain := run(engine.PolicyPlain, 2*best.Goodput, overloadDuration)
	s.unbounded(name+".Capacity", best.Goodput, "queries/s")
	s.atLeast(name+".Goodput", over.Goodput/best.Goodput, "ratio", 0.9, plain.Goodput/best.Goodput)
	s.atMost(name+".CallsPerQuery", over.CallsPerAnswer/unloaded.CallsPerAnswer, "ratio", 1.1, plain.CallsPerAnswer/unloaded.CallsPerAnswer)
	s.atMost(name+".CriticalP99", ratio(over.CriticalP99, unloaded.CriticalP99), "ratio", 2, ratio(plain.CriticalP99, unloaded.CriticalP99))
	s.atLeast(name+".CriticalWhole", 100*over.CriticalComplete, "percent", 100, 100*plain.CriticalComplete)
	standard, tolerant := over.Stats.Class[preset.Standard], over.Stats.Class[preset.Tolerant]
	s.atLeast(name+".TolerantRefusedOverStandard", refusedPercent(tolerant)-refusedPercent(standard), "percent", 0)
	s.atMost(name+".Violations", float64(over.Stats.ViolationCount), "count", 0)
}

func refusedPercent(o simul.Outcomes) float64 {
	return 100 * float64(o.NotRun) / float64(max(o.Queries, 1))
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
