package dial

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// attempt is one Send in flight.
type attempt struct {
	send      engine.Send
	span      *span.Span
	began     time.Time
	cancel    context.CancelFunc
	cancelled atomic.Bool
}

// Send starts an attempt. traceparent is passed on to the upstream unless
// empty; hop is the span of the attempt, if it is recorded.
func (c *Client) Send(s engine.Send, traceparent string, hop *span.Span) {
	ctx, cancel := context.WithTimeout(c.base, s.Remaining)
	a := &attempt{
		send:   s,
		span:   hop,
		began:  time.Now(),
		cancel: cancel,
	}
	p := c.pool(s.Upstream)
	if p == nil || !c.enter(a) {
		c.fail(a, &Failure{
			Kind: engine.Refused,
			Err:  errNoConnection,
		})
		return
	}
	go func() {
		defer c.work.Done()
		c.run(ctx, p, a, traceparent)
	}()
}

// enter notes an attempt in flight. It reports false after Close.
func (c *Client) enter(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.attempts[a.send.Attempt] = a
	c.work.Add(1)
	return true
}

func (c *Client) run(ctx context.Context, p *pool, a *attempt, traceparent string) {
	s := &a.send
	raw, err := wire.Encode(wire.LeafSearch{
		Request:         s.Request,
		Attempt:         s.Attempt,
		Index:           s.Index,
		Shard:           s.Shard,
		Version:         s.Version,
		Terms:           s.Terms,
		Limit:           s.Limit,
		Class:           s.Class,
		RemainingMicros: s.Remaining.Microseconds(),
	})
	if err != nil {
		c.fail(a, &Failure{
			Kind: engine.Refused,
			Err:  err,
		})
		return
	}
	var answer engine.Answer
	f := c.call(ctx, p, &exchange{
		path:        p.search,
		body:        raw,
		traceparent: traceparent,
		decode: func(r io.Reader) (err error) {
			answer, err = wire.DecodeAnswer(r)
			return err
		},
	})
	if f != nil {
		c.fail(a, f)
		return
	}
	c.finish(a, engine.AttemptAnswered{
		Attempt: s.Attempt,
		Answer:  answer,
	}, nil)
}

func (c *Client) fail(a *attempt, f *Failure) {
	c.finish(a, engine.AttemptFailed{
		Attempt: a.send.Attempt,
		Kind:    f.Kind,
		Held:    f.Held,
	}, f)
}

// finish ends an attempt with its one event.
func (c *Client) finish(a *attempt, ev engine.Event, f *Failure) {
	a.cancel()
	c.mu.Lock()
	delete(c.attempts, a.send.Attempt)
	c.mu.Unlock()
	if c.config.Observe != nil {
		c.config.Observe(Ended{
			Send:      &a.send,
			Span:      a.span,
			Failure:   f,
			Cancelled: a.cancelled.Load(),
			Took:      time.Since(a.began),
		})
	}
	c.config.Emit(ev)
}

// Failure is why a call to an upstream gave no answer.
type Failure struct {
	Kind engine.FailKind
	// Held is what the upstream said it holds, if it said so.
	Held []engine.Held
	Err  error
}

// Error names the kind and the cause.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Err.Error() }

// NotRun reports whether the upstream provably did not run the request.
func (f *Failure) NotRun() bool {
	switch f.Kind {
	case engine.Refused, engine.Shed, engine.Draining, engine.VersionGone, engine.WrongShard:
		return true
	default:
		return false
	}
}

// exchange is one HTTP request to a path of an upstream.
type exchange struct {
	path *http.Request
	// body is nil for requests that change nothing.
	body        []byte
	traceparent string
	// until is the last time to send; zero means none.
	until time.Time
	// connected is called when the request has its connection. Optional.
	connected func()
	// decode reads the body of a 200 answer.
	decode func(io.Reader) error
}

func (c *Client) call(ctx context.Context, p *pool, x *exchange) *Failure {
	g := &gate{
		until:     x.until,
		connected: x.connected,
	}
	resp, err := p.transport.RoundTrip(x.request(g.trace(ctx)))
	if err != nil {
		f := &Failure{
			Kind: failKind(ctx),
			Err:  err,
		}
		if g.bar() {
			f.Kind = engine.Refused
		}
		return f
	}
	f := read(ctx, resp, x.decode)
	_ = resp.Body.Close()
	p.trim()
	return f
}

// header is shared by all requests without trace context; the transport only
// reads it.
var header = http.Header{"Content-Type": {"application/json"}}

// request copies the pool's request for the path and gives it the body. The
// transport knows a bytes.Reader and sends it in one write with the header.
func (x *exchange) request(ctx context.Context) *http.Request {
	req := x.path.WithContext(ctx)
	if x.body != nil {
		req.ContentLength = int64(len(x.body))
		req.Body = io.NopCloser(bytes.NewReader(x.body))
		// The transport only repeats a request when nothing of it was written.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(x.body)), nil }
	}
	if x.traceparent != "" {
		req.Header = http.Header{
			"Content-Type":   header["Content-Type"],
			wire.HeaderTrace: {x.traceparent},
		}
	}
	return req
}

func failKind(ctx context.Context) engine.FailKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return engine.TimedOut
	}
	return engine.Broken
}

// read decodes an answer. The upstream has run the request unless it says
// with a known kind that it did not.
func read(ctx context.Context, resp *http.Response, decode func(io.Reader) error) *Failure {
	if resp.StatusCode == http.StatusOK {
		return readFailure(ctx, decode(resp.Body))
	}
	e, err := wire.DecodeLeafError(resp.Body)
	if err != nil {
		return readFailure(ctx, errors.Wrapf(err, "status %d", resp.StatusCode))
	}
	f := &Failure{
		Kind: e.Kind,
		Held: e.Held,
		Err:  errors.Errorf("status %d: %s", resp.StatusCode, e.Remedy),
	}
	if !f.NotRun() {
		f.Kind = engine.Malformed
	}
	return f
}

// readFailure tells a body that is not valid from one that did not arrive.
func readFailure(ctx context.Context, err error) *Failure {
	if err == nil {
		return nil
	}
	f := &Failure{
		Kind: engine.Malformed,
		Err:  err,
	}
	var bad *wire.Error
	if errors.As(err, &bad) && bad.Kind == wire.ReadFailed {
		f.Kind = failKind(ctx)
	}
	return f
}
