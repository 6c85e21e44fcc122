package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Kind is the kind of a difference.
type Kind string

// The kinds of difference.
const (
	// Decided means that the reducer returned other effects than recorded.
	Decided Kind = "Decided"
	// Tampered means that the line does not match its digest.
	Tampered Kind = "Tampered"
	// Unmet means that a figure is outside the range of an expected outcome.
	Unmet Kind = "Unmet"
)

// Difference is the first difference of a replay from its record.
type Difference struct {
	Kind Kind `json:"Kind"`
	// Line is the line number in the file, from 1.
	Line  int             `json:"Line"`
	At    ident.Instant   `json:"At"`
	Type  string          `json:"Type"`
	Event json.RawMessage `json:"Event"`
	// Effect is the index of the effect, from 0. Expected is the recorded
	// effect and Actual the replayed one; either may be nil. For Unmet, they
	// are the expected outcome and the counted figure.
	Effect   int     `json:"Effect"`
	Expected *Effect `json:"Expected,omitempty"`
	Actual   *Effect `json:"Actual,omitempty"`
}

// String describes the difference in one line.
func (d *Difference) String() string {
	at := fmt.Sprintf("line %d, %s at %d ns", d.Line, d.Type, d.At)
	if d.Kind == Tampered {
		return at + ": the line does not match its digest, the record was changed: " + string(d.Event)
	}
	if d.Kind == Unmet {
		return fmt.Sprintf("%s: expected %s, got %s, last changed by event %s", at, d.Expected, d.Actual, d.Event)
	}
	return fmt.Sprintf("%s, effect %d: expected %s, got %s, after event %s", at, d.Effect, d.Expected, d.Actual, d.Event)
}

// String returns the effect with its type.
func (e *Effect) String() string {
	if e == nil {
		return "none"
	}
	return e.Type + " " + string(e.Effect)
}

// Report is the result of a replay.
type Report struct {
	Reducer string `json:"Reducer"`
	Events  int    `json:"Events"`
	Effects int    `json:"Effects"`
	// Outcomes counts the expected outcomes that were checked.
	Outcomes int `json:"Outcomes"`
	// Ended reports that the record is complete, with its End line.
	Ended bool `json:"Ended"`
	// Difference is nil when the replay agrees with the record.
	Difference *Difference `json:"Difference,omitempty"`
}

// CutError reports a record that lacks its last lines. What it has was replayed
// without a difference.
type CutError struct{ Lines int }

// Error names the last line and the remedy.
func (e *CutError) Error() string {
	return fmt.Sprintf("record has no end after line %d, so lines are missing or the process was killed: copy the file whole or record it again", e.Lines)
}

// RunWith replays a record through the reducer that newReducer creates from the
// header. It stops at the first difference. An error means that the record
// cannot be read; it names the line and any unknown type or field. Expected
// outcomes need the monitor of a reducer and are checked by Run only.
func RunWith[E, F any](r io.Reader, codec Codec[E], newReducer func(Header) (Step[E, F], error)) (Report, error) {
	return run(r, codec, func(h Header) (Step[E, F], monitor[E, F], error) {
		step, err := newReducer(h)
		return step, monitor[E, F]{}, err
	})
}

func run[E, F any](r io.Reader, codec Codec[E], newReducer func(Header) (Step[E, F], monitor[E, F], error)) (Report, error) {
	in := jsonl.NewReader(r)
	var head Header
	if err := in.Read(&head); err != nil {
		return Report{}, errors.Wrap(err, "record has no header")
	}
	rep := Report{Reducer: head.Reducer}
	if err := head.check(); err != nil {
		return rep, err
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return rep, errors.Wrap(err, "header cannot be encoded")
	}
	step, m, err := newReducer(head)
	if err != nil {
		return rep, err
	}
	chain := newChain(raw)
	for {
		var l line
		err := in.Read(&l)
		if errors.Is(err, io.EOF) && !rep.Ended {
			return rep, &CutError{Lines: in.Line()}
		}
		if errors.Is(err, io.EOF) {
			return rep, nil
		}
		if err != nil {
			return rep, err
		}
		if rep.Ended {
			return rep, errors.Errorf("line %d follows the end of the record: remove it", in.Line())
		}
		if err := replayLine(&rep, &l, in.Line(), chain, codec, step, m); err != nil || rep.Difference != nil {
			return rep, err
		}
	}
}

func replayLine[E, F any](rep *Report, l *line, number int, chain *chain, codec Codec[E], step Step[E, F], m monitor[E, F]) error {
	if chain.next(l) != l.Digest {
		rep.Difference = newDifference(Tampered, l, number)
		return nil
	}
	if l.Type == typeEnd {
		rep.Ended = true
		return nil
	}
	if l.Type == typeOutcome {
		return checkOutcome(rep, l, number, m.figures)
	}
	if rep.Outcomes > 0 {
		return errors.Errorf("line %d is an event after the expected outcomes: record it again", number)
	}
	ev, err := codec.decode(l.Type, l.Event)
	if err != nil {
		return errors.Wrapf(err, "line %d", number)
	}
	effects, err := stepRecovering(step, l.At, ev)
	if err != nil {
		return errors.Wrapf(err, "line %d, event %s", number, l.Type)
	}
	got, err := encodeEffects(effects)
	if err != nil {
		return errors.Wrapf(err, "line %d", number)
	}
	rep.Events++
	rep.Effects += len(got)
	rep.Difference = compare(l, number, got)
	if m.observe != nil {
		m.figures.line, m.figures.number = l, number
		m.observe(l.At, ev, effects)
	}
	return nil
}

// stepRecovering runs a step and turns a panic of the reducer, which an edited
// event can cause, into an error.
func stepRecovering[E, F any](step Step[E, F], at ident.Instant, ev E) (effects []F, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("reducer failed: %v: record it again or report this fault", p)
		}
	}()
	return step(at, ev), nil
}

func newDifference(kind Kind, l *line, number int) *Difference {
	return &Difference{
		Kind:  kind,
		Line:  number,
		At:    l.At,
		Type:  l.Type,
		Event: l.Event,
	}
}

// compare returns the first difference between the recorded and the replayed
// effects, or nil.
func compare(l *line, number int, got []Effect) *Difference {
	for i := range max(len(l.Effects), len(got)) {
		var expected, actual *Effect
		if i < len(l.Effects) {
			expected = &l.Effects[i]
		}
		if i < len(got) {
			actual = &got[i]
		}
		if expected != nil && actual != nil && expected.Type == actual.Type && bytes.Equal(expected.Effect, actual.Effect) {
			continue
		}
		d := newDifference(Decided, l, number)
		d.Effect, d.Expected, d.Actual = i, expected, actual
		return d
	}
	return nil
}
