package soak_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind is the type of a request.
type kind int

const (
	search kind = iota // safe, over all shards
	read               // safe, one upstream, may be retried
	file               // unsafe, one upstream, may run at most once
	mark               // shows which configuration the entry host uses
)

// Rules that the soak checks, under the names that the platform's documentation
// uses.
const (
	ruleMixed    = "MIXED"
	ruleUnasked  = "UNASKED"
	ruleTwice    = "TWICE"
	ruleRefused  = "REFUSED"
	ruleBudget   = "BUDGET"
	ruleRoute    = "ROUTE"
	ruleDrain    = "DRAIN"
	ruleLost     = "LOST"
	ruleConfig   = "CONFIG"
	ruleRecovery = "RECOVER"
	ruleExit     = "EXIT"
	ruleGone     = "GONE"
	ruleLimit    = "LIMIT"
	ruleTenant   = "TENANT"
	ruleDenied   = "DENIED"

	ruleEvacuation = "EVAC"
)

const (
	// maxAttempts is the number of upstreams that one request may run on, for
	// each service.
	maxAttempts = 2

	// maxOverAttempted is the number of requests that may exceed maxAttempts,
	// since an upstream can stop while a retry is being sent.
	maxOverAttempted = 3

	// goneTime is how long after its caller has left a request may still reach an
	// upstream, or an upstream still work on it.
	goneTime = 500 * time.Millisecond

	// maxGoneCalls is the number of calls that may come later, and minGoneWork and
	// maxGoneShare the number and the share of runs that may last longer.
	maxGoneCalls = 3
	minGoneWork  = 8
	maxGoneShare = 0.25

	// limitGrace after a leaf has named a limit, it may get limitFactor times that
	// in each limitWindow, and limitSlack requests.
	limitGrace  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5

	// maxCrashRetries is how many attempts of a request that has crashed
	// maxCrashes leaves may reach leaves later than crashGrace after that.
	maxCrashes      = 3
	crashGrace      = 4 * time.Second
	maxCrashRetries = 3

	// topRecords is the number of records in a search answer.
	topRecords = 5

	// minShare is the share of the shards that a search answer must include.
	minShare = 0.75
)

// sentRequest is a request as its caller sent it.
type sentRequest struct {
	kind   kind
	method string
	uri    string
	body   string
	sentAt time.Time
	// account is that of the caller's key, empty if no account has the key.
	account string
	// canceledAt is when the caller canceled the request.
	canceledAt time.Time
	// refused is set once the caller received a status that says that the
	// request has not run and will not run.
	refused bool
}

// execution is one run of a request at an upstream.
type execution struct {
	id      string
	service string
	leaf    string
	status  int
	body    []byte
	at      time.Time
}

// answer is a response as its caller received it.
type answer struct {
	status  int
	stamps  []string
	stamp   string
	missing int
	body    []byte
}

// history records what callers sent and received and what upstreams received
// and ran, and checks the rules against it.
type history struct {
	mu            sync.Mutex
	requests      map[string]*sentRequest
	runs          map[string]*execution   // by stamp
	runsByRequest map[string][]*execution // by request
	arrivals      map[string][]time.Time  // by service and request
	sentTimes     map[string][]time.Time  // by service
	overAttempted map[string]bool         // by request
	calls         []arrival
	works         []work
	violations    []string
	crashers      map[string]*crasher // by path
}

// crasher is a request that crashes leaves.
type crasher struct {
	crashes int
	thirdAt time.Time
	// late are the attempts that reached leaves too late.
	late map[string]bool
}

// arrival is the arrival of a request at an upstream while no host had a fault.
type arrival struct {
	id string
	at time.Time
}

// work is one run while no host had a fault: when it ended, and when it would
// have ended if nobody had stopped it.
type work struct {
	id          string
	ended, full time.Time
}

func newHistory() *history {
	return &history{
		requests:      make(map[string]*sentRequest),
		runs:          make(map[string]*execution),
		runsByRequest: make(map[string][]*execution),
		arrivals:      make(map[string][]time.Time),
		sentTimes:     make(map[string][]time.Time),
		overAttempted: make(map[string]bool),
		crashers:      make(map[string]*crasher),
	}
}

func (h *history) violation(rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation(rule, format, args...)
}

