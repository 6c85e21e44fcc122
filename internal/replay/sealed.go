package replay

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
)

// Values of interface fields inside events and effects, for example the body of
// a message, are written with their type: {"Type":"VoteReply","Value":{…}}.
// Types without such fields use encoding/json.

// sealed is the encoded value of an interface field with its type.
type sealed struct {
	Type  string          `json:"Type"`
	Value json.RawMessage `json:"Value"`
}

// hasInterface reports whether a value of type t can contain an interface. seen
// ends the recursion for types that contain themselves.
func hasInterface(t reflect.Type, seen map[reflect.Type]bool) bool {
	if seen[t] {
		return false
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Interface:
		return true
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return hasInterface(t.Elem(), seen)
	case reflect.Struct:
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() && hasInterface(f.Type, seen) {
				return true
			}
		}
	}
	return false
}

// interfaceFree caches the results of isInterfaceFree, which runs for each
// event.
var interfaceFree sync.Map // of reflect.Type to bool

func isInterfaceFree(t reflect.Type) bool {
	if cached, ok := interfaceFree.Load(t); ok {
		return cached.(bool)
	}
	free := !hasInterface(t, make(map[reflect.Type]bool))
	interfaceFree.Store(t, free)
	return free
}

func fieldName(f reflect.StructField) string {
	if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
		return name
	}
	return f.Name
}

func marshal(v reflect.Value) (json.RawMessage, error) {
	if isInterfaceFree(v.Type()) {
		return json.Marshal(v.Interface())
	}
	switch v.Kind() {
	case reflect.Interface:
		if v.IsNil() {
			return json.RawMessage("null"), nil
		}
		raw, err := marshal(v.Elem())
		if err != nil {
			return nil, err
		}
		return json.Marshal(sealed{
			Type:  v.Elem().Type().Name(),
			Value: raw,
		})
	case reflect.Pointer:
		if v.IsNil() {
			return json.RawMessage("null"), nil
		}
		return marshal(v.Elem())
	case reflect.Slice:
		return marshalSlice(v)
	case reflect.Struct:
		return marshalStruct(v)
	default:
		return nil, errors.Errorf("type %s contains interfaces: use a slice or struct", v.Type())
	}
}

func marshalSlice(v reflect.Value) (json.RawMessage, error) {
	if v.IsNil() {
		return json.RawMessage("null"), nil
	}
	items := make([]json.RawMessage, v.Len())
	for i := range items {
		raw, err := marshal(v.Index(i))
		if err != nil {
			return nil, err
		}
		items[i] = raw
	}
	return json.Marshal(items)
}

func marshalStruct(v reflect.Value) (json.RawMessage, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() || omitted(f, v.Field(i)) {
			continue
		}
		raw, err := marshal(v.Field(i))
		if err != nil {
			return nil, err
		}
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		out.WriteString(`"` + fieldName(f) + `":`)
		out.Write(raw)
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// omitted reports whether a field is left out: a zero value with the option omitzero, so
// that records from before the field was added stay as they are.
func omitted(f reflect.StructField, v reflect.Value) bool {
	_, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return options == "omitzero" && v.IsZero()
}

// variants are the types that interface fields may contain, by name.
type variants map[string]reflect.Type

func (vs variants) unmarshal(raw json.RawMessage, v reflect.Value) error {
	if isInterfaceFree(v.Type()) {
		return jsonl.Decode(raw, v.Addr().Interface())
	}
	if string(raw) == "null" {
		v.SetZero()
		return nil
	}
	switch v.Kind() {
	case reflect.Interface:
		return vs.unmarshalSealed(raw, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return vs.unmarshal(raw, v.Elem())
	case reflect.Slice:
		var items []json.RawMessage
		if err := jsonl.Decode(raw, &items); err != nil {
			return err
		}
		v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
		for i := range items {
			if err := vs.unmarshal(items[i], v.Index(i)); err != nil {
				return err
			}
		}
		return nil
	case reflect.Struct:
		return vs.unmarshalStruct(raw, v)
	default:
		return errors.Errorf("type %s contains interfaces: use a slice or struct", v.Type())
	}
}

func (vs variants) unmarshalSealed(raw json.RawMessage, v reflect.Value) error {
	var s sealed
	if err := jsonl.Decode(raw, &s); err != nil {
		return err
	}
	t, ok := vs[s.Type]
	if !ok || !t.Implements(v.Type()) {
		return errors.Errorf("type %q is not known as %s: use the version that wrote the record", s.Type, v.Type())
	}
	value := reflect.New(t).Elem()
	if err := vs.unmarshal(s.Value, value); err != nil {
		return errors.Wrap(err, s.Type)
	}
	v.Set(value)
	return nil
}

func (vs variants) unmarshalStruct(raw json.RawMessage, v reflect.Value) error {
	var fields map[string]json.RawMessage
	if err := jsonl.Decode(raw, &fields); err != nil {
		return err
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := fieldName(f)
		part, ok := fields[name]
		if !ok || !f.IsExported() {
			continue
		}
		delete(fields, name)
		if err := vs.unmarshal(part, v.Field(i)); err != nil {
			return errors.Wrap(err, name)
		}
	}
	for name := range fields {
		return errors.Errorf("unknown field %q: use the version that wrote the record", name)
	}
	return nil
}
