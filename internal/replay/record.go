package replay

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// maxEngineRecordBytes limits the record of an engine to about 250,000 calls of
// upstreams at 1.1 KB each.
const maxEngineRecordBytes = 256 << 20

// flushInterval limits how much of the record is lost when the process is
// killed.
const flushInterval = time.Second

// Step is the step function of a reducer: it processes one event and returns
// the effects.
type Step[E, F any] func(now ident.Instant, ev E) []F

// Config sets up a Recorder.
type Config struct {
	Path string
	// MaxBytes limits the size of the file. Recording stops at the limit, and
	// the file is not rotated, since a replay needs all events from the start.
	// Zero means 64 MiB.
	MaxBytes int64
	// Reducer names the reducer. Setup is its configuration with its seed.
	Reducer string
	Setup   any
	// Failed, if not nil, is called once with the error when recording stops
	// early.
	Failed func(error)
}

// Recorder wraps a reducer and records its events and effects. Only the
// goroutine that owns the reducer may use it. When the file is full or a write
// fails, recording stops and the reducer continues.
type Recorder[E, F any] struct {
	step      Step[E, F]
	config    Config
	out       *jsonl.Writer // nil after recording has stopped
	chain     *chain
	lastAt    ident.Instant
	flushedAt ident.Instant
}

// NewRecorder starts a record and replaces an existing file at the same path.
func NewRecorder[E, F any](c Config, step Step[E, F]) (*Recorder[E, F], error) {
	setup, err := json.Marshal(c.Setup)
	if err != nil {
		return nil, errors.Wrapf(err, "setup of reducer %q cannot be recorded", c.Reducer)
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
	// Encode the event first, because the reducer may retain and change parts
	// of it.
	name, raw, err := encode(ev)
	effects := r.step(now, ev)
	if err == nil {
		err = r.write(now, name, raw, effects)
	}
	if err != nil {
		r.stop(err)
	}
	return effects
}

func (r *Recorder[E, F]) write(now ident.Instant, name string, raw json.RawMessage, effects []F) error {
	encoded, err := encodeEffects(effects)
	if err != nil {
		return err
	}
	l := line{
		At:      now,
		Type:    name,
		Event:   raw,
		Effects: encoded,
	}
	l.Digest = r.chain.next(&l)
	r.lastAt = now
	if err := r.out.Write(l); err != nil {
		return err
	}
	if now.Sub(r.flushedAt) < flushInterval {
		return nil
	}
	r.flushedAt = now
	return r.out.Flush()
}

func (r *Recorder[E, F]) stop(err error) {
	_ = r.out.Close()
	r.out = nil
	if r.config.Failed != nil {
		r.config.Failed(errors.Wrap(err, "recording stopped"))
	}
}

// Close writes the last line of the record. It must not be called concurrently
// with Step.
func (r *Recorder[E, F]) Close() error {
	if r.out == nil {
		return nil
	}
	end := line{
		At:    r.lastAt,
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
