package dial_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 10 * time.Second

// rig is a client under test and one upstream that counts its open connections.
type rig struct {
	is     *is.I
	client *dial.Client
	events chan engine.Event
	server *httptest.Server

	mu         sync.Mutex
	open, peak int // connections at the upstream
	accepted   []net.Conn
}

func newRig(t *testing.T, handler http.HandlerFunc) *rig {
	r := &rig{
		is:     is.New(t),
		events: make(chan engine.Event, 1000),
	}
	r.client = dial.New(dial.Config{Emit: func(ev engine.Event) { r.events <- ev }})
	r.server = httptest.NewUnstartedServer(handler)
	r.server.Listener = countingListener{
		Listener: r.server.Listener,
		rig:      r,
	}
	r.server.Start()
	t.Cleanup(func() {
		r.client.Close()
		r.server.Close()
	})
	return r
}

// countingListener counts a connection from its accept until just before its
// close. The ConnState hook of net/http would run only after the close.
type countingListener struct {
	net.Listener
	rig *rig
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		c = &countedConn{
			Conn: c,
			rig:  l.rig,
		}
		l.rig.mu.Lock()
		l.rig.accepted = append(l.rig.accepted, c)
		l.rig.mu.Unlock()
		l.rig.count(1)
	}
	return c, err
}

type countedConn struct {
	net.Conn
	rig  *rig
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.rig.count(-1) })
	return c.Conn.Close()
}

func (r *rig) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += n
	r.peak = max(r.peak, r.open)
}

func (r *rig) connections() (open, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open, r.peak
}

func (r *rig) warm(n int) {
	r.client.Warm(engine.Warm{
		Upstream:    "u",
		Address:     r.server.Listener.Addr().String(),
		Connections: n,
	})
}

func (r *rig) send(id ident.AttemptID, remaining time.Duration) {
	r.client.Send(engine.Send{
		Attempt:   id,
		Request:   "r",
		Upstream:  "u",
		Shard:     "s",
		Version:   1,
		Remaining: remaining,
	}, "", nil)
}

// event waits for the next event.
func (r *rig) event() engine.Event {
	select {
	case ev := <-r.events:
		return ev
	case <-time.After(waitLimit):
		r.is.Fail() // no event arrived in time
		return nil
	}
}

// eventually polls for a state that has no event to wait on.
func (r *rig) eventually(ok func() bool) {
	end := time.Now().Add(waitLimit)
	for !ok() {
		r.is.True(time.Now().Before(end)) // the state was not reached in time
		time.Sleep(time.Millisecond)
	}
}

func answerRequest(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == wire.PathLeafHealth {
		_ = json.NewEncoder(w).Encode(wire.LeafHealth{Health: engine.HealthReady})
		return
	}
	s, _ := wire.DecodeLeafSearch(req.Body)
	_ = json.NewEncoder(w).Encode(engine.Answer{
		Request: s.Request,
		Attempt: s.Attempt,
		Shard:   s.Shard,
		Version: s.Version,
	})
}

// Guards against connections that are opened only at first use, and against
// connections that stay open after the pool's size was reduced.
func TestPoolFollowsWarm(t *testing.T) {
	r := newRig(t, answerRequest)
	for _, n := range []int{3, 1, 4, 0} {
		r.warm(n)
		r.eventually(func() bool {
			open, _ := r.connections()
			return open == n
		})
	}
	r.warm(2)
	sendAll := func(first ident.AttemptID) {
		for id := range ident.AttemptID(20) {
			r.send(first+id, waitLimit)
		}
		for range 20 {
			_, ok := r.event().(engine.AttemptAnswered)
			r.is.True(ok)
		}
	}
	sendAll(0)
	// The upstream may accept the second connection after it has answered all on the first.
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 2
	})
	sendAll(20)
	open, peak := r.connections()
	r.is.Equal(open, 2)
	r.is.Equal(peak, 4)
	r.warm(0)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 0
	})
}

// Guards against an upstream that sees more connections than the pool size: a
// cancelled attempt closes its connection, and a new one may be opened before
// the upstream has noticed the close.
func TestCancelledAttemptsStayWithinTheShare(t *testing.T) {
	const share, attempts = 2, 100
	started := make(chan ident.AttemptID, attempts)
	r := newRig(t, func(_ http.ResponseWriter, req *http.Request) {
		s, _ := wire.DecodeLeafSearch(req.Body)
		started <- s.Attempt
		<-req.Context().Done()
	})
	r.warm(share)
	for id := range ident.AttemptID(attempts) {
		r.send(id, waitLimit)
	}
	ended := map[ident.AttemptID]bool{}
	for range attempts {
		r.client.Cancel(<-started)
		failed, ok := r.event().(engine.AttemptFailed)
		r.is.True(ok)
		r.is.True(!ended[failed.Attempt]) // one event for each attempt
		ended[failed.Attempt] = true
	}
	_, peak := r.connections()
	r.is.Equal(peak, share)
	r.is.Equal(r.client.InFlight(), 0)
}

