// Package replay records the events and effects of a reducer as JSON lines and
// replays the events through a new reducer. A replay shows whether the reducer
// still makes the same decisions, and whether the record was edited.
//
// The first line of a file is a Header with the setup of the reducer. Each
// further line is one event with its effects:
//
//	{"At":1000,"Type":"QueryArrived","Event":{…},"Effects":[{"Type":"Send","Effect":{…}}],"Digest":"…"}
//
// At is in nanoseconds since the start of the recorded process. Digest is a
// hash over this line and all lines before it, so that an edit is detected even
// if it changes no effect. It detects accidents, not forgery. After the events
// come the expected outcomes, if any, as lines of the Type Outcome. The last
// line has the Type End; a file without it was truncated.
package replay

import (
	"encoding/binary"
	"encoding/json"
	"reflect"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	format  = "jujubethread-audit"
	version = 1
	typeEnd = "End"
)

// Header is the first line of a record.
type Header struct {
	Format  string `json:"Format"`
	Version int    `json:"Version"`
	// Reducer names the recorded reducer.
	Reducer string `json:"Reducer"`
	// Setup is the configuration of the reducer with its seed.
	Setup json.RawMessage `json:"Setup"`
}

func (h Header) check() error {
	if h.Format != format {
		return errors.Errorf("file has format %q: name a record of format %q", h.Format, format)
	}
	if h.Version != version {
		return errors.Errorf("record has version %d: replay it with the program that wrote it, this one reads version %d", h.Version, version)
	}
	return nil
}

// line is one line after the header: an event with its effects, an expected
// outcome or the end of the record.
type line struct {
	At      ident.Instant   `json:"At"`
	Type    string          `json:"Type"`
	Event   json.RawMessage `json:"Event"`
	Effects []Effect        `json:"Effects"`
	Digest  string          `json:"Digest"`
}

// Effect is one effect in its recorded form.
type Effect struct {
	Type   string          `json:"Type"`
	Effect json.RawMessage `json:"Effect"`
}

// chain is the running digest of a record.
type chain struct {
	sum  uint64
	hash *xxhash.Digest
}

func newChain(head []byte) *chain {
	return &chain{
		sum:  xxhash.Sum64(head),
		hash: xxhash.New(),
	}
}

// next appends a line to the chain and returns the line's digest.
func (c *chain) next(l *line) string {
	c.hash.Reset()
	c.writeUint64(c.sum)
	c.writeUint64(uint64(l.At))
	c.writeBytes([]byte(l.Type))
	c.writeBytes(l.Event)
	for i := range l.Effects {
		c.writeBytes([]byte(l.Effects[i].Type))
		c.writeBytes(l.Effects[i].Effect)
	}
	c.sum = c.hash.Sum64()
	return strconv.FormatUint(c.sum, 16)
}

func (c *chain) writeUint64(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = c.hash.Write(b[:])
}

// writeBytes hashes b after its length, so that moving bytes from one part to
// the next changes the digest.
func (c *chain) writeBytes(b []byte) {
	c.writeUint64(uint64(len(b)))
	_, _ = c.hash.Write(b)
}

// encode returns the name of v's type and its JSON form.
func encode(v any) (string, json.RawMessage, error) {
	raw, err := marshal(reflect.ValueOf(v))
	return reflect.TypeOf(v).Name(), raw, errors.Wrapf(err, "value of type %T cannot be recorded", v)
}

func encodeEffects[F any](effects []F) ([]Effect, error) {
	out := make([]Effect, len(effects))
	for i, ef := range effects {
		name, raw, err := encode(ef)
		if err != nil {
			return nil, err
		}
		out[i] = Effect{
			Type:   name,
			Effect: raw,
		}
	}
	return out, nil
}

// Codec decodes the events of one reducer.
type Codec[E any] struct {
	types    map[string]reflect.Type
	variants variants
}

// NewCodec returns a codec for events of the types of the samples.
func NewCodec[E any](samples ...E) Codec[E] {
	c := Codec[E]{
		types:    make(map[string]reflect.Type, len(samples)),
		variants: make(variants),
	}
	for _, s := range samples {
		t := reflect.TypeOf(s)
		c.types[t.Name()] = t
	}
	return c
}

// WithVariants adds the types of the samples to those that interface fields of
// events may contain.
func (c Codec[E]) WithVariants(samples ...any) Codec[E] {
	for _, s := range samples {
		t := reflect.TypeOf(s)
		c.variants[t.Name()] = t
	}
	return c
}

// decode returns the event of the named type. The error names an unknown type
// or field.
func (c Codec[E]) decode(name string, raw json.RawMessage) (E, error) {
	var zero E
	t, ok := c.types[name]
	if !ok {
		return zero, errors.Errorf("event type %q is not known: use the version that wrote the record", name)
	}
	v := reflect.New(t).Elem()
	if err := c.variants.unmarshal(raw, v); err != nil {
		return zero, errors.Wrapf(err, "event %s", name)
	}
	return v.Interface().(E), nil
}
