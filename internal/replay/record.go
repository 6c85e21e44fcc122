package replay

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// engineBytes bounds a record of the engine: about 250,000 leaf calls at 1.1 KB.
const engineBytes = 256 << 20

// flushInterval bounds what a killed process loses of its record.
const flushInterval = time.Second

// Step is a reducer: it takes one event and returns effects.
type Step[E, F any] func(now ident.Instant, ev E) []F

// Config sets up a Recorder.
type Config struct {
	Path string
	// MaxBytes bounds the file; recording stops there, since a replay needs
	// all events from the start. Zero means 64 MiB.
	MaxBytes int64
	// Reducer names the reducer and Setup is its configuration with its seed.
	Reducer string
	Setup   any
	// Failed is told once why recording stopped early. Optional.
	Failed func(error)
}

// Recorder wraps a reducer and records what it does. It is used by the one
// goroutine that owns the reducer. When the file is full or cannot be written,
// recording stops and the reducer goes on.
type Recorder[E, F any] struct {
	step   Step[E, F]
	config Config
	out    *jsonl.Writer // nil after recording has stopped
	chain  *chain
	last   ident.Instant
	flush  ident.Instant
}

// NewRecorder starts a record in place of an earlier one of the same name.
func NewRecorder[E, F any](c Config, step Step[E, F]) (*Recorder[E, F], error) {
	setup, err := json.Marshal(c.Setup)
	if err != nil {
		return nil, errors.Wrapf(err, "set-up of reducer %q cannot be recorded", c.Reducer)
	}
	head := Header{
		Format:  format,
		Version: version,
		Reducer: c.Reducer,
		Setup:   setup,
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "header cannot be recorded")
	}
	out, err := jsonl.Create(jsonl.Config{
		Path:     c.Path,
		MaxBytes: c.MaxBytes,
	})
	if err != nil {
		return nil, err
	}
	return &Recorder[E, F]{
		step:   step,
		config: c,
		out:    out,
		chain:  newChain(raw),
	}, out.Write(head)
}

// Step runs the reducer and records the event with its effects.
func (r *Recorder[E, F]) Step(now ident.Instant, ev E) []F {
	if r.out == nil {
		return r.step(now, ev)
	}
	// The event is encoded first, because the reducer may keep parts of it.
	name, raw, err := encode(ev)
	effects := r.step(now, ev)
	if err == nil {
		err = r.write(now, name, raw, effects)
	}
	if err != nil {
		r.fail(err)
	}
	return effects
}

func (r *Recorder[E, F]) write(now ident.Instant, name string, raw json.RawMessage, effects []F) error {
	done, err := encodeEffects(effects)
	if err != nil {
		return err
	}
	l := line{
		At:      now,
		Type:    name,
		Event:   raw,
		Effects: done,
	}
	l.Digest = r.chain.next(&l)
	r.last = now
	if err := r.out.Write(l); err != nil {
		return err
	}
	if now.Sub(r.flush) < flushInterval {
		return nil
	}
	r.flush = now
	return r.out.Flush()
}

func (r *Recorder[E, F]) fail(err error) {
	_ = r.out.Close()
	r.out = nil
	if r.config.Failed != nil {
		r.config.Failed(errors.Wrap(err, "recording stopped"))
	}
}

// Close writes the end of the record. It must not run at the same time as Step.
func (r *Recorder[E, F]) Close() error {
	if r.out == nil {
		return nil
	}
	end := line{
		At:    r.last,
		Type:  typeEnd,
		Event: json.RawMessage("{}"),
	}
	end.Digest = r.chain.next(&end)
	err := r.out.Write(end)
	if cerr := r.out.Close(); err == nil {
		err = cerr
	}
	r.out = nil
	return err
}
