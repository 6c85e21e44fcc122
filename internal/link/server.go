package link

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcserver"

	"github.com/jujubethread/jujubethread/internal/guard"
)

// remainingKey is the metadata key of the time to the caller's deadline in
// microseconds.
const remainingKey = "remaining-micros"

// Server serves calls and streams.
type Server struct {
	cfg     Config
	certs   *certReloader
	methods map[string]method
	// roles lists the roles that may call a method. Methods without an entry
	// have no restriction.
	roles map[string][]string
	stats Stats
}

type method func(drpc.Stream, encoding) error

// NewServer returns a server without methods. It loads the certificates if any
// are configured; the error is then a *keys.Error.
func NewServer(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	r, err := newCertReloader(cfg)
	if err != nil {
		return nil, err
	}
	return &Server{
		cfg:     cfg,
		certs:   r,
		methods: make(map[string]method),
		roles:   make(map[string][]string),
	}, nil
}

// Allow restricts a method to callers whose certificate has one of the roles. It
// must be called before Serve and has no effect without certificates.
func (s *Server) Allow(name string, roles ...string) { s.roles[name] = roles }

// Stats returns the counters of the server's traffic.
func (s *Server) Stats() *Stats { return &s.stats }

// Handle registers fn as the handler of unary calls of the method name. It must
// be called before Serve. The context of fn is done at the caller's deadline or
// when the connection fails.
func Handle[In, Out any](s *Server, name string, fn func(context.Context, *In) (*Out, error)) {
	s.methods[name] = func(stream drpc.Stream, enc encoding) error {
		in := new(In)
		if err := stream.MsgRecv(in, enc); err != nil {
			return requestError(err)
		}
		ctx, cancel := withRemaining(stream.Context())
		defer cancel()
		out, err := fn(ctx, in)
		if err != nil {
			return handlerError(ctx, err)
		}
		return send(stream, enc, out)
	}
}

// HandleStream registers fn as the handler of streams of the method name. It
// must be called before Serve. The stream ends when fn returns; send fails when
// the connection has failed.
func HandleStream[In, Out any](s *Server, name string, fn func(ctx context.Context, in *In, send func(*Out) error) error) {
	s.methods[name] = func(stream drpc.Stream, enc encoding) error {
		in := new(In)
		if err := stream.MsgRecv(in, enc); err != nil {
			return requestError(err)
		}
		ctx, cancel := withRemaining(stream.Context())
		defer cancel()
		return handlerError(ctx, fn(ctx, in, func(out *Out) error { return send(stream, enc, out) }))
	}
}

// requestError returns the error that answers a request which could not be read.
func requestError(err error) error {
	if drpcerr.Code(err) == codeNoMemory {
		return err
	}
	return drpcerr.WithCode(err, codeMalformed)
}

func handlerError(ctx context.Context, err error) error {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return drpcerr.WithCode(err, codeTimedOut)
	}
	return err
}

func send(stream drpc.Stream, enc encoding, out any) error {
	err := stream.MsgSend(out, enc)
	if errors.Is(err, errTooLarge) {
		return drpcerr.WithCode(err, codeAnswerTooLarge)
	}
	return err
}

func withRemaining(ctx context.Context) (context.Context, context.CancelFunc) {
	meta, _ := drpcmetadata.Get(ctx)
	micros, err := strconv.ParseInt(meta[remainingKey], 10, 64)
	if err != nil || micros <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(micros)*time.Microsecond)
}

// Serve accepts connections from lis until ctx is done, then closes lis and all
// connections and waits for the handlers to return.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	if s.certs == nil && !s.cfg.AllowPlain && !isLoopback(lis.Addr().String()) {
		_ = lis.Close()
		return call{address: lis.Addr().String(), method: "listen"}.newError(Insecure, nil)
	}
	if s.cfg.Guard != nil {
		lis = s.cfg.Guard.WrapRaw(lis)
	}
	opts := s.cfg.managerOptions()
	opts.InactivityTimeout = serverIdleTimeout
	srv := drpcserver.NewWithOptions(handler{s}, drpcserver.Options{Manager: opts})
	return errors.Wrap(s.serveConns(ctx, srv, &listener{
		Listener: lis,
		server:   s,
		slots:    make(chan struct{}, s.cfg.MaxConns),
	}), "link server stopped: restart the process")
}

// acceptRetryDelay is the pause after the process had no descriptor for a connection.
const acceptRetryDelay = 500 * time.Millisecond

// serveConns serves the connections of a listener. Unlike drpcserver it ends a connection
// that the guard has closed also while drpc does not read from it: after a frame of a
// stream that was never begun, drpc waits for that stream.
func (s *Server) serveConns(ctx context.Context, srv *drpcserver.Server, lis net.Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = lis.Close() })()
	for {
		conn, err := lis.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			s.cfg.Log.Debug("connection not accepted", "error", err)
			time.Sleep(acceptRetryDelay)
		case err != nil:
			return err
		default:
			group.Go(func() { s.serveConn(ctx, srv, conn) })
		}
	}
}

func (s *Server) serveConn(ctx context.Context, srv *drpcserver.Server, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c, ok := conn.(*slotConn); ok && c.held != nil {
		c.held.OnEvict(cancel)
	}
	if err := srv.ServeOne(ctx, conn); err != nil {
		s.cfg.Log.Debug("connection ended", "error", err)
	}
}

type handler struct{ s *Server }

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	tr, _ := drpcctx.Transport(stream.Context())
	if conn, ok := tr.(*slotConn); ok && conn.held != nil {
		stream = &heldStream{
			Stream: stream,
			held:   conn.held,
		}
		defer conn.held.End()
	}
	fn, ok := h.s.methods[rpc]
	if !ok {
		return drpcerr.WithCode(errors.Errorf("method %q is not served", rpc), codeUnimplemented)
	}
	if roles := h.s.roles[rpc]; h.s.certs != nil && len(roles) > 0 {
		if role := PeerOf(stream.Context()).Role; !slices.Contains(roles, role) {
			return drpcerr.WithCode(errors.Errorf("method %q is not for role %q", rpc, role), codeForbidden)
		}
	}
	return fn(stream, encoding{max: h.s.cfg.MaxMessage})
}

// heldStream tells the guard when the request of a call is whole.
type heldStream struct {
	drpc.Stream
	held  *guard.RawConn
	begun bool
}

// MsgRecv implements drpc.Stream.
func (s *heldStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(msg, enc)
	if err == nil && !s.begun {
		s.begun = true
		if !s.held.Begin() {
			return drpcerr.WithCode(errors.New(remedies[NoMemory]), codeNoMemory)
		}
	}
	return err
}

// Peer describes the caller of a handler.
type Peer struct {
	// Address is the remote IP:port of the connection.
	Address string
	// Host and Role are the common name and organizational unit of the
	// caller's certificate; empty in plaintext.
	Host string
	Role string
}

// PeerOf returns the caller of the handler that ctx was passed to.
func PeerOf(ctx context.Context) Peer {
	tr, _ := drpcctx.Transport(ctx)
	conn, ok := tr.(*slotConn)
	if !ok {
		return Peer{}
	}
	p := Peer{Address: conn.RemoteAddr().String()}
	if t, ok := conn.Conn.(*tls.Conn); ok {
		if certs := t.ConnectionState().PeerCertificates; len(certs) > 0 {
			p.Host = certs[0].Subject.CommonName
			if units := certs[0].Subject.OrganizationalUnit; len(units) > 0 {
				p.Role = units[0]
			}
		}
	}
	return p
}
