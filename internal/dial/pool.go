package dial

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var (
	errNoConnection = errors.New("no connection to this upstream is allowed: the host has no seat or the upstream is retired")
	errAllInUse     = errors.New("all connections to this upstream stayed in use: lower the load or raise its connection limit")
)

// pool owns the connections to one upstream. The transport keeps those that have
// carried a request; spare holds those opened ahead of use.
type pool struct {
	client    *Client
	upstream  ident.Upstream
	address   string
	transport *http.Transport
	// search, file and health are request templates without body.
	search *http.Request
	file   *http.Request
	health *http.Request

	mu      sync.Mutex
	target  int // number of connections set by Warm
	open    int // open and opening connections
	spare   []net.Conn
	changed chan struct{} // closed and replaced when a waiter should look again
	filling bool          // the fill goroutine is running
}

func newPool(c *Client, id ident.Upstream, address string) *pool {
	p := &pool{
		client:   c,
		upstream: id,
		address:  address,
		search:   pathRequest(http.MethodPost, address, wire.PathLeafSearch),
		file:     pathRequest(http.MethodPost, address, wire.PathLeafFile),
		health:   pathRequest(http.MethodGet, address, wire.PathLeafHealth),
		changed:  make(chan struct{}),
	}
	p.transport = &http.Transport{
		DialContext:            p.dialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxResponseHeader,
		ReadBufferSize:         readBufferSize,
		WriteBufferSize:        writeBufferSize,
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
		Header:     jsonHeader,
	}
}

// resize sets the target number of connections, closes the excess and opens
// missing ones.
func (p *pool) resize(target int) {
	p.mu.Lock()
	p.target = target
	excess := p.open > target
	var surplus []net.Conn
	for excess && len(p.spare) > 0 && p.open-len(surplus) > target {
		surplus = append(surplus, p.spare[0])
		p.spare = p.spare[1:]
	}
	p.notifyWaiters()
	p.mu.Unlock()
	for _, c := range surplus {
		_ = c.Close()
	}
	if excess {
		p.closeExcessIdle()
	}
	p.fill()
	if target == 0 {
		p.client.removeIfEmpty(p)
	}
}

// closeExcessIdle closes the transport's idle connections if the pool exceeds
// its target. net/http can only close all idle ones, so fill may have to open
// some again.
func (p *pool) closeExcessIdle() {
	p.mu.Lock()
	excess := p.open > p.target
	p.mu.Unlock()
	if excess {
		p.transport.CloseIdleConnections()
	}
}

func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// enabled reports whether the pool accepts new requests.
func (p *pool) enabled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target > 0
}

// empty reports whether the pool has no connections and a target size of 0.
func (p *pool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target == 0 && p.open == 0
}

// notifyWaiters wakes all goroutines that wait for a connection. The caller
// must hold p.mu.
func (p *pool) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// dialContext is the DialContext of the transport. It returns a spare connection
// or opens one; while the pool is at its target size, it waits.
func (p *pool) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	timeout := time.NewTimer(connWaitTimeout)
	defer timeout.Stop()
	for {
		conn, changed, err := p.acquire()
		if err != nil || conn != nil {
			return conn, err
		}
		if changed == nil {
			return p.connect()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, errAllInUse
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.client.baseCtx.Done():
			return nil, p.client.baseCtx.Err()
		}
	}
}

// refused reports whether nothing listens at the upstream's address any more, and the
// pool has no live connection ahead of use.
func (p *pool) refused() bool {
	if !p.client.startWork() {
		return false
	}
	result := make(chan bool, 1)
	go func() {
		defer p.client.work.Done()
		ctx, cancel := context.WithTimeout(p.client.baseCtx, goneTimeout)
		defer cancel()
		conn, err := p.dialContext(ctx, "", "")
		if err == nil {
			p.addSpare(conn)
		}
		result <- errors.Is(err, syscall.ECONNREFUSED)
	}()
	select {
	case refused := <-result:
		return refused
	case <-time.After(goneTimeout):
		return false
	}
}

// acquire returns a live spare connection, or a channel to wait on while the
// pool is at its target size, or neither if it has reserved a slot for a new
// connection.
func (p *pool) acquire() (net.Conn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.spare) > 0 {
		last := len(p.spare) - 1
		conn := p.spare[last]
		p.spare = p.spare[:last]
		if alive(conn) {
			return conn, nil, nil
		}
		// Close locks p.mu, which this goroutine holds.
		go conn.Close() //nolint:errcheck // the peer closed it already
	}
	if p.target == 0 {
		return nil, nil, errNoConnection
	}
	if p.open >= p.target {
		return nil, p.changed, nil
	}
	p.open++
	return nil, nil, nil
}

// connect opens a connection for a reserved slot. It is not cancelled with the
// request that needs the connection: the upstream may already have accepted a
// connection whose dial is cancelled, and would count it beside the next one.
func (p *pool) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.client.baseCtx, p.client.config.DialTimeout)
	defer cancel()
	raw, err := p.client.config.Dial(ctx, p.address)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return &conn{
		Conn: raw,
		pool: p,
	}, nil
}

// releaseSlot frees the slot of a connection that was closed or not opened.
func (p *pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.notifyWaiters()
	last := p.open == 0 && p.target == 0
	p.mu.Unlock()
	if last {
		p.client.removeIfEmpty(p)
	}
}

// fill starts a goroutine, unless one is running, that opens connections ahead
// of use until the pool has its target size.
func (p *pool) fill() {
	p.mu.Lock()
	skip := p.filling || p.open >= p.target
	if !skip {
		p.filling = true
	}
	p.mu.Unlock()
	if skip {
		return
	}
	if !p.client.startWork() {
		return
	}
	go func() {
		defer p.client.work.Done()
		p.runFill()
	}()
}

func (p *pool) runFill() {
	delay := minRedialDelay
	for p.reserveSlot() {
		conn, err := p.connect()
		if err == nil {
			p.addSpare(conn)
			delay = minRedialDelay
			continue
		}
		select {
		case <-time.After(delay):
		case <-p.client.baseCtx.Done():
		}
		delay = min(delay*2, maxRedialDelay)
	}
}

// reserveSlot reserves a slot for a connection of the fill goroutine. At the
// target size, or after Close, it reports false and the goroutine ends.
func (p *pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.target || p.client.baseCtx.Err() != nil {
		p.filling = false
		return false
	}
	p.open++
	return true
}

func (p *pool) addSpare(c net.Conn) {
	p.mu.Lock()
	added := p.open <= p.target
	if added {
		p.spare = append(p.spare, c)
		p.notifyWaiters()
	}
	p.mu.Unlock()
	if !added {
		_ = c.Close()
	}
}

// closeDeadSpares closes the spare connections that the upstream has closed, and
// replaces them.
func (p *pool) closeDeadSpares() {
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
