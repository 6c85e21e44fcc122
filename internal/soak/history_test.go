package soak_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind is what a request of the soak asks for.
type kind int

const (
	search kind = iota // over all shards
	read               // one upstream, may be repeated
	file               // one upstream, may run once at most
	mark               // tells which configuration is in force
)

// The promises that the soak checks, named as the pages for its operators do.
const (
	mixed    = "MIXED"
	unasked  = "UNASKED"
	twice    = "TWICE"
	refused  = "REFUSED"
	budget   = "BUDGET"
	route    = "ROUTE"
	drain    = "DRAIN"
	lost     = "LOST"
	config   = "CONFIG"
	recovery = "RECOVER"
	exit     = "EXIT"
)

const (
	// maxAttempts is the number of upstreams that one request may run on, for
	// each service.
	maxAttempts = 2

	// overAttempts is the number of requests that may run on more, since an
	// upstream's end and a retry can cross.
	overAttempts = 3

	// topRecords is the number of records of an answer over shards.
	topRecords = 5

	// leastShare is the share of the shards that an answer must include.
	leastShare = 0.75
)

// asked is a request as its caller sent it.
type asked struct {
	kind   kind
	method string
	uri    string
	body   string
	at     time.Time
	// gone is when the caller left early.
	gone time.Time
	// promised is set once the caller was told that it has not run.
	promised bool
}

// ran is one run of a request at an upstream.
type ran struct {
	id      string
	service string
	leaf    string
	status  int
	body    []byte
	at      time.Time
}

// answer is what a caller got.
type answer struct {
	status  int
	stamps  []string
	stamp   string
	missing int
	body    []byte
}

// ledger is what callers and upstreams have seen. It checks the promises that
// follow from it.
type ledger struct {
	mu       sync.Mutex
	asked    map[string]*asked
	runs     map[string]*ran   // by stamp
	byID     map[string][]*ran // by request
	arrivals map[string][]time.Time
	requests map[string][]time.Time
	over     map[string]bool
	faults   []string
}

func newLedger() *ledger {
	return &ledger{
		asked:    make(map[string]*asked),
		runs:     make(map[string]*ran),
		byID:     make(map[string][]*ran),
		arrivals: make(map[string][]time.Time),
		requests: make(map[string][]time.Time),
		over:     make(map[string]bool),
	}
}

func (l *ledger) fault(promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(promise, format, args...)
}

// add notes a broken promise. The caller holds the lock.
func (l *ledger) add(promise, format string, args ...any) {
	l.faults = append(l.faults, promise+": "+fmt.Sprintf(format, args...))
}

func (l *ledger) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.faults)
}

// ask notes a request before it is sent.
func (l *ledger) ask(id string, a asked, services ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = &a
	for _, s := range services {
		l.requests[s] = append(l.requests[s], a.at)
	}
}

func (l *ledger) leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id].gone = time.Now()
}

// allowed lists the services that may run a request of each kind.
func allowed(k kind, service string) bool {
	switch k {
	case search:
		return strings.HasPrefix(service, "shard-")
	case read, file:
		return service == "desk"
	case mark:
		return strings.HasPrefix(service, "mark-")
	}
	return false
}

// arrive notes a request at an upstream, run or not, and checks it.
func (l *ledger) arrive(id, service, method, uri, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.asked[id]
	if a == nil {
		l.add(unasked, "%s got request %q, which no caller sent", service, id)
		return
	}
	if a.method != method || a.uri != uri || a.body != body {
		l.add(unasked, "%s got request %s as %s %s %q, sent as %s %s %q", service, id, method, uri, body, a.method, a.uri, a.body)
	}
	if !allowed(a.kind, service) {
		l.add(route, "request %s of kind %d reached %s", id, a.kind, service)
	}
	l.arrivals[service+" "+id] = append(l.arrivals[service+" "+id], time.Now())
}

// run notes that an upstream runs a request and checks how often that happens.
func (l *ledger) run(stamp string, r ran) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.at = time.Now()
	l.runs[stamp] = &r
	l.byID[r.id] = append(l.byID[r.id], &r)
	a := l.asked[r.id]
	if a == nil {
		return
	}
	n := 0
	for _, o := range l.byID[r.id] {
		if o.service == r.service {
			n++
		}
	}
	switch {
	case a.kind == file && n > 1:
		l.add(twice, "request %s ran %d times", r.id, n)
	case a.kind == file && a.promised:
		l.add(refused, "request %s runs at %s after its caller was told that it never will", r.id, r.leaf)
	case n > maxAttempts:
		l.over[r.id] = true
	}
}

