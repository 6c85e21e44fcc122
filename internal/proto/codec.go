package proto

import (
	"reflect"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

const (
	// maxElements limits arrays and maps in stored data. It admits a snapshot
	// of a ledger group with 200,000 filings.
	maxElements = 1 << 20

	// maxMessageElements limits arrays and maps in a message. One encoded byte
	// can decode to an empty element of about 150 bytes, so with the limit on
	// the message size alone a peer could make this process allocate 600 MB.
	maxMessageElements = 1 << 14
)

// taggedValues maps CBOR tag numbers to the concrete types of sealed interfaces.
// A number is never reused, since log entries on disk contain it.
var taggedValues = map[uint64]any{
	40_000: config.SwitchPreset{},
	40_001: config.PutPreset{},
	40_002: config.AddUpstream{},
	40_003: config.RetireUpstream{},
	40_004: config.RemoveUpstream{},
	40_005: config.PlaceShards{},
	40_006: config.SetSeats{},
	40_020: ledger.Reserve{},
	40_021: ledger.Complete{},
	40_022: ledger.Release{},
	40_023: ledger.Expire{},
	40_024: ledger.Resolve{},
}

var (
	tagSet      = newTagSet()
	encMode     = newEncMode()
	storedMode  = newDecMode(maxElements)
	messageMode = newDecMode(maxMessageElements)
	tagged      = taggedTypes()
)

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrapf(err, "message of type %T cannot be encoded", v)
}

// Unmarshal decodes CBOR into v, which is a pointer. Unknown fields, duplicate
// keys and data after the message are errors. Sealed interfaces are set to
// values, not pointers, so that type switches on value types match.
func Unmarshal(data []byte, v any) error { return decode(storedMode, data, v) }

// UnmarshalMessage is Unmarshal for data from a peer, with lower limits on
// arrays and maps.
func UnmarshalMessage(data []byte, v any) error { return decode(messageMode, data, v) }

func decode(mode cbor.DecMode, data []byte, v any) error {
	if err := mode.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "message of type %T cannot be decoded: run the same release on all hosts", v)
	}
	dereferenceTagged(reflect.ValueOf(v))
	return nil
}

func newTagSet() cbor.TagSet {
	set := cbor.NewTagSet()
	opts := cbor.TagOptions{
		DecTag: cbor.DecTagRequired,
		EncTag: cbor.EncTagRequired,
	}
	for num, v := range taggedValues {
		if err := set.Add(opts, reflect.TypeOf(v), num); err != nil {
			panic("the table of CBOR tags is not valid: " + err.Error())
		}
	}
	return set
}

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncModeWithTags(tagSet)
	if err != nil {
		panic("the CBOR encoding options are not valid: " + err.Error())
	}
	return mode
}

func newDecMode(elements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  elements,
		MaxMapPairs:       elements,
	}.DecModeWithTags(tagSet)
	if err != nil {
		panic("the CBOR decoding options are not valid: " + err.Error())
	}
	return mode
}

func taggedTypes() map[reflect.Type]bool {
	set := make(map[reflect.Type]bool, len(taggedValues))
	for _, v := range taggedValues {
		set[reflect.TypeOf(v)] = true
	}
	return set
}

// dereferenceTagged replaces pointers to tagged types in interfaces by their
// values. The decoder stores pointers, which type switches on value types do
// not match.
func dereferenceTagged(v reflect.Value) {
	if !containsInterface(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			dereferenceTagged(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				dereferenceTagged(v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dereferenceTagged(v.Index(i))
		}
	case reflect.Interface:
		if e := v.Elem(); e.Kind() == reflect.Pointer && !e.IsNil() && tagged[e.Type().Elem()] {
			dereferenceTagged(e)
			v.Set(e.Elem())
		}
	}
}

// interfaceTypes caches the results of containsInterface by type, so that large
// messages without interfaces are not walked after decoding.
var interfaceTypes sync.Map

func containsInterface(t reflect.Type) bool {
	if cached, ok := interfaceTypes.Load(t); ok {
		return cached.(bool)
	}
	found := searchInterface(t, make(map[reflect.Type]bool))
	interfaceTypes.Store(t, found)
	return found
}

func searchInterface(t reflect.Type, seen map[reflect.Type]bool) bool {
	if seen[t] {
		return false
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Interface:
		return true
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return searchInterface(t.Elem(), seen)
	case reflect.Struct:
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() && searchInterface(f.Type, seen) {
				return true
			}
		}
	}
	return false
}