// addViolation records a violated rule. The caller must hold the lock.
func (h *history) addViolation(rule, format string, args ...any) {
	h.violations = append(h.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (h *history) allViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// recordSent records a request before it is sent. The services are those whose
// retry budget it counts towards.
func (h *history) recordSent(id string, sent sentRequest, services ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id] = &sent
	for _, s := range services {
		h.sentTimes[s] = append(h.sentTimes[s], sent.sentAt)
	}
}

// recordCrash records the crash of a leaf under a request, and checks how often
// the request still reaches leaves while no host has a fault.
func (h *history) recordCrash(id, uri string, faultFree time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.crashers[uri]
	if c == nil {
		c = &crasher{late: make(map[string]bool)}
		h.crashers[uri] = c
	}
	if c.crashes++; c.crashes == maxCrashes {
		c.thirdAt = time.Now()
	}
	if c.crashes <= maxCrashes || time.Since(c.thirdAt) < crashGrace || faultFree < crashGrace {
		return
	}
	if c.late[id] = true; len(c.late) == maxCrashRetries+1 {
		h.addViolation(ruleBudget, "request %s reached leaves in more than %d attempts later than %s after it had crashed %d", uri, maxCrashRetries, crashGrace, maxCrashes)
	}
}

// recordCall records the arrival of a request for checkGone.
func (h *history) recordCall(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, arrival{
		id: id,
		at: at,
	})
}

// recordWork records the end of a run for checkGone.
func (h *history) recordWork(w work) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.works = append(h.works, w)
}

// checkGone checks that work stops once its caller has left. It needs the full
// history, since a caller's departure is recorded late.
func (h *history) checkGone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	// over returns by how much a time is past what a request's caller allows.
	over := func(id string, at time.Time) time.Duration {
		sent := h.requests[id]
		if sent == nil || sent.canceledAt.IsZero() {
			return 0
		}
		return at.Sub(sent.canceledAt.Add(goneTime))
	}
	lateCalls := 0
	for _, c := range h.calls {
		if over(c.id, c.at) > 0 {
			lateCalls++
		}
	}
	if lateCalls > maxGoneCalls {
		h.addViolation(ruleGone, "%d calls reached upstreams over %s after their callers had left", lateCalls, goneTime)
	}
	long, late := 0, 0
	for _, w := range h.works {
		if sent := h.requests[w.id]; sent == nil || sent.kind == file || over(w.id, w.full) <= 0 {
			continue
		}
		long++
		if over(w.id, w.ended) > 0 {
			late++
		}
	}
	if late >= minGoneWork && float64(late) > maxGoneShare*float64(long) {
		h.addViolation(ruleGone, "%d of %d runs went on over %s after their callers had left", late, long, goneTime)
	}
}

func (h *history) recordCanceled(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id].canceledAt = time.Now()
}

// serviceAllowed reports whether a service may receive requests of a kind.
func serviceAllowed(k kind, service string) bool {
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

// recordArrival records a request that an upstream received, whether it runs it
// or not, and checks that it was sent so and to this service.
func (h *history) recordArrival(id, service, method, uri, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.requests[id]
	if sent == nil {
		h.addViolation(ruleUnasked, "%s got request %q, which no caller sent", service, id)
		return
	}
	if sent.method != method || sent.uri != uri || sent.body != body {
		h.addViolation(ruleUnasked, "%s got request %s as %s %s %q, sent as %s %s %q", service, id, method, uri, body, sent.method, sent.uri, sent.body)
	}
	if !serviceAllowed(sent.kind, service) {
		h.addViolation(ruleRoute, "request %s of kind %d reached %s", id, sent.kind, service)
	}
	h.arrivals[service+" "+id] = append(h.arrivals[service+" "+id], time.Now())
}

// checkAccount checks the account and the keys that an upstream got with a request. No
// request whose key is unknown may reach one.
func (h *history) checkAccount(id, service string, accounts, keys []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.requests[id]
	if sent == nil {
		return // see recordArrival
	}
	if len(keys) > 0 {
		h.addViolation(ruleTenant, "%s got the key of request %s", service, id)
	}
	if sent.account == "" || len(accounts) != 1 || accounts[0] != sent.account {
		h.addViolation(ruleTenant, "%s got request %s of account %q for %q", service, id, sent.account, accounts)
	}
}

// recordRun records that an upstream runs a request and checks how often the
// request has run.
func (h *history) recordRun(stamp string, r execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.at = time.Now()
	h.runs[stamp] = &r
	h.runsByRequest[r.id] = append(h.runsByRequest[r.id], &r)
	sent := h.requests[r.id]
	if sent == nil {
		return
	}
	n := 0
	for _, other := range h.runsByRequest[r.id] {
		if other.service == r.service {
			n++
		}
	}
	switch {
	case sent.kind == file && n > 1:
		h.addViolation(ruleTwice, "request %s ran %d times", r.id, n)
	case sent.kind == file && sent.refused:
		h.addViolation(ruleRefused, "request %s runs at %s after its caller was told that it would never run", r.id, r.leaf)
	case n > maxAttempts:
		h.overAttempted[r.id] = true
	}
}

// hasRun reports whether any upstream has run a request.
func (h *history) hasRun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runsByRequest[id]) > 0
}

