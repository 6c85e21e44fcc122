// Package flood is a stand-in for an upstream whose answers do not end: once it
// has read a request it sends bytes until the caller closes the connection.
package flood

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Shape is the part of an answer that does not end.
type Shape string

// The shapes.
const (
	Head     Shape = "head"     // header lines
	Line     Shape = "line"     // one header line
	Body     Shape = "body"     // a body without a length
	Length   Shape = "length"   // a body with a huge length
	Chunks   Shape = "chunks"   // chunks of a body
	Trailers Shape = "trailers" // trailers after the chunks of a body
	Interim  Shape = "interim"  // interim answers
	Trickle  Shape = "trickle"  // a body, a byte now and then
	Spaces   Shape = "spaces"   // spaces within a JSON body
)

// Shapes lists all shapes.
var Shapes = []Shape{Head, Line, Body, Length, Chunks, Trailers, Interim, Trickle, Spaces}

// trickleGap is the time between two bytes of Trickle.
const trickleGap = 50 * time.Millisecond

// blockBytes is the size of one write.
const blockBytes = 32 << 10

const (
	statusLine = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	chunked    = statusLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// begin and block are what is sent first, and then again and again.
func (s Shape) begin() string {
	switch s {
	case Head, Line:
		return statusLine
	case Length:
		return statusLine + "Content-Length: 1000000000000\r\n\r\n"
	case Chunks:
		return chunked
	case Trailers:
		return chunked + "2\r\n{}\r\n0\r\n"
	case Interim:
		return ""
	case Spaces:
		return statusLine + "Connection: close\r\n\r\n{"
	case Body, Trickle:
	}
	return statusLine + "Connection: close\r\n\r\n"
}

func (s Shape) block() []byte {
	unit := "x"
	switch s {
	case Head, Trailers:
		unit = "X-Filler: " + strings.Repeat("x", 100) + "\r\n"
	case Chunks:
		unit = "100\r\n" + strings.Repeat("x", 0x100) + "\r\n"
	case Interim:
		unit = "HTTP/1.1 103 Early Hints\r\n\r\n"
	case Spaces:
		unit = " "
	case Trickle:
		return []byte(unit)
	case Line:
		return bytes.Repeat([]byte(unit), blockBytes)
	case Body, Length:
	}
	return bytes.Repeat([]byte(unit), blockBytes/len(unit)+1)
}

// Upstream is a running stand-in.
type Upstream struct {
	listener net.Listener
	shape    Shape
	serving  sync.WaitGroup
	// open is the number of open connections.
	open atomic.Int64
	sent atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// Start listens on a free port of loopback.
func Start(s Shape) (*Upstream, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		listener: lis,
		shape:    s,
		conns:    make(map[net.Conn]bool),
	}
	u.serving.Go(u.accept)
	return u, nil
}

// Address returns the IP:port of the stand-in.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Open returns the number of connections that the caller has not closed.
func (u *Upstream) Open() int64 { return u.open.Load() }

// Sent returns the number of bytes that were sent.
func (u *Upstream) Sent() int64 { return u.sent.Load() }

// Close stops the stand-in and closes its connections.
func (u *Upstream) Close() {
	_ = u.listener.Close()
	u.mu.Lock()
	u.closed = true
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.serving.Wait()
}

func (u *Upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.closed {
			// Close has not seen this connection.
			u.mu.Unlock()
			_ = c.Close()
			return
		}
		u.open.Add(1)
		u.conns[c] = true
		u.mu.Unlock()
		u.serving.Go(func() {
			defer u.open.Add(-1)
			defer func() { _ = c.Close() }()
			u.serve(c)
		})
	}
}

func (u *Upstream) serve(c net.Conn) {
	if _, err := c.Read(make([]byte, blockBytes)); err != nil {
		return
	}
	for block, next := u.shape.block(), []byte(u.shape.begin()); ; next = block {
		n, err := c.Write(next)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
		if u.shape == Trickle {
			time.Sleep(trickleGap)
		}
	}
}
