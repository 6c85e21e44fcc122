package guard_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/guard"
)

const rawMessage = 4 << 10

// startRaw serves connections whose messages have rawMessage bytes: each whole one is
// answered with a byte, and a refused one with another.
func startRaw(t *testing.T, cfg guard.Config) (g *guard.Guard, dial func() net.Conn) {
	t.Helper()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g = guard.New(cfg)
	bounded := g.WrapRaw(lis)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := bounded.Accept()
			if err != nil {
				return
			}
			go serveRaw(c.(*guard.RawConn))
		}
	}()
	t.Cleanup(func() {
		_ = lis.Close()
		<-ended
	})
	return g, func() net.Conn {
		c, err := net.Dial("tcp", lis.Addr().String())
		is.NoErr(err)
		_ = c.SetDeadline(time.Now().Add(timeout))
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func serveRaw(c *guard.RawConn) {
	defer func() { _ = c.Close() }()
	message := make([]byte, rawMessage)
	for {
		if _, err := io.ReadFull(c, message); err != nil {
			return
		}
		answer := []byte{1}
		if !c.Begin() {
			answer[0] = 0
		}
		_, _ = c.Write(answer)
		c.End()
	}
}

// answered reports whether a message is answered as one that was handled.
func answered(c net.Conn) bool {
	if _, err := c.Write(make([]byte, rawMessage)); err != nil {
		return false
	}
	answer := make([]byte, 1)
	_, err := io.ReadFull(c, answer)
	return err == nil && answer[0] == 1
}

// Guards against messages of other hosts that hold memory while they are not whole, and
// keep out whole ones.
func TestUnfinishedMessagesGiveWay(t *testing.T) {
	is := is.New(t)
	const bytes = 400 << 10
	g, dial := startRaw(t, guard.Config{
		Bytes:       bytes,
		Connections: 100,
	})
	for range 50 {
		c := dial()
		_, _ = c.Write(make([]byte, rawMessage-1))
		_, held := g.Usage()
		is.True(held <= bytes)
	}
	for end := time.Now().Add(timeout); !answered(dial()); {
		is.True(time.Now().Before(end)) // a message is answered
	}
}

// Guards against connections of other hosts beyond the bound.
func TestRawConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	const connections = 10
	g, dial := startRaw(t, guard.Config{
		Bytes:       64 << 20,
		Connections: connections,
	})
	for range 5 * connections {
		dial()
		open, _ := g.Usage()
		is.True(open <= connections)
	}
	for end := time.Now().Add(timeout); !answered(dial()); {
		is.True(time.Now().Before(end)) // a message is answered
	}
}

// Guards against a connection that is counted or kept after it was closed for others,
// while its user does not read from it.
func TestUserOfEvictedConnectionIsTold(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	const connections = 4
	g := guard.New(guard.Config{
		Bytes:       64 << 20,
		Connections: connections,
	})
	bounded := g.WrapRaw(lis)
	told := make(chan struct{})
	for n := range connections + 1 {
		c, err := net.Dial("tcp", lis.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		conn, err := bounded.Accept()
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		if n == 0 {
			conn.(*guard.RawConn).OnEvict(func() { close(told) })
		}
	}
	select {
	case <-told:
	case <-time.After(timeout):
		t.Fatal("the user was not told")
	}
	open, _ := g.Usage()
	is.Equal(open, connections)
}
