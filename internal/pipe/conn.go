package pipe

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/relay"
)

// conn is one connection. Its reader goroutine hands each answer to the call
// that waits for it.
type conn struct {
	pool   *Pool
	key    string
	raw    net.Conn
	reader *bufio.Reader
	// until is when an unused connection is too old, guarded by the pool.
	until time.Time
	keep  time.Duration

	// verified is set once the upstream has run a request that named it.
	verified bool

	// writing is held while a request is written.
	writing sync.Mutex

	mu      sync.Mutex
	call    *running
	written bool
	// answered is set if the answer came before the request was written whole.
	// The writer then gives the connection back.
	answered bool
	closed   bool
}

// send writes the request of a call. The reader ends the call.
func (c *conn) send(r *running) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		r.end(Outcome{
			Result: relay.Unsent,
			Err:    errors.New("connection was closed by the upstream while unused: another one is tried"),
		})
		return
	}
	c.call, c.written = r, false
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.raw.Write(append(r.Head(!c.verified), r.Body...))
	if err != nil {
		c.fail(n > 0, err)
		return
	}
	c.mu.Lock()
	c.written = true
	answered := c.answered
	c.answered = false
	c.mu.Unlock()
	if answered {
		c.giveBack()
	}
}

// fail closes the connection and ends its call.
func (c *conn) fail(sent bool, err error) {
	c.close()
	c.mu.Lock()
	r := c.call
	c.call = nil
	c.mu.Unlock()
	if r == nil {
		return
	}
	result := relay.Lost
	if !sent {
		result = relay.Unsent
	}
	r.end(Outcome{
		Result: result,
		Err:    err,
	})
}

// close resets the connection, so that bytes that a cut link holds up are
// dropped and do not reach the upstream later.
func (c *conn) close() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		// Without it the connection still closes, so the error does not matter.
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// giveBack makes an unused connection available.
func (c *conn) giveBack() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	c.pool.mu.Lock()
	c.until = time.Now().Add(c.keep)
	c.pool.idle[c.key] = append(c.pool.idle[c.key], c)
	c.pool.mu.Unlock()
}

// read hands answers to calls until the connection ends or cannot be reused.
func (c *conn) read() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.pool.remove(c)
			c.fail(true, err)
			return
		}
		c.mu.Lock()
		r := c.call
		c.mu.Unlock()
		if r == nil {
			// Bytes that no request asked for.
			c.pool.remove(c)
			c.close()
			return
		}
		o, reuse, err := c.answer(r)
		if err != nil {
			c.fail(true, err)
			return
		}
		if len(r.Body) <= smallBody {
			// The writer has sent all and only has to note it.
			c.writing.Lock()
			c.writing.Unlock() //nolint:staticcheck // waits for the writer
		}
		c.mu.Lock()
		reuse = reuse && !c.closed && c.reader.Buffered() == 0
		c.call = nil
		written := c.written
		c.answered = reuse && !written
		c.mu.Unlock()
		if !reuse {
			c.close()
			r.end(o)
			return
		}
		if written {
			c.giveBack()
		}
		r.end(o)
	}
}

// answer reads the answer to a call and skips late ones to earlier requests.
func (c *conn) answer(r *running) (o Outcome, reuse bool, err error) {
	for range maxForeign {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return o, false, errors.Wrap(err, "the upstream sent no answer in the protocol")
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
		_ = res.Body.Close()
		switch {
		case err != nil:
			return o, false, errors.Wrap(err, "the upstream broke its answer off")
		case len(body) > maxBody:
			return o, false, errors.Errorf("the upstream's answer is over %d bytes", maxBody)
		case res.StatusCode < http.StatusOK:
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
		c.keep = keepTime(res.Header)
		// A rejection may come before the upstream has looked at its name.
		c.verified = c.verified || o.Result == relay.Good
		return o, !res.Close && c.keep > 0 && !answer.Moved, nil
	}
	return o, false, errors.New("the upstream sent too many answers to other requests")
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
		// A success without a signature is not the upstream's own answer.
		return relay.Lost
	}
	return relay.Good
}

// keepTime returns how long a connection may stay unused.
func keepTime(h http.Header) time.Duration {
	keep := maxIdle
	for _, v := range h["Keep-Alive"] {
		for f := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
			if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				keep = min(keep, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	return keep
}
