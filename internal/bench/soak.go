package bench

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/devel"
	"github.com/jujubethread/jujubethread/internal/load"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	soakDuration = 60 * time.Second
	soakWarmup   = 2 * time.Second
	soakRate     = 50.0 // requests/s
	soakEntries  = 4
	soakControls = 3
	soakFactor   = 0.5 // of the services of the sample deployment
)

// soak puts a deployment under load while upstreams fail, the configuration
// changes and entry hosts are replaced. It checks for violated guarantees and for
// growth of memory, descriptors and goroutines.
func soak(ctx context.Context, s *sink) error {
	return withDeployment(devel.Config{
		Shape:    "hanbit",
		Factor:   soakFactor,
		Entries:  soakEntries,
		Controls: soakControls,
		Seed:     s.seed,
	}, func(d *devel.Deployment) error {
		targets := d.Targets()[:1]
		ops := newOperator(d, load.NewEntryClient(targets[0].Entries))
		sc := &scene.Scenario{
			Name:           "soak",
			Seed:           s.seed,
			DocumentSeed:   s.seed,
			Versions:       []ident.IndexVersion{1},
			Mix:            d.Shape.Name,
			PerSecond:      soakRate,
			WarmupMillis:   ident.Millis(soakWarmup.Milliseconds()),
			DurationMillis: ident.Millis(s.duration.Milliseconds()),
			Targets:        targets,
			Events:         soakEvents(s.seed, s.duration, d.Shape),
		}
		usage := startUsageSampler()
		run, err := load.Run(ctx, load.Config{
			Scenario:  sc,
			Hook:      ops.handle,
			NewClient: func(scene.Target) load.Client { return ops.entries },
		})
		usage.stop()
		ops.close()
		if err != nil {
			return err
		}
		reportSoak(s, &run.Targets[0], ops, usage)
		return nil
	})
}

func reportSoak(s *sink, t *result.Target, ops *operator, usage *usageSampler) {
	for _, v := range t.Violations {
		s.atMost("Soak.Violations."+string(v.Kind), float64(v.Count), "count", 0)
	}
	s.atMost("Soak.Violations", float64(violationCount(t)+ops.lateWork), "count", 0)
	var sent, done, partial, notRun, unknown int64
	failures := make(map[string]int64)
	for _, c := range t.Classes {
		sent, done, partial = sent+c.Sent, done+c.Done, partial+c.Partial
		notRun, unknown = notRun+c.NotRun, unknown+c.Unknown
		for _, f := range c.Failures {
			failures[f.Reason] += f.Count
		}
	}
	for _, reason := range []string{load.Broken, load.BadAnswer, load.NoAnswer, load.NoConnect, load.NotSent} {
		s.atMost("Soak.WithoutAnswer."+reason, float64(failures[reason]), "count", 0)
	}
	s.unbounded("Soak.Requests", float64(sent), "count")
	s.unbounded("Soak.Done", float64(done), "count")
	s.unbounded("Soak.Partial", float64(partial), "count")
	s.unbounded("Soak.NotRun", float64(notRun), "count")
	s.unbounded("Soak.Unknown", float64(unknown), "count")
	s.unbounded("Soak.Events", float64(len(t.Events)), "count")
	s.unbounded("Soak.Commands", float64(ops.commands), "count")
	s.unbounded("Soak.EntriesReplaced", float64(ops.replaced), "count")
	for _, series := range []struct {
		name, unit string
		values     []float64
	}{
		{name: "Heap", unit: "bytes", values: usage.heap},
		{name: "Descriptors", unit: "count", values: usage.descriptors},
		{name: "Goroutines", unit: "count", values: usage.goroutines},
	} {
		early, late := quarters(series.values)
		s.unbounded("Soak."+series.name, late, series.unit, early)
		s.atMost("Soak."+series.name+"Growth", late/early-1, "ratio", maxGrowth)
	}
}
