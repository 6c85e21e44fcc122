package wire_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// Guards against a caller's body that is accepted although a part of it is
// ignored, as encoding/json does with unknown and repeated fields.
func TestCallerBodiesAreStrict(t *testing.T) {
	for _, c := range []struct {
		body  string
		kind  wire.ErrorKind
		field string
	}{
		{`{"Index":"a","Terms":"x","Depth":3}`, wire.UnknownField, "Depth"},
		{`{"index":"a","Terms":"x"}`, wire.UnknownField, "index"},
		{`{"Index":"a","Index":"b"}`, wire.BadValue, "Index"},
		{`{"Index":"a"} {}`, wire.BadSyntax, ""},
		{`{"Index":"a","Terms":"` + "\xff" + `"}`, wire.BadSyntax, ""},
		{`{"Index":"a","Limit":"3"}`, wire.BadValue, "Limit"},
		{`{"Index":"a","Limit":-1}`, wire.BadValue, "Limit"},
		{`{"Index":"a","Class":"Urgent"}`, wire.BadValue, "Class"},
		{`{"Index":"a","DeadlineMillis":600001}`, wire.BadValue, "DeadlineMillis"},
		{`{"Terms":"x"}`, wire.BadValue, "Index"},
		{`[]`, wire.BadSyntax, ""},
		{`{"Index":"a"`, wire.BadSyntax, ""},
		{`{"Index":"a","Terms":"` + strings.Repeat("x", wire.MaxSearchBytes) + `"}`, wire.TooLarge, ""},
	} {
		is := is.New(t)
		_, err := wire.DecodeSearchRequest(strings.NewReader(c.body))
		var bad *wire.Error
		is.True(errors.As(err, &bad))
		is.Equal(bad.Kind, c.kind)
		is.Equal(bad.Field, c.field)
		is.True(bad.Remedy != "")
		is.True(len(err.Error()) < 400) // the message must not repeat a large body
	}
}

type endlessReader struct{ read int }

func (e *endlessReader) Read(b []byte) (int, error) {
	e.read += len(b)
	for i := range b {
		b[i] = ' '
	}
	return len(b), nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against memory that grows with an endless answer, and against a
// broken connection that is reported as a malformed answer.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	body := &endlessReader{}
	_, err := wire.DecodeAnswer(body)
	var bad *wire.Error
	is.True(errors.As(err, &bad))
	is.Equal(bad.Kind, wire.TooLarge)
	is.True(body.read <= 4*wire.MaxAnswerBytes)
	_, err = wire.DecodeAnswer(failingReader{})
	is.True(errors.As(err, &bad))
	is.Equal(bad.Kind, wire.ReadFailed)
	_, err = wire.DecodeLeafError(strings.NewReader(`{"Kind":"Busy"}`))
	is.True(errors.As(err, &bad))
	is.Equal(bad.Field, "Kind")
}

// Guards against headers that override the body or are used unchecked.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	h.Set(wire.HeaderClass, "Critical")
	h.Set(wire.HeaderDeadline, "250")
	h.Set(wire.HeaderRequestID, "r-1")
	s := wire.SearchRequest{Class: "Tolerant"}
	is.NoErr(s.FillFrom(h))
	is.Equal(s.Class, "Tolerant")
	is.Equal(int(s.DeadlineMillis), 250)
	id, err := wire.RequestIDFrom(h)
	is.NoErr(err)
	is.Equal(string(id), "r-1")
	h.Set(wire.HeaderRequestID, "r 1")
	_, err = wire.RequestIDFrom(h)
	is.True(err != nil)
	h.Set(wire.HeaderDeadline, "soon")
	s = wire.SearchRequest{}
	is.True(s.FillFrom(h) != nil)
}

// Guards against an answer that is decoded to another value than was encoded.
func TestReplyDecodes(t *testing.T) {
	is := is.New(t)
	sent := engine.Answer{
		Request:   "r-1",
		Attempt:   7,
		Shard:     "a/1",
		Version:   3,
		Documents: []engine.Document{{ID: "d", Revision: 1 << 60, Score: 0.25, Body: "é\u2028<"}},
		Held:      []engine.Held{},
	}
	w := httptest.NewRecorder()
	is.NoErr(wire.Reply(w, http.StatusOK, sent))
	got, err := wire.DecodeAnswer(w.Body)
	is.NoErr(err)
	sent.Held = nil // empty lists are omitted
	is.Equal(got, sent)
}

func FuzzDecodeSearchRequest(f *testing.F) {
	for _, s := range []string{`{"Index":"a","Terms":"x","Limit":1,"Class":"Critical","DeadlineMillis":5}`, `{"Index":"a","a":[{}]}`, `{`, ``, `null`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		s, err := wire.DecodeSearchRequest(bytes.NewReader(doc))
		checkRoundTrip(t, s, err, wire.DecodeSearchRequest)
	})
}

func FuzzDecodeFilingRequest(f *testing.F) {
	f.Add([]byte(`{"Index":"a","Body":"text"}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		s, err := wire.DecodeFilingRequest(bytes.NewReader(doc))
		checkRoundTrip(t, s, err, wire.DecodeFilingRequest)
	})
}

func FuzzDecodeLeafSearch(f *testing.F) {
	f.Add([]byte(`{"Request":"r","Attempt":1,"Index":"a","Shard":"a/1","Version":2,"Terms":"x","Limit":3,"Class":"Tolerant","RemainingMicros":9}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		s, err := wire.DecodeLeafSearch(bytes.NewReader(doc))
		checkRoundTrip(t, s, err, wire.DecodeLeafSearch)
	})
}

func FuzzDecodeLeafFile(f *testing.F) {
	f.Add([]byte(`{"Request":"r","Fence":1,"Shard":"a/1","Body":"text","RemainingMicros":9}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		s, err := wire.DecodeLeafFile(bytes.NewReader(doc))
		checkRoundTrip(t, s, err, wire.DecodeLeafFile)
	})
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add([]byte(`{"Request":"r","Attempt":1,"Shard":"s","Version":2,"Documents":[{"ID":"d","Revision":1,"Score":0.5,"Body":"b"}],"Held":[{"Shard":"s","Versions":[1,2]}]}`))
	f.Add([]byte(`{"Kind":"Shed","Health":"Ready"}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		_, _ = wire.DecodeAnswer(bytes.NewReader(doc))
		_, _ = wire.DecodeLeafFiled(bytes.NewReader(doc))
		_, _ = wire.DecodeLeafError(bytes.NewReader(doc))
		_, _ = wire.DecodeLeafHealth(bytes.NewReader(doc))
		_, _ = wire.DecodeSearchAnswer(bytes.NewReader(doc))
		_, _ = wire.DecodeFilingAnswer(bytes.NewReader(doc))
	})
}

// checkRoundTrip checks that an accepted body, encoded and decoded again, gives
// the same value, and that a rejected body gives an *Error with a remedy.
func checkRoundTrip[T comparable](t *testing.T, first T, err error, decode func(io.Reader) (T, error)) {
	var bad *wire.Error
	if err != nil {
		if !errors.As(err, &bad) || bad.Remedy == "" {
			t.Fatalf("error %v has no remedy", err)
		}
		return
	}
	doc, err := wire.Encode(first)
	if err != nil {
		t.Fatal(err)
	}
	second, err := decode(bytes.NewReader(doc))
	if err != nil || second != first {
		t.Fatalf("%+v became %+v (%v)", first, second, err)
	}
}
