package replay

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const typeOutcome = "Outcome"

// Outcome is an expected range of one figure, a count over a complete record. A
// figure is counted from the recorded events and the replayed effects, so that
// it does not depend on the recorded effects.
type Outcome struct {
	// Figure is one of the names that the monitor of the reducer declares.
	Figure  string `json:"Figure"`
	AtLeast int64  `json:"AtLeast"`
	AtMost  int64  `json:"AtMost"`
}

// figure is a count with the line that last changed it and that line's number.
type figure struct {
	value  int64
	line   *line
	number int
}

// figures are the counts of one replay. line is the event being replayed, the
// number-th line of the file.
type figures struct {
	byName map[string]*figure
	line   *line
	number int
}

func newFigures(names ...string) *figures {
	f := &figures{byName: make(map[string]*figure, len(names))}
	for _, n := range names {
		f.byName[n] = &figure{}
	}
	return f
}

func (f *figures) add(name string) { f.set(name, f.byName[name].value+1) }

func (f *figures) addIf(cond bool, name string) {
	if cond {
		f.add(name)
	}
}

func (f *figures) set(name string, v int64) {
	g := f.byName[name]
	if g.value != v {
		g.value, g.line, g.number = v, f.line, f.number
	}
}

// monitor counts the figures of one reducer. observe is called after each event.
type monitor[E, F any] struct {
	figures *figures
	observe func(now ident.Instant, ev E, effects []F)
}

// Expect writes outcomes that a replay must confirm. Call it after the last
// event and before Close.
func (r *Recorder[E, F]) Expect(outcomes ...Outcome) error {
	for _, o := range outcomes {
		if r.out == nil {
			return errors.New("recording has stopped early: raise MaxBytes")
		}
		raw, err := json.Marshal(o)
		if err != nil {
			return errors.Wrap(err, "outcome cannot be recorded")
		}
		if err := r.write(r.lastAt, typeOutcome, raw, nil); err != nil {
			return err
		}
	}
	return nil
}

// checkOutcome compares an expected outcome with the figures of the replay. The
// difference names the event that last changed the figure, if there is one.
func checkOutcome(rep *Report, l *line, number int, f *figures) error {
	var o Outcome
	if err := jsonl.Decode(l.Event, &o); err != nil {
		return errors.Wrapf(err, "line %d, outcome", number)
	}
	if f == nil || f.byName[o.Figure] == nil {
		return errors.Errorf("line %d: figure %q is not known for reducer %q: use the version that wrote the record", number, o.Figure, rep.Reducer)
	}
	rep.Outcomes++
	g := f.byName[o.Figure]
	if o.AtLeast <= g.value && g.value <= o.AtMost {
		return nil
	}
	if g.line != nil {
		l, number = g.line, g.number
	}
	d := newDifference(Unmet, l, number)
	actual := Outcome{
		Figure:  o.Figure,
		AtLeast: g.value,
		AtMost:  g.value,
	}
	for _, p := range []struct {
		dst **Effect
		o   Outcome
	}{{&d.Expected, o}, {&d.Actual, actual}} {
		raw, err := json.Marshal(p.o)
		if err != nil {
			return errors.Wrap(err, "outcome cannot be encoded")
		}
		*p.dst = &Effect{
			Type:   typeOutcome,
			Effect: raw,
		}
	}
	rep.Difference = d
	return nil
}
