package result

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Target summarizes the samples. before and after are the counters of the
// upstreams at the start and at the end of the load.
func (r *Recorder) Target(upstreams []config.Upstream, before, after []leaf.Stats) Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Target{
		Violations:   slices.Clone(r.violations),
		Examples:     slices.Clone(r.examples),
		LagP99Micros: r.lag.ValueAtQuantile(99),
		NotSent:      r.notSent,
		Upstreams:    sumUpstreams(upstreams, before, after),
	}
	t.Upstreams.First = r.minCalls
	t.Violations = addCount(t.Violations, check.LateWork, t.Upstreams.LateWork)
	t.Violations = addCount(t.Violations, check.OverLimit, t.Upstreams.RefusedConns)
	t.Violations = addCount(t.Violations, check.OverRate, t.Upstreams.OverRate)
	t.Violations = addCount(t.Violations, check.CrashedAgain, t.Upstreams.CrashedAgain)
	if r.minCalls > 0 {
		t.Upstreams.ExtraPercent = 100 * (float64(t.Upstreams.Calls)/float64(r.minCalls) - 1)
	}
	for c, g := range r.classes {
		if g == nil {
			continue
		}
		t.Classes = append(t.Classes, g.summarize())
		s := Series{Class: preset.Class(c)}
		for _, b := range r.series[c] {
			s.Buckets = append(s.Buckets, b.summarize())
		}
		t.Timeline = append(t.Timeline, s)
	}
	for _, g := range r.flows {
		t.Flows = append(t.Flows, g.summarize())
	}
	slices.SortFunc(t.Flows, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return t
}

func sumUpstreams(upstreams []config.Upstream, before, after []leaf.Stats) Upstreams {
	initial := make(map[ident.Upstream]leaf.Stats, len(before))
	for _, s := range before {
		initial[s.Upstream] = s
	}
	limits := make(map[ident.Upstream]int, len(upstreams))
	for _, u := range upstreams {
		limits[u.ID] = u.ConnLimit
	}
	var sum Upstreams
	var crashes []time.Time
	for _, s := range after {
		base := initial[s.Upstream]
		if s.Requests < base.Requests {
			sum.Restarted++
			base = leaf.Stats{}
		}
		sum.FilingRuns += s.FilingRuns - base.FilingRuns
		sum.Calls += s.Requests - base.Requests - (s.Filings - base.Filings)
		sum.Shed += s.Shed - base.Shed
		sum.Cancelled += s.Cancelled - base.Cancelled
		sum.Drained += s.Drained - base.Drained
		sum.VersionGone += s.VersionGone - base.VersionGone
		sum.WrongAnswers += s.WrongAnswers - base.WrongAnswers
		sum.RefusedConns += s.RefusedConns - base.RefusedConns
		sum.LateWork += s.LateWork - base.LateWork
		sum.OverRate += s.OverRate - base.OverRate
		crashes = append(crashes, s.CrashedAt[len(base.CrashedAt):]...)
		if limit := limits[s.Upstream]; limit > 0 {
			sum.PeakConnsPercent = max(sum.PeakConnsPercent, 100*float64(s.PeakConns)/float64(limit))
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	sum.Crashes = len(crashes)
	for i, at := range crashes {
		if i >= maxCrashes && at.Sub(crashes[maxCrashes-1]) > crashGrace {
			sum.CrashedAgain++
		}
	}
	return sum
}

// A search that has crashed maxCrashes upstreams may crash no other one
// crashGrace later.
const (
	maxCrashes = 3
	crashGrace = 4 * time.Second
)

// curveQuantiles are dense in the tail, where latency curves differ.
var curveQuantiles = []float64{
	0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 0.92, 0.94, 0.95, 0.96, 0.97, 0.98,
	0.985, 0.99, 0.992, 0.994, 0.995, 0.996, 0.997, 0.998, 0.9985, 0.999, 0.9993, 0.9995, 0.9997, 0.9999,
}

func (g *group) summarize() Group {
	out := g.Group
	out.Slowest = slices.Clone(g.Slowest)
	out.Latency = Latency{
		Mean: g.hist.Mean(),
		P50:  g.hist.ValueAtQuantile(50),
		P90:  g.hist.ValueAtQuantile(90),
		P99:  g.hist.ValueAtQuantile(99),
		P999: g.hist.ValueAtQuantile(99.9),
		Max:  g.hist.Max(),
	}
	for _, q := range curveQuantiles {
		// A quantile finer than the number of samples would repeat the maximum.
		if float64(g.hist.TotalCount())*(1-q) >= 1 {
			out.Latency.Curve = append(out.Latency.Curve, Point{Quantile: q, Micros: g.hist.ValueAtQuantile(100 * q)})
		}
	}
	out.WholePercent = percent(g.Done, g.Done+g.Partial)
	out.CoveragePercent = percent(g.shardsAnswered, g.shardsRequested)
	for m, n := range g.missing {
		out.Missing = append(out.Missing, Missing{Shard: m.Shard, Reason: m.Reason, Count: n})
	}
	slices.SortFunc(out.Missing, func(a, b Missing) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Reason, b.Reason))
	})
	out.Missing = out.Missing[:min(len(out.Missing), maxMissing)]
	for reason, n := range g.failures {
		out.Failures = append(out.Failures, Failure{Reason: reason, Count: n})
	}
	slices.SortFunc(out.Failures, func(a, b Failure) int { return cmp.Compare(a.Reason, b.Reason) })
	return out
}

func (b *bucket) summarize() Bucket {
	out := b.Bucket
	out.P50 = b.latencies.valueAtQuantile(50)
	out.P99 = b.latencies.valueAtQuantile(99)
	out.CoveragePercent = percent(b.shardsAnswered, b.shardsRequested)
	return out
}

// percent returns 100 if total is 0, since nothing is missing.
func percent(part, total int64) float64 {
	if total == 0 {
		return 100
	}
	return 100 * float64(part) / float64(total)
}
