// Package pipe pools HTTP/1.1 connections to upstreams, with one call at a time
// on each. A goroutine reads each connection all the time, so that a connection
// which the upstream has closed, or on which it sends bytes without a request,
// is discarded before it is used again.
package pipe

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/bound"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const (
	// dialTimeout bounds connecting. A lost SYN is sent again only after 1 s, so
	// a longer timeout below that does not help.
	dialTimeout = 400 * time.Millisecond

	// goneTimeout bounds the check whether an upstream that broke off an answer still
	// accepts connections.
	goneTimeout = 100 * time.Millisecond

	// answerGrace is how long past its limit a call is still waited for, since
	// upstreams may answer just at the limit.
	answerGrace = 200 * time.Millisecond

	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond

	// idleMargin is how long before the upstream's stated idle timeout a
	// connection is no longer used.
	idleMargin = 700 * time.Millisecond

	// maxIdle is the longest time an idle connection stays usable.
	maxIdle = 30 * time.Second

	// MaxHead bounds the head of an answer in bytes.
	MaxHead = 64 << 10

	// MaxAnswer bounds the body of an answer in bytes.
	MaxAnswer = 1 << 20

	// maxHeld bounds the bytes of all unfinished large bodies of a pool.
	maxHeld = 8 << 20

	// maxForeignAnswers bounds the answers to other requests that one call skips.
	maxForeignAnswers = 4

	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12

	readBufferSize = 2 << 10

	// maxStatus is the highest status that HTTP has.
	maxStatus = 599

	// smallBody is a body size in bytes that always fits in the socket's send
	// buffer, so that the write does not block.
	smallBody = 4 << 10
)

// Call is one request to one upstream.
type Call struct {
	Address string
	// Instance names the upstream at the address. A connection opened for one
	// instance is not used for another.
	Instance string
	ID       ident.RequestID
	Method   string
	// Head returns the request line and headers. While verify is set, they must
	// name the expected instance, since no request on the connection has yet
	// confirmed it.
	Head func(verify bool) []byte
	Body []byte
	// Limit is the time from Start within which the answer is due.
	Limit time.Duration
	// Parse interprets an answer; foreign is set if it belongs to another request.
	Parse func(r *http.Response, id ident.RequestID) (a relay.Answer, foreign bool)
	// Done is called exactly once with the result.
	Done func(Outcome)
}

// Outcome is the result of a call. Answer, Header and Body are set if an answer
// was read, Err if not. Endless is set if the answer exceeded a bound. Crashed is set
// if the upstream ended the connection before the answer began, or in the middle of
// the answer and no longer accepts connections.
type Outcome struct {
	Result  relay.Result
	Answer  relay.Answer
	Header  http.Header
	Body    []byte
	Err     error
	Endless bool
	Crashed bool
}

// Pool holds the idle connections of one process. It is safe for concurrent use.
type Pool struct {
	seed  maphash.Seed
	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
	// budget is shared by the answers that are being read.
	budget *bound.Budget
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		seed:   maphash.MakeSeed(),
		idle:   make(map[string][]*conn),
		budget: bound.NewBudget(maxHeld),
	}
}

// Dials returns the number of connection attempts so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Start starts a call and returns a function that cancels it. It does not block
// on the network.
func (p *Pool) Start(c Call) (stop func()) {
	r := &activeCall{
		Call:    c,
		pool:    p,
		started: time.Now(),
	}
	go r.run()
	return r.stop
}

type activeCall struct {
	Call
	pool    *Pool
	started time.Time

	mu      sync.Mutex
	conn    *conn
	timer   *time.Timer
	ended   bool
	stopped bool
	// expired is set if the call was stopped at its limit, receiving if the answer
	// had begun.
	expired   bool
	receiving bool
}

// key identifies the connections that the call may use.
func (r *activeCall) key() string { return r.Instance + "@" + r.Address }

