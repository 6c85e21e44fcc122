package span

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Hop is the stage of a request that a span covers.
type Hop string

// The hops.
const (
	Caller  Hop = "Caller"  // a caller's request
	Entry   Hop = "Entry"   // a query in the engine of an entry host
	Attempt Hop = "Attempt" // one request to one upstream
)

// Record is one ended span in the file and in memory.
type Record struct {
	Trace  string `json:"Trace"`
	Span   string `json:"Span"`
	Parent string `json:"Parent,omitempty"`
	Hop    Hop    `json:"Hop"`
	// Host is the entry host that recorded the span.
	Host  ident.HostID `json:"Host"`
	Began time.Time    `json:"Began"`
	// Took is in nanoseconds.
	Took time.Duration `json:"Took"`

	Request  ident.RequestID `json:"Request,omitempty"`
	Index    ident.Index     `json:"Index,omitempty"`
	Class    string          `json:"Class,omitempty"`
	Outcome  engine.Outcome  `json:"Outcome,omitempty"`
	Shard    ident.Shard     `json:"Shard,omitempty"`
	Upstream ident.Upstream  `json:"Upstream,omitempty"`
	Reason   engine.Reason   `json:"Reason,omitempty"`
	// Result is Answered, Cancelled, Late or the kind of failure.
	Result engine.FailKind `json:"Result,omitempty"`
}

func newRecord(host ident.HostID, s sdk.ReadOnlySpan) Record {
	r := Record{
		Trace: s.SpanContext().TraceID().String(),
		Span:  s.SpanContext().SpanID().String(),
		Hop:   Hop(s.Name()),
		Host:  host,
		Began: s.StartTime().UTC(),
		Took:  s.EndTime().Sub(s.StartTime()),
	}
	if s.Parent().IsValid() {
		r.Parent = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		r.setAttribute(string(a.Key), a.Value.AsString())
	}
	return r
}

func (r *Record) setAttribute(key, value string) {
	switch key {
	case "Request":
		r.Request = ident.RequestID(value)
	case "Index":
		r.Index = ident.Index(value)
	case "Class":
		r.Class = value
	case "Outcome":
		r.Outcome = engine.Outcome(value)
	case "Shard":
		r.Shard = ident.Shard(value)
	case "Upstream":
		r.Upstream = ident.Upstream(value)
	case "Reason":
		r.Reason = engine.Reason(value)
	case "Result":
		r.Result = engine.FailKind(value)
	}
}

// Read reads a file of spans. Unknown fields are rejected by name.
func Read(r io.Reader) ([]Record, error) {
	lines := jsonl.NewReader(r)
	var spans []Record
	for {
		var s Record
		err := lines.Read(&s)
		if errors.Is(err, io.EOF) {
			return spans, nil
		}
		if err != nil {
			return nil, err
		}
		spans = append(spans, s)
	}
}

// OfTrace returns the spans of one trace, in their order.
func OfTrace(spans []Record, trace string) []Record {
	matching := []Record{}
	for i := range spans {
		if spans[i].Trace == trace {
			matching = append(matching, spans[i])
		}
	}
	return matching
}

// OfRequest returns the spans of all traces in which a caller's request has
// the given id.
func OfRequest(spans []Record, id ident.RequestID) []Record {
	traces := make(map[string]bool)
	for i := range spans {
		if spans[i].Request == id {
			traces[spans[i].Trace] = true
		}
	}
	matching := []Record{}
	for i := range spans {
		if traces[spans[i].Trace] {
			matching = append(matching, spans[i])
		}
	}
	return matching
}

// exporter implements the SDK's SpanExporter.
type exporter struct {
	host ident.HostID

	mu   sync.Mutex
	ring []Record
	next int
	file *jsonl.Writer
}

func newExporter(c Config) (*exporter, error) {
	if c.Ring == 0 {
		c.Ring = defaultRingSpans
	}
	if c.MaxFileBytes == 0 {
		c.MaxFileBytes = defaultFileBytes
	}
	e := &exporter{
		host: c.Host,
		ring: make([]Record, 0, c.Ring),
	}
	if c.File == "" {
		return e, nil
	}
	var err error
	e.file, err = jsonl.Create(jsonl.Config{
		Path:     c.File,
		MaxBytes: c.MaxFileBytes,
		Rotate:   true,
	})
	return e, err
}

// ExportSpans implements the SDK's SpanExporter.
func (e *exporter) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range spans {
		r := newRecord(e.host, s)
		e.appendRing(r)
		if e.file == nil {
			continue
		}
		if err := e.file.Write(r); err != nil {
			return err
		}
	}
	if e.file == nil {
		return nil
	}
	return e.file.Flush()
}

func (e *exporter) appendRing(r Record) {
	if len(e.ring) < cap(e.ring) {
		e.ring = append(e.ring, r)
		return
	}
	e.ring[e.next] = r
	e.next = (e.next + 1) % len(e.ring)
}

// recent returns the spans in memory, the oldest first.
func (e *exporter) recent() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Record, 0, len(e.ring))
	all = append(all, e.ring[e.next:]...)
	return append(all, e.ring[:e.next]...)
}

// Shutdown implements the SDK's SpanExporter.
func (e *exporter) Shutdown(context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.file == nil {
		return nil
	}
	err := e.file.Close()
	e.file = nil
	return err
}