// ranAt reports whether a request has run anywhere.
func (l *ledger) ranAt(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID[id]) > 0
}

// answered checks an answer against what upstreams did.
func (l *ledger) answered(id string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.asked[id]
	switch a.status {
	case 429, 503, 408, 421:
		q.promised = true
		if q.kind == file && len(l.byID[id]) > 0 {
			l.add(refused, "request %s was answered %d and has run", id, a.status)
		}
	}
	if a.status >= 200 && a.status < 300 {
		if q.kind == search {
			l.checkSearch(id, a)
		} else {
			l.checkPlain(id, a)
		}
		return
	}
	if r := l.runs[a.stamp]; a.stamp != "" && (r == nil || r.id != id || r.status != a.status) {
		l.add(mixed, "request %s was answered %d with the signature of another answer", id, a.status)
	}
}

func (l *ledger) checkPlain(id string, a answer) {
	r := l.runs[a.stamp]
	switch {
	case r == nil || r.id != id:
		l.add(mixed, "request %s got a success with signature %q, which is not its own", id, a.stamp)
	case r.status != a.status || !bytes.Equal(r.body, a.body):
		l.add(mixed, "request %s got status %d and %d bytes, its upstream sent %d and %d", id, a.status, len(a.body), r.status, len(r.body))
	}
}

func (l *ledger) checkSearch(id string, a answer) {
	seen := map[string]bool{}
	var records [][]byte
	for _, stamp := range a.stamps {
		r := l.runs[stamp]
		if r == nil || r.id != id || r.status != 200 {
			l.add(mixed, "request %s names the part %q, which is no answer to it", id, stamp)
			return
		}
		if seen[r.service] {
			l.add(mixed, "request %s names two parts of %s", id, r.service)
			return
		}
		seen[r.service] = true
		for b := r.body; len(b) >= 16; b = b[16:] {
			records = append(records, b[:16])
		}
	}
	if len(seen)+a.missing != shardCount || float64(len(seen)) < leastShare*shardCount {
		l.add(mixed, "request %s names %d parts and %d missing of %d", id, len(seen), a.missing, shardCount)
		return
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := slices.Concat(records[:min(topRecords, len(records))]...); !bytes.Equal(want, a.body) {
		l.add(mixed, "request %s got other records than the greatest of its parts", id)
	}
}

// finish checks what can be told only at the end.
func (l *ledger) finish(ratio, slack float64, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.over) > overAttempts {
		l.add(budget, "%d requests ran on more than %d upstreams of one service", len(l.over), maxAttempts)
	}
	extras := map[string][]time.Time{}
	for key, times := range l.arrivals {
		service, _, _ := strings.Cut(key, " ")
		extras[service] = append(extras[service], times[1:]...)
	}
	for service, times := range extras {
		slices.SortFunc(times, time.Time.Compare)
		for i, from := range times {
			n := 0
			for _, t := range times[i:] {
				if t.Sub(from) < window {
					n++
				}
			}
			// Requests count in the window, the one before it or the one half a
			// window before it, whichever has most.
			most := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				most = max(most, within(l.requests[service], from.Add(-back), window))
			}
			if float64(n) > ratio*float64(most)+slack {
				l.add(budget, "%s got %d calls beyond the first within %s, for %d requests; requests by number of calls %v, runs by upstream and status %v",
					service, n, window, most, l.callsOf(service, from, window), l.runsOf(service, from, window))
				break
			}
		}
	}
}

func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if d := t.Sub(from); d >= 0 && d < window {
			n++
		}
	}
	return n
}

// serviceOf returns the service that gave a signature, or nothing.
func (l *ledger) serviceOf(stamp string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[stamp]; r != nil {
		return r.service
	}
	return ""
}

// callsOf counts the requests to a service by their number of calls.
func (l *ledger) callsOf(service string, from time.Time, window time.Duration) map[int]int {
	counts := map[int]int{}
	for key, times := range l.arrivals {
		if s, _, _ := strings.Cut(key, " "); s == service && within(times, from, window) > 0 {
			counts[len(times)]++
		}
	}
	return counts
}

// runsOf counts the runs at each upstream of a service by their status.
func (l *ledger) runsOf(service string, from time.Time, window time.Duration) map[string]int {
	counts := map[string]int{}
	for _, r := range l.runs {
		if d := r.at.Sub(from); r.service == service && d >= 0 && d < window {
			counts[fmt.Sprint(r.leaf, " ", r.status)]++
		}
	}
	return counts
}
