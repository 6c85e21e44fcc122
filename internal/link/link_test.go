package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve runs a server until the test ends and returns its address. register adds
// its methods.
func serve(t testing.TB, cfg link.Config, register func(*link.Server)) string {
	t.Helper()
	s, err := link.NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	register(s)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, lis) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return lis.Addr().String()
}

func client(t testing.TB, cfg link.Config) *link.Client {
	t.Helper()
	c, err := link.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func echo(s *link.Server) {
	link.Handle(s, proto.MethodPeer, func(_ context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
		return &proto.PeerAnswer{Payload: in.Payload}, nil
	})
}

// Guards against a new connection, and thus a handshake, for each call.
func TestCallsReuseConnections(t *testing.T) {
	is := is.New(t)
	addr := serve(t, link.Config{}, echo)
	c := client(t, link.Config{})
	for i := range 50 {
		var out proto.PeerAnswer
		is.NoErr(c.Call(t.Context(), addr, proto.MethodPeer, &proto.Peer{Payload: []byte{byte(i)}}, &out))
		is.Equal(out.Payload, []byte{byte(i)})
	}
	is.Equal(c.Stats().Dials.Load(), int64(1))
	is.True(c.Stats().BytesOut.Load() > 0)
}

// Guards against a call on an idle connection that the peer has closed but whose
// reader has not run since: the outcome of the call would be unknown.
func TestClosedConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	// With one processor the reader does not run between the close and the
	// call.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	addr := serve(t, link.Config{}, echo)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			inbound, err := lis.Accept()
			if err != nil {
				return
			}
			outbound, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(outbound, inbound); _ = outbound.Close() }()
			go func() { _, _ = io.Copy(inbound, outbound); _ = inbound.Close() }()
			accepted <- inbound
		}
	}()
	c := client(t, link.Config{})
	call := func() error {
		return c.Call(t.Context(), lis.Addr().String(), proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	}
	for range 20 {
		is.NoErr(call())
		is.NoErr((<-accepted).(*net.TCPConn).CloseWrite())
		is.NoErr(call()) // on a new connection
		is.NoErr((<-accepted).Close())
		time.Sleep(time.Millisecond)
	}
}

// Guards against a call that blocks past its deadline and against a handler that
// continues after the caller's deadline.
func TestDeadlineReachesHandler(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	addr := serve(t, link.Config{}, func(s *link.Server) {
		link.Handle(s, proto.MethodPeer, func(ctx context.Context, _ *proto.Peer) (*proto.PeerAnswer, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
	})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	err := client(t, link.Config{}).Call(ctx, addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	is.Equal(link.KindOf(err), link.TimedOut)
	is.Equal(link.NotRun(err), false)
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(10 * time.Second):
		t.Fatal("the handler did not run or did not end")
	}
}

// Guards against errors that do not show whether the handler may have run.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	addr := serve(t, link.Config{MaxMessage: 1000}, func(s *link.Server) {
		link.Handle(s, proto.MethodPeer, func(_ context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
			if in.From == "bad" {
				return nil, errors.New("no")
			}
			return &proto.PeerAnswer{Payload: make([]byte, 2000)}, nil
		})
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closedAddr := lis.Addr().String()
	is.NoErr(lis.Close())
	c := client(t, link.Config{MaxMessage: 3000})
	for _, row := range []struct {
		addr, method string
		in           any
		kind         link.Kind
		notRun       bool
	}{
		{closedAddr, proto.MethodPeer, &proto.Peer{}, link.Unreachable, true},
		{"192.0.2.1:9", proto.MethodPeer, &proto.Peer{}, link.Insecure, true},
		{addr, "/none", &proto.Peer{}, link.NoMethod, true},
		{addr, proto.MethodPeer, &proto.Peer{Payload: make([]byte, 4000)}, link.TooLarge, true},
		{addr, proto.MethodPeer, &proto.Peer{}, link.TooLarge, false},
		{addr, proto.MethodPeer, &proto.Pull{}, link.Malformed, true},
		{addr, proto.MethodPeer, &proto.Peer{From: "bad"}, link.Failed, false},
	} {
		err := c.Call(t.Context(), row.addr, row.method, row.in, &proto.PeerAnswer{})
		is.Equal(link.KindOf(err), row.kind) // kind
		is.Equal(link.NotRun(err), row.notRun)
	}
}

// Guards against a failed connection that is not reported as Broken.
func TestBrokenConnection(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	go func() {
		conn, err := lis.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	err = client(t, link.Config{}).Call(t.Context(), lis.Addr().String(), proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	is.Equal(link.KindOf(err), link.Broken)
}

// Guards against a server that accepts an unlimited number of connections, and
// against a call that waits for a free connection slot instead of failing.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	addr := serve(t, link.Config{MaxConns: 1}, func(s *link.Server) {
		echo(s)
		link.HandleStream(s, proto.MethodWatch, func(ctx context.Context, _ *proto.Watch, send func(*proto.Update) error) error {
			if err := send(&proto.Update{}); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		})
	})
	c := client(t, link.Config{})
	s, err := c.Stream(t.Context(), addr, proto.MethodWatch, &proto.Watch{})
	is.NoErr(err)
	is.NoErr(s.Recv(&proto.Update{}))
	call := func() error {
		return c.Call(t.Context(), addr, proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{})
	}
	is.Equal(link.KindOf(call()), link.Broken)
	s.Close()
	is.True(within(func() bool { return call() == nil })) // the slot is free again
}

// Guards against streams that drop or reorder messages, or that do not end.
func TestStream(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	addr := serve(t, link.Config{}, func(s *link.Server) {
		link.HandleStream(s, proto.MethodWatch, func(ctx context.Context, in *proto.Watch, send func(*proto.Update) error) error {
			if in.Digest != 0 {
				// Deferred, because a send may fail after the caller closes the
				// stream.
				defer close(ended)
			}
			for n := range uint64(100) {
				if err := send(&proto.Update{Version: ident.ConfigVersion{Number: n}}); err != nil {
					return err
				}
			}
			if in.Digest == 0 {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		})
	})
	c := client(t, link.Config{})
	for _, digest := range []uint64{0, 1} {
		s, err := c.Stream(t.Context(), addr, proto.MethodWatch, &proto.Watch{Digest: digest})
		is.NoErr(err)
		for n := range uint64(100) {
			var u proto.Update
			is.NoErr(s.Recv(&u))
			is.Equal(u.Version.Number, n)
		}
		if digest == 0 {
			is.Equal(s.Recv(&proto.Update{}), io.EOF)
		}
		s.Close()
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the handler did not end")
	}
	is.Equal(c.Stats().Dials.Load(), int64(1))
	is.NoErr(c.Call(t.Context(), serve(t, link.Config{}, echo), proto.MethodPeer, &proto.Peer{}, &proto.PeerAnswer{}))
}
