package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 32 // enough that a gatherer delegates shards to helpers
	leafWork   = 3 * time.Millisecond
	leafSlots  = 2
)

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

// behavior is how a leaf answers, healthy or with one kind of fault.
type behavior int

const (
	healthy   behavior = iota
	slow               // answers late
	failing            // answers half of the requests with 500, and looks healthy otherwise
	hanging            // reads requests and never replies
	resetting          // runs all requests, and resets the connection for half of them
	garbled            // sends invalid bytes, a status that HTTP does not have, or the answer to another request
	shedding           // rejects half of the requests, and asks for a pause with some
	behaviorCount
)

// leaf is a stand-in for an upstream.
type leaf struct {
	cluster *cluster
	domain  string
	address string

	mu sync.Mutex
	// server is nil while the leaf is down after a crash.
	server   *httptest.Server
	id       string
	service  string
	behavior behavior
	draining time.Time
	born     int64
	running  atomic.Int64
	// limit is the limit that the leaf names for all hosts, in requests per
	// second, since limitedAt; limitedArrivals are the arrivals since then.
	limit           float64
	limitedAt       time.Time
	limitedArrivals []time.Time
}

// newLeaf starts an upstream of a service on a free port; it runs until the end
// of the test.
func (cl *cluster) newLeaf(service, domain string) *leaf {
	l := &leaf{
		cluster: cl,
		domain:  domain,
		id:      fmt.Sprintf("i-%s-%s-%d", service, domain, len(cl.leaves)),
		service: service,
		born:    time.Now().UnixMilli(),
	}
	if err := l.listen(cl.ip(30, len(cl.leaves)/200*200+1) + ":0"); err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(l.stop)
	cl.leaves = append(cl.leaves, l)
	return l
}

// listen starts serving at an address.
func (l *leaf) listen(address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := httptest.NewUnstartedServer(http.HandlerFunc(l.serve))
	_ = s.Listener.Close()
	s.Listener = lis
	s.Start()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server, l.address = s, lis.Addr().String()
	return nil
}

// stop ends the leaf's server, if it runs.
func (l *leaf) stop() {
	l.mu.Lock()
	s := l.server
	l.server = nil
	l.mu.Unlock()
	if s != nil {
		s.CloseClientConnections()
		s.Close()
	}
}

// leaves reports whether the leaf says in its answers that it leaves.
func (l *leaf) leaves() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.draining.IsZero()
}

func (l *leaf) state() (id, service string, b behavior) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.service, l.behavior
}

func (l *leaf) setBehavior(b behavior) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behavior = b
}

// setLimit makes the leaf name a limit, or none if it is 0.
func (l *leaf) setLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.limitedAt, l.limitedArrivals = perSecond, time.Now(), nil
}

// applyLimit names the limit of the leaf and checks how many requests it got.
func (l *leaf) applyLimit(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		return
	}
	h.Set("Server-Limit", strconv.FormatFloat(l.limit, 'f', 2, 64))
	now := time.Now()
	l.limitedArrivals = append(l.limitedArrivals, now)
	if now.Sub(l.limitedAt) < limitGrace+limitWindow || l.cluster.faultFree() < limitGrace+limitWindow {
		return
	}
	if n, most := countWithin(l.limitedArrivals, now.Add(-limitWindow), limitWindow+1), limitFactor*l.limit*limitWindow.Seconds()+limitSlack; float64(n) > most {
		l.cluster.history.violation(ruleLimit, "%s named a limit of %.1f a second and got %d requests in %s; allowed %.0f", l.id, l.limit, n, limitWindow, most)
	}
}

// deadlyMark is in the paths of requests that crash each leaf that runs them.
const deadlyMark = "deadly="

