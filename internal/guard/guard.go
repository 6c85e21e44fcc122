// Package guard bounds what callers hold of a process. It wraps the listener of an
// http.Server, counts the bytes and lines of heads before net/http parses them, and
// closes the connections that pkg/memory names when the memory or the connections for
// callers are used up. It replaces the server's own timeouts, so that limits can change
// while the server runs.
package guard

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubethread/jujubethread/internal/bound"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/memory"
)

const (
	// connectionBytes is what a connection holds without a request: the stack of its
	// goroutine, the buffers of net/http and its own state.
	connectionBytes = 16 << 10

	// lineBytes is what a header line holds in addition to its bytes: its entry in the
	// map, the slice of its values, and the garbage of a growing map.
	lineBytes = 128

	// runningCopies is how often a body or head is held in addition while its request
	// runs: in the messages to other hosts and upstreams.
	runningCopies = 2

	// smallBytes is what an ordinary request holds in addition to its connection: 1 KB
	// with 20 header lines, and a body of 4 KB, while it runs.
	smallBytes = 24 << 10

	// closingTimeout bounds how long new connections wait for others to close.
	closingTimeout = 100 * time.Millisecond

	// logInterval is the time between two log lines about closed connections.
	logInterval = time.Second

	// lingerTime and lingerBytes bound how long a connection is read after a refusal,
	// so that the caller gets the answer and no reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10

	// refusalTimeout bounds the write of a refusal, which fits into the buffer of the
	// connection unless earlier answers fill it.
	refusalTimeout = 5 * time.Millisecond
)

// Limits are the limits for one caller. Zero means the default.
type Limits struct {
	// HeadBytes bounds the header lines, and the request line.
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 75 * time.Second

	// headMargin is allowed beyond HeadBytes: callers count line ends and the lines
	// that their own libraries add in different ways.
	headMargin = 1 << 10

	// defaultStallTimeout is the time in which a body or an answer must make progress.
	// Callers of the known deployments wait at most 4 s.
	defaultStallTimeout = 10 * time.Second
)

// MaxHeaderBytes is the limit to set at the server, beyond which Limits have no effect.
const MaxHeaderBytes = 1 << 20

// Config holds the bounds of the connections of one kind.
type Config struct {
	// Clients names those who connect, in logs: callers, operators, hosts, checks or metrics.
	Clients string
	// Bytes bounds what clients hold, Connections their number.
	Bytes       int64
	Connections int
	// StallTimeout is the time in which a body or an answer must make progress; 0 means
	// 10 s.
	StallTimeout time.Duration
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Dropped is called for each connection that is closed and each request that is
	// refused; it must not block. It may be nil.
	Dropped func(memory.Reason)
	Log     *slog.Logger
}

// Guard bounds the clients of one kind of a process.
type Guard struct {
	cfg   Config
	start time.Time

	mu     sync.Mutex
	budget *memory.Budget
	conns  map[memory.ID]evictable
	lastID memory.ID
	// pace limits the rate at which large messages are read from RawConns.
	pace bound.Pace
	// closed gets a value when a connection is closed.
	closed chan struct{}
	// dropped counts since the last log line, by reason.
	dropped  [memory.Full + 1]int
	loggedAt time.Time
}

// New returns a Guard without connections.
func New(cfg Config) *Guard {
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return Limits{} }
	}
	if cfg.StallTimeout <= 0 {
		cfg.StallTimeout = defaultStallTimeout
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Guard{
		cfg:   cfg,
		start: time.Now(),
		budget: memory.New(memory.Config{
			Bytes:           cfg.Bytes,
			Connections:     cfg.Connections,
			ConnectionBytes: connectionBytes,
			SmallBytes:      connectionBytes + smallBytes,
		}),
		conns:  make(map[memory.ID]evictable),
		pace:   bound.NewPace(),
		closed: make(chan struct{}, 1),
	}
}

func (g *Guard) limits() Limits {
	l := g.cfg.Limits()
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Usage returns the number of callers' connections and the bytes that they hold.
func (g *Guard) Usage() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Open(), g.budget.Used()
}

// step passes one event to the reducer and closes the connections that it names. It
// reports false if id itself is among them; only abort closes that one too.
func (g *Guard) step(id memory.ID, event func(b *memory.Budget, now ident.Instant) []memory.Drop) bool {
	now := time.Now()
	g.mu.Lock()
	drops := event(g.budget, ident.Instant(now.Sub(g.start)))
	if len(drops) == 0 {
		g.mu.Unlock()
		return true
	}
	kept := true
	closed := make([]evictable, 0, len(drops))
	for _, d := range drops {
		g.dropped[d.Reason]++
		if g.cfg.Dropped != nil {
			g.cfg.Dropped(d.Reason)
		}
		if d.Connection == id {
			kept = false
		} else if c := g.conns[d.Connection]; c != nil {
			closed = append(closed, c)
		}
	}
	var counts [memory.Full + 1]int
	report := now.Sub(g.loggedAt) >= logInterval
	if report {
		counts, g.dropped, g.loggedAt = g.dropped, [memory.Full + 1]int{}, now
	}
	open, used, closing := g.budget.Open(), g.budget.Used(), g.budget.Closing()
	g.mu.Unlock()
	for _, c := range closed {
		c.evict()
	}
	if report {
		g.cfg.Log.Warn("callers give way", "Clients", g.cfg.Clients, "Slow", counts[memory.Slow], "Unused", counts[memory.Unused], "Full", counts[memory.Full],
			"Connections", open, "HeldBytes", used, "ClosingBytes", closing)
	}
	return kept
}

