package result

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

const (
	maxMicros    = int64(10 * time.Minute / time.Microsecond)
	fineDigits   = 3
	coarseDigits = 2 // of the buckets, which are many
	maxBuckets   = 120
	minBucket    = 100 * time.Millisecond
	maxExamples  = 20
	maxMissing   = 10
	maxSlowest   = 5
)

// Sample is one request as it ended.
type Sample struct {
	Request ident.RequestID
	Flow    string
	Class   preset.Class
	// Intended is the planned start since the end of the warm-up; requests of
	// the warm-up have negative ones and are verified only.
	Intended time.Duration
	// Lag is the time by which the request was sent late.
	Lag time.Duration
	// Latency counts from the intended start.
	Latency time.Duration
	Late    bool
	Outcome engine.Outcome
	// Failure is the reason why there is no answer; empty if there is one.
	Failure string
	// NotSent tells that the tool gave the request up.
	NotSent    bool
	Filing     bool
	Coverage   engine.Coverage
	Violations []check.Violation
}

// Recorder collects the samples of one target. Its methods may be called from
// any goroutine.
type Recorder struct {
	mu      sync.Mutex
	bucket  time.Duration
	classes [len(preset.Classes)]*group
	flows   []*group
	series  [len(preset.Classes)][]*bucket
	lag     *hdrhistogram.Histogram
	broken  []check.Count
	example []check.Violation
	notSent int64
	first   uint64
	total   int64
	failed  int64
}

type group struct {
	Group
	hist     *hdrhistogram.Histogram
	asked    int64
	answered int64
	missing  map[engine.Missing]int64
	failures map[string]int64
}

type bucket struct {
	Bucket
	hist     *hdrhistogram.Histogram
	asked    int64
	answered int64
}

// NewRecorder returns a recorder for a run of the given length.
func NewRecorder(length time.Duration) *Recorder {
	return &Recorder{
		bucket: max(minBucket, length/maxBuckets),
		lag:    hdrhistogram.New(1, maxMicros, fineDigits),
	}
}

func newGroup(name string) *group {
	return &group{
		Group:    Group{Name: name},
		hist:     hdrhistogram.New(1, maxMicros, fineDigits),
		missing:  make(map[engine.Missing]int64),
		failures: make(map[string]int64),
	}
}

// Add records a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(s.Violations)
	r.total++
	if s.NotSent {
		r.notSent++
	}
	if s.Failure != "" {
		r.failed++
	}
	if !s.Filing && s.Outcome != engine.NotRun {
		r.first += uint64(max(0, s.Coverage.Asked))
	}
	if s.Intended < 0 {
		return
	}
	record(r.lag, s.Lag)
	if r.classes[s.Class] == nil {
		r.classes[s.Class] = newGroup(s.Class.String())
	}
	r.classes[s.Class].add(s)
	r.flow(s.Flow).add(s)
	r.at(s.Class, s.Intended).add(s)
}

// Violate records violations that are found after the answers.
func (r *Recorder) Violate(list []check.Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(list)
}

func (r *Recorder) violate(list []check.Violation) {
	for _, c := range check.Tally(list) {
		r.broken = addCount(r.broken, c.Kind, uint64(c.Count))
	}
	room := min(len(list), maxExamples-len(r.example))
	r.example = append(r.example, list[:room]...)
}

// addCount adds to the count of a kind in a list that is sorted by kind.
func addCount(list []check.Count, kind check.Kind, n uint64) []check.Count {
	if n == 0 {
		return list
	}
	i, found := slices.BinarySearchFunc(list, kind, func(c check.Count, k check.Kind) int { return cmp.Compare(c.Kind, k) })
	if !found {
		list = slices.Insert(list, i, check.Count{Kind: kind})
	}
	list[i].Count += int(n)
	return list
}

// Progress is the state of a run that is still going on.
type Progress struct {
	Total    int64
	Failed   int64
	Violated int
	P99      time.Duration // over all classes since the end of the warm-up
}

// Progress returns the counts so far.
func (r *Recorder) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{
		Total:  r.total,
		Failed: r.failed,
	}
	for _, c := range r.broken {
		p.Violated += c.Count
	}
	all := hdrhistogram.New(1, maxMicros, coarseDigits)
	for _, g := range r.classes {
		if g != nil {
			all.Merge(g.hist)
		}
	}
	p.P99 = time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
	return p
}

func (r *Recorder) flow(name string) *group {
	for _, g := range r.flows {
		if g.Name == name {
			return g
		}
	}
	g := newGroup(name)
	r.flows = append(r.flows, g)
	return g
}

func (r *Recorder) at(class preset.Class, when time.Duration) *bucket {
	n := int(when / r.bucket)
	for len(r.series[class]) <= n {
		b := &bucket{hist: hdrhistogram.New(1, maxMicros, coarseDigits)}
		b.At = time.Duration(len(r.series[class])) * r.bucket
		r.series[class] = append(r.series[class], b)
	}
	return r.series[class][n]
}

func (g *group) add(s Sample) {
	g.Sent++
	if s.Late {
		g.Late++
	}
	switch {
	case s.Failure != "":
		g.Failed++
		g.failures[s.Failure]++
	case s.Outcome == engine.Done:
		g.Done++
	case s.Outcome == engine.Partial:
		g.Partial++
	case s.Outcome == engine.NotRun:
		g.NotRun++
	default:
		g.Unknown++
	}
	if !s.answered() {
		return
	}
	record(g.hist, s.Latency)
	g.slow(s)
	g.asked += int64(s.Coverage.Asked)
	g.answered += int64(s.Coverage.Answered)
	for _, m := range s.Coverage.Missing {
		g.missing[m]++
	}
}

// slow keeps the sample if it is one of the slowest.
func (g *group) slow(s Sample) {
	one := Slow{
		Request:  s.Request,
		Micros:   s.Latency.Microseconds(),
		Intended: s.Intended,
	}
	i, _ := slices.BinarySearchFunc(g.Slowest, one, func(a, b Slow) int { return cmp.Compare(b.Micros, a.Micros) })
	if i < maxSlowest {
		g.Slowest = slices.Insert(g.Slowest, i, one)
		g.Slowest = g.Slowest[:min(len(g.Slowest), maxSlowest)]
	}
}

func (b *bucket) add(s Sample) {
	b.Sent++
	switch {
	case s.answered():
		b.Answered++
		if s.Outcome == engine.Done {
			b.Whole++
		}
		record(b.hist, s.Latency)
		b.asked += int64(s.Coverage.Asked)
		b.answered += int64(s.Coverage.Answered)
	case s.Failure == "" && s.Outcome == engine.NotRun:
		b.NotRun++
	default:
		b.Failed++
	}
}

func (s Sample) answered() bool {
	return s.Failure == "" && (s.Outcome == engine.Done || s.Outcome == engine.Partial)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // in range, so it cannot fail
}
