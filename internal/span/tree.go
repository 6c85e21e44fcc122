package span

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Print writes one tree of spans for each trace, earliest first. Each line has
// the hop, the start relative to the first span, the duration and the
// attributes of the span. A span whose parent is not in spans is a root.
func Print(w io.Writer, spans []Record) error {
	p := printer{
		w:        w,
		known:    make(map[string]bool, len(spans)),
		children: make(map[string][]Record),
	}
	spans = slices.Clone(spans)
	slices.SortStableFunc(spans, func(a, b Record) int {
		return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.Span, b.Span))
	})
	for i := range spans {
		p.known[spans[i].Trace+spans[i].Span] = true
	}
	var traces []string
	roots := make(map[string][]Record)
	for i := range spans {
		s := spans[i]
		if parent := s.Trace + s.Parent; s.Parent != "" && p.known[parent] {
			p.children[parent] = append(p.children[parent], s)
			continue
		}
		if roots[s.Trace] == nil {
			traces = append(traces, s.Trace)
		}
		roots[s.Trace] = append(roots[s.Trace], s)
	}
	for _, t := range traces {
		p.start = roots[t][0].Began
		p.printf("trace %s at %s\n", t, p.start.Format(time.RFC3339Nano))
		for _, r := range roots[t] {
			p.print(r, 1)
		}
	}
	return errors.Wrap(p.err, "tree cannot be written")
}

// printer writes trees. After a write has failed, err is set and nothing more
// is written.
type printer struct {
	w        io.Writer
	start    time.Time
	known    map[string]bool
	children map[string][]Record
	err      error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// print writes a span and its descendants. The recursion ends even if parent
// links form a cycle: each span in a cycle has a known parent, so none is a
// root and none is reached.
func (p *printer) print(s Record, depth int) {
	name := strings.Repeat("  ", depth) + string(s.Hop)
	p.printf("%-12s %+10.3f ms %10.3f ms  %s\n", name, millis(s.Began.Sub(p.start)), millis(s.Took), s.attributes())
	for _, c := range p.children[s.Trace+s.Span] {
		p.print(c, depth+1)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// attributes lists the attributes of a span for Print.
func (r *Record) attributes() string {
	var attrs []string
	add := func(label, value string) {
		if value != "" {
			attrs = append(attrs, label+value)
		}
	}
	add("", string(r.Reason))
	add("", string(r.Outcome))
	add("", string(r.Result))
	add("request ", string(r.Request))
	add("index ", string(r.Index))
	add("class ", r.Class)
	add("shard ", string(r.Shard))
	add("upstream ", string(r.Upstream))
	if r.Hop == Caller {
		add("host ", string(r.Host))
	}
	return strings.Join(attrs, ", ")
}
