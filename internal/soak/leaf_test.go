package soak_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 32 // enough for helpers
	leafWork   = 3 * time.Millisecond
	leafSlots  = 2
)

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

// mood is what is wrong with a leaf.
type mood int

const (
	well    mood = iota
	slow         // answers late
	failing      // answers 500 for half of the requests, its health is good
	hanging      // reads requests and stays silent
	losing       // runs half of the requests and resets the connection
	garbled      // sends bytes that are no answer, or an extra answer
	full         // rejects half of the requests
	moods
)

// leaf is a stand-in for an upstream of the platform.
type leaf struct {
	world  *world
	server *httptest.Server
	domain string

	mu       sync.Mutex
	id       string
	service  string
	mood     mood
	draining time.Time
	born     int64
	running  atomic.Int64
}

// newLeaf serves a service on a free address until the world ends.
func (w *world) newLeaf(service, domain string) *leaf {
	l := &leaf{
		world:   w,
		domain:  domain,
		id:      fmt.Sprintf("i-%s-%s-%d", service, domain, len(w.leaves)),
		service: service,
		born:    time.Now().UnixMilli(),
	}
	lis, err := net.Listen("tcp", w.ip(30, len(w.leaves)/200*200+1)+":0")
	if err != nil {
		w.t.Fatal(err)
	}
	l.server = httptest.NewUnstartedServer(http.HandlerFunc(l.serve))
	_ = l.server.Listener.Close()
	l.server.Listener = lis
	l.server.Start()
	w.t.Cleanup(l.server.Close)
	w.leaves = append(w.leaves, l)
	return l
}

func (l *leaf) state() (id, service string, m mood) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.service, l.mood
}

func (l *leaf) set(m mood) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mood = m
}

// replace ends the leaf and starts another service at its address.
func (l *leaf) replace(service string) {
	l.server.CloseClientConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.service, l.mood = l.id+"x", service, well
	l.draining, l.born = time.Time{}, time.Now().UnixMilli()
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	id, service, m := l.state()
	h := w.Header()
	h["Date"] = nil
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("Request-Id")
	h.Set("Request-Id", request)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", l.running.Load(), leafSlots))
	if want := r.Header.Get("Expected-Instance"); want != "" && want != id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.world.ledger.arrive(request, service, r.Method, r.RequestURI, string(body))
	l.world.arrived(l, request)
	odd := rand.IntN(2) == 0
	if m == full && odd {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.running.Add(1)
	defer l.running.Add(-1)
	l.answer(w, r, ran{
		id:      request,
		service: service,
		leaf:    id,
		status:  http.StatusOK,
		body:    records(service, request),
	}, m, odd)
}

func (l *leaf) answer(w http.ResponseWriter, r *http.Request, done ran, m mood, odd bool) {
	if m == failing && odd {
		done.status, done.body = http.StatusInternalServerError, nil
	}
	stamp := fmt.Sprintf("%s.%s.%d", done.leaf, done.id, l.world.serial.Add(1))
	l.world.ledger.run(stamp, done)
	work := leafWork
	switch m {
	case slow:
		work *= 40
	case hanging:
		work = time.Hour
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(work):
	}
	switch {
	case m == losing && odd:
		l.reset(w, "")
	case m == garbled && odd:
		l.reset(w, "what is this\r\n")
	case m == garbled:
		l.reset(w, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: "+stamp+"\r\nContent-Length: 1\r\n\r\nx")
	default:
		w.Header().Set("Server-Stamp", stamp)
		w.WriteHeader(done.status)
		_, _ = w.Write(done.body) // the caller may have left
	}
}

// reset sends raw bytes instead of an answer and breaks the connection off.
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

// records returns what a service holds for a request.
func records(service, id string) []byte {
	f := fnv.New64a()
	_, _ = io.WriteString(f, service+id)
	rng := rand.New(rand.NewPCG(f.Sum64(), 3))
	b := make([]byte, 16*(1+rng.IntN(4))+rng.IntN(16))
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// serveList answers as the platform's list, one page for each 50 entries.
func (w *world) serveList(rw http.ResponseWriter, r *http.Request) {
	if w.listDown.Load() {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	const page = 50
	from := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &from)
	to := min(len(w.leaves), from+page)
	var entries []any
	for _, l := range w.leaves[min(from, to):to] {
		l.mu.Lock()
		state := "ready"
		if !l.draining.IsZero() {
			state = "draining"
		}
		entries = append(entries, map[string]any{
			"Id":              l.id,
			"Service":         l.service,
			"Address":         l.server.Listener.Addr().String(),
			"Zone":            l.domain,
			"Slots":           leafSlots,
			"State":           state,
			"ColdRemainingMs": 0,
			"born":            l.born,
		})
		l.mu.Unlock()
	}
	if from == 0 {
		entries = append(entries, map[string]any{"Id": 7, "Service": []int{1}}, "noise")
	}
	var next any
	if to < len(w.leaves) {
		next = fmt.Sprintf("p-%d", to)
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"Instances":     entries,
		"NextPageToken": next,
	})
}
