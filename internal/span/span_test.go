package span_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	callerTraceID     = "4bf92f3577b34da6a3ce929d0e0e4736"
	callerSpanID      = "00f067aa0ba902b7"
	callerTraceparent = "00-" + callerTraceID + "-" + callerSpanID + "-01"
)

// recordQuery records a query with two attempts.
func recordQuery(t *span.Tracer, traceparent string) (sent string) {
	caller := t.StartCaller(traceparent, "req-1")
	entry := caller.StartEntry(&engine.QueryArrived{
		Index: "review-panel",
		Class: preset.Critical,
	})
	first := entry.StartAttempt(&engine.Send{
		Shard:    "s1",
		Upstream: "u1",
		Reason:   engine.First,
	})
	hedge := entry.StartAttempt(&engine.Send{
		Shard:    "s1",
		Upstream: "u2",
		Reason:   engine.Hedge,
	})
	sent = hedge.Traceparent()
	hedge.EndWithResult("Answered")
	first.EndWithResult("Cancelled")
	entry.EndWithOutcome(engine.Done)
	caller.EndWithOutcome(engine.Done)
	return sent
}

// Guards against spans whose trace, parent or result is missing from the file,
// and against a file that cannot be read back and printed as a tree.
func TestTreeOfAQuery(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "spans")
	tr, err := span.New(span.Config{
		Host: "h1",
		File: path,
	})
	is.NoErr(err)
	sent := recordQuery(tr, callerTraceparent)
	is.True(strings.HasPrefix(sent, "00-"+callerTraceID+"-")) // the caller's trace continues
	is.True(!strings.Contains(sent, callerSpanID))            // with the attempt as parent
	is.True(span.Sampled(sent))
	is.NoErr(tr.Close(context.Background()))

	file, err := os.Open(path)
	is.NoErr(err)
	defer file.Close()
	spans, err := span.Read(file)
	is.NoErr(err)
	var tree bytes.Buffer
	is.NoErr(span.Print(&tree, span.OfRequest(spans, "req-1")))
	times := regexp.MustCompile(`trace \w+ at \S+|\s+[+\d.]+ ms\s+[\d.]+ ms`)
	is.Equal(times.ReplaceAllString(tree.String(), ""), `
  Caller  Done, request req-1, host h1
    Entry  Done, index review-panel, class Critical
      Attempt  First, Cancelled, shard s1, upstream u1
      Attempt  Hedge, Answered, shard s1, upstream u2
`)
	_, err = span.Read(strings.NewReader(`{"Trace":"x","Colour":1}`))
	is.True(err != nil && strings.Contains(err.Error(), "Colour"))
}

// Guards against recording traces that are not sampled, and against a ring
// buffer or file that grows without limit.
func TestSamplingAndBounds(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "spans")
	tr, err := span.New(span.Config{
		File:         path,
		MaxFileBytes: 2000,
		Ring:         6,
	})
	is.NoErr(err)
	is.Equal(recordQuery(tr, ""), "")                                                // ratio 0
	is.Equal(recordQuery(tr, strings.TrimSuffix(callerTraceparent, "01")+"00"), "")  // the caller's sampled flag is not set
	is.Equal(span.Sampled(tr.StartCaller("nonsense", "req-2").Traceparent()), false) // invalid traceparent
	for range 10 {
		recordQuery(tr, callerTraceparent)
	}
	rec := httptest.NewRecorder()
	tr.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/traces?Trace="+callerTraceID, nil))
	var got struct{ Spans []span.Record }
	is.NoErr(json.Unmarshal(rec.Body.Bytes(), &got))
	is.Equal(len(got.Spans), 6)
	is.Equal(got.Spans[5].Hop, span.Caller) // the newest is last
	is.NoErr(tr.Close(context.Background()))
	for _, name := range []string{path, path + ".1"} {
		info, err := os.Stat(name)
		is.NoErr(err)
		is.True(info.Size() <= 2000)
	}
	var none *span.Tracer
	is.Equal(none.StartCaller(callerTraceparent, "req-1").Traceparent(), callerTraceparent)
	none.StartCaller("", "").StartEntry(nil).EndWithOutcome(engine.Done)
	is.NoErr(none.Close(context.Background()))
}

// Guards against omitting spans whose parent was not recorded.
func TestSpanWithoutItsParentIsARoot(t *testing.T) {
	is := is.New(t)
	var tree bytes.Buffer
	is.NoErr(span.Print(&tree, []span.Record{{
		Trace:  "t",
		Span:   "s",
		Parent: "lost",
		Hop:    span.Attempt,
		Began:  time.Unix(0, 0).UTC(),
		Took:   1500 * time.Microsecond,
		Result: engine.TimedOut,
	}}))
	is.Equal(tree.String(), "trace t at 1970-01-01T00:00:00Z\n  Attempt        +0.000 ms      1.500 ms  TimedOut\n")
}