func (r *activeCall) run() {
	id := hashOf(r.pool.seed, r.ID)
	c := r.pool.takeIdle(r.key(), id)
	if c == nil {
		var err error
		if c, err = r.pool.dial(r.Address, r.key(), min(dialTimeout, r.Limit)); err != nil {
			r.finish(Outcome{
				Result: relay.Unsent,
				Err:    err,
			})
			return
		}
	}
	r.mu.Lock()
	left := r.Limit - time.Since(r.started)
	if r.stopped || left <= 0 {
		r.mu.Unlock()
		c.release()
		r.finish(Outcome{Result: relay.Unsent})
		return
	}
	c.carried.add(id)
	r.conn = c
	r.timer = time.AfterFunc(left+answerGrace, r.expire)
	r.mu.Unlock()
	c.send(r)
}

// expire stops the call at its limit.
func (r *activeCall) expire() {
	r.mu.Lock()
	r.expired = true
	r.mu.Unlock()
	r.stop()
}

// begin records that the answer has begun.
func (r *activeCall) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiving = true
}

// crashed reports whether an error shows that the upstream's process has ended. An
// upstream that only breaks off an answer still accepts connections.
func (r *activeCall) crashed(err error) bool {
	r.mu.Lock()
	stopped, receiving := r.stopped, r.receiving
	r.mu.Unlock()
	switch {
	case stopped || !endedByPeer(err):
		return false
	case receiving:
		return r.pool.refused(r.Address, r.key())
	}
	return true
}

// endedByPeer reports whether an error shows that the other side ended the connection.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// endless reports whether the call reached its limit while it read the answer.
func (r *activeCall) endless() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expired && r.receiving
}

// stop cancels the call by closing its connection.
func (r *activeCall) stop() {
	r.mu.Lock()
	r.stopped = true
	c, ended := r.conn, r.ended
	r.mu.Unlock()
	if c != nil && !ended {
		c.close()
	}
}

func (r *activeCall) finish(o Outcome) {
	r.mu.Lock()
	ended := r.ended
	r.ended = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Unlock()
	if !ended {
		r.Done(o)
	}
}

// takeIdle returns the connection that was used last among those that have not
// carried a request with this id, or nil. If there are only others, it closes one,
// so that the connection opened instead is not one more at the upstream.
func (p *Pool) takeIdle(key string, id idHash) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := slices.DeleteFunc(p.idle[key], func(c *conn) bool {
		expired := !now.Before(c.idleDeadline)
		if expired {
			c.close()
		}
		return expired
	})
	p.idle[key] = list
	for i, c := range slices.Backward(list) {
		if !c.carried.has(id) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	if last := len(list) - 1; last >= 0 {
		list[last].close()
		p.idle[key] = list[:last]
	}
	return nil
}

func (p *Pool) dial(address, key string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d := net.Dialer{
		KeepAlive: -1,
		Control:   setUserTimeout,
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := &bound.Reader{From: raw}
	c := &conn{
		pool:        p,
		key:         key,
		raw:         raw,
		bounded:     bounded,
		reader:      bufio.NewReaderSize(bounded, readBufferSize),
		idleTimeout: maxIdle,
	}
	go c.readLoop()
	return c, nil
}

// refused reports whether nothing listens at an address any more. A connection that
// is accepted takes the place of the broken one.
func (p *Pool) refused(address, key string) bool {
	c, err := p.dial(address, key, goneTimeout)
	if err == nil {
		c.release()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.key]
	for i, o := range list {
		if o == c {
			p.idle[c.key] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[c.key]) == 0 {
		delete(p.idle, c.key)
	}
}

// CloseInstance closes the idle connections to an instance.
func (p *Pool) CloseInstance(instance string) {
	p.closeIdle(func(other string) bool { return other == instance })
}

// CloseExcept closes the idle connections to all instances that are not in inUse.
func (p *Pool) CloseExcept(inUse map[string]bool) {
	p.closeIdle(func(instance string) bool { return !inUse[instance] })
}

func (p *Pool) closeIdle(chosen func(instance string) bool) {
	p.mu.Lock()
	var closed []*conn
	for key, list := range p.idle {
		if instance, _, _ := strings.Cut(key, "@"); chosen(instance) {
			closed = append(closed, list...)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closed {
		c.close()
	}
}
