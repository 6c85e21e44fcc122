package wire

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Check returns an *Error that names the first bad field, or nil.
func (s SearchRequest) Check() error {
	const body = "SearchRequest"
	if err := checkName(body, "Index", string(s.Index)); err != nil {
		return err
	}
	if err := checkLength(body, "Terms", len(s.Terms), maxTermsBytes); err != nil {
		return err
	}
	if s.Limit < 0 || s.Limit > maxDocuments {
		return outOfRange(body, "Limit", int64(s.Limit), maxDocuments)
	}
	if s.DeadlineMillis < 0 || s.DeadlineMillis > maxDeadlineMillis {
		return outOfRange(body, "DeadlineMillis", int64(s.DeadlineMillis), int64(maxDeadlineMillis))
	}
	if s.Class == "" {
		return nil
	}
	return checkClass(body, "Class", s.Class)
}

// Check returns an *Error that names the first bad field, or nil.
func (f FilingRequest) Check() error {
	const body = "FilingRequest"
	if err := checkName(body, "Index", string(f.Index)); err != nil {
		return err
	}
	if f.Body == "" {
		return badValue(body, "Body", "is empty", "give the text to file")
	}
	return nil
}

// Check returns an *Error that names the first bad field, or nil.
func (s LeafSearch) Check() error {
	const body = "LeafSearch"
	if err := checkRequestID(body, s.Request); err != nil {
		return err
	}
	if err := checkName(body, "Shard", string(s.Shard)); err != nil {
		return err
	}
	if err := checkLength(body, "Terms", len(s.Terms), maxTermsBytes); err != nil {
		return err
	}
	if s.Limit < 0 || s.Limit > maxDocuments {
		return outOfRange(body, "Limit", int64(s.Limit), maxDocuments)
	}
	return checkRemaining(body, s.RemainingMicros)
}

// Check returns an *Error that names the first bad field, or nil.
func (f LeafFile) Check() error {
	const body = "LeafFile"
	if err := checkRequestID(body, f.Request); err != nil {
		return err
	}
	if err := checkName(body, "Shard", string(f.Shard)); err != nil {
		return err
	}
	return checkRemaining(body, f.RemainingMicros)
}

// Check returns an *Error if the health is not a known state.
func (h LeafHealth) Check() error {
	switch h.Health {
	case engine.HealthReady, engine.HealthCold, engine.HealthDraining:
		return nil
	}
	return badValue("LeafHealth", "Health", "is "+quote(string(h.Health)), "use Ready, Cold or Draining")
}

// Check returns an *Error if the kind is not known.
func (e LeafError) Check() error {
	switch e.Kind {
	case engine.Shed, engine.Draining, engine.Refused, engine.VersionGone, engine.WrongShard,
		engine.Broken, engine.TimedOut, engine.Malformed:
		return nil
	}
	return badValue("LeafError", "Kind", "is "+quote(string(e.Kind)), "use a kind of engine.FailKind")
}

// FillFrom sets the class and the deadline from the headers if the body has
// none. It returns an *Error if a header that it uses is invalid.
func (s *SearchRequest) FillFrom(h http.Header) error {
	if class := h.Get(HeaderClass); s.Class == "" && class != "" {
		if err := checkClass("header", HeaderClass, class); err != nil {
			return err
		}
		s.Class = class
	}
	text := h.Get(HeaderDeadline)
	if s.DeadlineMillis != 0 || text == "" {
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > int64(maxDeadlineMillis) {
		return badValue("header", HeaderDeadline, "is "+quote(text), fmt.Sprintf("use 1 to %d", maxDeadlineMillis))
	}
	s.DeadlineMillis = ident.Millis(n)
	return nil
}

// RequestIDFrom returns the request id in the headers, or an empty one if the
// caller sent none. It returns an *Error if the id is too long or not
// printable.
func RequestIDFrom(h http.Header) (ident.RequestID, error) {
	id := ident.RequestID(h.Get(HeaderRequestID))
	if id == "" {
		return "", nil
	}
	return id, checkRequestID("header", id)
}

// TraceFrom returns the trace context in the headers. It is empty if there is
// none or if it is too long to be valid.
func TraceFrom(h http.Header) string {
	if text := h.Get(HeaderTrace); len(text) <= maxTraceBytes {
		return text
	}
	return ""
}

func checkClass(body, field, class string) error {
	if _, err := preset.ParseClass(class); err != nil {
		return badValue(body, field, "is "+quote(class), "use Critical, Standard or Tolerant")
	}
	return nil
}

func checkName(body, field, name string) error {
	if name == "" {
		return badValue(body, field, "is empty", "give its name")
	}
	return checkLength(body, field, len(name), maxNameBytes)
}

// checkRequestID rejects ids that are not printable ASCII, since ids are
// written to headers and logs.
func checkRequestID(body string, id ident.RequestID) error {
	if err := checkName(body, HeaderRequestID, string(id)); err != nil {
		return err
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return badValue(body, HeaderRequestID, "has a character that is not printable ASCII", "use letters, digits and punctuation")
		}
	}
	return nil
}

func checkRemaining(body string, micros int64) error {
	if limit := int64(maxDeadlineMillis) * 1_000; micros < 0 || micros > limit {
		return outOfRange(body, "RemainingMicros", micros, limit)
	}
	return nil
}

func checkLength(body, field string, n, limit int) error {
	if n <= limit {
		return nil
	}
	return badValue(body, field, fmt.Sprintf("has %d bytes", n), fmt.Sprintf("use at most %d", limit))
}

func outOfRange(body, field string, n, limit int64) error {
	return badValue(body, field, fmt.Sprintf("is %d", n), fmt.Sprintf("use 0 to %d", limit))
}