// Guards against a wrong failure kind: a Refused attempt is sent again, whereas a
// Broken, Crashed or TimedOut one may have run.
func TestFailureKinds(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	raw := func(status, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		kind    engine.FailKind
	}{
		{"shed", respond(503, `{"Kind":"Shed","Remedy":"later"}`), engine.Shed},
		{"draining", respond(503, `{"Kind":"Draining","Remedy":"later"}`), engine.Draining},
		{"unknown kind", respond(500, `{"Kind":"Odd","Remedy":"later"}`), engine.Malformed},
		{"kind that may have run", respond(500, `{"Kind":"Broken","Remedy":"x"}`), engine.Malformed},
		{"no body", respond(503, ``), engine.Malformed},
		{"not JSON", respond(200, `no`), engine.Malformed},
		{"cut before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, engine.Crashed},
		{"cut in the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"Shard":`))
		}, engine.Broken},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte(" "), wire.MaxAnswerBytes+1))
		}, engine.Malformed},
		{"status 000", raw("000", `{"Kind":"Shed","Remedy":"later"}`), engine.Malformed},
		{"status 099", raw("099", `{"Kind":"Shed","Remedy":"later"}`), engine.Malformed},
		{"status 101", raw("101", ""), engine.Malformed},
		{"status 600", raw("600", `{"Kind":"Shed","Remedy":"later"}`), engine.Malformed},
		{"slow", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }, engine.TimedOut},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
				_, _ = wire.DecodeLeafSearch(req.Body)
				tc.handler(w, req)
			})
			r.warm(1)
			remaining := waitLimit
			if tc.kind == engine.TimedOut {
				remaining = 300 * time.Millisecond
			}
			r.send(1, remaining)
			r.is.Equal(r.event(), engine.AttemptFailed{
				Attempt: 1,
				Kind:    tc.kind,
			})
		})
	}
}

// Guards against an upstream that ends in the middle of its answer and is not counted
// as crashed: the search that ended it would be sent to one after the other.
func TestUpstreamThatEndsInAnAnswerHasCrashed(t *testing.T) {
	var r *rig
	r = newRig(t, func(w http.ResponseWriter, req *http.Request) {
		_, _ = wire.DecodeLeafSearch(req.Body)
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"Shard":`))
		_ = http.NewResponseController(w).Flush()
		_ = r.server.Listener.Close()
		r.mu.Lock()
		accepted := slices.Clone(r.accepted)
		r.mu.Unlock()
		for _, c := range accepted {
			_ = c.Close()
		}
	})
	r.warm(2)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 2
	})
	r.send(1, waitLimit)
	r.is.Equal(r.event(), engine.AttemptFailed{
		Attempt: 1,
		Kind:    engine.Crashed,
	})
}

// Guards against an attempt that may have run being reported as Refused, and
// against one without a connection being reported as any other kind.
func TestRefusedWithoutConnection(t *testing.T) {
	r := newRig(t, answerRequest)
	refused := engine.AttemptFailed{
		Attempt: 1,
		Kind:    engine.Refused,
	}
	r.send(1, waitLimit)
	r.is.Equal(r.event(), refused) // no pool: Warm was not called
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	l.Close()
	r.client.Warm(engine.Warm{
		Upstream:    "u",
		Address:     l.Addr().String(),
		Connections: 1,
	})
	r.send(1, waitLimit)
	r.is.Equal(r.event(), refused) // nothing listens on the address
	r.client.Probe(engine.Probe{Upstream: "u"})
	r.is.Equal(r.event(), engine.ProbeFailed{Upstream: "u"})
}

// Guards against requests on a spare connection that the upstream has closed,
// for example by a restart.
func TestSpareConnectionsAreChecked(t *testing.T) {
	r := newRig(t, answerRequest)
	r.warm(2)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 2
	})
	for _, c := range r.accepted {
		c.Close()
	}
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 0
	})
	r.client.Probe(engine.Probe{Upstream: "u"})
	_, ok := r.event().(engine.UpstreamReported)
	r.is.True(ok)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 2
	})
}
