// Package bench measures whether the system stays within its stated bounds.
// Each measurement prints its figures and bounds as JSON lines. A baseline, if
// there is one, is measured in the same run.
package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one measured figure.
type Line struct {
	Name   string  `json:"Name"`
	Figure float64 `json:"Figure"`
	Unit   string  `json:"Unit"`
	// Bound is the upper bound of the figure, or the lower bound if Least is
	// set. It is nil for a figure that is only reported.
	Bound    *float64 `json:"Bound"`
	Least    bool     `json:"Least,omitempty"`
	Baseline *float64 `json:"Baseline"`
	Met      bool     `json:"Met"`
}

type measurement struct {
	name string
	run  func(context.Context, *sink) error
}

// Config describes a run.
type Config struct {
	// Names selects measurements; empty means all.
	Names []string
	// Seed makes callers and faults reproducible.
	Seed uint64
	// Duration is the length of the soak; zero means 60 s.
	Duration time.Duration
	// Out receives a JSON line for each figure, Progress a line for each
	// measurement.
	Out      io.Writer
	Progress io.Writer
}

// UnknownName reports a measurement that does not exist.
type UnknownName struct {
	Name  string
	Known []string
}

// Error lists the measurements that exist.
func (e *UnknownName) Error() string {
	return fmt.Sprintf("measurement %q does not exist: use %s", e.Name, strings.Join(e.Known, ", "))
}

// Run takes the selected measurements and reports whether all bounds were met.
// It returns an *UnknownName before the first measurement if a name is wrong.
func Run(ctx context.Context, cfg Config) (bool, error) {
	for _, name := range cfg.Names {
		if !slices.ContainsFunc(measurements, func(m measurement) bool { return m.name == name }) {
			return false, &UnknownName{
				Name:  name,
				Known: Names(),
			}
		}
	}
	s := &sink{
		out:      json.NewEncoder(cfg.Out),
		seed:     cfg.Seed,
		duration: cmp.Or(cfg.Duration, soakDuration),
		met:      true,
	}
	for _, m := range measurements {
		if len(cfg.Names) > 0 && !slices.Contains(cfg.Names, m.name) {
			continue
		}
		fmt.Fprintf(cfg.Progress, "measuring %s\n", m.name)
		if err := m.run(ctx, s); err != nil {
			return false, fmt.Errorf("measurement %s failed: %w", m.name, err)
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
	}
	return s.met, s.err
}

// Names returns the names of all measurements in the order in which they run.
func Names() []string {
	names := make([]string, 0, len(measurements))
	for _, m := range measurements {
		names = append(names, m.name)
	}
	return names
}

// sink writes lines and records whether all bounds were met.
type sink struct {
	out      *json.Encoder
	seed     uint64
	duration time.Duration // length of the soak
	met      bool
	err      error // of the first line that could not be written
}

func (s *sink) write(l Line) {
	s.met = s.met && l.Met
	if err := s.out.Encode(l); err != nil && s.err == nil {
		s.err = err
	}
}

// atMost writes a figure with an upper bound.
func (s *sink) atMost(name string, figure float64, unit string, bound float64, baseline ...float64) {
	s.write(Line{
		Name:     name,
		Figure:   figure,
		Unit:     unit,
		Bound:    &bound,
		Baseline: optional(baseline),
		Met:      figure <= bound,
	})
}

// atLeast writes a figure with a lower bound.
func (s *sink) atLeast(name string, figure float64, unit string, bound float64, baseline ...float64) {
	s.write(Line{
		Name:     name,
		Figure:   figure,
		Unit:     unit,
		Bound:    &bound,
		Least:    true,
		Baseline: optional(baseline),
		Met:      figure >= bound,
	})
}

// unbounded writes a figure that is only reported.
func (s *sink) unbounded(name string, figure float64, unit string, baseline ...float64) {
	s.write(Line{
		Name:     name,
		Figure:   figure,
		Unit:     unit,
		Baseline: optional(baseline),
		Met:      true,
	})
}

func optional(v []float64) *float64 {
	if len(v) == 0 {
		return nil
	}
	return &v[0]
}
