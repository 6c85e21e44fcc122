// Package link carries calls and streams between the project's own processes:
// drpc over TCP with CBOR messages and mutual TLS. Connections are reused,
// calls have deadlines and messages are bounded.
package link

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/jujubethread/jujubethread/internal/keys"
	"github.com/jujubethread/jujubethread/internal/proto"
)

const (
	defaultMaxMessage  = 4 << 20 // bytes
	defaultMaxConns    = 8192
	defaultCallTimeout = 5 * time.Second
	defaultDialTimeout = 2 * time.Second

	// idleConn is how long an unused connection is kept by a client. It is
	// shorter than serverIdle, so that the client closes first and a call is
	// not sent into a connection that the server just closed.
	idleConn   = 60 * time.Second
	serverIdle = 3 * idleConn

	// connsPerPeer is the number of unused connections kept to one address.
	connsPerPeer = 16
	keptConns    = 4096

	// writeTimeout bounds one write, so that a peer that is cut off silently
	// does not hold a stream for ever.
	writeTimeout = 10 * time.Second

	// frameOverhead allows for the protocol's own bytes around a message.
	frameOverhead = 4 << 10

	// keptBuffer is the largest buffer that an idle connection keeps.
	keptBuffer = 64 << 10
)

// Config are the settings of a Server or Client. The zero value is plaintext
// on loopback addresses.
type Config struct {
	// Keys names the certificate files. They are read again when they change.
	Keys keys.Files
	// AllowPlain allows plaintext beyond loopback addresses.
	AllowPlain bool
	// MaxMessage bounds one message in bytes; zero means 4 MiB.
	MaxMessage int
	// MaxConns bounds the connections that a Server serves at once; zero means 8192.
	MaxConns int
	// CallTimeout is the deadline of calls whose context has none; zero means 5 s.
	CallTimeout time.Duration
	// DialTimeout bounds connecting and the TLS handshake; zero means 2 s.
	DialTimeout time.Duration
	// Log gets faults of connections and of reloaded certificates; nil discards them.
	Log *slog.Logger
}

func (c Config) withDefaults() Config {
	if c.MaxMessage <= 0 {
		c.MaxMessage = defaultMaxMessage
	}
	if c.MaxConns <= 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

func (c Config) manager() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: c.MaxMessage + frameOverhead,
		},
		Stream: drpcstream.Options{
			MaximumBufferSize: keptBuffer,
		},
	}
}

// Stats counts the traffic of a Server or Client on the wire, with TLS but
// without TCP headers.
type Stats struct {
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	Dials    atomic.Int64
}

// encoding implements drpc.Encoding with CBOR.
type encoding struct{ max int }

// errTooLarge is the cause of errors of kind TooLarge.
var errTooLarge = errors.New("message is too large")

// Marshal implements drpc.Encoding.
func (e encoding) Marshal(msg drpc.Message) ([]byte, error) {
	b, err := proto.Marshal(msg)
	if err != nil {
		return nil, err
	}
	if len(b) > e.max {
		return nil, errors.Wrapf(errTooLarge, "%T has %d bytes, the bound is %d", msg, len(b), e.max)
	}
	return b, nil
}

// Unmarshal implements drpc.Encoding.
func (e encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	return proto.UnmarshalMessage(buf, msg)
}

// rawConn counts bytes and bounds each write.
type rawConn struct {
	net.Conn
	stats *Stats
}

// Read implements net.Conn.
func (c rawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.BytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c rawConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.stats.BytesOut.Add(int64(n))
	return n, err
}

// transport keeps the first error of a connection, which drpc replaces by a
// general one in some cases.
type transport struct {
	net.Conn
	mu    sync.Mutex
	first error
}

// Read implements drpc.Transport.
func (t *transport) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.note(err)
	return n, err
}

// Write implements drpc.Transport.
func (t *transport) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	t.note(err)
	return n, err
}

func (t *transport) note(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.first == nil {
		t.first = err
	}
}

func (t *transport) seen() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first
}

// isLoopback reports whether address is a loopback IP with or without a port.
func isLoopback(address string) bool {
	if ap, err := netip.ParseAddrPort(address); err == nil {
		return ap.Addr().Unmap().IsLoopback()
	}
	ip, err := netip.ParseAddr(address)
	return err == nil && ip.Unmap().IsLoopback()
}
