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

type direction uint8

const (
	forward  direction = iota // client to target
	backward                  // target to client
)

// link is one proxied connection: the accepted side of the client and the
// dialled side of the target.
type link struct {
	proxy  *Proxy
	client net.Conn
	offset float64 // factor for Rules.ReorderMicros, from 0 to 1
	seed   uint64
	done   chan struct{} // closed by close

	mu          sync.Mutex
	target      net.Conn // nil until connected
	targetReset bool
	closed      bool
}

// chunk is the data of one read and the earliest time to write it.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client net.Conn, offset float64, seed uint64) *link {
	return &link{
		proxy:  p,
		client: client,
		offset: offset,
		seed:   seed,
		done:   make(chan struct{}),
	}
}

func (l *link) run(ctx context.Context) {
	defer l.cut()
	// During a blackhole, a new connection is not forwarded to the target.
	if !l.awaitBlackholeEnd(forward) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", l.proxy.cfg.Target)
	if err != nil {
		l.proxy.log.Debug("target cannot be reached", "proxy", l.proxy.cfg.Name, "error", err)
		return
	}
	if !l.setTarget(target) {
		return
	}
	var group errgroup.Group
	group.Go(func() error { l.pump(forward, l.client, target); return nil })
	group.Go(func() error { l.pump(backward, target, l.client); return nil })
	_ = group.Wait()
	// Either both directions have reached the end of the stream, or the link is
	// already closed and this has no effect.
	l.close(func(c net.Conn) { _ = c.Close() })
}

func (l *link) setTarget(target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.targetReset {
		reset(target)
		return false
	}
	l.target = target
	return true
}

// cut resets both sides.
func (l *link) cut() { l.close(reset) }

// close calls closeSide for both sides, unless the link is already closed.
func (l *link) close(closeSide func(net.Conn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	closeSide(l.client)
	if l.target != nil {
		closeSide(l.target)
	}
}

func (l *link) resetTarget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targetReset = true
	if l.target != nil {
		reset(l.target)
	}
}

func (l *link) isHalfOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targetReset
}

// pump forwards the bytes of one direction until its source ends or fails. The
// end of the stream is forwarded; a failure resets both sides.
func (l *link) pump(dir direction, src, dst net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	var group errgroup.Group
	group.Go(func() error {
		defer close(chunks)
		return l.read(dir, src, chunks)
	})
	failed := false
	for c := range chunks {
		if !failed && !l.write(dir, dst, c) {
			failed = true
			if !l.isHalfOpen() {
				l.cut()
			}
		}
	}
	if err := group.Wait(); err != nil && !l.isHalfOpen() {
		l.cut()
	}
	if l.isHalfOpen() {
		if dir == forward {
			l.cut() // the client closed its side
		}
		// The backward direction waits until then, since the client must not
		// see that the target was reset.
		<-l.done
	}
	if l.awaitBlackholeEnd(dir) {
		if tcp, ok := dst.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

func (l *link) read(dir direction, src net.Conn, chunks chan<- chunk) error {
	rng := rand.New(rand.NewPCG(l.seed, uint64(dir)))
	var last time.Time
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		rules := l.proxy.Rules()
		path := rules.path(dir)
		if n > 0 {
			if rng.Float64() < path.DropFraction {
				l.proxy.countBroken()
				return io.ErrUnexpectedEOF
			}
			delay := float64(path.DelayMicros) + rng.Float64()*float64(path.JitterMicros) + l.offset*float64(rules.ReorderMicros)
			due := time.Now().Add(time.Duration(delay) * time.Microsecond)
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case chunks <- chunk{data: buf[:n], due: due}:
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

func (r Rules) path(dir direction) Path {
	if dir == forward {
		return r.Forward
	}
	return r.Backward
}

func (l *link) write(dir direction, dst net.Conn, c chunk) bool {
	if !l.sleep(time.Until(c.due)) {
		return false
	}
	if rate := l.proxy.Rules().path(dir).BytesPerSecond; rate > 0 {
		if !l.sleep(time.Duration(len(c.data)) * time.Second / time.Duration(rate)) {
			return false
		}
	}
	if !l.awaitBlackholeEnd(dir) {
		return false
	}
	// Counted before the write, so that Stats includes the bytes as soon as the
	// receiver has read them.
	l.proxy.countBytes(dir, len(c.data))
	_, err := dst.Write(c.data)
	return err == nil
}

// sleep reports false if the link is closed first.
func (l *link) sleep(d time.Duration) bool {
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

// awaitBlackholeEnd blocks while the direction has a blackhole. It reports false
// if the link is closed first.
func (l *link) awaitBlackholeEnd(dir direction) bool {
	for {
		active := l.proxy.currentRules()
		if !active.rules.path(dir).Blackhole {
			return true
		}
		select {
		case <-active.changed:
		case <-l.done:
			return false
		}
	}
}
