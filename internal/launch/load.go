package launch

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/devel"
	"github.com/jujubethread/jujubethread/internal/load"
	"github.com/jujubethread/jujubethread/internal/report"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// load runs a scenario. A scenario without targets runs against a new example
// deployment and, for comparison, against a naive baseline that calls the same
// upstreams directly.
func (j *job) load(ctx context.Context) error {
	sc, err := j.scenario()
	if err != nil {
		return err
	}
	if len(sc.Targets) == 0 {
		cfg, cleanup, err := j.deployment()
		if err != nil {
			return err
		}
		defer cleanup()
		cfg.Seed = sc.DocumentSeed
		cfg.Shape = shapeOf(sc, cfg.Shape)
		d, err := devel.Start(cfg)
		if err != nil {
			return err
		}
		defer func() { _ = d.Stop() }()
		sc.Targets = d.Targets()
	}
	if err := sc.Check(); err != nil {
		return err
	}
	run, err := load.Run(ctx, load.Config{
		Scenario: sc,
		Progress: j.errOut,
	})
	if err != nil {
		return err
	}
	return j.writeReport(run)
}

// scenario returns the file or the built-in scenario that -scenario names. If it
// is not set, the scenario has the traffic of the chosen shape and no faults.
func (j *job) scenario() (*scene.Scenario, error) {
	if j.opt.Scenario != "" {
		if _, err := os.Stat(j.opt.Scenario); err == nil {
			return scene.Load(j.opt.Scenario)
		}
		sc, err := scene.Example(j.opt.Scenario)
		return sc, errors.Wrapf(err, "scenario %q is neither a file nor one of %v", j.opt.Scenario, scene.Examples())
	}
	mix := mixThesiswell
	if j.opt.Shape == "hanbit" {
		mix = mixHanbit
	}
	return &scene.Scenario{
		Name:           "callers",
		Seed:           j.opt.Seed,
		DocumentSeed:   j.opt.Seed,
		Versions:       []ident.IndexVersion{1},
		Mix:            mix,
		PerSecond:      j.opt.Rate,
		WarmupMillis:   loadWarmup,
		DurationMillis: ident.Millis(j.opt.Duration.Milliseconds()),
	}, nil
}

// shapeOf returns the shape that has the indexes of a scenario's traffic mix, or
// the default if the scenario has flows of its own instead of a mix.
func shapeOf(sc *scene.Scenario, defaultShape string) string {
	switch sc.Mix {
	case mixHanbit:
		return "hanbit"
	case mixThesiswell:
		return "thesiswell"
	default:
		return defaultShape
	}
}

// Traffic mixes of callers. Each is named after the deployment that its shape
// models.
const (
	mixThesiswell = "amman"
	mixHanbit     = "kr-cap"
)

const loadWarmup ident.Millis = 2000

func (j *job) writeReport(run *result.Run) error {
	write := report.Table
	if j.opt.JSON {
		write = report.Lines
	}
	if err := write(j.out, run); err != nil {
		return err
	}
	if j.opt.Report != "" {
		f, err := os.Create(j.opt.Report)
		if err != nil {
			return errors.Wrap(err, "report cannot be written")
		}
		if err := report.Page(f, run); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return errors.Wrap(err, "report cannot be written")
		}
	}
	if n := run.ViolationCount(); n > 0 {
		return &exitError{
			code: exitUnmet,
			text: fmt.Sprintf("%d wrong answers: the report lists the first ones", n),
		}
	}
	return nil
}
