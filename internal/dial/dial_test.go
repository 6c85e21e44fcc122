package dial_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
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

// rig is a client with one upstream that counts its open connections.
type rig struct {
	is     *is.I
	client *dial.Client
	events chan engine.Event
	server *httptest.Server

	mu         sync.Mutex
	open, most int
	accepted   []net.Conn
}

func newRig(t *testing.T, handler http.HandlerFunc) *rig {
	r := &rig{
		is:     is.New(t),
		events: make(chan engine.Event, 1000),
	}
	r.client = dial.New(dial.Config{Emit: func(ev engine.Event) { r.events <- ev }})
	r.server = httptest.NewUnstartedServer(handler)
	r.server.Listener = counting{
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

// counting is a listener that counts a connection from its accept until just
// before its close. The ConnState hook of net/http comes after the close.
type counting struct {
	net.Listener
	rig *rig
}

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		c = &counted{
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

type counted struct {
	net.Conn
	rig  *rig
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.rig.count(-1) })
	return c.Conn.Close()
}

func (r *rig) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += n
	r.most = max(r.most, r.open)
}

func (r *rig) connections() (open, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open, r.most
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

// event returns the next event.
func (r *rig) event() engine.Event {
	select {
	case ev := <-r.events:
		return ev
	case <-time.After(waitLimit):
		r.is.Fail() // no event came
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

func answering(w http.ResponseWriter, req *http.Request) {
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

// Guards against connections that are opened only at first use, and against a
// pool that keeps connections it was told to close.
func TestPoolFollowsWarm(t *testing.T) {
	r := newRig(t, answering)
	for _, n := range []int{3, 1, 4, 0} {
		r.warm(n)
		r.eventually(func() bool {
			open, _ := r.connections()
			return open == n
		})
	}
	r.warm(2)
	for id := range ident.AttemptID(20) {
		r.send(id, waitLimit)
	}
	for range 20 {
		_, ok := r.event().(engine.AttemptAnswered)
		r.is.True(ok)
	}
	open, most := r.connections()
	r.is.Equal(open, 2)
	r.is.Equal(most, 4)
	r.warm(0)
	r.eventually(func() bool {
		open, _ := r.connections()
		return open == 0
	})
}

// Guards against an upstream that sees more connections than the share while
// cancelled attempts close theirs and new ones are opened.
func TestCancelledAttemptsStayWithinTheShare(t *testing.T) {
	const share, attempts = 2, 100
	began := make(chan ident.AttemptID, attempts)
	r := newRig(t, func(_ http.ResponseWriter, req *http.Request) {
		s, _ := wire.DecodeLeafSearch(req.Body)
		began <- s.Attempt
		<-req.Context().Done()
	})
	r.warm(share)
	for id := range ident.AttemptID(attempts) {
		r.send(id, waitLimit)
	}
	ended := map[ident.AttemptID]bool{}
	for range attempts {
		r.client.Cancel(<-began)
		failed, ok := r.event().(engine.AttemptFailed)
		r.is.True(ok)
		r.is.True(!ended[failed.Attempt]) // one event for each attempt
		ended[failed.Attempt] = true
	}
	_, most := r.connections()
	r.is.Equal(most, share)
	r.is.Equal(r.client.InFlight(), 0)
}

// Guards against a failure of the wrong kind: Refused may be repeated, Broken
// and TimedOut may have run.
func TestFailureKinds(t *testing.T) {
	fail := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		kind    engine.FailKind
	}{
		{"shed", fail(503, `{"Kind":"Shed","Remedy":"later"}`), engine.Shed},
		{"draining", fail(503, `{"Kind":"Draining","Remedy":"later"}`), engine.Draining},
		{"unknown kind", fail(500, `{"Kind":"Odd","Remedy":"later"}`), engine.Malformed},
		{"kind that may have run", fail(500, `{"Kind":"Broken","Remedy":"x"}`), engine.Malformed},
		{"no body", fail(503, ``), engine.Malformed},
		{"not JSON", fail(200, `no`), engine.Malformed},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, engine.Broken},
		{"cut in the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"Shard":`))
		}, engine.Broken},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte(" "), wire.MaxAnswerBytes+1))
		}, engine.Malformed},
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

// Guards against an attempt that may have run being reported as Refused, and
// against one without any connection being reported as anything else.
func TestRefusedWithoutConnection(t *testing.T) {
	r := newRig(t, answering)
	refused := engine.AttemptFailed{
		Attempt: 1,
		Kind:    engine.Refused,
	}
	r.send(1, waitLimit)
	r.is.Equal(r.event(), refused) // no seat
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	l.Close()
	r.client.Warm(engine.Warm{
		Upstream:    "u",
		Address:     l.Addr().String(),
		Connections: 1,
	})
	r.send(1, waitLimit)
	r.is.Equal(r.event(), refused) // nobody listens
	r.client.Probe(engine.Probe{Upstream: "u"})
	r.is.Equal(r.event(), engine.ProbeFailed{Upstream: "u"})
}

// Guards against requests that are sent on a spare connection which the
// upstream has closed, for example at its restart.
func TestSpareConnectionsAreChecked(t *testing.T) {
	r := newRig(t, answering)
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