// Admit reserves memory for a whole request that came from another host. It returns
// false if there is none: the request must not run. release must follow otherwise.
func (g *Guard) Admit(bytes int) (release func(), ok bool) {
	if g == nil {
		return func() {}, true
	}
	g.mu.Lock()
	g.lastID++
	id := g.lastID
	g.mu.Unlock()
	ok = g.step(id, func(b *memory.Budget, now ident.Instant) []memory.Drop {
		return b.Admit(now, id, int64(bytes)*(1+runningCopies))
	})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.budget.Release(id)
	}, ok
}

// Listener is a listener whose connections a Guard bounds.
type Listener struct {
	net.Listener
	guard *Guard
}

// Wrap returns a Listener that accepts the connections of lis.
func (g *Guard) Wrap(lis net.Listener) *Listener {
	return &Listener{
		Listener: lis,
		guard:    g,
	}
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.guard.waitForClosing()
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.accept(raw); c != nil {
			return c, nil
		}
	}
}

// waitForClosing leaves new connections in the accept queue while so many are closing
// that a further one would be refused.
func (g *Guard) waitForClosing() {
	for end := time.Now().Add(closingTimeout); time.Now().Before(end); {
		g.mu.Lock()
		crowded := g.budget.Crowded()
		g.mu.Unlock()
		if !crowded {
			return
		}
		select {
		case <-g.closed:
		case <-time.After(time.Until(end)):
		}
	}
}

// evictable is a connection that can be closed for others.
type evictable interface{ evict() }

// add gives a new connection an id and reports whether there is room for it.
func (g *Guard) add(c evictable, id *memory.ID) bool {
	g.mu.Lock()
	g.lastID++
	*id = g.lastID
	g.conns[*id] = c
	g.mu.Unlock()
	return g.step(*id, func(b *memory.Budget, now ident.Instant) []memory.Drop { return b.Accept(now, *id) })
}

// remove forgets a connection that is closed.
func (g *Guard) remove(id memory.ID) {
	g.mu.Lock()
	g.budget.Close(id)
	delete(g.conns, id)
	g.mu.Unlock()
	select {
	case g.closed <- struct{}{}:
	default:
	}
}

func (g *Guard) accept(raw net.Conn) *Conn {
	c := &Conn{
		Conn:  raw,
		guard: g,
	}
	if !g.add(c, &c.id) {
		c.abort()
		c.forget()
		return nil
	}
	_ = raw.SetReadDeadline(time.Now().Add(g.limits().IdleTimeout))
	return c
}

// ConnState returns the ConnState hook for the server, which also calls next with the
// connections of the wrapped listener, if next is set.
func (l *Listener) ConnState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(raw net.Conn, s http.ConnState) {
		c, ok := raw.(*Conn)
		if !ok {
			return
		}
		if next != nil {
			next(c.Conn, s)
		}
		switch s {
		case http.StateActive:
			c.serving = true
			// The server clears it once it has read the body.
			_ = c.Conn.SetReadDeadline(time.Now().Add(c.guard.cfg.StallTimeout))
		case http.StateIdle:
			c.finish()
		case http.StateClosed:
			// A listener that puts off closes would keep a connection whose last
			// request the server has not noticed.
			c.abort()
			c.forget()
		case http.StateHijacked:
			c.forget()
		case http.StateNew:
		}
	}
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext hook of the server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Of returns the connection of a request, nil if it came without a Guard.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// MetricsBytes is what a page of metrics needs in memory.
const MetricsBytes = 128 << 10

// CheckServer returns a server for the connections of a listener with CheckBounds, whose
// answers need some bytes each. Requests with a body are refused unread.
func CheckServer(l *Listener, bytes int, next http.Handler) *http.Server {
	return &http.Server{
		Handler:        refuseBodies(Reserve(bytes, next)),
		MaxHeaderBytes: MaxHeaderBytes, // the guard has the limits and timeouts
		ConnState:      l.ConnState(nil),
		ConnContext:    ConnContext,
	}
}

func refuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header()["Connection"] = []string{"close"}
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Reserve returns a handler for requests without a body that need some bytes each while
// they are served, such as those for metrics.
func Reserve(bytes int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Of(r).Complete(bytes) {
			Refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Handler returns a handler that marks requests without a body as whole, for handlers
// that use ReadBody only for some of their requests.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 && !Of(r).Complete(0) {
			Refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Refuse answers a request for which there is no memory. It has not run.
func Refuse(w http.ResponseWriter) {
	h := w.Header()
	h["Connection"] = []string{"close"}
	h["Retry-After"] = []string{"1"}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// aborter is a connection that can be closed although a request is being read.
type aborter interface{ Abort() error }

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	guard *Guard
	id    memory.ID
	// evicted is set once the connection is closed for others; forgotten once the
	// reducer no longer has it.
	evicted   atomic.Bool
	forgotten atomic.Bool
	// serving is set while a handler runs. The other fields are about the head that is
	// being received; the server reads it in the goroutine that sets them.
	serving bool
	head    head
}
