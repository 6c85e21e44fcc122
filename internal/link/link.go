// Package link provides RPC calls and server streams between the project's own
// processes: drpc over TCP with CBOR messages and mutual TLS. Connections are
// reused, calls have deadlines and message sizes are bounded.
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

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/keys"
	"github.com/jujubethread/jujubethread/internal/proto"
)

const (
	// DefaultMaxMessage is the default of Config.MaxMessage in bytes.
	DefaultMaxMessage = 4 << 20

	defaultMaxConns    = 8192
	defaultCallTimeout = 5 * time.Second
	defaultDialTimeout = 2 * time.Second

	// clientIdleTimeout is how long a client keeps an idle connection. It is
	// shorter than serverIdleTimeout, so that the client closes first and does
	// not send a call on a connection that the server has just closed.
	clientIdleTimeout = 60 * time.Second
	serverIdleTimeout = 3 * clientIdleTimeout

	// maxIdlePerAddress is the number of idle connections that a client keeps
	// to one address, and maxIdleConns that to all addresses.
	maxIdlePerAddress = 16
	maxIdleConns      = 4096

	// writeTimeout bounds one write, so that a stream does not block forever on
	// a peer that became unreachable without closing the connection.
	writeTimeout = 10 * time.Second

	// frameOverheadBytes allows for the framing that drpc adds to a message.
	frameOverheadBytes = 4 << 10

	// maxIdleBufferBytes is the largest buffer that an idle connection keeps.
	maxIdleBufferBytes = 64 << 10
)

// Config contains the settings of a Server or Client. The zero value allows
// plaintext on loopback addresses only.
type Config struct {
	// Keys contains the paths of the certificate files, which are reloaded when
	// they change.
	Keys keys.Files
	// AllowPlain allows plaintext on addresses other than loopback.
	AllowPlain bool
	// MaxMessage is the maximum size of an encoded message in bytes; zero means
	// 4 MiB.
	MaxMessage int
	// MaxConns is the maximum number of concurrent connections of a Server;
	// zero means 8192.
	MaxConns int
	// CallTimeout is the deadline of calls whose context has none; zero means 5 s.
	CallTimeout time.Duration
	// DialTimeout bounds connecting and the TLS handshake; zero means 2 s.
	DialTimeout time.Duration
	// Guard bounds what the connections of a Server hold together, and their number; nil
	// means that only MaxMessage and MaxConns apply.
	Guard *guard.Guard
	// Log receives connection errors and certificate reloads; nil discards
	// them.
	Log *slog.Logger
}

func (c Config) withDefaults() Config {
	if c.MaxMessage <= 0 {
		c.MaxMessage = DefaultMaxMessage
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

func (c Config) managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: c.MaxMessage + frameOverheadBytes,
		},
		Stream: drpcstream.Options{
			MaximumBufferSize: maxIdleBufferBytes,
		},
	}
}

// Stats counts the traffic of a Server or Client in bytes on the wire, including
// TLS but not TCP headers, and the connections that a Client dialed.
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
		return nil, errors.Wrapf(errTooLarge, "%T has %d bytes, the limit is %d", msg, len(b), e.max)
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

// transport records the first error of a connection, since drpc replaces it by
// a generic one in some cases.
type transport struct {
	net.Conn
	mu    sync.Mutex
	first error
}

// Read implements drpc.Transport.
func (t *transport) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.recordError(err)
	return n, err
}

// Write implements drpc.Transport.
func (t *transport) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	t.recordError(err)
	return n, err
}

func (t *transport) recordError(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.first == nil {
		t.first = err
	}
}

func (t *transport) firstError() error {
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
