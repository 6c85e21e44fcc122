package dial

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The states of a gate.
const (
	gateUnused int32 = iota
	gatePassed       // bytes may have been sent
	gateBarred       // no byte was sent and none will be
)

var errBarred = errors.New("request was given up before any of it was sent")

// gate stands between one request and its connection and tells whether any
// byte of the request may have been sent. httptrace alone cannot tell: the
// transport may still write a request whose RoundTrip has returned an error, so
// a WroteHeaders that has not come yet may come later. A barred gate refuses
// that late write.
type gate struct {
	state atomic.Int32
	until time.Time // no first byte after this time; zero means none
	// connected is called when the request has its connection. Optional.
	connected func()
}

// trace returns a context by which the transport hands the request's
// connection to the gate before it writes to it.
func (g *gate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.got})
}

func (g *gate) got(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.gate.Store(g)
	}
	if g.connected != nil {
		g.connected()
	}
}

// pass reports whether bytes may be written.
func (g *gate) pass() bool {
	if g.state.Load() == gatePassed {
		return true
	}
	if !g.until.IsZero() && time.Now().After(g.until) {
		return !g.bar()
	}
	return g.state.CompareAndSwap(gateUnused, gatePassed) || g.state.Load() == gatePassed
}

// bar reports whether no byte was sent; none will be sent then.
func (g *gate) bar() bool {
	return g.state.CompareAndSwap(gateUnused, gateBarred) || g.state.Load() == gateBarred
}
