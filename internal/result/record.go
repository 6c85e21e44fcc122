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
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	fineDigits       = 3 // significant digits of a histogram
	coarseDigits     = 2 // for the buckets, of which there are many
	maxBuckets       = 120
	minBucketLength  = 100 * time.Millisecond
	maxExamples      = 20
	maxMissing       = 10
	maxSlowest       = 5
)

// Sample is the measurement of one request that has ended.
type Sample struct {
	Request ident.RequestID
	Flow    string
	Class   preset.Class
	// Intended is the planned start since the end of the warm-up. It is negative
	// for requests of the warm-up, which are verified but not measured.
	Intended time.Duration
	// Lag is the delay between the planned start and the sending.
	Lag time.Duration
	// Latency is the time from the planned start to the answer.
	Latency time.Duration
	// Late reports that the answer came after the deadline of the request.
	Late    bool
	Outcome engine.Outcome
	// Failure is the reason why there is no answer; empty if there is one.
	Failure string
	// NotSent reports that the tool did not send the request.
	NotSent    bool
	Filing     bool
	Coverage   engine.Coverage
	Violations []check.Violation
}

// Recorder collects the samples of one target. It is safe for concurrent use.
type Recorder struct {
	mu           sync.Mutex
	bucketLength time.Duration
	classes      [len(preset.Classes)]*group
	flows        []*group
	series       [len(preset.Classes)][]*bucket
	lag          *hdrhistogram.Histogram
	violations   []check.Count
	examples     []check.Violation
	notSent      int64
	minCalls     uint64
	total        int64
	failed       int64
}

type group struct {
	Group
	hist            *hdrhistogram.Histogram
	shardsRequested int64
	shardsAnswered  int64
	missing         map[engine.Missing]int64
	failures        map[string]int64
}

type bucket struct {
	Bucket
	latencies       sparse
	shardsRequested int64
	shardsAnswered  int64
}

// NewRecorder returns a recorder for a run of the given length.
func NewRecorder(length time.Duration) *Recorder {
	return &Recorder{
		bucketLength: max(minBucketLength, length/maxBuckets),
		lag:          hdrhistogram.New(1, maxLatencyMicros, fineDigits),
	}
}

func newGroup(name string) *group {
	return &group{
		Group:    Group{Name: name},
		hist:     hdrhistogram.New(1, maxLatencyMicros, fineDigits),
		missing:  make(map[engine.Missing]int64),
		failures: make(map[string]int64),
	}
}

// Add records a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolations(s.Violations)
	r.total++
	if s.NotSent {
		r.notSent++
	}
	if s.Failure != "" {
		r.failed++
	}
	if !s.Filing && s.Outcome != engine.NotRun {
		r.minCalls += uint64(max(0, s.Coverage.Asked))
	}
	if s.Intended < 0 {
		return
	}
	recordLatency(r.lag, s.Lag)
	if r.classes[s.Class] == nil {
		r.classes[s.Class] = newGroup(s.Class.String())
	}
	r.classes[s.Class].add(s)
	r.flowGroup(s.Flow).add(s)
	r.bucketAt(s.Class, s.Intended).add(s)
}

// AddViolations records violations that are found outside of samples.
func (r *Recorder) AddViolations(list []check.Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolations(list)
}

func (r *Recorder) addViolations(list []check.Violation) {
	for _, c := range check.Tally(list) {
		r.violations = addCount(r.violations, c.Kind, uint64(c.Count))
	}
	remaining := min(len(list), maxExamples-len(r.examples))
	r.examples = append(r.examples, list[:remaining]...)
}

// addCount adds n to the count of a kind in a list that is sorted by kind.
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

// Progress holds the counts of a run in progress.
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
	for _, c := range r.violations {
		p.Violated += c.Count
	}
	all := hdrhistogram.New(1, maxLatencyMicros, coarseDigits)
	for _, g := range r.classes {
		if g != nil {
			all.Merge(g.hist)
		}
	}
	p.P99 = time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
	return p
}

func (r *Recorder) flowGroup(name string) *group {
	for _, g := range r.flows {
		if g.Name == name {
			return g
		}
	}
	g := newGroup(name)
	r.flows = append(r.flows, g)
	return g
}

func (r *Recorder) bucketAt(class preset.Class, at time.Duration) *bucket {
	n := int(at / r.bucketLength)
	for len(r.series[class]) <= n {
		b := &bucket{}
		b.At = time.Duration(len(r.series[class])) * r.bucketLength
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
	recordLatency(g.hist, s.Latency)
	g.addSlowest(s)
	g.shardsRequested += int64(s.Coverage.Asked)
	g.shardsAnswered += int64(s.Coverage.Answered)
	for _, m := range s.Coverage.Missing {
		g.missing[m]++
	}
}

// addSlowest adds the sample to Slowest if it is one of the slowest.
func (g *group) addSlowest(s Sample) {
	entry := Slow{
		Request:  s.Request,
		Micros:   s.Latency.Microseconds(),
		Intended: s.Intended,
	}
	i, _ := slices.BinarySearchFunc(g.Slowest, entry, func(a, b Slow) int { return cmp.Compare(b.Micros, a.Micros) })
	if i < maxSlowest {
		g.Slowest = slices.Insert(g.Slowest, i, entry)
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
		b.latencies.record(s.Latency)
		b.shardsRequested += int64(s.Coverage.Asked)
		b.shardsAnswered += int64(s.Coverage.Answered)
	case s.Failure == "" && s.Outcome == engine.NotRun:
		b.NotRun++
	default:
		b.Failed++
	}
}

func (s Sample) answered() bool {
	return s.Failure == "" && (s.Outcome == engine.Done || s.Outcome == engine.Partial)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // cannot fail, since the value is in range
}
