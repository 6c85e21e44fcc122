package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/dial"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// query is a search in flight.
type query struct {
	// reply receives the single Reply. It is buffered, so that the loop does not
	// block.
	reply chan engine.Reply
	// span is the parent of the spans of the query's attempts.
	span *span.Span
}

// message is an event, with its query if it is a QueryArrived, facts of another
// host, or a function to run in the goroutine that owns the engine.
type message struct {
	event   engine.Event
	query   *query
	inspect func()
	facts   []gossip.Sent
}

// loop owns the engine. Events arrive in a mailbox that never blocks its
// senders. Its length is bounded by the requests, attempts and probes in flight,
// each of which posts a bounded number of events.
type loop struct {
	engine    Reducer
	client    *dial.Client
	control   Control
	startedAt time.Time
	queries   map[ident.QueryID]*query
	wakes     []ident.Instant // wake times to come, sorted with the latest first

	mu       sync.Mutex
	mailbox  []message
	notEmpty chan struct{} // has a token while the mailbox is not empty
}

func newLoop(e Reducer, c *dial.Client, control Control) *loop {
	return &loop{
		engine:    e,
		client:    c,
		control:   control,
		startedAt: time.Now(),
		queries:   make(map[ident.QueryID]*query),
		notEmpty:  make(chan struct{}, 1),
	}
}

func (l *loop) post(ev engine.Event) { l.enqueue(message{event: ev}) }

func (l *loop) enqueue(m message) {
	l.mu.Lock()
	l.mailbox = append(l.mailbox, m)
	wasEmpty := len(l.mailbox) == 1
	l.mu.Unlock()
	if wasEmpty {
		select {
		case l.notEmpty <- struct{}{}:
		default:
		}
	}
}

// takeAll returns all messages and makes the given buffer the new, empty
// mailbox.
func (l *loop) takeAll(buf []message) []message {
	l.mu.Lock()
	defer l.mu.Unlock()
	mailbox := l.mailbox
	l.mailbox = buf[:0]
	return mailbox
}

func (l *loop) now() ident.Instant { return ident.Instant(time.Since(l.startedAt)) }

func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var buf []message
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.notEmpty:
			buf = l.takeAll(buf)
			for i := range buf {
				l.handle(buf[i])
			}
			clear(buf)
		case <-timer.C:
		}
		l.tickIfDue()
		if n := len(l.wakes); n > 0 {
			timer.Reset(max(0, l.wakes[n-1].Sub(l.now())))
		}
	}
}

// tickIfDue removes all wake times that have passed, and passes one Ticked to the
// engine if there were any.
func (l *loop) tickIfDue() {
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

func (l *loop) handle(m message) {
	switch {
	case m.inspect != nil:
		m.inspect()
		return
	case m.facts != nil:
		l.step(engine.Told{Facts: gossip.ReceiveAll(l.now(), m.facts)})
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
	for _, effect := range l.engine.Step(l.now(), ev) {
		l.execute(effect)
	}
}

func (l *loop) execute(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.Send:
		l.sendAttempt(effect)
	case engine.Cancel:
		l.client.Cancel(effect.Attempt)
	case engine.Reply:
		if q := l.queries[effect.Query]; q != nil {
			delete(l.queries, effect.Query)
			q.reply <- effect
		}
	case engine.Report:
		l.control.Report(effect)
	case engine.Tell:
		l.control.Tell(effect.Fact.Send(l.now()))
	case engine.Warm:
		l.client.Warm(effect)
	case engine.Probe:
		l.client.Probe(effect)
	case engine.Wake:
		l.addWake(effect.At)
	}
}

func (l *loop) sendAttempt(effect engine.Send) {
	var parent *span.Span
	if q := l.queries[effect.Query]; q != nil {
		parent = q.span
	}
	if attemptSpan := parent.StartAttempt(&effect); attemptSpan != nil {
		l.client.Send(effect, attemptSpan.Traceparent(), attemptSpan)
		return
	}
	l.client.Send(effect, parent.Traceparent(), nil)
}

func (l *loop) addWake(at ident.Instant) {
	i, found := slices.BinarySearchFunc(l.wakes, at, func(a, b ident.Instant) int { return int(b.Sub(a)) })
	if !found {
		l.wakes = slices.Insert(l.wakes, i, at)
	}
}
