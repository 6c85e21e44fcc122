package link

import (
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// listener bounds the number of connections and adds TLS. Connections over
// the bound are closed at once, so that the caller sees a failure and not a wait.
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
		if l.server.ring == nil && !l.server.cfg.AllowPlain && !isLoopback(conn.RemoteAddr().String()) {
			log.Warn("plaintext connection is refused: configure certificates", "remote", conn.RemoteAddr().String())
			_ = conn.Close()
			continue
		}
		select {
		case l.slots <- struct{}{}:
		default:
			log.Warn("connection is refused: all connections are in use", "remote", conn.RemoteAddr().String(), "bound", cap(l.slots))
			_ = conn.Close()
			continue
		}
		detectVanished(conn)
		var c net.Conn = rawConn{
			Conn:  conn,
			stats: &l.server.stats,
		}
		if l.server.ring != nil {
			c = tls.Server(c, l.server.ring.serverConfig())
		} else {
			c = &plainConn{Conn: c}
		}
		return &slotConn{
			Conn:  c,
			slots: l.slots,
		}, nil
	}
}

// slotConn gives its slot back when it is closed.
type slotConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *slotConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// tlsHandshake is the first byte of a TLS client hello. No frame of drpc that
// starts a call begins with it.
const tlsHandshake = 0x16

// plainConn ends a connection on which the peer speaks TLS. Without it the
// server would take the hello for part of a frame and both sides would wait.
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
			return 0, errors.New("peer speaks TLS to a plaintext server: configure certificates here")
		}
	}
	return n, err
}
