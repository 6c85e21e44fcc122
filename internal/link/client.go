package link

import (
	"context"
	"crypto/tls"
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
	ring  *ring
	pool  *drpcpool.Pool[string, *clientConn]
	stats Stats
}

// clientConn is a drpc connection with the first error of its transport.
type clientConn struct {
	*drpcconn.Conn
	tr *transport
	// socket is the connection below TLS.
	socket net.Conn
}

// NewClient returns a client. With certificates configured the error is a
// *keys.Error.
func NewClient(cfg Config) (*Client, error) {
	cfg = cfg.withDefaults()
	r, err := newRing(cfg)
	if err != nil {
		return nil, err
	}
	return &Client{
		cfg:  cfg,
		ring: r,
		pool: drpcpool.New[string, *clientConn](drpcpool.Options{
			Expiration:  idleConn,
			Capacity:    keptConns,
			KeyCapacity: connsPerPeer,
		}),
	}, nil
}

// Stats returns the counters of the client's traffic.
func (c *Client) Stats() *Stats { return &c.stats }

// Close closes the unused connections. Calls in progress end by their contexts.
func (c *Client) Close() error { return c.pool.Close() }

// Call makes one unary call to address (IP:port) and decodes the answer into
// out. Errors are of type *Error.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	var cancel context.CancelFunc = func() {}
	if _, ok := ctx.Deadline(); !ok {
		ctx, cancel = context.WithTimeout(ctx, c.cfg.CallTimeout)
	}
	defer cancel()
	id := call{
		address: address,
		method:  method,
	}
	enc, err := c.encode(id, in)
	if err != nil {
		return err
	}
	conn, err := c.take(ctx, id)
	if err != nil {
		return err
	}
	err = conn.Invoke(withDeadline(ctx), method, enc, in, out)
	if err == nil {
		c.pool.Put(address, conn)
		return nil
	}
	err = id.answerError(ctx, err, conn.tr.seen(), enc)
	c.giveBack(ctx, address, conn)
	return err
}

// giveBack keeps a connection for reuse unless its last call was cancelled,
// which leaves it unusable.
func (c *Client) giveBack(ctx context.Context, address string, conn *clientConn) {
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	c.pool.Put(address, conn)
}

func withDeadline(ctx context.Context) context.Context {
	until, ok := ctx.Deadline()
	if !ok {
		return ctx
	}
	return drpcmetadata.Add(ctx, remainingKey, strconv.FormatInt(time.Until(until).Microseconds(), 10))
}

// encode checks the request before anything is sent.
func (c *Client) encode(id call, in any) (*oneShot, error) {
	b, err := encoding{max: c.cfg.MaxMessage}.Marshal(in)
	if err == nil {
		return &oneShot{encoded: b}, nil
	}
	kind := Malformed
	if errors.Is(err, errTooLarge) {
		kind = TooLarge
	}
	e := id.fail(kind, err)
	e.NotRun = true
	return nil, e
}

// oneShot is an encoding whose request is encoded already.
type oneShot struct {
	encoded []byte
	// malformed is the error of decoding an answer.
	malformed error
}

// Marshal implements drpc.Encoding.
func (o *oneShot) Marshal(drpc.Message) ([]byte, error) { return o.encoded, nil }

// Unmarshal implements drpc.Encoding.
func (o *oneShot) Unmarshal(buf []byte, msg drpc.Message) error {
	o.malformed = encoding{}.Unmarshal(buf, msg)
	return o.malformed
}

func (c call) answerError(ctx context.Context, err, seen error, enc *oneShot) error {
	if enc.malformed != nil {
		return c.fail(Malformed, enc.malformed)
	}
	return c.classify(ctx, err, seen)
}

// take returns an unused connection to the address or makes one. A kept one
// that the peer has closed is dropped here, since its reader may not have seen
// the close yet and a call on it would have an unknown outcome.
func (c *Client) take(ctx context.Context, id call) (*clientConn, error) {
	for {
		conn, ok := c.pool.Take(id.address)
		if !ok {
			break
		}
		if !closedByPeer(conn.socket) {
			return conn, nil
		}
		_ = conn.Close() // it is of no more use, whatever the error
	}
	if c.ring == nil && !c.cfg.AllowPlain && !isLoopback(id.address) {
		return nil, id.fail(Insecure, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	c.stats.Dials.Add(1)
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", id.address)
	if err != nil {
		return nil, id.fail(Unreachable, err)
	}
	detectVanished(conn)
	var raw net.Conn = rawConn{
		Conn:  conn,
		stats: &c.stats,
	}
	if c.ring != nil {
		if raw, err = c.handshake(ctx, id, raw); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	tr := &transport{Conn: raw}
	return &clientConn{
		Conn:   drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: c.cfg.manager()}),
		tr:     tr,
		socket: conn,
	}, nil
}

func (c *Client) handshake(ctx context.Context, id call, raw net.Conn) (net.Conn, error) {
	cfg, err := c.ring.clientConfig(id.address)
	if err != nil {
		return nil, id.fail(Untrusted, err)
	}
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		if fault := tlsFault(id.address, err); fault != nil {
			return nil, id.fail(Untrusted, fault)
		}
		if ctx.Err() == nil {
			return nil, id.fail(Untrusted, keys.NewError(keys.Missing, id.address, "the peer ended the handshake: configure its certificates", err))
		}
		return nil, id.fail(Unreachable, err)
	}
	return conn, nil
}

// Stream receives the messages of one server stream. It is used by one goroutine.
type Stream struct {
	id     call
	enc    *oneShot
	conn   *clientConn
	stream drpc.Stream
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
}

// Stream starts a server stream at address. It ends with Close, when ctx ends
// or when the server ends it. Errors are of type *Error.
func (c *Client) Stream(ctx context.Context, address, method string, in any) (*Stream, error) {
	id := call{
		address: address,
		method:  method,
	}
	enc, err := c.encode(id, in)
	if err != nil {
		return nil, err
	}
	conn, err := c.take(ctx, id)
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
		return nil, id.classify(ctx, err, conn.tr.seen())
	}
	s := &Stream{
		id:     id,
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
		c.giveBack(ctx, address, conn)
	}()
	return s, nil
}

// Recv decodes the next message into out. It returns io.EOF when the server
// ended the stream without an error, else an *Error.
func (s *Stream) Recv(out any) error {
	err := s.stream.MsgRecv(out, s.enc)
	switch {
	case err == nil:
		return nil
	case s.enc.malformed != nil:
		return s.id.fail(Malformed, s.enc.malformed)
	case errors.Is(err, io.EOF) && s.conn.tr.seen() == nil:
		// The connection goes back for reuse before Close cancels the context.
		<-s.ended
		return io.EOF
	}
	return s.id.classify(s.ctx, err, s.conn.tr.seen())
}

// Close ends the stream. A connection with an unfinished stream is closed.
func (s *Stream) Close() {
	s.cancel()
	<-s.ended
}
