package pipe

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/bound"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// conn is one connection. Its reader goroutine passes each answer to the call
// that waits for it.
type conn struct {
	pool *Pool
	key  string
	raw  net.Conn
	// reader reads through bounded.
	bounded *bound.Reader
	reader  *bufio.Reader
	// idleDeadline is when the idle connection is too old to be used again. It is
	// guarded by the pool's mutex.
	idleDeadline time.Time
	idleTimeout  time.Duration

	// carried is owned by the call that uses the connection, and guarded by the
	// pool's mutex while it is idle.
	carried carried

	// verified is set once the upstream has run a request that names it as the
	// expected instance.
	verified bool

	// writeMu is locked while a request is written.
	writeMu sync.Mutex

	mu             sync.Mutex
	call           *activeCall
	requestWritten bool
	// answeredEarly is set if the answer arrived before send had recorded the
	// request as written. send then returns the connection to the pool.
	answeredEarly bool
	closed        bool
}

// send writes the request of a call. readLoop finishes the call.
func (c *conn) send(r *activeCall) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		r.finish(Outcome{
			Result: relay.Unsent,
			Err:    errors.New("idle connection was closed before the request was sent; retrying on another connection"),
		})
		return
	}
	c.call, c.requestWritten = r, false
	c.mu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.raw.Write(append(r.Head(!c.verified), r.Body...))
	if err != nil {
		c.failCall(n > 0, err)
		return
	}
	c.mu.Lock()
	c.requestWritten = true
	answeredEarly := c.answeredEarly
	c.answeredEarly = false
	c.mu.Unlock()
	if answeredEarly {
		c.release()
	}
}

// failCall closes the connection and finishes its call. sent tells whether the
// upstream may have received the request.
func (c *conn) failCall(sent bool, err error) {
	c.close()
	c.mu.Lock()
	r := c.call
	c.call = nil
	c.mu.Unlock()
	if r == nil {
		return
	}
	result, crashed := relay.Lost, false
	switch {
	case !sent:
		result = relay.Unsent
	case r.endless():
		err = errors.Wrapf(bound.ErrEndless, "not whole after %s", r.Limit)
	default:
		crashed = r.crashed(err)
	}
	r.finish(Outcome{
		Result:  result,
		Err:     err,
		Endless: errors.Is(err, bound.ErrEndless),
		Crashed: crashed,
	})
}

// close resets the connection, so that sent bytes still buffered during a network
// partition are dropped and do not reach the upstream later.
func (c *conn) close() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		// On an error the connection still closes, without a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// release returns the connection to the pool.
func (c *conn) release() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	c.pool.mu.Lock()
	c.idleDeadline = time.Now().Add(c.idleTimeout)
	c.pool.idle[c.key] = append(c.pool.idle[c.key], c)
	c.pool.mu.Unlock()
}

// readLoop passes answers to calls until the connection closes or cannot be
// reused.
func (c *conn) readLoop() {
	for {
		c.bounded.Left = MaxHead
		if _, err := c.reader.Peek(1); err != nil {
			c.pool.removeIdle(c)
			c.failCall(true, err)
			return
		}
		c.mu.Lock()
		r := c.call
		c.mu.Unlock()
		if r == nil {
			// The upstream sent bytes without a request.
			c.pool.removeIdle(c)
			c.close()
			return
		}
		r.begin()
		o, reuse, err := c.readAnswer(r)
		if err != nil {
			c.failCall(true, err)
			return
		}
		if o.Result == relay.Rejected {
			c.carried.addRejected(hashOf(c.pool.seed, r.ID))
		}
		if len(r.Body) <= smallBody {
			// The whole request is in the socket buffer, and send only has to
			// set requestWritten.
			c.writeMu.Lock()
			c.writeMu.Unlock() //nolint:staticcheck // waits for the writer
		}
		c.mu.Lock()
		reuse = reuse && !c.closed && c.reader.Buffered() == 0 && !c.carried.full()
		c.call = nil
		requestWritten := c.requestWritten
		c.answeredEarly = reuse && !requestWritten
		c.mu.Unlock()
		if !reuse {
			c.close()
			r.finish(o)
			return
		}
		if requestWritten {
			c.release()
		}
		r.finish(o)
	}
}

// readAnswer reads the answer to a call and skips late answers to earlier
// requests.
func (c *conn) readAnswer(r *activeCall) (o Outcome, reuse bool, err error) {
	for range maxForeignAnswers {
		c.bounded.Left = MaxHead
		res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method}) // bounded by c.bounded
		switch {
		case c.bounded.Exceeded:
			return o, false, errors.Wrapf(bound.ErrEndless, "its head exceeds %d bytes", MaxHead)
		case err != nil && c.bounded.Err != nil:
			return o, false, errors.Wrap(c.bounded.Err, "upstream ended the connection in the head of its answer")
		case err != nil:
			return o, false, errors.Wrap(err, "upstream's answer is not valid HTTP/1.1")
		case !validStatus(res.StatusCode):
			return o, false, errors.Errorf("upstream's answer has the status %03d: give it one from 200 to 599", res.StatusCode)
		}
		// The rest allows for the framing of chunks.
		c.bounded.Left = 2*MaxAnswer + MaxHead
		body, err := c.pool.readBody(res.Body)
		if err != nil {
			// Closing the body would read on.
			return o, false, errors.Wrap(err, "upstream's answer is incomplete")
		}
		if endsWithConnection(res) && res.StatusCode < http.StatusMultipleChoices {
			return o, false, errors.New("upstream's answer has neither a length nor chunks, so that nothing shows whether it is whole: give it one")
		}
		_ = res.Body.Close()
		if res.StatusCode < http.StatusOK {
			continue
		}
		answer, foreign := r.Parse(res, r.ID)
		if foreign {
			continue
		}
		o = Outcome{
			Result: resultOf(answer),
			Answer: answer,
			Header: res.Header,
			Body:   body,
		}
		c.idleTimeout = idleTimeoutOf(res.Header)
		// An upstream may reject a request before it compares its own name.
		c.verified = c.verified || o.Result == relay.Good
		return o, !res.Close && c.idleTimeout > 0 && !answer.Moved && !answer.Leaving, nil
	}
	return o, false, errors.Wrap(bound.ErrEndless, "too many interim answers or answers to other requests")
}

// validStatus reports whether an answer may have a status. net/http takes any number of
// three digits. 101 would end HTTP on the connection, which no call asks for.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status != http.StatusSwitchingProtocols && status <= maxStatus
}

// endsWithConnection reports whether the end of the connection ends an answer.
func endsWithConnection(res *http.Response) bool {
	return res.Body != http.NoBody && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

func resultOf(a relay.Answer) relay.Result {
	switch {
	case a.NotRun:
		return relay.Rejected
	case a.Encoded:
		return relay.Lost
	case a.Status < http.StatusOK || a.Status >= http.StatusMultipleChoices:
		return relay.Bad
	case a.Stamp == "":
		// A success without a stamp was not written by the upstream itself.
		return relay.Lost
	}
	return relay.Good
}

// idleTimeoutOf returns how long a connection may stay idle, from the Keep-Alive
// header of an answer. It is not positive if the connection cannot be reused.
func idleTimeoutOf(h http.Header) time.Duration {
	timeout := maxIdle
	for _, v := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				timeout = min(timeout, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return timeout
}
