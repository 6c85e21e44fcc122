package bench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/devel"
	"github.com/jujubethread/jujubethread/internal/load"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// The measurements of this file run a sample deployment with real listeners in
// this process. Times depend on the machine, so bounds on times are ratios
// within one run.

const (
	connectionHosts    = 20
	connectionReplaced = 5
	connectionRate     = 100.0 // requests/s

	filingCount = 10_000
)

// withDeployment starts a deployment with a temporary data folder, runs work on
// it and stops it.
func withDeployment(cfg devel.Config, work func(*devel.Deployment) error) (err error) {
	folder, err := os.MkdirTemp("", "jujubethread-bench-")
	if err != nil {
		return errors.Wrap(err, "cannot create a temporary data folder: check TMPDIR")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg.Folder, cfg.Grace = folder, 200*time.Millisecond
	d, err := devel.Start(cfg)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := d.Stop(); err == nil {
			err = stopErr
		}
	}()
	return work(d)
}

// liveStragglers measures the same as stragglers, but over real connections.
func liveStragglers(ctx context.Context, s *sink) error {
	return withDeployment(devel.Config{
		Shape:    "thesiswell",
		Entries:  4,
		Controls: 3,
		Seed:     s.seed,
	}, func(d *devel.Deployment) error {
		sc, err := scene.Example("straggler")
		if err != nil {
			return err
		}
		sc.Targets = d.Targets()
		run, err := load.Run(ctx, load.Config{Scenario: sc})
		if err != nil {
			return err
		}
		tier, plain := &run.Targets[0], &run.Targets[1]
		s.atMost("LiveStragglers.CriticalP99OfBaseline", float64(latencyP99(tier, "Critical"))/float64(latencyP99(plain, "Critical")), "ratio", 0.40, 1)
		s.atMost("LiveStragglers.ExtraCalls", tier.Upstreams.ExtraPercent, "percent", 5, plain.Upstreams.ExtraPercent)
		s.atLeast("LiveStragglers.Coverage", coverage(tier, "Critical"), "percent", 100, coverage(plain, "Critical"))
		s.atMost("LiveStragglers.WrongAnswers", float64(violationCount(tier)), "count", 0)
		return nil
	})
}

// liveRollOver switches the index version twice under load and checks the answers.
func liveRollOver(ctx context.Context, s *sink) error {
	return withDeployment(devel.Config{
		Shape:    "hanbit",
		Entries:  4,
		Controls: 3,
		Seed:     1,
	}, func(d *devel.Deployment) error {
		sc, err := scene.Example("rollover")
		if err != nil {
			return err
		}
		sc.PerSecond = 100
		sc.Targets = d.Targets()[:1]
		run, err := load.Run(ctx, load.Config{Scenario: sc})
		if err != nil {
			return err
		}
		tier := &run.Targets[0]
		var sent int64
		for _, c := range tier.Classes {
			sent += c.Sent
		}
		s.atLeast("LiveRollOver.Queries", float64(sent), "count", 2000)
		s.atMost("LiveRollOver.WrongAnswers", float64(violationCount(tier)), "count", 0)
		return nil
	})
}

// connections replaces 5 of 20 entry hosts at once under load and counts the
// upstreams that were offered more connections than their limit.
func connections(ctx context.Context, s *sink) error {
	return withDeployment(devel.Config{
		Shape:    "thesiswell",
		Entries:  connectionHosts,
		Controls: 3,
		Seed:     s.seed,
	}, func(d *devel.Deployment) error {
		sc, err := scene.Example("straggler")
		if err != nil {
			return err
		}
		sc.Events, sc.PerSecond, sc.DurationMillis = nil, connectionRate, 12_000
		sc.Targets = d.Targets()[:1]
		done := make(chan error, 1)
		go func() { done <- replaceEntries(ctx, d) }()
		run, err := load.Run(ctx, load.Config{Scenario: sc})
		if replaceErr := <-done; err == nil {
			err = replaceErr
		}
		if err != nil {
			return err
		}
		overLimit, peakPercent := 0.0, 0.0
		for i, l := range d.Leaves {
			limit := float64(d.Shape.Leaves[i].Upstream.ConnLimit)
			st := l.Stats()
			peakPercent = max(peakPercent, 100*float64(st.PeakConns)/limit)
			if float64(st.PeakConns) > limit || st.RefusedConns > 0 {
				overLimit++
			}
		}
		s.atMost("Connections.UpstreamsOverLimit", overLimit, "count", 0)
		s.unbounded("Connections.PeakOfLimit", peakPercent, "percent")
		s.atMost("Connections.WrongAnswers", float64(violationCount(&run.Targets[0])), "count", 0)
		return nil
	})
}

// replaceEntries starts the new entry hosts before it stops the ones that they
// replace, so that both are connected for a while.
func replaceEntries(ctx context.Context, d *devel.Deployment) error {
	select {
	case <-time.After(4 * time.Second): // the load is under way
	case <-ctx.Done():
		return ctx.Err()
	}
	for range connectionReplaced {
		if _, err := d.AddEntry(); err != nil {
			return err
		}
	}
	select {
	case <-time.After(2 * time.Second): // both generations are connected
	case <-ctx.Done():
		return ctx.Err()
	}
	for i := range connectionReplaced {
		// The first hosts stay, since the load tool sends to them.
		if err := d.Entries[connectionHosts-1-i].Stop(); err != nil {
			return err
		}
	}
	return nil
}

func latencyP99(t *result.Target, class string) int64 {
	for _, c := range t.Classes {
		if c.Name == class {
			return c.Latency.P99
		}
	}
	return 0
}

func coverage(t *result.Target, class string) float64 {
	for _, c := range t.Classes {
		if c.Name == class {
			return c.CoveragePercent
		}
	}
	return 0
}

func violationCount(t *result.Target) int {
	n := 0
	for _, v := range t.Violations {
		n += v.Count
	}
	return n
}

// filings sends 10,000 filings while answers are lost and upstreams are killed
// in turn, and checks that each runs at most once. Each is sent again through
// another entry host.
func filings(ctx context.Context, s *sink) error {
	return withDeployment(devel.Config{
		Shape:    "hanbit",
		Factor:   0.25,
		Entries:  4,
		Controls: 3,
		Seed:     s.seed,
	}, func(d *devel.Deployment) error {
		f := newFilingLoad(d)
		if err := f.run(ctx, filingCount); err != nil {
			return err
		}
		s.atMost("Filings.RunsOfOneID", float64(f.maxRuns()), "count", 1)
		s.atMost("Filings.WithoutOutcome", float64(f.withoutOutcome()), "count", 0)
		s.atMost("Filings.OutcomeContradicted", float64(f.contradicted()), "count", 0)
		s.unbounded("Filings.Done", float64(f.count(engine.Done)), "count")
		s.unbounded("Filings.NotRun", float64(f.count(engine.NotRun)), "count")
		s.unbounded("Filings.Unknown", float64(f.count(engine.Unknown)), "count")
		return nil
	})
}

func filingID(n int) ident.RequestID { return ident.RequestID(fmt.Sprintf("draft-%d", n)) }
