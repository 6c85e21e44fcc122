// Package golden generates the recorded traces under testdata/traces from
// seeded scenarios. Each scenario runs the real reducers against small fakes in
// virtual time, so the same code always writes the same files.
package golden

import (
	"path/filepath"
	"slices"

	"github.com/jujubethread/jujubethread/internal/replay"
)

// Trace is a generator of one recorded trace.
type Trace struct {
	// Name is the file name without its extension.
	Name string
	// Guards describes the failure that a replay of the trace detects.
	Guards string
	// write records the trace at path.
	write func(path string) error
}

const extension = ".jsonl"

// maxTraceBytes is the size limit of one trace file.
const maxTraceBytes = 150 << 10

// unbounded is the upper bound of a figure that has only a lower bound.
const unbounded = 1 << 40

// List returns all traces, sorted by name.
func List() []Trace {
	all := slices.Concat(engineTraces(), pairTraces(), filingTraces(), configTraces(), followTraces(), seatTraces(), quorumTraces())
	slices.SortFunc(all, func(a, b Trace) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Path returns the path of the trace file in a folder.
func (t Trace) Path(folder string) string { return filepath.Join(folder, t.Name+extension) }

// Write runs the scenario and records the trace in a folder. It fails if the
// scenario does not run as intended or the file cannot be written.
func (t Trace) Write(folder string) error { return t.write(t.Path(folder)) }

// allZero returns the expectation that each of the figures is zero.
func allZero(names ...string) []replay.Outcome {
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

// recording records the events and effects of a reducer. It keeps the error
// that the recorder reported, if any.
type recording[E, F any] struct {
	*replay.Recorder[E, F]
	err error
}

func newRecording[E, F any](path, reducer string, setup any, step replay.Step[E, F]) (*recording[E, F], error) {
	r := &recording[E, F]{}
	rec, err := replay.NewRecorder(replay.Config{
		Path:     path,
		MaxBytes: maxTraceBytes,
		Reducer:  reducer,
		Setup:    setup,
		Failed:   func(err error) { r.err = err },
	}, step)
	r.Recorder = rec
	return r, err
}

// finish writes the expected outcomes, with zero for all figures that count
// violations, and closes the file.
func (r *recording[E, F]) finish(violations []string, expected ...replay.Outcome) error {
	if r.err != nil {
		return r.err
	}
	if err := r.Expect(append(allZero(violations...), expected...)...); err != nil {
		return err
	}
	return r.Close()
}
