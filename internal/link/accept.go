package link

import (
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/guard"
)

// listener bounds the number of connections and adds TLS. Connections above the
// bound are closed at once, so that the caller gets an error instead of waiting.
type listener struct {
	net.Listener
	server *Server
	slots  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		log := l.server.cfg.Log
		if l.server.certs == nil && !l.server.cfg.AllowPlain && !isLoopback(conn.RemoteAddr().String()) {
			log.Warn("plaintext connection rejected: configure certificates", "remote", conn.RemoteAddr().String())
			_ = conn.Close()
			continue
		}
		select {
		case l.slots <- struct{}{}:
		default:
			log.Warn("connection rejected: connection limit reached", "remote", conn.RemoteAddr().String(), "bound", cap(l.slots))
			_ = conn.Close()
			continue
		}
		held, _ := conn.(*guard.RawConn)
		if held != nil {
			setUserTimeout(held.Conn)
		} else {
			setUserTimeout(conn)
		}
		var c net.Conn = rawConn{
			Conn:  conn,
			stats: &l.server.stats,
		}
		if l.server.certs != nil {
			c = tls.Server(l.server.certs.callerConn(c), l.server.certs.serverConfig())
		} else {
			c = &plainConn{Conn: c}
		}
		return &slotConn{
			Conn:  c,
			slots: l.slots,
			held:  held,
		}, nil
	}
}

// slotConn releases its connection slot when it is closed.
type slotConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
	// held counts what the connection holds, nil without a guard.
	held *guard.RawConn
}

// Close implements net.Conn.
func (c *slotConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// tlsHandshake is the first byte of a TLS client hello. The first frame of a
// drpc call never starts with it.
const tlsHandshake = 0x16

// plainConn fails the first read if the peer uses TLS. Without it the server
// would read the client hello as an incomplete frame, and both sides would wait
// for more data.
type plainConn struct {
	net.Conn
	started bool
}

// Read implements net.Conn.
func (c *plainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.started {
		c.started = true
		if p[0] == tlsHandshake {
			return 0, errors.New("the peer uses TLS but this server is plaintext: configure certificates on this host")
		}
	}
	return n, err
}
