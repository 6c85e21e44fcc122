package report

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Lines writes a result as JSON lines. The field Kind is the type of a line: Run,
// Class, Flow, Upstreams, Event, Violation, Example or Bucket.
func Lines(w io.Writer, r *result.Run) error {
	enc := json.NewEncoder(w)
	write := func(line any) error { return errors.Wrap(enc.Encode(line), "JSON line cannot be written") }
	err := write(struct {
		Kind        string
		Scenario    string
		Seed        uint64
		Started     time.Time
		Warmup      time.Duration
		Duration    time.Duration
		Interrupted bool
		Violations  int
	}{
		Kind:        "Run",
		Scenario:    r.Scenario,
		Seed:        r.Seed,
		Started:     r.Started,
		Warmup:      r.Warmup,
		Duration:    r.Duration,
		Interrupted: r.Interrupted,
		Violations:  r.ViolationCount(),
	})
	if err != nil {
		return err
	}
	for _, t := range r.Targets {
		if err := targetLines(write, t); err != nil {
			return err
		}
	}
	return nil
}

// lineHeader has the first fields of every line of a target.
type lineHeader struct {
	Kind   string
	Target string
}

func targetLines(write func(any) error, t result.Target) error {
	header := func(kind string) lineHeader {
		return lineHeader{
			Kind:   kind,
			Target: t.Name,
		}
	}
	type group struct {
		lineHeader
		result.Group
	}
	lines := []any{struct {
		lineHeader
		Policy string
		result.Upstreams
		LagP99Micros int64
		NotSent      int64
	}{
		lineHeader:   header("Upstreams"),
		Policy:       t.Policy,
		Upstreams:    t.Upstreams,
		LagP99Micros: t.LagP99Micros,
		NotSent:      t.NotSent,
	}}
	for _, g := range t.Classes {
		lines = append(lines, group{lineHeader: header("Class"), Group: g})
	}
	for _, g := range t.Flows {
		lines = append(lines, group{lineHeader: header("Flow"), Group: g})
	}
	for _, e := range t.Events {
		lines = append(lines, struct {
			lineHeader
			result.Event
		}{lineHeader: header("Event"), Event: e})
	}
	for _, v := range t.Violations {
		lines = append(lines, struct {
			lineHeader
			Violation check.Kind
			Count     int
		}{lineHeader: header("Violation"), Violation: v.Kind, Count: v.Count})
	}
	for _, v := range t.Examples {
		lines = append(lines, struct {
			lineHeader
			Example check.Violation
		}{lineHeader: header("Example"), Example: v})
	}
	for _, s := range t.Timeline {
		for _, b := range s.Buckets {
			lines = append(lines, struct {
				lineHeader
				Class preset.Class
				result.Bucket
			}{lineHeader: header("Bucket"), Class: s.Class, Bucket: b})
		}
	}
	for _, l := range lines {
		if err := write(l); err != nil {
			return err
		}
	}
	return nil
}
