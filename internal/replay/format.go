// Package replay records the events and effects of a reducer as JSON lines and
// replays them through a fresh reducer. A replay shows whether the reducer
// still decides as it did, and whether the record was changed.
//
// The first line of a file is a Header with the set-up of the reducer. Each
// further line is one event with its effects:
//
//	{"At":1000,"Type":"QueryArrived","Event":{…},"Effects":[{"Type":"Send","Effect":{…}}],"Digest":"…"}
//
// At is in nanoseconds since the start of the recorded process. Digest chains
// over the line and all lines before it, so that an edit is found even if it
// changes no effect. It detects accidents, not forgery. The last line has the
// Type End; a file without it was cut off.
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

// line is one event with its effects.
type line struct {
	At      ident.Instant   `json:"At"`
	Type    string          `json:"Type"`
	Event   json.RawMessage `json:"Event"`
	Effects []Effect        `json:"Effects"`
	Digest  string          `json:"Digest"`
}

// Effect is one effect as recorded.
type Effect struct {
	Type   string          `json:"Type"`
	Effect json.RawMessage `json:"Effect"`
}

// chain is the running digest of a record.
type chain struct {
	last uint64
	hash *xxhash.Digest
}

func newChain(head []byte) *chain {
	return &chain{
		last: xxhash.Sum64(head),
		hash: xxhash.New(),
	}
}

// next returns the digest of a line that follows the ones before.
func (c *chain) next(l *line) string {
	c.hash.Reset()
	c.number(c.last)
	c.number(uint64(l.At))
	c.text([]byte(l.Type))
	c.text(l.Event)
	for i := range l.Effects {
		c.text([]byte(l.Effects[i].Type))
		c.text(l.Effects[i].Effect)
	}
	c.last = c.hash.Sum64()
	return strconv.FormatUint(c.last, 16)
}

func (c *chain) number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = c.hash.Write(b[:])
}

// text hashes a part with its length, so that parts cannot run into each other.
func (c *chain) text(b []byte) {
	c.number(uint64(len(b)))
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
	types map[string]reflect.Type
	held  variants
}

// NewCodec returns a codec for the types of the samples.
func NewCodec[E any](samples ...E) Codec[E] {
	c := Codec[E]{
		types: make(map[string]reflect.Type, len(samples)),
		held:  make(variants),
	}
	for _, s := range samples {
		t := reflect.TypeOf(s)
		c.types[t.Name()] = t
	}
	return c
}

// Holding adds the types that interface fields of events may hold.
func (c Codec[E]) Holding(samples ...any) Codec[E] {
	for _, s := range samples {
		t := reflect.TypeOf(s)
		c.held[t.Name()] = t
	}
	return c
}

// decode rejects unknown types and fields by name.
func (c Codec[E]) decode(name string, raw json.RawMessage) (E, error) {
	var none E
	t, ok := c.types[name]
	if !ok {
		return none, errors.Errorf("event type %q is not known: use the version that wrote the record", name)
	}
	v := reflect.New(t).Elem()
	if err := c.held.unmarshal(raw, v); err != nil {
		return none, errors.Wrapf(err, "event %s", name)
	}
	return v.Interface().(E), nil
}
