package dial

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var (
	errNoConnection = errors.New("no connection to this upstream is allowed: the host has no seat or the upstream is retired")
	errAllInUse     = errors.New("all connections to this upstream stayed in use: lower the load or raise its connection limit")
)

// pool holds the connections to one upstream. net/http keeps the ones that
// have carried a request; spare holds those opened ahead of use.
type pool struct {
	client    *Client
	upstream  ident.Upstream
	address   string
	transport *http.Transport
	// search, file and health are the requests for the paths, without body.
	search *http.Request
	file   *http.Request
	health *http.Request

	mu     sync.Mutex
	want   int
	open   int // open and opening connections
	spare  []net.Conn
	freed  chan struct{} // closed and replaced when a connection closes
	filled bool          // a fill goroutine runs
}

func newPool(c *Client, id ident.Upstream, address string) *pool {
	p := &pool{
		client:   c,
		upstream: id,
		address:  address,
		search:   pathRequest(http.MethodPost, address, wire.PathLeafSearch),
		file:     pathRequest(http.MethodPost, address, wire.PathLeafFile),
		health:   pathRequest(http.MethodGet, address, wire.PathLeafHealth),
		freed:    make(chan struct{}),
	}
	p.transport = &http.Transport{
		DialContext:            p.dialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		MaxResponseHeaderBytes: maxHeader,
		ReadBufferSize:         readBuffer,
		WriteBufferSize:        writeBuffer,
	}
	return p
}

func pathRequest(method, address, path string) *http.Request {
	return &http.Request{
		Method: method,
		URL: &url.URL{
			Scheme: "http",
			Host:   address,
			Path:   path,
		},
		Host:       address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
	}
}

// resize sets the number of connections to keep open.
func (p *pool) resize(want int) {
	p.mu.Lock()
	p.want = want
	over := p.open > want
	var drop []net.Conn
	for over && len(p.spare) > 0 && p.open-len(drop) > want {
		drop = append(drop, p.spare[0])
		p.spare = p.spare[1:]
	}
	p.wake()
	p.mu.Unlock()
	for _, c := range drop {
		_ = c.Close()
	}
	if over {
		p.trim()
	}
	p.fill()
	if want == 0 {
		p.client.forget(p)
	}
}

// trim closes idle connections while there are more than wanted. net/http
// closes all idle ones or none, so fill may open some again.
func (p *pool) trim() {
	p.mu.Lock()
	over := p.open > p.want
	p.mu.Unlock()
	if over {
		p.transport.CloseIdleConnections()
	}
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// wanted reports whether the pool may carry new work.
func (p *pool) wanted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.want > 0
}

// unused reports whether the pool has no connection and is to have none.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.want == 0 && p.open == 0
}

// wake tells those that wait for a connection to look again. Needs the lock.
func (p *pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// dialContext serves net/http: it hands out a spare connection or opens one
// within the limit, and waits while the limit is reached.
func (p *pool) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	limit := time.NewTimer(placeWait)
	defer limit.Stop()
	for {
		conn, freed, err := p.take()
		if err != nil || conn != nil {
			return conn, err
		}
		if freed == nil {
			return p.connect()
		}
		select {
		case <-freed:
		case <-limit.C:
			return nil, errAllInUse
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.client.base.Done():
			return nil, p.client.base.Err()
		}
	}
}

// take returns a live spare connection, or a channel to wait on, or neither
// when a place for a new connection was reserved.
func (p *pool) take() (net.Conn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.spare) > 0 {
		last := len(p.spare) - 1
		conn := p.spare[last]
		p.spare = p.spare[:last]
		if alive(conn) {
			return conn, nil, nil
		}
		// Close takes the lock, so it runs after this call.
		go conn.Close() //nolint:errcheck // the peer closed it already
	}
	if p.want == 0 {
		return nil, nil, errNoConnection
	}
	if p.open >= p.want {
		return nil, p.freed, nil
	}
	p.open++
	return nil, nil, nil
}

// connect opens a connection in a place that is already reserved. It does not
// end with the request that needs it: an upstream may have accepted a
// connection that is given up while it opens, and would count it beside the
// next one.
func (p *pool) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.client.base, p.client.config.DialTimeout)
	defer cancel()
	raw, err := p.client.config.Dial(ctx, p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	return &conn{
		Conn: raw,
		pool: p,
	}, nil
}

// release gives back the place of a connection.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.wake()
	last := p.open == 0 && p.want == 0
	p.mu.Unlock()
	if last {
		p.client.forget(p)
	}
}

// fill opens connections ahead of use until there are as many as wanted.
func (p *pool) fill() {
	p.mu.Lock()
	busy := p.filled || p.open >= p.want
	if !busy {
		p.filled = true
	}
	p.mu.Unlock()
	if busy {
		return
	}
	if !p.client.start() {
		return
	}
	go func() {
		defer p.client.work.Done()
		p.fillUp()
	}()
}

func (p *pool) fillUp() {
	delay := firstRedial
	for p.reserve() {
		conn, err := p.connect()
		if err == nil {
			p.keep(conn)
			delay = firstRedial
			continue
		}
		select {
		case <-time.After(delay):
		case <-p.client.base.Done():
		}
		delay = min(delay*2, lastRedial)
	}
}

// reserve takes a place for a new connection. It reports false, and that the
// fill goroutine ends, when there are enough.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.want || p.client.base.Err() != nil {
		p.filled = false
		return false
	}
	p.open++
	return true
}

func (p *pool) keep(c net.Conn) {
	p.mu.Lock()
	kept := p.open <= p.want
	if kept {
		p.spare = append(p.spare, c)
		p.wake()
	}
	p.mu.Unlock()
	if !kept {
		_ = c.Close()
	}
}

// sweep closes spare connections that the upstream has closed.
func (p *pool) sweep() {
	p.mu.Lock()
	var dead []net.Conn
	live := p.spare[:0]
	for _, c := range p.spare {
		if alive(c) {
			live = append(live, c)
		} else {
			dead = append(dead, c)
		}
	}
	p.spare = live
	p.mu.Unlock()
	for _, c := range dead {
		_ = c.Close()
	}
	p.fill()
}
