package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"

	"github.com/jujubethread/jujubethread/internal/keys"
)

// Client makes calls and streams. It is safe for concurrent use.
type Client struct {
	cfg   Config
	certs *certReloader
	pool  *drpcpool.Pool[string, *clientConn]
	stats Stats
}

// clientConn is a drpc connection with access to its transport and socket.
type clientConn struct {
	*drpcconn.Conn
	tr *transport
	// socket is the TCP connection below TLS.
	socket net.Conn
	// trust is that in the peer, and own the certificates that this host presented to
	// it; both are nil in plaintext.
	trust *peerTrust
	own   *keys.Loaded
}

// NewClient returns a client. It loads the certificates if any are configured;
// the error is then a *keys.Error.
func NewClient(cfg Config) (*Client, error) {
	cfg = cfg.withDefaults()
	r, err := newCertReloader(cfg)
	if err != nil {
		return nil, err
	}
	return &Client{
		cfg:   cfg,
		certs: r,
		pool: drpcpool.New[string, *clientConn](drpcpool.Options{
			Expiration:  clientIdleTimeout,
			Capacity:    maxIdleConns,
			KeyCapacity: maxIdlePerAddress,
		}),
	}, nil
}

// Stats returns the counters of the client's traffic.
func (c *Client) Stats() *Stats { return &c.stats }

// Close closes the idle connections. Calls in progress continue until their
// contexts are done.
func (c *Client) Close() error { return c.pool.Close() }

// Call makes one unary call to address (IP:port) and decodes the response into
// out. Without a deadline in ctx, Config.CallTimeout applies. Errors are of type
// *Error.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	var cancel context.CancelFunc = func() {}
	if _, ok := ctx.Deadline(); !ok {
		ctx, cancel = context.WithTimeout(ctx, c.cfg.CallTimeout)
	}
	defer cancel()
	target := call{
		address: address,
		method:  method,
	}
	enc, err := c.encode(target, in)
	if err != nil {
		return err
	}
	conn, err := c.acquire(ctx, target)
	if err != nil {
		return err
	}
	err = conn.Invoke(withDeadline(ctx), method, enc, in, out)
	if err == nil {
		c.pool.Put(address, conn)
		return nil
	}
	err = target.answerError(ctx, err, conn.tr.firstError(), enc)
	c.release(ctx, address, conn)
	return err
}

// release returns a connection to the pool, or closes it if the context of its
// last call is done, since a cancelled call leaves it unusable.
func (c *Client) release(ctx context.Context, address string, conn *clientConn) {
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	c.pool.Put(address, conn)
}

func withDeadline(ctx context.Context) context.Context {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx
	}
	return drpcmetadata.Add(ctx, remainingKey, strconv.FormatInt(time.Until(deadline).Microseconds(), 10))
}

// encode encodes the request before a connection is used, so that an invalid
// request is reported as not run.
func (c *Client) encode(target call, in any) (*callEncoding, error) {
	b, err := encoding{max: c.cfg.MaxMessage}.Marshal(in)
	if err == nil {
		return &callEncoding{encoded: b}, nil
	}
	kind := Malformed
	if errors.Is(err, errTooLarge) {
		kind = TooLarge
	}
	e := target.newError(kind, err)
	e.NotRun = true
	return nil, e
}

// callEncoding is the drpc.Encoding of one call, whose request is encoded in
// advance.
type callEncoding struct {
	encoded []byte
	// malformed is the error of decoding the last response, or nil.
	malformed error
}

// Marshal implements drpc.Encoding.
func (e *callEncoding) Marshal(drpc.Message) ([]byte, error) { return e.encoded, nil }

// Unmarshal implements drpc.Encoding.
func (e *callEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	e.malformed = encoding{}.Unmarshal(buf, msg)
	return e.malformed
}

func (c call) answerError(ctx context.Context, err, connErr error, enc *callEncoding) error {
	if enc.malformed != nil {
		return c.newError(Malformed, enc.malformed)
	}
	return c.classify(ctx, err, connErr)
}

