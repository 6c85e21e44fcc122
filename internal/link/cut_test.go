package link_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
)

// cutter passes the first bytes of what a server answers, or of what it is sent, one
// more with each connection, and then closes the connection. It returns its address.
func cutter(t *testing.T, server string, requests bool) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = lis.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		for most := int64(0); ; most++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", server)
			if err != nil {
				_ = c.Close()
				continue
			}
			whole, cut := [2]net.Conn{c, to}, [2]net.Conn{to, c}
			if requests {
				whole, cut = cut, whole
			}
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = io.Copy(whole[1], whole[0])
			}()
			_, _ = io.CopyN(cut[1], cut[0], most)
			_ = c.Close()
			_ = to.Close()
			<-sent
		}
	}()
	return lis.Addr().String()
}

// Guards against an answer of another host, such as a merged one, that breaks off at
// any byte and is taken for a whole one.
func TestAnswerThatBreaksOffAnywhereIsAnError(t *testing.T) {
	is := is.New(t)
	payload := strings.Repeat("record..", 64)
	address := cutter(t, serve(t, link.Config{AllowPlain: true}, echo), false)
	for n := range len(payload) {
		var out proto.PeerAnswer
		// A client of its own, so that each call has a connection of its own.
		c, err := link.NewClient(link.Config{AllowPlain: true})
		is.NoErr(err)
		err = c.Call(t.Context(), address, proto.MethodPeer, &proto.Peer{Payload: []byte(payload)}, &out)
		_ = c.Close()
		if err == nil {
			t.Fatalf("%d bytes were taken for an answer with a payload of %d: %q", n, len(payload), out.Payload)
		}
		is.True(!link.NotRun(err)) // the handler has run
	}
}

// Guards against a message of another host, such as a part of a snapshot, that breaks
// off at any byte and is handled as a whole one.
func TestRequestThatBreaksOffAnywhereIsNotRun(t *testing.T) {
	is := is.New(t)
	payload := strings.Repeat("record..", 64)
	var short, whole atomic.Int64
	address := cutter(t, serve(t, link.Config{AllowPlain: true}, func(s *link.Server) {
		link.Handle(s, proto.MethodPeer, func(_ context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
			if string(in.Payload) == payload {
				whole.Add(1)
			} else {
				short.Add(1)
			}
			return &proto.PeerAnswer{}, nil
		})
	}), true)
	const overhead = 256 // more than frames and names take
	for range len(payload) + overhead {
		c, err := link.NewClient(link.Config{AllowPlain: true})
		is.NoErr(err)
		_ = c.Call(t.Context(), address, proto.MethodPeer, &proto.Peer{Payload: []byte(payload)}, &proto.PeerAnswer{})
		_ = c.Close()
	}
	is.Equal(short.Load(), int64(0))
	is.True(whole.Load() > 0 && whole.Load() < overhead)
}
