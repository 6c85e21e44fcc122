package dial

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// attempt is one Send in flight.
type attempt struct {
	send      engine.Send
	began     time.Time
	cancel    context.CancelFunc
	cancelled atomic.Bool
}

// Send starts an attempt. traceparent is passed on to the upstream unless empty.
func (c *Client) Send(s engine.Send, traceparent string) {
	ctx, cancel := context.WithTimeout(c.base, s.Remaining)
	a := &attempt{
		send:   s,
		began:  time.Now(),
		cancel: cancel,
	}
	c.mu.Lock()
	p := c.pools[s.Upstream]
	if p != nil && !c.closed {
		c.attempts[s.Attempt] = a
		c.work.Add(1)
	}
	c.mu.Unlock()
	if p == nil {
		c.finish(a, engine.AttemptFailed{
			Attempt: s.Attempt,
			Kind:    engine.Refused,
		}, engine.Refused)
		return
	}
	go func() {
		defer c.work.Done()
		c.run(ctx, p, a, traceparent)
	}()
}

func (c *Client) run(ctx context.Context, p *pool, a *attempt, traceparent string) {
	s := &a.send
	body, err := json.Marshal(wire.LeafSearch{
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
	if f := c.call(ctx, p, p.search, body, traceparent, &answer); f != nil {
		c.fail(a, f)
		return
	}
	c.finish(a, engine.AttemptAnswered{
		Attempt: s.Attempt,
		Answer:  answer,
	}, "")
}

func (c *Client) fail(a *attempt, f *Failure) {
	c.finish(a, engine.AttemptFailed{
		Attempt: a.send.Attempt,
		Kind:    f.Kind,
		Held:    f.Held,
	}, f.Kind)
}

// finish ends an attempt with its one event.
func (c *Client) finish(a *attempt, ev engine.Event, kind engine.FailKind) {
	a.cancel()
	c.mu.Lock()
	delete(c.attempts, a.send.Attempt)
	c.mu.Unlock()
	if c.config.Observe != nil {
		c.config.Observe(Ended{
			Send:      a.send,
			Kind:      kind,
			Cancelled: a.cancelled.Load(),
			Began:     a.began,
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

// call makes one HTTP exchange and decodes a 200 answer into out. A nil body
// makes it a GET.
func (c *Client) call(ctx context.Context, p *pool, target *url.URL, body []byte, traceparent string, out any) *Failure {
	// Only a call that never got a connection provably sent nothing: after
	// GotConn the transport may still write while RoundTrip returns an error.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req := newRequest(target, body, traceparent)
	resp, err := p.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return &Failure{
			Kind: failKind(ctx, connected.Load()),
			Err:  err,
		}
	}
	f := c.read(ctx, resp, out)
	_ = resp.Body.Close()
	p.trim()
	return f
}

func newRequest(target *url.URL, body []byte, traceparent string) *http.Request {
	req := &http.Request{
		Method:     http.MethodGet,
		URL:        target,
		Host:       target.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     make(http.Header, 2),
	}
	if body != nil {
		req.Method = http.MethodPost
		req.Header["Content-Type"] = jsonType
		req.ContentLength = int64(len(body))
		req.Body = io.NopCloser(bytes.NewReader(body))
		// The transport replays a body only if nothing of it was written.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	if traceparent != "" {
		req.Header[wire.HeaderTrace] = []string{traceparent}
	}
	return req
}

var jsonType = []string{"application/json"}

func failKind(ctx context.Context, connected bool) engine.FailKind {
	switch {
	case !connected:
		return engine.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return engine.TimedOut
	default:
		return engine.Broken
	}
}

// read decodes an answer. The upstream has run the request unless it says
// with a known kind that it did not.
func (c *Client) read(ctx context.Context, resp *http.Response, out any) *Failure {
	if resp.StatusCode != http.StatusOK {
		return readError(ctx, resp)
	}
	raw, f := readBody(ctx, resp, c.config.MaxAnswer)
	if f != nil {
		return f
	}
	if err := decode(raw, out); err != nil {
		return &Failure{
			Kind: engine.Malformed,
			Err:  err,
		}
	}
	return nil
}

func readBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, *Failure) {
	if resp.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return nil, &Failure{
			Kind: failKind(ctx, true),
			Err:  err,
		}
	case n > limit:
		return nil, tooLarge(limit)
	}
	return buf.Bytes(), nil
}

func tooLarge(limit int64) *Failure {
	return &Failure{
		Kind: engine.Malformed,
		Err:  errors.Errorf("answer is larger than %d bytes: lower the limit of documents", limit),
	}
}

func readError(ctx context.Context, resp *http.Response) *Failure {
	raw, f := readBody(ctx, resp, maxErrorBody)
	if f != nil {
		return f
	}
	var e wire.LeafError
	if err := decode(raw, &e); err != nil {
		return &Failure{
			Kind: engine.Malformed,
			Err:  errors.Wrapf(err, "status %d", resp.StatusCode),
		}
	}
	f = &Failure{
		Kind: e.Kind,
		Held: e.Held,
		Err:  errors.Errorf("status %d: %s", resp.StatusCode, e.Remedy),
	}
	if !f.NotRun() {
		f.Kind = engine.Malformed
	}
	return f
}

// decode reads one JSON value and rejects unknown fields and trailing data.
func decode(raw []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return errors.Wrap(err, "answer cannot be decoded")
	}
	if dec.InputOffset() != int64(len(bytes.TrimRight(raw, " \r\n\t"))) {
		return errors.New("answer has data after its JSON value")
	}
	return nil
}