// crash ends the leaf, in half of all cases in the middle of the answer: like a process
// that ends, it closes its listener and then all its connections. It is back at the
// same address after a second.
func (l *leaf) crash(w http.ResponseWriter) {
	l.mu.Lock()
	if l.server != nil {
		_ = l.server.Listener.Close()
	}
	l.mu.Unlock()
	if rand.IntN(2) == 0 {
		l.reset(w, "")
	} else {
		l.reset(w, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nx")
	}
	l.cluster.background(func(ctx context.Context) {
		l.stop()
		pause(ctx, time.Second)
		for ctx.Err() == nil && l.listen(l.address) != nil {
			pause(ctx, 100*time.Millisecond) // the port was taken meanwhile
		}
		if ctx.Err() != nil {
			l.stop()
		}
	})
}

// replace closes all connections of the leaf and makes it a new instance, of the
// given service, at the same address.
func (l *leaf) replace(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		l.server.CloseClientConnections()
	}
	l.id, l.service, l.behavior = l.id+"x", service, healthy
	l.draining, l.born = time.Time{}, time.Now().UnixMilli()
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	id, service, b := l.state()
	h := w.Header()
	h["Date"] = nil
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("Request-Id")
	h.Set("Request-Id", request)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", l.running.Load(), leafSlots))
	l.cluster.checkEvacuated(l, request)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.applyLimit(h)
	if l.leaves() {
		h.Set("Server-Leaving", "1")
	}
	l.cluster.history.recordArrival(request, service, r.Method, r.RequestURI, string(body))
	l.cluster.history.checkAccount(request, service, r.Header["Tenant"], r.Header["X-Api-Key"])
	l.cluster.checkDrain(l, request)
	if l.cluster.inTouch() {
		l.cluster.history.recordCall(request, time.Now())
	}
	if strings.Contains(r.RequestURI, deadlyMark) {
		l.cluster.history.recordCrash(request, r.RequestURI+" "+r.Header.Get("Tenant"), l.cluster.faultFree())
		l.crash(w)
		return
	}
	affected := rand.IntN(2) == 0
	if b == shedding && affected {
		h.Set("Not-Executed", "1")
		if rand.IntN(2) == 0 {
			h.Set("Retry-After", strconv.FormatFloat(0.2+rand.Float64(), 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.running.Add(1)
	defer l.running.Add(-1)
	l.answer(w, r, execution{
		id:      request,
		service: service,
		leaf:    id,
		status:  http.StatusOK,
		body:    leafRecords(service, request),
	}, b, affected)
}

func (l *leaf) answer(w http.ResponseWriter, r *http.Request, result execution, b behavior, affected bool) {
	if b == failing && affected {
		result.status, result.body = http.StatusInternalServerError, nil
	}
	stamp := fmt.Sprintf("%s.%s.%d", result.leaf, result.id, l.cluster.stampSeq.Add(1))
	l.cluster.history.recordRun(stamp, result)
	workTime := leafWork
	switch b {
	case slow:
		workTime *= 40
	case hanging:
		workTime = time.Hour
	}
	full := time.Now().Add(workTime)
	stopped := false
	select {
	case <-r.Context().Done():
		stopped = true
	case <-time.After(workTime):
	}
	if l.cluster.inTouch() {
		l.cluster.history.recordWork(work{
			id:    result.id,
			ended: time.Now(),
			full:  full,
		})
	}
	if stopped {
		return
	}
	switch {
	case b == resetting && affected:
		l.reset(w, "")
	case b == garbled && affected:
		l.reset(w, []string{
			"what is this\r\n",
			"HTTP/1.1 000 X\r\nServer-Stamp: " + stamp + "\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 600 X\r\nServer-Stamp: " + stamp + "\r\nContent-Length: 0\r\n\r\n",
		}[rand.IntN(3)])
	case b == garbled:
		l.reset(w, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: "+stamp+"\r\nContent-Length: 1\r\n\r\nx")
	default:
		w.Header().Set("Server-Stamp", stamp)
		w.WriteHeader(result.status)
		_, _ = w.Write(result.body) // the client may have disconnected
	}
}

// reset sends raw bytes instead of an answer and closes the connection, with a
// TCP reset if there are no bytes.
func (l *leaf) reset(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
	if tcp, ok := conn.(*net.TCPConn); ok && raw == "" {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// leafRecords returns the records of a service for a request: pseudorandom
// bytes that depend only on these two.
func leafRecords(service, id string) []byte {
	f := fnv.New64a()
	_, _ = io.WriteString(f, service+id)
	rng := rand.New(rand.NewPCG(f.Sum64(), 3))
	out := make([]byte, 16*(1+rng.IntN(4))+rng.IntN(16))
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// oddEntries are entries of another writer: one that ends in the middle, one that is
// nested very deeply, and ones with a number that is too large and with a port that
// does not exist.
var oddEntries = []string{
	`{"Id":"i-odd-0","Service":"shard-0","Address":"127.0.`,
	strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	`{"Id":"i-odd-1","Service":"shard-0","Address":"127.0.0.1:9","Zone":"a","Slots":1e400,"State":"ready"}`,
	`{"Id":"i-odd-2","Service":"shard-0","Address":"127.0.0.1:9","Zone":"a","Slots":2,"State":"ready","ColdRemainingMs":1e300}`,
	`{"Id":"i-odd-3","Service":"shard-0","Address":"127.0.0.1:99999","Zone":"a","Slots":2,"State":"ready"}`,
}

// serveInstances serves the instance list as the platform does, in pages of 50.
// The first page also has malformed entries, which hosts must skip.
func (cl *cluster) serveInstances(rw http.ResponseWriter, r *http.Request) {
	if cl.listDown.Load() {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	const page = 50
	first := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &first)
	end := min(len(cl.leaves), first+page)
	var entries []any
	for _, l := range cl.leaves[min(first, end):end] {
		l.mu.Lock()
		state := "ready"
		if !l.draining.IsZero() {
			state = "draining"
		}
		entries = append(entries, map[string]any{
			"Id":              l.id,
			"Service":         l.service,
			"Address":         l.address,
			"Zone":            l.domain,
			"Slots":           leafSlots,
			"State":           state,
			"ColdRemainingMs": 0,
			"born":            l.born,
		})
		l.mu.Unlock()
	}
	if first == 0 {
		entries = append(entries, map[string]any{"Id": 7, "Service": []int{1}}, "noise")
	}
	var list []string
	for _, e := range entries {
		raw, err := json.Marshal(e)
		if err != nil {
			continue
		}
		list = append(list, string(raw))
	}
	if first == 0 {
		list = append(append([]string{}, oddEntries...), list...)
	}
	next := "null"
	if end < len(cl.leaves) {
		next = fmt.Sprintf("%q", fmt.Sprintf("p-%d", end))
	}
	_, _ = fmt.Fprintf(rw, `{"Instances":[%s],"NextPageToken":%s}`, strings.Join(list, ","), next)
}
