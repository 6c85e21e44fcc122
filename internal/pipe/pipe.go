// Package pipe keeps HTTP/1.1 connections to upstreams and carries one call at
// a time on each. A goroutine reads each connection, so that one that the
// upstream has closed, or on which bytes come that no request asked for, is
// found before it is used again.
package pipe

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const (
	// dialTimeout bounds connecting. A lost opening packet is sent again only
	// after a second, so waiting longer than this does not help.
	dialTimeout = 400 * time.Millisecond

	// overtime is how long past its limit a call is waited for. Upstreams
	// answer at the limit that they are given.
	overtime = 200 * time.Millisecond

	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond

	// idleMargin is kept of the idle time that an upstream states.
	idleMargin = 700 * time.Millisecond

	// maxIdle is how long an unused connection is kept.
	maxIdle = 30 * time.Second

	// maxBody bounds an answer in bytes.
	maxBody = 8 << 20

	// maxForeign bounds the answers to earlier requests that are skipped.
	maxForeign = 4

	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12

	bufferSize = 2 << 10

	// smallBody is the largest body in bytes that a socket surely takes at once.
	smallBody = 4 << 10
)

// Call is one request to one upstream.
type Call struct {
	Address string
	// Instance names the upstream at the address. A connection that was opened
	// for one is not used for another.
	Instance string
	ID       ident.RequestID
	Method   string
	// Head returns the whole head of the request. verify is set until the
	// upstream has run a request of the connection under its own name.
	Head func(verify bool) []byte
	Body []byte
	// Limit is the time in which an answer must come.
	Limit time.Duration
	// Parse describes an answer; foreign is set if it belongs to another request.
	Parse func(r *http.Response, id ident.RequestID) (a relay.Answer, foreign bool)
	// Done gets the result once.
	Done func(Outcome)
}

// Outcome is the result of a call.
type Outcome struct {
	Result relay.Result
	Answer relay.Answer
	Header http.Header
	Body   []byte
	Err    error
}

// Pool holds the connections of one process. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Start begins a call and returns a function that breaks it off. It does not
// wait for the network.
func (p *Pool) Start(c Call) (stop func()) {
	r := &running{
		Call:  c,
		pool:  p,
		begin: time.Now(),
	}
	go r.run()
	return r.stop
}

// running is a call in progress.
type running struct {
	Call
	pool  *Pool
	begin time.Time

	mu      sync.Mutex
	conn    *conn
	timer   *time.Timer
	ended   bool
	stopped bool
}

// key names the connections that the call may use.
func (r *running) key() string { return r.Instance + "@" + r.Address }

func (r *running) run() {
	c := r.pool.take(r.key())
	if c == nil {
		var err error
		if c, err = r.pool.dial(r.Address, r.key(), min(dialTimeout, r.Limit)); err != nil {
			r.end(Outcome{
				Result: relay.Unsent,
				Err:    err,
			})
			return
		}
	}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		c.giveBack()
		r.end(Outcome{Result: relay.Unsent})
		return
	}
	r.conn = c
	r.timer = time.AfterFunc(r.Limit-time.Since(r.begin)+overtime, r.stop)
	r.mu.Unlock()
	c.send(r)
}

// stop breaks the call off by closing its connection.
func (r *running) stop() {
	r.mu.Lock()
	r.stopped = true
	c, ended := r.conn, r.ended
	r.mu.Unlock()
	if c != nil && !ended {
		c.close()
	}
}

func (r *running) end(o Outcome) {
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

func (p *Pool) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if time.Now().Before(c.until) {
			return c
		}
		c.close()
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
	c := &conn{
		pool:   p,
		key:    key,
		raw:    raw,
		reader: bufio.NewReaderSize(raw, bufferSize),
		keep:   maxIdle,
	}
	go c.read()
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// remove takes a connection out of the idle list.
func (p *Pool) remove(c *conn) {
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

// Keep closes the unused connections to upstreams that are gone. inUse holds
// the instances that are left.
func (p *Pool) Keep(inUse map[string]bool) {
	p.mu.Lock()
	var closed []*conn
	for key, list := range p.idle {
		if instance, _, _ := strings.Cut(key, "@"); !inUse[instance] {
			closed = append(closed, list...)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closed {
		c.close()
	}
}
