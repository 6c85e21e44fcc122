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
	// maxElements bounds arrays and maps in stored data. It allows a snapshot
	// of a ledger group with 200,000 filings.
	maxElements = 1 << 20

	// maxMessageElements bounds arrays and maps in a message. One byte can
	// stand for an empty element of about 150 bytes, so the bound on the size
	// of a message alone would allow a peer to make this process use 600 MB.
	maxMessageElements = 1 << 14
)

// tags lists the concrete types of sealed interfaces with their CBOR tag
// numbers. A number is never reused, since log entries on disk carry it.
var tags = map[uint64]any{
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
// keys and data after the message are errors. Sealed interfaces get values,
// not pointers, so that type switches on value types match.
func Unmarshal(data []byte, v any) error { return decode(storedMode, data, v) }

// UnmarshalMessage is Unmarshal for data of a peer, with lower bounds.
func UnmarshalMessage(data []byte, v any) error { return decode(messageMode, data, v) }

func decode(mode cbor.DecMode, data []byte, v any) error {
	if err := mode.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "message of type %T cannot be decoded: run the same release on all hosts", v)
	}
	settle(reflect.ValueOf(v))
	return nil
}

func newTagSet() cbor.TagSet {
	set := cbor.NewTagSet()
	opts := cbor.TagOptions{
		DecTag: cbor.DecTagRequired,
		EncTag: cbor.EncTagRequired,
	}
	for num, v := range tags {
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
	set := make(map[reflect.Type]bool, len(tags))
	for _, v := range tags {
		set[reflect.TypeOf(v)] = true
	}
	return set
}

// settle replaces pointers to tagged types in interfaces by their values. The
// decoder puts pointers there, which type switches on value types miss.
func settle(v reflect.Value) {
	if !holdsInterface(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			settle(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				settle(v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			settle(v.Index(i))
		}
	case reflect.Interface:
		if e := v.Elem(); e.Kind() == reflect.Pointer && !e.IsNil() && tagged[e.Type().Elem()] {
			settle(e)
			v.Set(e.Elem())
		}
	}
}

// interfaceTypes caches holdsInterface by type, so that decoding of large
// messages without interfaces is not followed by a walk.
var interfaceTypes sync.Map

func holdsInterface(t reflect.Type) bool {
	if known, ok := interfaceTypes.Load(t); ok {
		return known.(bool)
	}
	found := findInterface(t, make(map[reflect.Type]bool))
	interfaceTypes.Store(t, found)
	return found
}

func findInterface(t reflect.Type, seen map[reflect.Type]bool) bool {
	if seen[t] {
		return false
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Interface:
		return true
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return findInterface(t.Elem(), seen)
	case reflect.Struct:
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() && findInterface(f.Type, seen) {
				return true
			}
		}
	}
	return false
}
