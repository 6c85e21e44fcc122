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

func release(b *bytes.Buffer) {
	if b.Cap() <= keepBufferSize {
		buffers.Put(b)
	}
}

// DecodeSearchRequest decodes a caller's search. Unknown, repeated and
// miswritten fields are rejected by name. The error is an *Error.
func DecodeSearchRequest(r io.Reader) (SearchRequest, error) {
	var s SearchRequest
	if err := Strict(r, MaxSearchBytes, &s); err != nil {
		return SearchRequest{}, err
	}
	return s, s.Check()
}

// DecodeFilingRequest decodes a caller's filing as strictly as DecodeSearchRequest.
func DecodeFilingRequest(r io.Reader) (FilingRequest, error) {
	var f FilingRequest
	if err := Strict(r, MaxFilingBytes, &f); err != nil {
		return FilingRequest{}, err
	}
	return f, f.Check()
}

// DecodeLeafSearch decodes a search of an entry host.
func DecodeLeafSearch(r io.Reader) (LeafSearch, error) {
	var s LeafSearch
	if err := Strict(r, MaxSearchBytes, &s); err != nil {
		return LeafSearch{}, err
	}
	return s, s.Check()
}

// DecodeLeafFile decodes a filing of an entry host.
func DecodeLeafFile(r io.Reader) (LeafFile, error) {
	var f LeafFile
	if err := Strict(r, MaxFilingBytes, &f); err != nil {
		return LeafFile{}, err
	}
	return f, f.Check()
}

// DecodeAnswer decodes the answer of an upstream for one shard. Fields that
// are not known are ignored, so that upstreams can be updated first.
func DecodeAnswer(r io.Reader) (engine.Answer, error) {
	var a engine.Answer
	if err := lenient(r, MaxAnswerBytes, &a); err != nil {
		return engine.Answer{}, err
	}
	return a, nil
}

// DecodeLeafFiled decodes an upstream's answer to a filing.
func DecodeLeafFiled(r io.Reader) (LeafFiled, error) {
	var f LeafFiled
	if err := lenient(r, MaxErrorBytes, &f); err != nil {
		return LeafFiled{}, err
	}
	return f, nil
}

// DecodeLeafHealth decodes a health report of an upstream.
func DecodeLeafHealth(r io.Reader) (LeafHealth, error) {
	var h LeafHealth
	if err := lenient(r, MaxHealthBytes, &h); err != nil {
		return LeafHealth{}, err
	}
	return h, h.Check()
}

// DecodeLeafError decodes the body of an upstream's answer that is not 200.
func DecodeLeafError(r io.Reader) (LeafError, error) {
	var e LeafError
	if err := lenient(r, MaxErrorBytes, &e); err != nil {
		return LeafError{}, err
	}
	return e, e.Check()
}

// DecodeSearchAnswer decodes the answer that a caller gets to a search.
func DecodeSearchAnswer(r io.Reader) (SearchAnswer, error) {
	var a SearchAnswer
	if err := lenient(r, MaxMergedBytes, &a); err != nil {
		return SearchAnswer{}, err
	}
	return a, nil
}

// DecodeFilingAnswer decodes the answer that a caller gets to a filing.
func DecodeFilingAnswer(r io.Reader) (FilingAnswer, error) {
	var a FilingAnswer
	if err := lenient(r, MaxErrorBytes, &a); err != nil {
		return FilingAnswer{}, err
	}
	return a, nil
}

// Strict decodes one JSON object of at most limit bytes into the struct that v
// points to. At the top level, fields that are unknown, repeated or written in
// another case are rejected by name; deeper, unknown fields are. Text must be
// valid UTF-8, because encoding/json would replace other bytes and so make
// different bodies equal. The error is an *Error.
func Strict[T any](r io.Reader, limit int, v *T) error {
	return decode(r, limit, v, true)
}

func lenient[T any](r io.Reader, limit int, v *T) error {
	return decode(r, limit, v, false)
}

func decode[T any](r io.Reader, limit int, v *T, strict bool) error {
	kind := reflect.TypeFor[T]()
	buf := buffers.Get().(*bytes.Buffer)
	defer release(buf)
	buf.Reset()
	n, err := buf.ReadFrom(io.LimitReader(r, int64(limit)+1))
	switch {
	case n > int64(limit):
		return &Error{
			Kind:    TooLarge,
			Body:    kind.Name(),
			Problem: fmt.Sprintf("is larger than %d bytes", limit),
			Remedy:  "send a smaller body",
		}
	case err != nil:
		return &Error{
			Kind:    ReadFailed,
			Body:    kind.Name(),
			Problem: "could not be read completely (" + err.Error() + ")",
			Remedy:  "send it again",
			Cause:   err,
		}
	case !utf8.Valid(buf.Bytes()):
		return syntaxError(kind.Name(), errors.New("text is not valid UTF-8"))
	}
	dec := json.NewDecoder(bytes.NewReader(buf.Bytes()))
	if strict {
		if err := checkKeys(buf.Bytes(), kind); err != nil {
			return err
		}
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(v); err != nil {
		return decodeError(kind.Name(), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return syntaxError(kind.Name(), errors.New("more data follows the object"))
	}
	return nil
}

// checkKeys rejects keys that encoding/json would take or overwrite silently:
// repeated keys and keys that differ from a field only in case.
func checkKeys(doc []byte, kind reflect.Type) error {
	dec := json.NewDecoder(bytes.NewReader(doc))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		return syntaxError(kind.Name(), errors.New("body is not a JSON object"))
	}
	known := fieldNames(kind)
	seen := make([]string, 0, len(known))
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return syntaxError(kind.Name(), err)
		}
		key, _ := token.(string)
		if !slices.Contains(known, key) {
			return unknownField(kind.Name(), key, known)
		}
		if slices.Contains(seen, key) {
			return badValue(kind.Name(), key, "is given twice", "give it once")
		}
		seen = append(seen, key)
		var skipped json.RawMessage
		if err := dec.Decode(&skipped); err != nil {
			return syntaxError(kind.Name(), err)
		}
	}
	return nil
}

func fieldNames(kind reflect.Type) []string {
	names := make([]string, 0, kind.NumField())
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		if name == "" {
			name = kind.Field(i).Name
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
