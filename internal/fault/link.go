package fault

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// way is a direction of a link.
type way uint8

const (
	forward way = iota
	backward
)

// link is one connection from a dialling side to the target.
type link struct {
	from   *Proxy
	near   net.Conn // the dialling side
	offset float64  // share of Rules.ReorderMicros
	seed   uint64
	done   chan struct{} // closed by cut

	mu     sync.Mutex
	far    net.Conn // the target; nil until connected
	half   bool
	closed bool
}

// piece is what one read returned, and when it may be written.
type piece struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, near net.Conn, offset float64, seed uint64) *link {
	return &link{
		from:   p,
		near:   near,
		offset: offset,
		seed:   seed,
		done:   make(chan struct{}),
	}
}

func (l *link) run(ctx context.Context) {
	defer l.cut()
	// A new connection through a blackhole gets no answer until it ends.
	if !l.passable(forward) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", l.from.cfg.Target)
	if err != nil {
		l.from.log.Debug("target cannot be reached", "proxy", l.from.cfg.Name, "error", err)
		return
	}
	if !l.connected(far) {
		return
	}
	var group errgroup.Group
	group.Go(func() error { l.pump(forward, l.near, far); return nil })
	group.Go(func() error { l.pump(backward, far, l.near); return nil })
	_ = group.Wait()
	// Both directions ended in order, or the link was cut before.
	l.end(func(c net.Conn) { _ = c.Close() })
}

func (l *link) connected(far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.half {
		reset(far)
		return false
	}
	l.far = far
	return true
}

// cut resets both sides.
func (l *link) cut() { l.end(reset) }

// end closes both sides in the given way, unless they are closed.
func (l *link) end(closing func(net.Conn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	closing(l.near)
	if l.far != nil {
		closing(l.far)
	}
}

func (l *link) halfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.half = true
	if l.far != nil {
		reset(l.far)
	}
}

func (l *link) isHalf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.half
}

// pump moves the bytes of one direction until its source ends or fails. An
// orderly end is passed on; a failure breaks the link.
func (l *link) pump(w way, src, dst net.Conn) {
	pieces := make(chan piece, piecesHeld)
	var group errgroup.Group
	group.Go(func() error {
		defer close(pieces)
		return l.read(w, src, pieces)
	})
	failed := false
	for p := range pieces {
		if !failed && !l.write(w, dst, p) {
			failed = true
			if !l.isHalf() {
				l.cut()
			}
		}
	}
	if err := group.Wait(); err != nil && !l.isHalf() {
		l.cut()
	}
	if l.isHalf() {
		if w == forward {
			l.cut() // the dialling side gave up
		}
		// Until then it must not learn that the target is gone.
		<-l.done
	}
	if l.passable(w) {
		if tcp, ok := dst.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

func (l *link) read(w way, src net.Conn, pieces chan<- piece) error {
	rng := rand.New(rand.NewPCG(l.seed, uint64(w)))
	var last time.Time
	for {
		buf := make([]byte, pieceBytes)
		n, err := src.Read(buf)
		rules := l.from.Rules()
		path := rules.path(w)
		if n > 0 {
			if rng.Float64() < path.DropFraction {
				l.from.countBroken()
				return io.ErrUnexpectedEOF
			}
			delay := float64(path.DelayMicros) + rng.Float64()*float64(path.JitterMicros) + l.offset*float64(rules.ReorderMicros)
			due := time.Now().Add(time.Duration(delay) * time.Microsecond)
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case pieces <- piece{data: buf[:n], due: due}:
			case <-l.done:
				return nil
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r Rules) path(w way) Path {
	if w == forward {
		return r.Forward
	}
	return r.Backward
}

func (l *link) write(w way, dst net.Conn, p piece) bool {
	if !l.wait(time.Until(p.due)) {
		return false
	}
	if rate := l.from.Rules().path(w).BytesPerSecond; rate > 0 {
		if !l.wait(time.Duration(len(p.data)) * time.Second / time.Duration(rate)) {
			return false
		}
	}
	if !l.passable(w) {
		return false
	}
	// Counted before the write: a side that saw the bytes finds them counted.
	l.from.countBytes(w, len(p.data))
	_, err := dst.Write(p.data)
	return err == nil
}

// wait reports false if the link was cut first.
func (l *link) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

// passable waits for the end of a blackhole. It reports false if the link was
// cut first.
func (l *link) passable(w way) bool {
	for {
		now := l.from.ruling()
		if !now.rules.path(w).Blackhole {
			return true
		}
		select {
		case <-now.changed:
		case <-l.done:
			return false
		}
	}
}