// acquire returns an idle connection from the pool or dials a new one. It drops
// idle connections that the peer has closed: their reader may not have noticed
// yet, and a call on such a connection would have an unknown outcome. The same holds
// for connections whose certificates are not those of now.
func (c *Client) acquire(ctx context.Context, target call) (*clientConn, error) {
	for {
		conn, ok := c.pool.Take(target.address)
		if !ok {
			break
		}
		if !closedByPeer(conn.socket) && c.trusts(conn) {
			return conn, nil
		}
		_ = conn.Close() // the connection is discarded in any case
	}
	if c.certs == nil && !c.cfg.AllowPlain && !isLoopback(target.address) {
		return nil, target.newError(Insecure, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	c.stats.Dials.Add(1)
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", target.address)
	if err != nil {
		return nil, target.newError(Unreachable, err)
	}
	setUserTimeout(conn)
	var raw net.Conn = rawConn{
		Conn:  conn,
		stats: &c.stats,
	}
	var trust *peerTrust
	var own *keys.Loaded
	if c.certs != nil {
		trust = &peerTrust{
			certs: c.certs,
			peer:  target.address,
			usage: x509.ExtKeyUsageServerAuth,
		}
		if raw, own, err = c.handshake(ctx, target, raw, trust); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	tr := &transport{Conn: raw}
	return &clientConn{
		Conn:   drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: c.cfg.managerOptions()}),
		tr:     tr,
		socket: conn,
		trust:  trust,
		own:    own,
	}, nil
}

// trusts reports whether the peer of an idle connection is still trusted and was shown
// the present certificate of this host.
func (c *Client) trusts(conn *clientConn) bool {
	if c.certs == nil {
		return true
	}
	own, err := c.certs.current()
	return err == nil && own == conn.own && conn.trust.check() == nil
}

func (c *Client) handshake(ctx context.Context, target call, raw net.Conn, trust *peerTrust) (net.Conn, *keys.Loaded, error) {
	cfg, own, err := c.certs.clientConfig(target.address)
	if err != nil {
		return nil, nil, target.newError(Untrusted, err)
	}
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		if certErr := certError(target.address, err); certErr != nil {
			return nil, nil, target.newError(Untrusted, certErr)
		}
		if ctx.Err() == nil {
			return nil, nil, target.newError(Untrusted, keys.NewError(keys.Missing, target.address, "the peer ended the handshake: configure its certificates", err))
		}
		return nil, nil, target.newError(Unreachable, err)
	}
	trust.accept(conn.ConnectionState().PeerCertificates, own)
	return conn, own, nil
}

// Stream receives the messages of one server stream. It is not safe for
// concurrent use.
type Stream struct {
	target call
	enc    *callEncoding
	conn   *clientConn
	stream drpc.Stream
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
}

// Stream starts a server stream at address (IP:port). The stream ends when Close
// is called, when ctx is done or when the handler returns. Errors are of type
// *Error.
func (c *Client) Stream(ctx context.Context, address, method string, in any) (*Stream, error) {
	target := call{
		address: address,
		method:  method,
	}
	enc, err := c.encode(target, in)
	if err != nil {
		return nil, err
	}
	conn, err := c.acquire(ctx, target)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := conn.NewStream(ctx, method, enc)
	if err == nil {
		if err = stream.MsgSend(in, enc); err == nil {
			err = stream.CloseSend()
		}
	}
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, target.classify(ctx, err, conn.tr.firstError())
	}
	s := &Stream{
		target: target,
		enc:    enc,
		conn:   conn,
		stream: stream,
		ctx:    ctx,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	go func() {
		defer close(s.ended)
		<-stream.Context().Done()
		c.release(ctx, address, conn)
	}()
	return s, nil
}

// Recv decodes the next message into out. It returns io.EOF if the server ended
// the stream without an error. Other errors are of type *Error.
func (s *Stream) Recv(out any) error {
	err := s.stream.MsgRecv(out, s.enc)
	switch {
	case err == nil:
		return nil
	case s.enc.malformed != nil:
		return s.target.newError(Malformed, s.enc.malformed)
	case errors.Is(err, io.EOF) && s.conn.tr.firstError() == nil:
		// Wait until the connection is back in the pool: Close cancels the
		// context, and release would then close the connection.
		<-s.ended
		return io.EOF
	}
	return s.target.classify(s.ctx, err, s.conn.tr.firstError())
}

// Close ends the stream. It closes the connection if the stream had not ended
// before.
func (s *Stream) Close() {
	s.cancel()
	<-s.ended
}
