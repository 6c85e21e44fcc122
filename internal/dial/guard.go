package dial

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The states of a writeGuard.
const (
	writeUndecided int32 = iota
	writeAllowed         // bytes may have been sent
	writeDenied          // no byte was sent and none will be
)

var errWithheld = errors.New("the connection may carry a second copy of an earlier answer; using another connection")

var errWriteDenied = errors.New("request was abandoned before any byte of it was sent")

// writeGuard decides whether one request may be written to its connection, and
// thereby records whether any byte of it may have been sent. httptrace alone
// cannot tell: the transport may still write a request whose RoundTrip has
// already returned an error, so WroteHeaders may be called later. A guard in
// state writeDenied refuses that late write.
type writeGuard struct {
	state      atomic.Int32
	sendBefore time.Time // latest time for the first byte; zero means no limit
	// onConnected is called when the request has its connection. Optional.
	onConnected func()
	// conn is the connection of the request.
	conn atomic.Pointer[conn]
}

// withTrace returns a context that makes the transport attach the guard to the
// request's connection before it writes to it.
func (g *writeGuard) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn})
}

func (g *writeGuard) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.guard.Store(g)
		g.conn.Store(c)
	}
	if g.onConnected != nil {
		g.onConnected()
	}
}

// withhold keeps other requests off the connection of the request.
func (g *writeGuard) withhold() {
	if c := g.conn.Load(); c != nil {
		c.withheld.Store(true)
	}
}

// restore ends withhold, or closes the connection for good.
func (g *writeGuard) restore(reuse bool) {
	c := g.conn.Load()
	switch {
	case c == nil:
	case reuse:
		c.withheld.Store(false)
	default:
		_ = c.Close() // the transport may have closed it
	}
}

// allow reports whether bytes of the request may be written. Once it has
// returned true, deny returns false.
func (g *writeGuard) allow() bool {
	if g.state.Load() == writeAllowed {
		return true
	}
	if !g.sendBefore.IsZero() && time.Now().After(g.sendBefore) {
		return !g.deny()
	}
	return g.state.CompareAndSwap(writeUndecided, writeAllowed) || g.state.Load() == writeAllowed
}

// deny refuses all later writes. It reports false if bytes may already have been
// sent.
func (g *writeGuard) deny() bool {
	return g.state.CompareAndSwap(writeUndecided, writeDenied) || g.state.Load() == writeDenied
}
