// Package span traces a query over its hops: the caller's request, the entry
// host's engine and each leaf attempt. It accepts W3C trace context and passes
// it on. Sampled spans go to a bounded file of JSON lines and to a ring in
// memory, and can be printed as a tree.
package span

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config sets up a Tracer.
type Config struct {
	Host ident.HostID
	// Ratio is the share of traces that begin here and are recorded, 0 to 1.
	// A trace that a caller began is recorded if the caller says so.
	Ratio float64
	// File takes the spans as JSON lines; empty means none. One earlier file is
	// kept with ".1" added to the name.
	File string
	// MaxFileBytes bounds each file. Zero means 64 MiB.
	MaxFileBytes int64
	// Ring is the number of spans kept in memory. Zero means 8,192.
	Ring int
}

// Tracer records spans. A nil Tracer records none and passes trace context on.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	out      *exporter
}

// New returns a tracer that records until Close.
func New(c Config) (*Tracer, error) {
	if c.Ratio < 0 || c.Ratio > 1 {
		return nil, errors.Errorf("trace ratio is %v: use 0 to 1", c.Ratio)
	}
	out, err := newExporter(c)
	if err != nil {
		return nil, err
	}
	provider := sdk.NewTracerProvider(
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(c.Ratio))),
		sdk.WithBatcher(out, sdk.WithBatchTimeout(exportInterval), sdk.WithMaxQueueSize(maxQueue)),
	)
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("jujubethread"),
		out:      out,
	}, nil
}

// Close exports what is left and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "spans were not all exported")
}

// Span is one hop. A nil Span records nothing.
type Span struct {
	tracer *Tracer
	span   trace.Span
	ctx    context.Context
	// passed is the trace context for the next hop.
	passed string
}

// Caller begins the span of a caller's request. traceparent is the header of
// the caller; one that is not valid is ignored.
func (t *Tracer) Caller(traceparent string, id ident.RequestID) *Span {
	if t == nil {
		return &Span{passed: traceparent}
	}
	ctx := context.Background()
	if traceparent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
	}
	s := t.start(ctx, Caller, trace.SpanKindServer, time.Time{})
	if s.Recording() {
		s.set("Request", string(id))
	}
	return s
}

func (t *Tracer) start(ctx context.Context, hop Hop, kind trace.SpanKind, at time.Time) *Span {
	options := []trace.SpanStartOption{trace.WithSpanKind(kind)}
	if !at.IsZero() {
		options = append(options, trace.WithTimestamp(at))
	}
	ctx, span := t.tracer.Start(ctx, string(hop), options...)
	return &Span{
		tracer: t,
		span:   span,
		ctx:    ctx,
		passed: traceparent(span.SpanContext()),
	}
}

func traceparent(c trace.SpanContext) string {
	if !c.IsValid() {
		return ""
	}
	return "00-" + c.TraceID().String() + "-" + c.SpanID().String() + "-" + c.TraceFlags().String()
}

// Recording reports whether the span is recorded.
func (s *Span) Recording() bool { return s != nil && s.span != nil && s.span.IsRecording() }

// Traceparent returns the trace context for the next hop.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	return s.passed
}

// Entry begins the span of a query in the engine.
func (s *Span) Entry(ev *engine.QueryArrived) *Span {
	if !s.Recording() {
		return s
	}
	child := s.tracer.start(s.ctx, Entry, trace.SpanKindInternal, time.Time{})
	child.set("Index", string(ev.Index))
	child.set("Class", ev.Class.String())
	return child
}

// Attempt begins the span of a leaf attempt. It returns nil when the query is
// not recorded.
func (s *Span) Attempt(send *engine.Send) *Span {
	if !s.Recording() {
		return nil
	}
	child := s.tracer.start(s.ctx, Attempt, trace.SpanKindClient, time.Time{})
	child.set("Shard", string(send.Shard))
	child.set("Upstream", string(send.Upstream))
	child.set("Reason", string(send.Reason))
	return child
}

// Answered ends the span of a caller's request or a query.
func (s *Span) Answered(o engine.Outcome) {
	if s.Recording() {
		s.set("Outcome", string(o))
		s.span.End()
	}
}

// Ended ends the span of an attempt with its result.
func (s *Span) Ended(result engine.FailKind) {
	if s.Recording() {
		s.set("Result", string(result))
		s.span.End()
	}
}

func (s *Span) set(key, value string) { s.span.SetAttributes(attribute.String(key, value)) }

// Sampled reports whether a traceparent asks for its trace to be recorded.
func Sampled(traceparent string) bool {
	parts := strings.Split(traceparent, "-")
	return len(parts) == parentParts && parts[parentParts-1] == sampledFlag
}

// ServeHTTP serves the spans in memory as a JSON list, the oldest first. The
// query parameter Request or Trace selects those of one request or trace.
func (t *Tracer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t == nil {
		http.NotFound(w, r)
		return
	}
	_ = t.provider.ForceFlush(r.Context())
	spans := t.out.recent()
	query := r.URL.Query()
	if trace := query.Get("Trace"); trace != "" {
		spans = OfTrace(spans, trace)
	}
	if id := query.Get("Request"); id != "" {
		spans = OfRequest(spans, ident.RequestID(id))
	}
	_ = wire.Reply(w, http.StatusOK, struct {
		Spans []Record `json:"Spans"`
	}{
		Spans: spans,
	})
}
