package simul

import (
	"fmt"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Stats counts what happened and every violated guarantee.
type Stats struct {
	Asked   int
	Done    int
	Partial int
	NotRun  int
	Firsts  int
	Hedges  int
	Retries int
	Probes  int
	// Distorted is the number of answers that were crossed, doubled or false.
	Distorted int
	// Faults lists the first violations, FaultCount counts all.
	Faults     []string
	FaultCount int
	// Latency of answers that are not NotRun, in microseconds, by class.
	Latency [len(preset.Classes)]*hdrhistogram.Histogram
	// Outcomes by class and outcome.
	Class [len(preset.Classes)]Outcomes
}

// Outcomes counts the answers of a class.
type Outcomes struct {
	Asked   int
	Done    int
	Partial int
	NotRun  int
}

// Sends returns the number of calls of any kind.
func (s *Stats) Sends() int { return s.Firsts + s.Hedges + s.Retries }

// P99 returns the 99th percentile of the latency over all classes.
func (s *Stats) P99() time.Duration {
	all := newHistogram()
	for _, h := range s.Latency {
		if h != nil {
			all.Merge(h)
		}
	}
	return time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
}

// ClassP99 returns the 99th percentile of the latency of a class.
func (s *Stats) ClassP99(c preset.Class) time.Duration {
	if s.Latency[c] == nil {
		return 0
	}
	return time.Duration(s.Latency[c].ValueAtQuantile(99)) * time.Microsecond
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// asked is a query without an answer, or shortly after it.
type asked struct {
	class    preset.Class
	at       ident.Instant
	deadline ident.Instant
	sends    int
	host     *host
	refused  bool // the host may not run it
}

func request(id ident.QueryID) ident.RequestID {
	return ident.RequestID("r" + strconv.FormatUint(uint64(id), 10))
}

func (d *Driver) expect(h *host, id ident.QueryID, c preset.Class, budget time.Duration) {
	limit := d.State.Preset().Limits(c).DeadlineMillis.Duration()
	if budget > 0 {
		limit = min(limit, budget)
	}
	d.Stats.Asked++
	d.Stats.Class[c].Asked++
	d.asked[id] = &asked{
		class:    c,
		at:       d.now,
		deadline: d.now.Add(limit),
		host:     h,
		refused:  h.draining || h.seat == engine.SeatNone,
	}
}

func (d *Driver) sent(s engine.Send, l *Leaf) {
	switch s.Reason {
	case engine.First:
		d.Stats.Firsts++
	case engine.Hedge:
		d.Stats.Hedges++
	case engine.Retry:
		d.Stats.Retries++
	}
	if d.Sent != nil {
		d.Sent(s)
	}
	q := d.asked[s.Query]
	if q == nil {
		d.fault("query %d: call after the answer", s.Query)
		return
	}
	q.sends++
	foreign := q.host.seat == engine.SeatExpired && l.domain != q.host.domain
	if q.refused || foreign || q.host.seat == engine.SeatNone {
		d.fault("query %d: call with seat %s, draining %t", s.Query, q.host.seat, q.host.draining)
	}
	if s.Request != request(s.Query) || s.Version == 0 || s.Remaining <= 0 || s.Remaining > q.deadline.Sub(d.now) {
		d.fault("query %d: bad call %+v", s.Query, s)
	}
	if l.retired {
		d.fault("query %d: call to retired %s", s.Query, l.ID)
	}
}

func (d *Driver) fault(format string, args ...any) {
	d.Stats.FaultCount++
	if len(d.Stats.Faults) < 10 {
		d.Stats.Faults = append(d.Stats.Faults, fmt.Sprintf("%v: ", time.Duration(d.now))+fmt.Sprintf(format, args...))
	}
}

// check compares a reply with what was asked and with what the leaves hold.
func (d *Driver) check(r engine.Reply) {
	q := d.asked[r.Query]
	if q == nil {
		d.fault("query %d: answered twice", r.Query)
		return
	}
	delete(d.asked, r.Query)
	if d.now > q.deadline.Add(slack) {
		d.fault("query %d: %v after its deadline", r.Query, d.now.Sub(q.deadline))
	}
	if r.Request != request(r.Query) {
		d.fault("query %d: answer for %s", r.Query, r.Request)
	}
	if (r.Remedy == "") != (r.Outcome == engine.Done) {
		d.fault("query %d: %s with remedy %q", r.Query, r.Outcome, r.Remedy)
	}
	if q.refused && r.Outcome != engine.NotRun {
		d.fault("query %d: %s from a host that may not run it", r.Query, r.Outcome)
	}
	d.countOutcome(q, r)
	if d.Replied != nil {
		d.Replied(q.at, r)
	}
	if r.Outcome == engine.NotRun {
		if q.sends > 0 || len(r.Documents) > 0 {
			d.fault("query %d: NotRun after %d calls", r.Query, q.sends)
		}
		return
	}
	if q.sends == 0 {
		d.fault("query %d: %s without a call", r.Query, r.Outcome)
	}
	d.checkCoverage(r)
}

func (d *Driver) countOutcome(q *asked, r engine.Reply) {
	s, c := &d.Stats, &d.Stats.Class[q.class]
	switch r.Outcome {
	case engine.Done:
		s.Done++
		c.Done++
	case engine.Partial:
		s.Partial++
		c.Partial++
	default:
		s.NotRun++
		c.NotRun++
		return
	}
	if s.Latency[q.class] == nil {
		s.Latency[q.class] = newHistogram()
	}
	_ = s.Latency[q.class].RecordValue(max(1, d.now.Sub(q.at).Microseconds()))
}

// checkCoverage recomputes the answer from the shards it claims to cover.
func (d *Driver) checkCoverage(r engine.Reply) {
	c := r.Coverage
	if c.Asked != c.Answered+len(c.Missing) || (r.Outcome == engine.Done) != (len(c.Missing) == 0) {
		d.fault("query %d: %s with coverage %+v", r.Query, r.Outcome, c)
	}
	missing := map[ident.Shard]bool{}
	for i, m := range c.Missing {
		missing[m.Shard] = true
		if m.Reason == "" || (i > 0 && c.Missing[i-1].Shard >= m.Shard) {
			d.fault("query %d: missing shards %v", r.Query, c.Missing)
		}
	}
	want := map[string]engine.Document{}
	answered := 0
	for i := range d.Setup.Shards {
		if missing[ShardName(i)] {
			continue
		}
		answered++
		for _, doc := range documents(ShardName(i), r.Version, string(r.Request)) {
			if old, ok := want[doc.ID]; !ok || old.Revision < doc.Revision {
				want[doc.ID] = doc
			}
		}
	}
	if answered != c.Answered || len(want) != len(r.Documents) {
		d.fault("query %d: %d shards and %d documents, true are %d and %d", r.Query, c.Answered, len(r.Documents), answered, len(want))
	}
	for _, doc := range r.Documents {
		if want[doc.ID] != doc {
			d.fault("query %d: document %+v, true is %+v", r.Query, doc, want[doc.ID])
		}
		delete(want, doc.ID)
	}
}

// documents returns what a shard holds at a version that matches the terms.
func documents(s ident.Shard, v ident.IndexVersion, terms string) []engine.Document {
	number, _ := strconv.Atoi(string(s[len(s)-3:]))
	body := terms + " at version " + strconv.FormatUint(uint64(v), 10)
	docs := make([]engine.Document, 0, docsPerShard+1)
	for i := range docsPerShard {
		docs = append(docs, engine.Document{
			ID:       string(s) + "/" + strconv.Itoa(i),
			Revision: 1,
			Score:    float64(i),
			Body:     body,
		})
	}
	return append(docs, engine.Document{
		ID:       "shared",
		Revision: uint64(number),
		Score:    1,
		Body:     body,
	})
}

// End lets all queries end and returns the figures.
func (d *Driver) End() *Stats {
	d.Run(15 * time.Second)
	for id := range d.asked {
		d.fault("query %d: no answer", id)
	}
	return &d.Stats
}
