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
	soakFactor   = 0.5 // of the services of the shape
)

// soak loads a deployment while faults, commands and replacements of entry
// hosts follow each other, and looks for broken guarantees and for memory,
// descriptors and goroutines that grow.
func soak(ctx context.Context, s *sink) error {
	return deployed(devel.Config{
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
		usage := startGauge()
		run, err := load.Run(ctx, load.Config{
			Scenario:  sc,
			Hook:      ops.do,
			NewClient: func(scene.Target) load.Client { return ops.entries },
		})
		usage.stop()
		ops.close()
		if err != nil {
			return err
		}
		writeSoak(s, &run.Targets[0], ops, usage)
		return nil
	})
}

func writeSoak(s *sink, t *result.Target, ops *operator, usage *gauge) {
	for _, v := range t.Violations {
		s.most("Soak.Violations."+string(v.Kind), float64(v.Count), "count", 0)
	}
	s.most("Soak.Violations", float64(wrong(t)+ops.late), "count", 0)
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
		s.most("Soak.WithoutAnswer."+reason, float64(failures[reason]), "count", 0)
	}
	s.note("Soak.Requests", float64(sent), "count")
	s.note("Soak.Done", float64(done), "count")
	s.note("Soak.Partial", float64(partial), "count")
	s.note("Soak.NotRun", float64(notRun), "count")
	s.note("Soak.Unknown", float64(unknown), "count")
	s.note("Soak.Events", float64(len(t.Events)), "count")
	s.note("Soak.Commands", float64(ops.commands), "count")
	s.note("Soak.EntriesReplaced", float64(ops.replaced), "count")
	for _, series := range []struct {
		name, unit string
		values     []float64
	}{
		{name: "Heap", unit: "bytes", values: usage.heap},
		{name: "Descriptors", unit: "count", values: usage.descriptors},
		{name: "Goroutines", unit: "count", values: usage.goroutines},
	} {
		early, late := quarters(series.values)
		s.note("Soak."+series.name, late, series.unit, early)
		s.most("Soak."+series.name+"Growth", late/early-1, "ratio", flatShare)
	}
}
