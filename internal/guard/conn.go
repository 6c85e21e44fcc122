package guard

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/memory"
)

// head is the state of a head that is being received.
type head struct {
	started bool
	// bytes counts those of the current part: the request line or the header lines.
	bytes     int
	inHeaders bool
	// lineLength is the length of the line so far, without its end.
	lineLength int
	empty      int
	done       bool
}

// maxEmptyLines is the number of empty lines before a request that are tolerated.
const maxEmptyLines = 8

// scan counts bytes of a head until its end. It returns how many bytes and lines it
// consists of.
func (h *head) scan(p []byte) (lines int, n int) {
	for i, b := range p {
		h.bytes++
		if b != '\n' {
			if b != '\r' {
				h.lineLength++
			}
			continue
		}
		switch {
		case h.lineLength > 0:
			lines++
			if !h.inHeaders {
				h.inHeaders, h.bytes = true, 0
			}
		case h.inHeaders:
			h.done = true
			return lines, i + 1
		default:
			h.empty++
		}
		h.lineLength = 0
	}
	return lines, len(p)
}

// errRefused ends the reading of a connection. It is an error of the network, which
// net/http does not answer.
var errRefused = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: errors.New("the caller was refused"),
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.evicted.Load() {
		return 0, errRefused
	}
	if n == 0 || c.serving || c.head.done {
		return n, err
	}
	return c.readHead(p[:n], err)
}

func (c *Conn) readHead(p []byte, err error) (int, error) {
	limits := c.guard.limits()
	first := !c.head.started
	c.head.started = true
	lines, n := c.head.scan(p)
	if !c.hold(n, int64(n+lines*lineBytes)) {
		c.writeRefusal("503 Service Unavailable")
		c.abort()
		return 0, errRefused
	}
	switch {
	case c.head.bytes > limits.HeadBytes+headMargin:
		c.writeRefusal("431 Request Header Fields Too Large")
		c.linger()
		return 0, errRefused
	case c.head.empty > maxEmptyLines:
		c.writeRefusal("400 Bad Request")
		c.linger()
		return 0, errRefused
	case first && !c.head.done:
		_ = c.Conn.SetReadDeadline(time.Now().Add(limits.HeadTimeout))
	}
	return len(p), err
}

// hold records what was received of a request and reserves memory. It returns false if
// the connection must be closed.
func (c *Conn) hold(received int, bytes int64) bool {
	return c.guard.step(c.id, func(b *memory.Budget, now ident.Instant) []memory.Drop {
		return b.Read(now, c.id, int64(received), bytes)
	})
}

// writeRefusal answers in place of the server, which has not parsed the request. The
// server has written all of the earlier answers.
func (c *Conn) writeRefusal(status string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// linger discards what the caller still sends, so that it can read the refusal, and
// closes the connection.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	c.abort()
}

// SetReadDeadline implements net.Conn. Between requests the deadlines of the Guard
// apply and not those of the server.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !c.serving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// writePiece is the largest part of an answer that is written within the stall timeout.
const writePiece = 64 << 10

// Write implements net.Conn. Each piece must be written within the stall timeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		_ = c.SetWriteDeadline(time.Now().Add(c.guard.cfg.StallTimeout))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
		c.guard.mu.Lock()
		c.guard.budget.Sent(c.id, int64(n))
		c.guard.mu.Unlock()
	}
}

// CloseWrite closes the sending half, which net/http does before it closes a connection
// whose request it has not read whole.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("connection has no descriptor")
}

// evict closes the connection at once, for the memory or the descriptor of others.
func (c *Conn) evict() {
	if !c.evicted.Swap(true) {
		c.abort()
	}
}

func (c *Conn) abort() {
	c.evicted.Store(true)
	if a, ok := c.Conn.(aborter); ok {
		_ = a.Abort()
		return
	}
	_ = c.Close()
}

// finish begins the time between two requests.
func (c *Conn) finish() {
	c.serving, c.head = false, head{}
	c.guard.mu.Lock()
	c.guard.budget.Finish(ident.Instant(time.Since(c.guard.start)), c.id, 0)
	c.guard.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.guard.limits().IdleTimeout))
}

func (c *Conn) forget() {
	if !c.forgotten.Swap(true) {
		c.guard.remove(c.id)
	}
}

// Complete records that a request is whole and holds some bytes while it runs. It
// returns false if there is no memory for it: it must not run.
func (c *Conn) Complete(bytes int) bool {
	if c == nil {
		return true
	}
	return c.guard.step(c.id, func(b *memory.Budget, now ident.Instant) []memory.Drop {
		return b.Complete(now, c.id, int64(bytes)*runningCopies)
	})
}

// Answer records that an answer of some bytes is about to be written.
func (c *Conn) Answer(bytes int) {
	if c == nil {
		return
	}
	c.guard.step(c.id, func(b *memory.Budget, now ident.Instant) []memory.Drop {
		return b.Answer(now, c.id, int64(bytes))
	})
}