// checkAnswer checks an answer against the recorded runs.
func (h *history) checkAnswer(id string, a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.requests[id]
	switch a.status {
	case 401:
		if sent.account != "" {
			h.addViolation(ruleDenied, "request %s of account %q was answered 401", id, sent.account)
		}
	case 429, 503, 408, 421:
		sent.refused = true
		if sent.kind == file && len(h.runsByRequest[id]) > 0 {
			h.addViolation(ruleRefused, "request %s was answered %d, which means not run, but has run", id, a.status)
		}
	}
	if a.status >= 200 && a.status < 300 {
		if sent.kind == search {
			h.checkSearch(id, a)
		} else {
			h.checkSingle(id, a)
		}
		return
	}
	if a.status < 100 || a.status > 599 {
		h.addViolation(ruleMixed, "request %s was answered %d, which is no status", id, a.status)
	}
	if r := h.runs[a.stamp]; a.stamp != "" && (r == nil || r.id != id || r.status != a.status) {
		h.addViolation(ruleMixed, "request %s was answered %d with the stamp of another answer", id, a.status)
	}
}

func (h *history) checkSingle(id string, a answer) {
	r := h.runs[a.stamp]
	switch {
	case r == nil || r.id != id:
		h.addViolation(ruleMixed, "request %s got a success with stamp %q, which does not belong to it", id, a.stamp)
	case r.status != a.status || !bytes.Equal(r.body, a.body):
		h.addViolation(ruleMixed, "request %s got status %d and %d bytes, its upstream sent %d and %d", id, a.status, len(a.body), r.status, len(r.body))
	}
}

func (h *history) checkSearch(id string, a answer) {
	seen := map[string]bool{}
	var records [][]byte
	for _, stamp := range a.stamps {
		r := h.runs[stamp]
		if r == nil || r.id != id || r.status != 200 {
			h.addViolation(ruleMixed, "request %s names the part %q, which does not belong to it", id, stamp)
			return
		}
		if seen[r.service] {
			h.addViolation(ruleMixed, "request %s names two parts of %s", id, r.service)
			return
		}
		seen[r.service] = true
		for b := r.body; len(b) >= 16; b = b[16:] {
			records = append(records, b[:16])
		}
	}
	if len(seen)+a.missing != shardCount || float64(len(seen)) < minShare*shardCount {
		h.addViolation(ruleMixed, "request %s names %d parts and %d missing of %d", id, len(seen), a.missing, shardCount)
		return
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := slices.Concat(records[:min(topRecords, len(records))]...); !bytes.Equal(want, a.body) {
		h.addViolation(ruleMixed, "request %s did not get the greatest records of its parts", id)
	}
}

// checkTotals checks the retry budget, which needs the full history: in no
// window may a service receive more calls beyond the first of each request than
// ratio of the requests plus slack.
func (h *history) checkTotals(ratio, slack float64, window time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.overAttempted) > maxOverAttempted {
		h.addViolation(ruleBudget, "%d requests ran on more than %d upstreams of one service", len(h.overAttempted), maxAttempts)
	}
	extras := map[string][]time.Time{}
	for key, times := range h.arrivals {
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
			// The limit follows from the requests of this window, the one half a
			// window earlier or the one a full window earlier, whichever has most.
			most := 0
			for _, shift := range []time.Duration{0, window / 2, window} {
				most = max(most, countWithin(h.sentTimes[service], from.Add(-shift), window))
			}
			if float64(n) > ratio*float64(most)+slack {
				h.addViolation(ruleBudget, "%s got %d calls beyond the first within %s, for %d requests; requests by number of calls %v, runs by upstream and status %v",
					service, n, window, most, h.callCounts(service, from, window), h.runCounts(service, from, window))
				break
			}
		}
	}
}

func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if d := t.Sub(from); d >= 0 && d < window {
			n++
		}
	}
	return n
}

// serviceOf returns the service that issued a stamp, or "" if none did.
func (h *history) serviceOf(stamp string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.runs[stamp]; r != nil {
		return r.service
	}
	return ""
}

// callCounts returns how many requests to a service had each number of calls.
func (h *history) callCounts(service string, from time.Time, window time.Duration) map[int]int {
	counts := map[int]int{}
	for key, times := range h.arrivals {
		if s, _, _ := strings.Cut(key, " "); s == service && countWithin(times, from, window) > 0 {
			counts[len(times)]++
		}
	}
	return counts
}

// runCounts returns how many runs of a service there were in the window, by
// upstream and status.
func (h *history) runCounts(service string, from time.Time, window time.Duration) map[string]int {
	counts := map[string]int{}
	for _, r := range h.runs {
		if d := r.at.Sub(from); r.service == service && d >= 0 && d < window {
			counts[fmt.Sprint(r.leaf, " ", r.status)]++
		}
	}
	return counts
}
