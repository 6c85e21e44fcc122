package link_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcwire"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
)

const hostileWait = 20 * time.Second

// Guards against connections that stay once they are closed for others: after a frame of
// a stream that was never begun, drpc does not read until that stream ends.
func TestUnbegunStreamsGiveWay(t *testing.T) {
	is := is.New(t)
	const connections = 8
	g := guard.New(guard.Config{
		Bytes:       64 << 20,
		Connections: connections,
	})
	address := serve(t, link.Config{Guard: g}, echo)
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, 1<<10),
		ID: drpcwire.ID{
			Stream:  1,
			Message: 1,
		},
		Kind: drpcwire.KindMessage,
		Done: true,
	})
	for range 10 * connections {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = c.Write(frame)
	}
	for end := time.Now().Add(hostileWait); ; time.Sleep(time.Millisecond) {
		var out proto.PeerAnswer
		if client(t, link.Config{}).Call(t.Context(), address, proto.MethodPeer, &proto.Peer{}, &out) == nil {
			break
		}
		is.True(time.Now().Before(end)) // a call is answered
	}
	open, _ := g.Usage()
	is.True(open <= connections)
}

// Guards against a call that runs without memory for it, and against large calls that
// keep out small ones.
func TestCallWithoutMemoryDoesNotRun(t *testing.T) {
	is := is.New(t)
	const message = 100 << 10
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	begun := make(chan struct{}, 10)
	address := serve(t, link.Config{
		Guard: guard.New(guard.Config{
			Bytes:       1 << 20, // 768 KB for large messages, which count four times
			Connections: 100,
		}),
	}, func(s *link.Server) {
		link.Handle(s, proto.MethodPeer, func(_ context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
			begun <- struct{}{}
			if len(in.Payload) > 0 {
				<-hold
			}
			return &proto.PeerAnswer{}, nil
		})
	})
	call := func(size int) error {
		return client(t, link.Config{}).Call(context.Background(), address, proto.MethodPeer, &proto.Peer{Payload: bytes.Repeat([]byte{1}, size)}, &proto.PeerAnswer{})
	}
	first := make(chan error, 1)
	go func() { first <- call(message) }()
	<-begun
	is.True(call(message) != nil)
	is.Equal(len(begun), 0)
	is.NoErr(call(0)) // a small one has memory
	release()
	is.NoErr(<-first)
}
