package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/engine"
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		buffers.Put(b)
	}
}

// DecodeSearchRequest decodes and checks a caller's search. Unknown and
// repeated fields, and field names in another case, are rejected by name. The
// error is an *Error.
func DecodeSearchRequest(r io.Reader) (SearchRequest, error) {
	var s SearchRequest
	if err := DecodeStrict(r, MaxSearchBytes, &s); err != nil {
		return SearchRequest{}, err
	}
	return s, s.Check()
}

// DecodeFilingRequest decodes and checks a caller's filing, as strictly as
// DecodeSearchRequest.
func DecodeFilingRequest(r io.Reader) (FilingRequest, error) {
	var f FilingRequest
	if err := DecodeStrict(r, MaxFilingBytes, &f); err != nil {
		return FilingRequest{}, err
	}
	return f, f.Check()
}

// DecodeLeafSearch decodes and checks a search from an entry host, as strictly
// as DecodeSearchRequest.
func DecodeLeafSearch(r io.Reader) (LeafSearch, error) {
	var s LeafSearch
	if err := DecodeStrict(r, MaxSearchBytes, &s); err != nil {
		return LeafSearch{}, err
	}
	return s, s.Check()
}

// DecodeLeafFile decodes and checks a filing from an entry host, as strictly as
// DecodeSearchRequest.
func DecodeLeafFile(r io.Reader) (LeafFile, error) {
	var f LeafFile
	if err := DecodeStrict(r, MaxFilingBytes, &f); err != nil {
		return LeafFile{}, err
	}
	return f, f.Check()
}

// DecodeAnswer decodes an upstream's answer for one shard. Unknown fields are
// ignored, so that upstreams can be upgraded before the entry hosts.
func DecodeAnswer(r io.Reader) (engine.Answer, error) {
	var a engine.Answer
	if err := decodeLenient(r, MaxAnswerBytes, &a); err != nil {
		return engine.Answer{}, err
	}
	return a, nil
}

// DecodeLeafFiled decodes an upstream's answer to a filing. Unknown fields are
// ignored.
func DecodeLeafFiled(r io.Reader) (LeafFiled, error) {
	var f LeafFiled
	if err := decodeLenient(r, MaxErrorBytes, &f); err != nil {
		return LeafFiled{}, err
	}
	return f, nil
}

// DecodeLeafHealth decodes and checks a health report from an upstream. Unknown
// fields are ignored.
func DecodeLeafHealth(r io.Reader) (LeafHealth, error) {
	var h LeafHealth
	if err := decodeLenient(r, MaxHealthBytes, &h); err != nil {
		return LeafHealth{}, err
	}
	return h, h.Check()
}

// DecodeLeafError decodes and checks the body of an upstream's answer whose
// status is not 200. Unknown fields are ignored.
func DecodeLeafError(r io.Reader) (LeafError, error) {
	var e LeafError
	if err := decodeLenient(r, MaxErrorBytes, &e); err != nil {
		return LeafError{}, err
	}
	return e, e.Check()
}

// DecodeSearchAnswer decodes the answer to a caller's search. Unknown fields
// are ignored.
func DecodeSearchAnswer(r io.Reader) (SearchAnswer, error) {
	var a SearchAnswer
	if err := decodeLenient(r, MaxMergedBytes, &a); err != nil {
		return SearchAnswer{}, err
	}
	return a, nil
}

// DecodeFilingAnswer decodes the answer to a caller's filing. Unknown fields
// are ignored.
func DecodeFilingAnswer(r io.Reader) (FilingAnswer, error) {
	var a FilingAnswer
	if err := decodeLenient(r, MaxErrorBytes, &a); err != nil {
		return FilingAnswer{}, err
	}
	return a, nil
}

// DecodeStrict decodes one JSON object of at most limit bytes into the struct
// that v points to. At the top level, fields that are unknown, repeated or
// written in another case are rejected by name; in nested objects, only unknown
// fields are. Text must be valid UTF-8, because encoding/json would replace
// invalid bytes and so decode different bodies to the same value. The error is
// an *Error.
func DecodeStrict[T any](r io.Reader, limit int, v *T) error {
	return decode(r, limit, v, true)
}

func decodeLenient[T any](r io.Reader, limit int, v *T) error {
	return decode(r, limit, v, false)
}

func decode[T any](r io.Reader, limit int, v *T, strict bool) error {
	typ := reflect.TypeFor[T]()
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	buf.Reset()
	n, err := buf.ReadFrom(io.LimitReader(r, int64(limit)+1))
	switch {
	case n > int64(limit):
		return &Error{
			Kind:    TooLarge,
			Body:    typ.Name(),
			Problem: fmt.Sprintf("is larger than %d bytes", limit),
			Remedy:  "send a smaller body",
		}
	case err != nil:
		return &Error{
			Kind:    ReadFailed,
			Body:    typ.Name(),
			Problem: "could not be read completely (" + err.Error() + ")",
			Remedy:  "send it again",
			Cause:   err,
		}
	case !utf8.Valid(buf.Bytes()):
		return syntaxError(typ.Name(), errors.New("text is not valid UTF-8"))
	}
	dec := json.NewDecoder(bytes.NewReader(buf.Bytes()))
	if strict {
		if err := checkKeys(buf.Bytes(), typ); err != nil {
			return err
		}
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(v); err != nil {
		return decodeError(typ.Name(), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return syntaxError(typ.Name(), errors.New("more data follows the object"))
	}
	return nil
}

// checkKeys rejects unknown keys, and keys that encoding/json would accept
// silently: repeated keys and keys that differ from a field name only in case.
func checkKeys(doc []byte, typ reflect.Type) error {
	dec := json.NewDecoder(bytes.NewReader(doc))
	first, err := dec.Token()
	if err != nil || first != json.Delim('{') {
		return syntaxError(typ.Name(), errors.New("body is not a JSON object"))
	}
	known := fieldNames(typ)
	seen := make([]string, 0, len(known))
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return syntaxError(typ.Name(), err)
		}
		key, _ := token.(string)
		if !slices.Contains(known, key) {
			return unknownField(typ.Name(), key, known)
		}
		if slices.Contains(seen, key) {
			return badValue(typ.Name(), key, "is given twice", "give it once")
		}
		seen = append(seen, key)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return syntaxError(typ.Name(), err)
		}
	}
	return nil
}

func fieldNames(typ reflect.Type) []string {
	names := make([]string, 0, typ.NumField())
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if name == "" {
			name = typ.Field(i).Name
		}
		names = append(names, name)
	}
	return names
}

func unknownField(body, field string, known []string) *Error {
	return &Error{
		Kind:    UnknownField,
		Body:    body,
		Field:   field,
		Problem: "is not a known field",
		Remedy:  "use " + strings.Join(known, ", "),
	}
}

func syntaxError(body string, cause error) *Error {
	return &Error{
		Kind:    BadSyntax,
		Body:    body,
		Problem: "cannot be decoded (" + cause.Error() + ")",
		Remedy:  "send one JSON object as the protocol describes",
		Cause:   cause,
	}
}

func decodeError(body string, err error) *Error {
	var bad *json.UnmarshalTypeError
	if errors.As(err, &bad) {
		return badValue(body, bad.Field, "cannot hold a "+bad.Value, "use a value of type "+bad.Type.String())
	}
	const prefix = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), prefix); ok {
		return &Error{
			Kind:    UnknownField,
			Body:    body,
			Field:   strings.Trim(name, `"`),
			Problem: "is not a known field",
			Remedy:  "remove it",
			Cause:   err,
		}
	}
	return syntaxError(body, err)
}
