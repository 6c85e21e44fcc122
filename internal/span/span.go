// Package span traces a query over its hops: the caller's request, the engine of
// the entry host and each attempt at an upstream. It accepts and propagates W3C
// trace context. Sampled spans are written to a file of JSON lines of limited
// size and to a ring buffer in memory, and can be printed as a tree.
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
	// Ratio is the fraction of the traces started here that are recorded, 0 to
	// 1. A trace started by a caller is recorded if its sampled flag is set.
	Ratio float64
	// File is the path of the file to which spans are written as JSON lines;
	// empty means none. The previous file is kept, with ".1" added to its name.
	File string
	// MaxFileBytes limits each file. Zero means 64 MiB.
	MaxFileBytes int64
	// Ring is the number of spans kept in memory. Zero means 8,192.
	Ring int
}

// Tracer records spans. A nil Tracer records none and propagates the trace
// context of the caller unchanged.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	exporter *exporter
}

// New returns a tracer that records until Close. It returns an error if the
// ratio is out of range or the file cannot be created.
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
		sdk.WithBatcher(out, sdk.WithBatchTimeout(exportInterval), sdk.WithMaxQueueSize(maxQueuedSpans)),
	)
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("jujubethread"),
		exporter: out,
	}, nil
}

// Close exports the remaining spans and closes the file.
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
	// traceparent is the trace context for the next hop.
	traceparent string
}

// StartCaller starts the span of a caller's request. traceparent is the value of
// the caller's header; an invalid one is ignored.
func (t *Tracer) StartCaller(traceparent string, id ident.RequestID) *Span {
	if t == nil {
		return &Span{traceparent: traceparent}
	}
	ctx := context.Background()
	if traceparent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
	}
	s := t.start(ctx, Caller, trace.SpanKindServer, time.Time{})
	if s.Recording() {
		s.setAttribute("Request", string(id))
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
		tracer:      t,
		span:        span,
		ctx:         ctx,
		traceparent: traceparent(span.SpanContext()),
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
	return s.traceparent
}

// StartEntry starts the span of a query in the engine. It returns s if s is not
// recorded.
func (s *Span) StartEntry(ev *engine.QueryArrived) *Span {
	if !s.Recording() {
		return s
	}
	child := s.tracer.start(s.ctx, Entry, trace.SpanKindInternal, time.Time{})
	child.setAttribute("Index", string(ev.Index))
	child.setAttribute("Class", ev.Class.String())
	return child
}

// StartAttempt starts the span of one attempt at an upstream. It returns nil if
// the query is not recorded.
func (s *Span) StartAttempt(send *engine.Send) *Span {
	if !s.Recording() {
		return nil
	}
	child := s.tracer.start(s.ctx, Attempt, trace.SpanKindClient, time.Time{})
	child.setAttribute("Shard", string(send.Shard))
	child.setAttribute("Upstream", string(send.Upstream))
	child.setAttribute("Reason", string(send.Reason))
	return child
}

// EndWithOutcome ends the span of a caller's request or of a query with its
// outcome.
func (s *Span) EndWithOutcome(o engine.Outcome) {
	if s.Recording() {
		s.setAttribute("Outcome", string(o))
		s.span.End()
	}
}

// EndWithResult ends the span of an attempt with its result.
func (s *Span) EndWithResult(result engine.FailKind) {
	if s.Recording() {
		s.setAttribute("Result", string(result))
		s.span.End()
	}
}

func (s *Span) setAttribute(key, value string) { s.span.SetAttributes(attribute.String(key, value)) }

// Sampled reports whether the sampled flag of a traceparent is set, so that its
// trace is to be recorded.
func Sampled(traceparent string) bool {
	parts := strings.Split(traceparent, "-")
	return len(parts) == traceparentFields && parts[traceparentFields-1] == sampledFlag
}

// ServeHTTP serves the spans in memory as a JSON list, oldest first. The query
// parameters Request and Trace select the spans of one request or trace. A nil
// Tracer answers 404.
func (t *Tracer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t == nil {
		http.NotFound(w, r)
		return
	}
	_ = t.provider.ForceFlush(r.Context())
	spans := t.exporter.recent()
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
