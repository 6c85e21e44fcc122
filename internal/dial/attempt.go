package dial

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// attempt is an engine.Send in flight.
type attempt struct {
	send      engine.Send
	span      *span.Span
	startedAt time.Time
	cancel    context.CancelFunc
	cancelled atomic.Bool
}

// Send starts an attempt. traceparent is forwarded to the upstream unless it is
// empty; attemptSpan is the span of the attempt, or nil if it is not recorded.
func (c *Client) Send(s engine.Send, traceparent string, attemptSpan *span.Span) {
	ctx, cancel := context.WithTimeout(c.baseCtx, s.Remaining)
	a := &attempt{
		send:      s,
		span:      attemptSpan,
		startedAt: time.Now(),
		cancel:    cancel,
	}
	p := c.activePool(s.Upstream)
	if p == nil || !c.register(a) {
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

// register adds an attempt to those in flight. It reports false after Close.
func (c *Client) register(a *attempt) bool {
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
	failure := c.call(ctx, p, &exchange{
		template:    p.search,
		body:        raw,
		traceparent: traceparent,
		decode: func(r io.Reader) (err error) {
			answer, err = wire.DecodeAnswer(r)
			return err
		},
		call: wire.LeafError{
			Request: s.Request,
			Attempt: s.Attempt,
		},
	})
	if failure != nil {
		c.fail(a, failure)
		return
	}
	c.finish(a, engine.AttemptAnswered{
		Attempt: s.Attempt,
		Answer:  answer,
	}, nil)
}

func (c *Client) fail(a *attempt, failure *Failure) {
	c.finish(a, engine.AttemptFailed{
		Attempt: a.send.Attempt,
		Kind:    failure.Kind,
		Held:    failure.Held,
	}, failure)
}

// finish removes an attempt and emits its single event.
func (c *Client) finish(a *attempt, ev engine.Event, failure *Failure) {
	a.cancel()
	c.mu.Lock()
	delete(c.attempts, a.send.Attempt)
	c.mu.Unlock()
	if c.config.Observe != nil {
		c.config.Observe(AttemptResult{
			Send:      &a.send,
			Span:      a.span,
			Failure:   failure,
			Cancelled: a.cancelled.Load(),
			Duration:  time.Since(a.startedAt),
		})
	}
	c.config.Emit(ev)
}

// Failure tells why a call to an upstream got no valid answer.
type Failure struct {
	Kind engine.FailKind
	// Held lists the index versions that the upstream reported, if it did.
	Held []engine.Held
	Err  error
}

// Error returns the kind followed by the cause.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Err.Error() }

// NotRun reports whether the upstream provably did not execute the request, so
// that it can be sent again safely.
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
	template *http.Request
	// body is nil for a GET.
	body        []byte
	traceparent string
	// sendBefore is the latest time to send the first byte; zero means no limit.
	sendBefore time.Time
	// onConnected is called when the request has its connection. Optional.
	onConnected func()
	// decode reads the body of a response with status 200.
	decode func(io.Reader) error
	// call names the request in the error answers of upstreams.
	call wire.LeafError
}

// errOtherCall is the cause of a Failure by an error answer to an earlier request.
var errOtherCall = errors.New("the upstream answered an earlier request a second time")

func (c *Client) call(ctx context.Context, p *pool, ex *exchange) *Failure {
	guard := &writeGuard{
		sendBefore:  ex.sendBefore,
		onConnected: ex.onConnected,
	}
	resp, err := p.transport.RoundTrip(ex.request(guard.withTrace(ctx)))
	if err != nil {
		failure := &Failure{
			Kind: contextFailKind(ctx),
			Err:  err,
		}
		switch {
		case guard.deny():
			failure.Kind = engine.Refused
		case ctx.Err() == nil && endedByPeer(err):
			failure.Kind = engine.Crashed
		}
		return failure
	}
	if resp.StatusCode != http.StatusOK {
		// The transport may reuse the connection once the body has been read.
		guard.withhold()
	}
	answer := c.budget.Message(resp.Body)
	failure, reuse := readResponse(ctx, resp.StatusCode, answer, ex)
	answer.Done()
	if resp.StatusCode != http.StatusOK {
		guard.restore(reuse)
	}
	_ = resp.Body.Close()
	if failure != nil && failure.Kind == engine.Broken && ctx.Err() == nil && endedByPeer(failure.Err) && p.refused() {
		failure.Kind = engine.Crashed
	}
	p.closeExcessIdle()
	return failure
}

// jsonHeader is shared by all requests without trace context; the transport
// only reads it.
var jsonHeader = http.Header{"Content-Type": {"application/json"}}

// request copies the pool's request template and adds the body. The transport
// recognizes a bytes.Reader and sends it in one write together with the header.
func (x *exchange) request(ctx context.Context) *http.Request {
	req := x.template.WithContext(ctx)
	if x.body != nil {
		req.ContentLength = int64(len(x.body))
		req.Body = io.NopCloser(bytes.NewReader(x.body))
		// The transport retries a request only if nothing of it was written.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(x.body)), nil }
	}
	if x.traceparent != "" {
		req.Header = http.Header{
			"Content-Type":   jsonHeader["Content-Type"],
			wire.HeaderTrace: {x.traceparent},
		}
	}
	return req
}

// endedByPeer reports whether an error shows that the other side ended the
// connection, as a process that ends does.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

func contextFailKind(ctx context.Context) engine.FailKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return engine.TimedOut
	}
	return engine.Broken
}

// readResponse decodes a response. An error response counts as NotRun only if
// its kind says so; with any other kind the upstream may have executed the
// request, so the failure is Malformed. reuse is set if the connection can be used
// again: no copy of the answer can be taken for the answer to the next request.
func readResponse(ctx context.Context, status int, body io.Reader, ex *exchange) (failure *Failure, reuse bool) {
	// net/http takes any number of three digits, and hands on a 101, whose body has no end.
	if status < http.StatusOK || status > maxStatus {
		return &Failure{
			Kind: engine.Malformed,
			Err:  errors.Errorf("the answer has the status %03d: give it one from 200 to 599", status),
		}, false
	}
	if status == http.StatusOK {
		return bodyFailure(ctx, ex.decode(body)), true
	}
	leafErr, err := wire.DecodeLeafError(body)
	if err != nil {
		return bodyFailure(ctx, errors.Wrapf(err, "status %d", status)), false
	}
	failure = &Failure{
		Kind: leafErr.Kind,
		Held: leafErr.Held,
		Err:  errors.Errorf("status %d: %s", status, leafErr.Remedy),
	}
	named, other := leafErr.Names(), !leafErr.SameCall(ex.call)
	switch {
	case named && other:
		failure.Kind, failure.Held, failure.Err = engine.Malformed, nil, errOtherCall
	case !failure.NotRun():
		failure.Kind = engine.Malformed
	}
	return failure, named && !other
}

// bodyFailure distinguishes an invalid body (Malformed) from one that did not
// arrive completely (Broken or TimedOut).
func bodyFailure(ctx context.Context, err error) *Failure {
	if err == nil {
		return nil
	}
	failure := &Failure{
		Kind: engine.Malformed,
		Err:  err,
	}
	var decodeErr *wire.Error
	if errors.As(err, &decodeErr) && decodeErr.Kind == wire.ReadFailed {
		failure.Kind = contextFailKind(ctx)
	}
	return failure
}
