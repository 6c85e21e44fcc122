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

// Stats counts queries, calls and violated guarantees.
type Stats struct {
	Queries int
	Done    int
	Partial int
	NotRun  int
	Firsts  int
	Hedges  int
	Retries int
	Probes  int
	// Corrupted is the number of upstream answers that the simulation corrupted
	// on purpose, see Setup.CorruptFraction.
	Corrupted int
	// Violations describes the first 10 violated guarantees, ViolationCount
	// counts all.
	Violations     []string
	ViolationCount int
	// Latency holds the latencies in microseconds by class, without NotRun
	// replies.
	Latency [len(preset.Classes)]*hdrhistogram.Histogram
	// Class holds the outcomes by class.
	Class [len(preset.Classes)]Outcomes
}

// Outcomes counts the queries of a class and their replies by outcome.
type Outcomes struct {
	Queries int
	Done    int
	Partial int
	NotRun  int
}

// Sends returns the number of first attempts, hedges and retries. Probes are
// not included.
func (s *Stats) Sends() int { return s.Firsts + s.Hedges + s.Retries }

// P99 returns the 99th percentile of the latency over all classes, without
// NotRun replies.
func (s *Stats) P99() time.Duration {
	all := newHistogram()
	for _, h := range s.Latency {
		if h != nil {
			all.Merge(h)
		}
	}
	return time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
}

// ClassP99 returns the 99th percentile of the latency of a class, without
// NotRun replies. It is 0 if there were no other replies.
func (s *Stats) ClassP99(c preset.Class) time.Duration {
	if s.Latency[c] == nil {
		return 0
	}
	return time.Duration(s.Latency[c].ValueAtQuantile(99)) * time.Microsecond
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// pendingQuery is a query that has no reply yet.
type pendingQuery struct {
	class       preset.Class
	submittedAt ident.Instant
	deadline    ident.Instant
	sends       int
	host        *host
	mustNotRun  bool // the host was draining or had no seat when the query arrived
}

func requestID(id ident.QueryID) ident.RequestID {
	return ident.RequestID("r" + strconv.FormatUint(uint64(id), 10))
}

func (d *Driver) trackQuery(h *host, id ident.QueryID, c preset.Class, budget time.Duration) {
	limit := d.State.Preset().Limits(c).DeadlineMillis.Duration()
	if budget > 0 {
		limit = min(limit, budget)
	}
	d.Stats.Queries++
	d.Stats.Class[c].Queries++
	d.pending[id] = &pendingQuery{
		class:       c,
		submittedAt: d.now,
		deadline:    d.now.Add(limit),
		host:        h,
		mustNotRun:  h.draining || h.seat == engine.SeatNone,
	}
}

func (d *Driver) checkSend(s engine.Send, l *Leaf) {
	switch s.Reason {
	case engine.First:
		d.Stats.Firsts++
	case engine.Hedge:
		d.Stats.Hedges++
	case engine.Retry:
		d.Stats.Retries++
	}
	if d.OnSend != nil {
		d.OnSend(s)
	}
	q := d.pending[s.Query]
	if q == nil {
		d.reportViolation("query %d: call after the reply", s.Query)
		return
	}
	q.sends++
	otherDomain := q.host.seat == engine.SeatExpired && l.domain != q.host.domain
	if q.mustNotRun || otherDomain || q.host.seat == engine.SeatNone {
		d.reportViolation("query %d: call with seat %s, draining %t", s.Query, q.host.seat, q.host.draining)
	}
	if s.Request != requestID(s.Query) || s.Version == 0 || s.Remaining <= 0 || s.Remaining > q.deadline.Sub(d.now) {
		d.reportViolation("query %d: call with a wrong request, version or remaining time: %+v", s.Query, s)
	}
	if l.retired {
		d.reportViolation("query %d: call to retired %s", s.Query, l.ID)
	}
}

func (d *Driver) reportViolation(format string, args ...any) {
	d.Stats.ViolationCount++
	if len(d.Stats.Violations) < 10 {
		d.Stats.Violations = append(d.Stats.Violations, fmt.Sprintf("%v: ", time.Duration(d.now))+fmt.Sprintf(format, args...))
	}
}

// checkReply compares a reply with its query and with the documents that the
// leaves hold.
func (d *Driver) checkReply(r engine.Reply) {
	q := d.pending[r.Query]
	if q == nil {
		d.reportViolation("query %d: second reply", r.Query)
		return
	}
	delete(d.pending, r.Query)
	if d.now > q.deadline.Add(deadlineSlack) {
		d.reportViolation("query %d: reply %v after the deadline", r.Query, d.now.Sub(q.deadline))
	}
	if r.Request != requestID(r.Query) {
		d.reportViolation("query %d: reply has request ID %s", r.Query, r.Request)
	}
	if (r.Remedy == "") != (r.Outcome == engine.Done) {
		d.reportViolation("query %d: %s with remedy %q", r.Query, r.Outcome, r.Remedy)
	}
	if q.mustNotRun && r.Outcome != engine.NotRun {
		d.reportViolation("query %d: %s from a host that is draining or has no seat", r.Query, r.Outcome)
	}
	d.countOutcome(q, r)
	if d.OnReply != nil {
		d.OnReply(q.submittedAt, r)
	}
	if r.Outcome == engine.NotRun {
		if q.sends > 0 || len(r.Documents) > 0 {
			d.reportViolation("query %d: NotRun after %d calls", r.Query, q.sends)
		}
		return
	}
	if q.sends == 0 {
		d.reportViolation("query %d: %s without a call", r.Query, r.Outcome)
	}
	d.checkCoverage(r)
}

func (d *Driver) countOutcome(q *pendingQuery, r engine.Reply) {
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
	_ = s.Latency[q.class].RecordValue(max(1, d.now.Sub(q.submittedAt).Microseconds()))
}

// checkCoverage compares the coverage and the documents of a reply with the
// documents of all shards that it does not name as missing.
func (d *Driver) checkCoverage(r engine.Reply) {
	c := r.Coverage
	if c.Asked != c.Answered+len(c.Missing) || (r.Outcome == engine.Done) != (len(c.Missing) == 0) {
		d.reportViolation("query %d: %s with coverage %+v", r.Query, r.Outcome, c)
	}
	missing := map[ident.Shard]bool{}
	for i, m := range c.Missing {
		missing[m.Shard] = true
		if m.Reason == "" || (i > 0 && c.Missing[i-1].Shard >= m.Shard) {
			d.reportViolation("query %d: missing shards unsorted or without a reason: %v", r.Query, c.Missing)
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
		d.reportViolation("query %d: reply has %d shards and %d documents, expected %d and %d", r.Query, c.Answered, len(r.Documents), answered, len(want))
	}
	for _, doc := range r.Documents {
		if want[doc.ID] != doc {
			d.reportViolation("query %d: document %+v, expected %+v", r.Query, doc, want[doc.ID])
		}
		delete(want, doc.ID)
	}
}

// documents returns the documents of a shard that match the terms at a version.
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

// Finish advances time by 15 s, in which all queries must get their replies,
// and returns the statistics.
func (d *Driver) Finish() *Stats {
	d.Advance(15 * time.Second)
	for id := range d.pending {
		d.reportViolation("query %d: no reply", id)
	}
	return &d.Stats
}
