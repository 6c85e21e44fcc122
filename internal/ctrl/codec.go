package ctrl

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/jujubethread/jujubethread/pkg/config"
)

// The CBOR tags of configuration changes. They are stored on disk: numbers
// are never reused.
const (
	tagSwitchPreset   = 41001
	tagPutPreset      = 41002
	tagAddUpstream    = 41003
	tagRetireUpstream = 41004
	tagRemoveUpstream = 41005
	tagPlaceShards    = 41006
	tagSetSeats       = 41007
)

const maxArray = 1 << 24 // elements

var encoding, decoding = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	tags := cbor.NewTagSet()
	for number, sample := range map[uint64]config.Change{
		tagSwitchPreset:   config.SwitchPreset{},
		tagPutPreset:      config.PutPreset{},
		tagAddUpstream:    config.AddUpstream{},
		tagRetireUpstream: config.RetireUpstream{},
		tagRemoveUpstream: config.RemoveUpstream{},
		tagPlaceShards:    config.PlaceShards{},
		tagSetSeats:       config.SetSeats{},
	} {
		opts := cbor.TagOptions{
			DecTag: cbor.DecTagRequired,
			EncTag: cbor.EncTagRequired,
		}
		if err := tags.Add(opts, reflect.TypeOf(sample), number); err != nil {
			panic("tags are constant: " + err.Error())
		}
	}
	enc, err := cbor.CoreDetEncOptions().EncModeWithTags(tags)
	if err != nil {
		panic("encoder options are constant: " + err.Error())
	}
	dec, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxArray,
	}.DecModeWithTags(tags)
	if err != nil {
		panic("decoder options are constant: " + err.Error())
	}
	return enc, dec
}

// plainChange returns the value behind a pointer: the decoder stores a
// pointer in an interface field, while a Change is a plain value.
func plainChange(c config.Change) config.Change {
	v := reflect.ValueOf(c)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		return c
	}
	plain, ok := v.Elem().Interface().(config.Change)
	if !ok {
		return c
	}
	return plain
}
