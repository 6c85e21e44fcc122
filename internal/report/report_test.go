package report_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"image/png"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/report"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// record returns a target with 1,000 critical requests of 1 to 1,000 ms, of which
// every tenth is partial, two tolerant requests without an answer, and one
// violation during the warm-up.
func record(name string) result.Target {
	rec := result.NewRecorder(10 * time.Second)
	for i := range 1_000 {
		s := result.Sample{
			Request:  ident.RequestID(fmt.Sprint("r-", i)),
			Flow:     "committee lookup",
			Class:    preset.Critical,
			Intended: time.Duration(i) * 10 * time.Millisecond,
			Latency:  time.Duration(i+1) * time.Millisecond,
			Outcome:  engine.Done,
			Coverage: engine.Coverage{Asked: 10, Answered: 10},
		}
		if i%10 == 0 {
			s.Outcome = engine.Partial
			s.Coverage.Answered = 9
			s.Coverage.Missing = []engine.Missing{{Shard: "a/1", Reason: engine.MissingLost}}
		}
		rec.Add(s)
	}
	rec.Add(result.Sample{
		Flow:     "committee lookup",
		Intended: -time.Second, // during the warm-up: verified, not measured
		Latency:  time.Hour,
		Outcome:  engine.Done,
		Coverage: engine.Coverage{Asked: 10, Answered: 10},
		Violations: []check.Violation{{
			Kind:    check.MixedVersions,
			Request: "r-1",
			Detail:  "document <a> of version 3",
		}},
	})
	rec.Add(result.Sample{Flow: "status check", Class: preset.Tolerant, Outcome: engine.NotRun})
	rec.Add(result.Sample{Flow: "status check", Class: preset.Tolerant, Failure: "NoAnswer"})
	upstreams := []config.Upstream{{ID: "u", ConnLimit: 50}}
	t := rec.Target(upstreams,
		[]leaf.Stats{{Upstream: "u", Requests: 500}},
		[]leaf.Stats{{Upstream: "u", Requests: 11_511, PeakConns: 25}})
	t.Name = name
	t.Policy = "Entry"
	t.Events = []result.Event{{
		Title: "slow <1%>",
		Start: time.Second,
		End:   3 * time.Second,
	}}
	return t
}

func run() *result.Run {
	r := &result.Run{
		Scenario: "test & more",
		Duration: 10 * time.Second,
		Targets:  []result.Target{record("one"), record("two")},
	}
	r.Targets[1].Policy = "Plain"
	return r
}

// Guards against totals that omit samples, count them twice or assign them to
// the wrong class.
func TestSums(t *testing.T) {
	is := is.New(t)
	got := record("one")
	c := got.Classes[0]
	is.Equal(c.Name, "Critical")
	is.Equal([]int64{c.Sent, c.Done, c.Partial}, []int64{1_000, 900, 100})
	is.Equal(c.WholePercent, 90.0)
	is.Equal(c.CoveragePercent, 99.0)
	is.Equal(c.Missing, []result.Missing{{Shard: "a/1", Reason: engine.MissingLost, Count: 100}})
	near := func(micros int64, want float64) bool {
		return float64(micros) > want*998 && float64(micros) < want*1_002
	}
	is.True(near(c.Latency.P50, 500))
	is.True(near(c.Latency.P99, 990))
	is.True(near(c.Latency.Max, 1_000))
	is.Equal(len(c.Slowest), 5)
	is.Equal(c.Slowest[0], result.Slow{Request: "r-999", Micros: 1_000_000, Intended: 9_990 * time.Millisecond})
	tolerant := got.Classes[1]
	is.Equal([]int64{tolerant.Sent, tolerant.NotRun, tolerant.Failed}, []int64{2, 1, 1})
	is.Equal(got.Upstreams.Calls, uint64(11_011))
	is.Equal(got.Upstreams.First, uint64(10_010)) // including the warm-up
	is.True(got.Upstreams.ExtraPercent > 9.9 && got.Upstreams.ExtraPercent < 10.1)
	is.Equal(got.Upstreams.PeakConnsPercent, 50.0)
	sent := int64(0)
	for _, b := range got.Timeline[0].Buckets {
		sent += b.Sent
	}
	is.Equal(sent, int64(1_000))
}

// Guards against a table that omits violations, warnings or missing shards.
func TestTableShowsWhatIsWrong(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := run()
	r.Interrupted = true
	is.NoErr(report.Table(&out, r))
	for _, want := range []string{
		"interrupted", "MixedVersions, 1 times", "shard a/1 Lost, 100 times", "NoAnswer, 1 times",
		"slow <1%>, 1.0 to 3.0 s", "request r-999, sent at 10.0 s", "verdict: 2 violations", "extra %",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("table lacks %q:\n%s", want, out.String())
		}
	}
	r.Targets[0].Violations, r.Targets[1].Violations = nil, nil
	out.Reset()
	is.NoErr(report.Table(&out, r))
	is.True(strings.Contains(out.String(), "verdict: every answer was right"))
}

// Guards against output in which a line is not a complete JSON document.
func TestLinesAreJSON(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(report.Lines(&out, run()))
	kinds := make(map[string]int)
	for line := range strings.Lines(out.String()) {
		var l struct{ Kind, Target string }
		is.NoErr(json.Unmarshal([]byte(line), &l))
		is.True(l.Target != "" || l.Kind == "Run")
		kinds[l.Kind]++
	}
	is.Equal(kinds["Run"], 1)
	is.Equal(kinds["Class"], 4)
	is.Equal(kinds["Upstreams"], 2)
	is.Equal(kinds["Event"], 2)
	is.Equal(kinds["Violation"], 2)
	is.True(kinds["Bucket"] >= 200)
}

// Guards against a page that loads other files, does not escape special
// characters or lacks a chart.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(report.Page(&out, run()))
	page := out.String()
	is.Equal(strings.Count(page, "<svg"), 4) // Tolerant has no answers, so only its coverage chart
	is.True(strings.Contains(page, "test &amp; more"))
	is.True(strings.Contains(page, "document &lt;a&gt; of version 3"))
	is.True(!strings.Contains(page, "slow <1%>"))
	is.True(!regexp.MustCompile(`(src|href)="http`).MatchString(page))
}

// Guards against charts that cannot be rendered, also for a run without requests.
func TestChartsAreDrawn(t *testing.T) {
	is := is.New(t)
	charts, err := report.Charts(run())
	is.NoErr(err)
	for _, c := range charts {
		var out bytes.Buffer
		is.NoErr(c.PNG(&out))
		_, err := png.Decode(&out)
		is.NoErr(err)
	}
	empty, err := report.Charts(&result.Run{Targets: []result.Target{result.NewRecorder(time.Second).Target(nil, nil, nil)}})
	is.NoErr(err)
	is.Equal(len(empty), 0)
}
