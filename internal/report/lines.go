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

// Lines writes a result as JSON lines. Kind tells what a line is: Run, Class,
// Flow, Upstreams, Event, Violation, Example or Bucket.
func Lines(w io.Writer, r *result.Run) error {
	out := json.NewEncoder(w)
	put := func(line any) error { return errors.Wrap(out.Encode(line), "JSON line cannot be written") }
	err := put(struct {
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
		Violations:  r.Broken(),
	})
	if err != nil {
		return err
	}
	for _, t := range r.Targets {
		if err := targetLines(put, t); err != nil {
			return err
		}
	}
	return nil
}

// head is what all lines of a target begin with.
type head struct {
	Kind   string
	Target string
}

func targetLines(put func(any) error, t result.Target) error {
	at := func(kind string) head {
		return head{
			Kind:   kind,
			Target: t.Name,
		}
	}
	type group struct {
		head
		result.Group
	}
	lines := []any{struct {
		head
		Policy string
		result.Upstreams
		LagP99Micros int64
		NotSent      int64
	}{
		head:         at("Upstreams"),
		Policy:       t.Policy,
		Upstreams:    t.Upstreams,
		LagP99Micros: t.LagP99Micros,
		NotSent:      t.NotSent,
	}}
	for _, g := range t.Classes {
		lines = append(lines, group{head: at("Class"), Group: g})
	}
	for _, g := range t.Flows {
		lines = append(lines, group{head: at("Flow"), Group: g})
	}
	for _, e := range t.Events {
		lines = append(lines, struct {
			head
			result.Event
		}{head: at("Event"), Event: e})
	}
	for _, v := range t.Violations {
		lines = append(lines, struct {
			head
			Violation check.Kind
			Count     int
		}{head: at("Violation"), Violation: v.Kind, Count: v.Count})
	}
	for _, v := range t.Examples {
		lines = append(lines, struct {
			head
			Example check.Violation
		}{head: at("Example"), Example: v})
	}
	for _, s := range t.Timeline {
		for _, b := range s.Buckets {
			lines = append(lines, struct {
				head
				Class preset.Class
				result.Bucket
			}{head: at("Bucket"), Class: s.Class, Bucket: b})
		}
	}
	for _, l := range lines {
		if err := put(l); err != nil {
			return err
		}
	}
	return nil
}
