// Package report renders the result of a load run: as a text table, as JSON lines
// for programs, and as an HTML page with charts.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/result"
)

const (
	columnGap = 2
	noValue   = "-"
)

// Table writes a result as text: tables of the classes, flows and upstream load,
// then details and the verdict.
func Table(w io.Writer, r *result.Run) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	p := &printer{w: t}
	p.line("scenario %q, seed %d, %s after %s of warm-up, started %s",
		r.Scenario, r.Seed, r.Duration, r.Warmup, r.Started.Format(time.RFC3339))
	for _, text := range warnings(r) {
		p.line("WARNING: %s", text)
	}
	p.line("")
	p.line("target\tclass\tsent\tdone\tpartial\tnot run\tunknown\tfailed\tlate\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\tp99/base\twhole %%\tcovered %%\t")
	for _, target := range r.Targets {
		for _, g := range target.Classes {
			p.classRow(r, target.Name, g)
		}
	}
	p.line("")
	p.line("target\tflow\tsent\tdone\tpartial\tnot run\tunknown\tfailed\tlate\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\twhole %%\tcovered %%\t")
	for _, target := range r.Targets {
		for _, g := range target.Flows {
			p.line("%s\t%s\t%s%s\t%.2f\t%.3f\t", target.Name, g.Name, counts(g), latencies(g.Latency), g.WholePercent, g.CoveragePercent)
		}
	}
	p.line("")
	p.line("target\tupstream calls\tfirst calls\textra %%\tshed\tcancelled\tdrained\tlate work\tversion gone\twrong answers\tfiling runs\trefused conns\tpeak conns %%\tsend lag p99 ms\t")
	for _, target := range r.Targets {
		u := target.Upstreams
		p.line("%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t", target.Name, u.Calls, u.First, u.ExtraPercent, u.Shed,
			u.Cancelled, u.Drained, u.LateWork, u.VersionGone, u.WrongAnswers, u.FilingRuns, u.RefusedConns, u.PeakConnsPercent, millis(target.LagP99Micros))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "table cannot be written")
	}
	return details(w, r)
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) classRow(r *result.Run, target string, g result.Group) {
	p.line("%s\t%s\t%s%s\t%s\t%.2f\t%.3f\t", target, g.Name, counts(g), latencies(g.Latency), p99Ratio(r, g), g.WholePercent, g.CoveragePercent)
}

func counts(g result.Group) string {
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t", g.Sent, g.Done, g.Partial, g.NotRun, g.Unknown, g.Failed, g.Late)
}

func latencies(l result.Latency) string {
	list := make([]string, 0, 5)
	for _, v := range []int64{l.P50, l.P90, l.P99, l.P999, l.Max} {
		list = append(list, millis(v))
	}
	return strings.Join(list, "\t")
}

func millis(micros int64) string {
	if micros == 0 {
		return noValue
	}
	return fmt.Sprintf("%.2f", float64(micros)/1_000)
}

// baseline returns the first target whose policy is Plain or Retry, which use no
// entry hosts, or else the first target.
func baseline(r *result.Run) result.Target {
	for _, t := range r.Targets {
		if t.Policy == "Plain" || t.Policy == "Retry" {
			return t
		}
	}
	return r.Targets[0]
}

// p99Ratio returns the p99 latency of a class relative to that of the baseline.
func p99Ratio(r *result.Run, g result.Group) string {
	for _, b := range baseline(r).Classes {
		if b.Name == g.Name && b.Latency.P99 > 0 {
			return fmt.Sprintf("%.2f", float64(g.Latency.P99)/float64(b.Latency.P99))
		}
	}
	return noValue
}

func warnings(r *result.Run) []string {
	var list []string
	if r.Interrupted {
		list = append(list, "the run was interrupted; the figures cover only the time before that")
	}
	for _, t := range r.Targets {
		if t.NotSent > 0 {
			list = append(list, fmt.Sprintf("%s: %d requests were not sent, because too many were in flight; lower the rate", t.Name, t.NotSent))
		}
		if t.Upstreams.Restarted > 0 {
			list = append(list, fmt.Sprintf("%s: %d upstreams restarted; their calls before that are not counted", t.Name, t.Upstreams.Restarted))
		}
	}
	return list
}

// details lists missing shards, failures, the slowest request of each class,
// events and violations.
func details(w io.Writer, r *result.Run) error {
	p := &printer{w: w}
	for _, t := range r.Targets {
		for _, g := range t.Classes {
			for _, m := range g.Missing {
				p.line("missing: %s %s: shard %s %s, %d times", t.Name, g.Name, m.Shard, m.Reason, m.Count)
			}
			for _, f := range g.Failures {
				p.line("failed: %s %s: %s, %d times", t.Name, g.Name, f.Reason, f.Count)
			}
		}
		for _, g := range t.Classes {
			if len(g.Slowest) > 0 {
				s := g.Slowest[0]
				p.line("slowest: %s %s: %s ms, request %s, sent at %.1f s", t.Name, g.Name, millis(s.Micros), s.Request, s.Intended.Seconds())
			}
		}
		for _, e := range t.Events {
			p.line("event: %s: %s, %s", t.Name, e.Title, eventTime(e))
		}
		for _, v := range t.Violations {
			p.line("VIOLATION: %s: %s, %d times", t.Name, v.Kind, v.Count)
		}
		for _, v := range t.Examples {
			p.line("  for example: %s: %s of request %s: %s", t.Name, v.Kind, v.Request, v.Detail)
		}
	}
	if n := r.ViolationCount(); n > 0 {
		p.line("verdict: %d violations", n)
	} else {
		p.line("verdict: every answer was right")
	}
	return errors.Wrap(p.err, "table cannot be written")
}

func eventTime(e result.Event) string {
	if e.End == 0 {
		return fmt.Sprintf("at %.1f s", e.Start.Seconds())
	}
	return fmt.Sprintf("%.1f to %.1f s", e.Start.Seconds(), e.End.Seconds())
}
