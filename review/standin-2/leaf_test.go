package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// lister is the platform's list of upstreams.
type lister struct {
	w       *world
	address string
	// lag is how much the list lags, at most MaxLagMs.
	lag time.Duration

	mu      sync.Mutex
	history []listed
}

// listed is the list as it was at a time.
type listed struct {
	at      time.Time
	entries []map[string]any
}

func newLister(w *world) *lister {
	lis, err := net.Listen("tcp", w.net+".9.1:0")
	if err != nil {
		w.notRun("%v", err)
	}
	l := &lister{
		w:       w,
		address: lis.Addr().String(),
	}
	go func() { _ = http.Serve(lis, http.HandlerFunc(l.serve)) }()
	return l
}

func (l *lister) serve(w http.ResponseWriter, r *http.Request) {
	entries := l.entries()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Instances":     entries,
		"NextPageToken": nil,
	})
}

// entries returns the list, as of a while ago if it lags.
func (l *lister) entries() []map[string]any {
	if l.lag == 0 {
		return l.present()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i >= 0; i-- {
		if time.Since(l.history[i].at) >= l.lag {
			return l.history[i].entries
		}
	}
	return l.present()
}

func (l *lister) present() []map[string]any {
	entries := []map[string]any{}
	for _, f := range l.w.leafs {
		entries = append(entries, f.entry())
	}
	return entries
}

// lags makes the list lag.
func (l *lister) lags(lag time.Duration) {
	l.lag = lag
	go func() {
		for {
			l.mu.Lock()
			l.history = append(l.history, listed{
				at:      time.Now(),
				entries: l.present(),
			})
			l.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// arrival is a request that reached a leaf.
type arrival struct {
	at   time.Time
	id   string
	path string
	// ran is set if the leaf began to work on it.
	ran bool
}

// leaf is an upstream as the pages describe it.
type leaf struct {
	w       *world
	service string
	zone    string
	slots   int
	work    time.Duration

	mu      sync.Mutex
	id      string
	address string
	born    int64
	srv     *http.Server
	// deadUntil is when a crashed leaf is back.
	deadUntil time.Time
	coldUntil time.Time
	// coldStart is how long the leaf is cold after it starts during traffic. keepsID is
	// set if it starts again under the id that it had.
	coldStart time.Duration
	keepsID   bool
	running   int
	waiting   int
	free      chan struct{}
	arrivals  []arrival
	incarnate int
	crashes   int
	// crashOn is the path of requests that crash the leaf that begins to run them.
	crashOn string
	// coldCrash is the number of arrivals in one second above which a cold leaf
	// crashes, 0 for never.
	coldCrash int
}

func (w *world) addLeaf(service, zone string, slots int, work time.Duration) *leaf {
	l := &leaf{
		w:       w,
		service: service,
		zone:    zone,
		slots:   slots,
		work:    work,
	}
	l.listen(fmt.Sprintf("%s.20.%d:0", w.net, len(w.leafs)+1))
	w.leafs = append(w.leafs, l)
	return l
}

// listen starts an incarnation.
func (l *leaf) listen(address string) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		l.w.notRun("leaf cannot listen: %v", err)
	}
	l.mu.Lock()
	l.incarnate++
	if l.address = lis.Addr().String(); l.id == "" || !l.keepsID {
		l.id = fmt.Sprintf("i-%s-%s-%d-%s", l.service, l.zone, l.incarnate, l.address[len(l.address)-5:])
	}
	if l.incarnate > 1 && l.coldStart > 0 {
		l.coldUntil = time.Now().Add(l.coldStart)
	}
	l.born = time.Now().UnixMilli()
	l.free = make(chan struct{}, l.slots)
	l.running, l.waiting = 0, 0
	l.srv = &http.Server{Handler: http.HandlerFunc(l.serve)}
	srv := l.srv
	l.mu.Unlock()
	go func() { _ = srv.Serve(lis) }()
}

func (l *leaf) stop() {
	l.mu.Lock()
	srv := l.srv
	l.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// crash ends the leaf's process: all connections are reset. It is back after a time,
// as a new incarnation at the same address.
func (l *leaf) crash(why string, down time.Duration) {
	l.mu.Lock()
	if time.Now().Before(l.deadUntil) {
		l.mu.Unlock()
		return
	}
	l.crashes++
	l.deadUntil = time.Now().Add(down)
	srv, address, running, id := l.srv, l.address, l.running, l.id
	l.mu.Unlock()
	l.w.log("leaf %s crashes (%s) with %d requests at work", id, why, running)
	_ = srv.Close()
	go func() {
		time.Sleep(down)
		l.listen(address)
		l.w.log("leaf %s is back as %s", id, l.name())
	}()
}

func (l *leaf) name() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// entry returns the leaf's entry in the list. A crashed leaf stays listed until it is
// back.
func (l *leaf) entry() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]any{
		"Id": l.id, "Service": l.service, "Address": l.address, "Zone": l.zone, "Version": "v1", "Slots": l.slots,
		"State": "ready", "ColdRemainingMs": max(0, time.Until(l.coldUntil).Milliseconds()), "born": l.born,
	}
}

func (l *leaf) setCold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil = time.Now().Add(d)
}

