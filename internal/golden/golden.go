// Package golden generates the recorded traces under testdata/traces from
// seeded scenarios. Each scenario runs real reducers against small fakes in
// virtual time, so that the same program writes the same files.
package golden

import (
	"path/filepath"
	"slices"

	"github.com/jujubethread/jujubethread/internal/replay"
)

// Trace is one recorded trace.
type Trace struct {
	// Name is the file name without its ending.
	Name string
	// Guards says which fault the trace shows.
	Guards string
	// write records the trace at path.
	write func(path string) error
}

// ending of the trace files.
const ending = ".jsonl"

// maxBytes bounds one trace.
const maxBytes = 150 << 10

// unbounded is the upper bound of a figure that must only be reached.
const unbounded = 1 << 40

// List returns all traces, sorted by name.
func List() []Trace {
	all := slices.Concat(queries(), pairs(), filings(), changes(), copies(), seats(), groups())
	slices.SortFunc(all, func(a, b Trace) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Path returns the file of the trace in a folder.
func (t Trace) Path(folder string) string { return filepath.Join(folder, t.Name+ending) }

// Write records the trace in a folder.
func (t Trace) Write(folder string) error { return t.write(t.Path(folder)) }

// none states that figures are zero.
func none(names ...string) []replay.Outcome {
	var all []replay.Outcome
	for _, n := range names {
		all = append(all, replay.Outcome{Figure: n})
	}
	return all
}

func atLeast(name string, n int64) replay.Outcome {
	return replay.Outcome{
		Figure:  name,
		AtLeast: n,
		AtMost:  unbounded,
	}
}

func atMost(name string, n int64) replay.Outcome {
	return replay.Outcome{
		Figure: name,
		AtMost: n,
	}
}

func exactly(name string, n int64) replay.Outcome {
	return replay.Outcome{
		Figure:  name,
		AtLeast: n,
		AtMost:  n,
	}
}

// tape records a reducer and keeps the first error.
type tape[E, F any] struct {
	*replay.Recorder[E, F]
	failed error
}

func newTape[E, F any](path, reducer string, setup any, step replay.Step[E, F]) (*tape[E, F], error) {
	t := &tape[E, F]{}
	rec, err := replay.NewRecorder(replay.Config{
		Path:     path,
		MaxBytes: maxBytes,
		Reducer:  reducer,
		Setup:    setup,
		Failed:   func(err error) { t.failed = err },
	}, step)
	t.Recorder = rec
	return t, err
}

// end states the outcomes and closes the record.
func (t *tape[E, F]) end(broken []string, outcomes ...replay.Outcome) error {
	if t.failed != nil {
		return t.failed
	}
	if err := t.State(append(none(broken...), outcomes...)...); err != nil {
		return err
	}
	return t.Close()
}
