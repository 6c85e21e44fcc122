package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// query is a caller's search as the loop knows it.
type query struct {
	// reply receives the one Reply; it has room for it.
	reply chan engine.Reply
	// span is the query's hop; its attempts are children of it.
	span *span.Span
}

// mail is one event with the query it brings, or a function that looks at
// what the loop owns.
type mail struct {
	event engine.Event
	query *query
	look  func()
}

// loop owns the engine. Events arrive in a mailbox that never blocks its
// senders: its length is bounded by the requests, attempts and probes in
// progress, each of which posts a bounded number of events.
type loop struct {
	engine  Reducer
	client  *dial.Client
	began   time.Time
	queries map[ident.QueryID]*query
	wakes   []ident.Instant // sorted, the latest first

	mu   sync.Mutex
	box  []mail
	full chan struct{} // holds a token while the mailbox has mail
}

func newLoop(e Reducer, c *dial.Client) *loop {
	return &loop{
		engine:  e,
		client:  c,
		began:   time.Now(),
		queries: make(map[ident.QueryID]*query),
		full:    make(chan struct{}, 1),
	}
}

func (l *loop) post(ev engine.Event) { l.send(mail{event: ev}) }

func (l *loop) send(m mail) {
	l.mu.Lock()
	l.box = append(l.box, m)
	first := len(l.box) == 1
	l.mu.Unlock()
	if first {
		select {
		case l.full <- struct{}{}:
		default:
		}
	}
}

// take returns all mail and leaves the empty buffer in its place.
func (l *loop) take(empty []mail) []mail {
	l.mu.Lock()
	defer l.mu.Unlock()
	box := l.box
	l.box = empty[:0]
	return box
}

func (l *loop) now() ident.Instant { return ident.Instant(time.Since(l.began)) }

func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var buf []mail
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.full:
			buf = l.take(buf)
			for i := range buf {
				l.handle(buf[i])
			}
			clear(buf)
		case <-timer.C:
		}
		l.ring()
		if n := len(l.wakes); n > 0 {
			timer.Reset(max(0, l.wakes[n-1].Sub(l.now())))
		}
	}
}

// ring gives the engine one Ticked for all wake times that have come.
func (l *loop) ring() {
	now := l.now()
	n := len(l.wakes)
	for n > 0 && !now.Before(l.wakes[n-1]) {
		n--
	}
	if n == len(l.wakes) {
		return
	}
	l.wakes = l.wakes[:n]
	l.step(engine.Ticked{})
}

func (l *loop) handle(m mail) {
	if m.look != nil {
		m.look()
		return
	}
	switch ev := m.event.(type) {
	case engine.QueryArrived:
		l.queries[ev.Query] = m.query
		l.step(ev)
	case engine.QueryCancelled:
		l.step(ev)
		delete(l.queries, ev.Query)
	default:
		l.step(ev)
	}
}

func (l *loop) step(ev engine.Event) {
	for _, ef := range l.engine.Step(l.now(), ev) {
		l.carryOut(ef)
	}
}

func (l *loop) carryOut(ef engine.Effect) {
	switch ef := ef.(type) {
	case engine.Send:
		l.sendOut(ef)
	case engine.Cancel:
		l.client.Cancel(ef.Attempt)
	case engine.Reply:
		if q := l.queries[ef.Query]; q != nil {
			delete(l.queries, ef.Query)
			q.reply <- ef
		}
	case engine.Warm:
		l.client.Warm(ef)
	case engine.Probe:
		l.client.Probe(ef)
	case engine.Wake:
		l.wakeAt(ef.At)
	}
}

func (l *loop) sendOut(ef engine.Send) {
	var query *span.Span
	if q := l.queries[ef.Query]; q != nil {
		query = q.span
	}
	if hop := query.Attempt(&ef); hop != nil {
		l.client.Send(ef, hop.Traceparent(), hop)
		return
	}
	l.client.Send(ef, query.Traceparent(), nil)
}

func (l *loop) wakeAt(at ident.Instant) {
	i, found := slices.BinarySearchFunc(l.wakes, at, func(a, b ident.Instant) int { return int(b.Sub(a)) })
	if !found {
		l.wakes = slices.Insert(l.wakes, i, at)
	}
}