// queueLimit is how many requests wait at a leaf; it rejects others.
const queueLimit = 12

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get("Request-Id")
	l.mu.Lock()
	own, free := l.id, l.free
	load := fmt.Sprintf("%d,%d,%d", l.running, l.waiting, l.slots)
	l.mu.Unlock()
	h.Set("Server-Load", load)
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", own)
		return
	}
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != own {
		h.Set("Not-Executed", "other-instance")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	mine, ok := l.arrive(id, r.URL.Path)
	if !ok {
		h.Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !l.takeSlot(r.Context(), free, r.Header.Get("Deadline-Milliseconds")) {
		h.Set("Not-Executed", "deadline")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	l.running++
	l.arrivals[mine].ran = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		if l.free == free {
			l.running--
		}
		l.mu.Unlock()
		<-free
	}()
	time.Sleep(l.work)
	if l.crashOn != "" && r.URL.Path == l.crashOn {
		l.crash("by the request "+r.URL.Path, 2500*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	h.Set("Server-Stamp", own+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)+len(id)))
	_, _ = w.Write(append([]byte(id), body...))
}

// arrive records a request that reached the leaf, and returns its place in arrivals. It
// reports false if the queue is full. A cold leaf that gets too many crashes.
func (l *leaf) arrive(id, path string) (mine int, ok bool) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{
		at:   time.Now(),
		id:   id,
		path: path,
	})
	mine = len(l.arrivals) - 1
	inSecond := 0
	for i := mine; i >= 0 && time.Since(l.arrivals[i].at) < time.Second; i-- {
		inSecond++
	}
	cold := time.Now().Before(l.coldUntil)
	ok = l.waiting < queueLimit
	if ok {
		l.waiting++
	}
	l.mu.Unlock()
	if cold && l.coldCrash > 0 && inSecond > l.coldCrash {
		l.crash(fmt.Sprintf("%d requests in a second while it is cold", inSecond), 3*time.Second)
		panic(http.ErrAbortHandler)
	}
	return mine, ok
}

// takeSlot waits for a slot, at most until the deadline or until the caller leaves.
func (l *leaf) takeSlot(ctx context.Context, free chan struct{}, deadline string) bool {
	ms, err := strconv.Atoi(deadline)
	if err != nil {
		ms = 1000
	}
	defer func() {
		l.mu.Lock()
		if l.free == free {
			l.waiting--
		}
		l.mu.Unlock()
	}()
	select {
	case free <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
	return false
}

// arrivalsSince returns the requests that reached the leaf.
func (l *leaf) arrivalsSince(at time.Time) (list []arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.at.After(at) {
			list = append(list, a)
		}
	}
	return list
}
