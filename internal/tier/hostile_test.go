package tier_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/crowd"
)

// The settings of the entry host that hostile callers reach, and their numbers. The
// host's memory and descriptors must stay below the settings.
const (
	hostileMemory      = 64  // MB
	hostileDescriptors = 250 // of which callers get a part
	hostileClients     = 400
	hostileHead        = 16384
	hostileBody        = 262144

	// hostileHold is how long the connections stay open before the checks.
	hostileHold = 1500 * time.Millisecond
)

// hostileVariable replaces the numbers of clients, MB and descriptors in trials by hand,
// such as 1200,136,2870 for an entry host of a deployment.
const hostileVariable = "TIER_TEST_HOSTILE"

// hostileSystem starts a deployment with an entry host in a process of its own.
type hostileSystem struct {
	*system
	t       *testing.T
	daemon  *daemon
	address string
	// ready, metrics and link are the other addresses of the process.
	ready   string
	metrics string
	link    string
	clients int
	// descriptors is the largest number of open descriptors seen.
	descriptors int
	memory      int // MB
	limit       int // of descriptors
	// ordinary sends an ordinary request until it is answered.
	ordinary func()
}

func newHostileSystem(t *testing.T, work time.Duration) *hostileSystem {
	t.Helper()
	clients, memory, descriptors := hostileClients, hostileMemory, hostileDescriptors
	if by := os.Getenv(hostileVariable); by != "" {
		_, err := fmt.Sscanf(by, "%d,%d,%d", &clients, &memory, &descriptors)
		is.New(t).NoErr(err)
	}
	return newHostileSystemOf(t, work, clients, memory, descriptors)
}

func newHostileSystemOf(t *testing.T, work time.Duration, clients, memory, descriptors int) *hostileSystem {
	t.Helper()
	s := newSystem(t, work)
	limits := fmt.Sprintf(`"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`, hostileHead, hostileBody)
	doc := strings.Replace(document(5, "/x/"), `"Limits":{}`, limits, 1)
	is.New(t).Equal(s.putDocument(s.controls[0], doc), http.StatusOK)
	h := &hostileSystem{
		system:  s,
		t:       t,
		address: freeAddress(t),
		ready:   freeAddress(t),
		metrics: freeAddress(t),
		link:    fmt.Sprint("127.0.9.40:", s.port),
		clients: clients,
		memory:  memory,
		limit:   descriptors,
	}
	h.daemon = startDaemon(t, "entry", "-config", hostileSettings(t, memory, descriptors), "-name", "hostile", "-domain", "a", "-ip", "127.0.9.40",
		"-ports", fmt.Sprint(s.port), "-seeds", "127.0.9.1:1,127.0.9.2:1", "-front", h.address, "-ready", h.ready, "-metrics", h.metrics)
	waitReady(t, "http://"+h.ready+"/-/readiness")
	h.ordinary = func() { s.search(h.address, "/x/1", http.StatusOK) }
	h.ordinary()
	return h
}

// attack runs one function for each client at the same time, with a connection that
// stays open until the checks are done.
func (h *hostileSystem) attack(client func(c net.Conn, n int)) {
	var group sync.WaitGroup
	for n := range h.clients {
		group.Go(func() {
			c, err := net.Dial("tcp", h.address)
			if err != nil {
				return
			}
			h.t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(waitTimeout))
			client(c, n)
		})
	}
	h.watch(func() {
		group.Wait()
		time.Sleep(hostileHold)
	})
}

func (h *hostileSystem) process() crowd.Process { return crowd.Process(h.daemon.cmd.Process.Pid) }

// watch counts the descriptors of the process while a function runs.
func (h *hostileSystem) watch(run func()) {
	var done atomic.Bool
	go func() {
		run()
		done.Store(true)
	}()
	for !done.Load() {
		h.countDescriptors()
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *hostileSystem) countDescriptors() {
	h.descriptors = max(h.descriptors, h.process().Descriptors())
}

// check verifies that the process lives within its limits and serves.
func (h *hostileSystem) check() {
	h.t.Helper()
	h.countDescriptors()
	h.ordinary()
	select {
	case <-h.daemon.ended:
		h.t.Fatal("the process has ended")
	default:
	}
	peak, err := h.process().Peak()
	is.New(h.t).NoErr(err)
	h.t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak, h.memory, h.descriptors, h.limit)
	if peak > h.memory*memoryFactor {
		h.t.Errorf("peak memory %d MB is over %d MB", peak, h.memory*memoryFactor)
	}
	if h.descriptors > h.limit {
		h.t.Errorf("%d open descriptors are over %d", h.descriptors, h.limit)
	}
}

const hostileStart = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: h-%d\r\nDeadline-Milliseconds: 3000\r\n"

// Guards against heads of allowed size whose many lines cost far more than their bytes
// while they are not complete.
func TestUnfinishedHeadsOfManyLines(t *testing.T) {
	h := newHostileSystem(t, 0)
	lines := crowd.ShortLines(hostileHead - 128)
	h.attack(func(c net.Conn, n int) {
		_, _ = fmt.Fprintf(c, hostileStart, n)
		_, _ = c.Write(lines)
	})
	h.check()
}

// Guards against the same heads in complete requests that run at once.
func TestRequestsOfManyLines(t *testing.T) {
	h := newHostileSystem(t, time.Second)
	lines := crowd.ShortLines(hostileHead - 128)
	h.attack(func(c net.Conn, n int) {
		for range 3 {
			_, err := fmt.Fprintf(c, hostileStart+"%s\r\n", n, lines)
			if err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1))
	})
	h.check()
}

// Guards against heads over the limit that never end.
func TestHeadsWithoutEnd(t *testing.T) {
	h := newHostileSystem(t, 0)
	lines := crowd.ShortLines(hostileHead)
	h.attack(func(c net.Conn, n int) {
		_, _ = fmt.Fprintf(c, hostileStart, n)
		for range 64 {
			if _, err := c.Write(lines); err != nil {
				return
			}
		}
	})
	h.check()
}

// Guards against connections that send empty lines and never a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	h := newHostileSystem(t, 0)
	lines := bytes.Repeat([]byte("\r\n"), 8<<10)
	h.attack(func(c net.Conn, _ int) {
		for range 20 {
			for range 64 {
				if _, err := c.Write(lines); err != nil {
					break
				}
			}
			next, err := net.Dial("tcp", h.address)
			if err != nil {
				return
			}
			_ = c.Close()
			c = next
		}
		_ = c.Close()
	})
	h.check()
}

// Guards against bodies of allowed size that stop just short of their end and stay
// open.
func TestUnfinishedBodies(t *testing.T) {
	for name, piece := range map[string]int{
		"whole":     hostileBody,
		"in pieces": 4 << 10,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHostileSystem(t, 0)
			body := make([]byte, hostileBody-1)
			h.attack(func(c net.Conn, n int) {
				_, _ = fmt.Fprintf(c, hostileStart+"Content-Length: %d\r\n\r\n", n, hostileBody)
				for rest := body; len(rest) > 0; {
					size := min(piece, len(rest))
					if _, err := c.Write(rest[:size]); err != nil {
						return
					}
					rest = rest[size:]
					if piece < hostileBody {
						time.Sleep(time.Millisecond)
					}
				}
			})
			h.check()
		})
	}
}

// Guards against many complete requests with bodies of allowed size, with and without
// a stated length, that run at once.
func TestRequestsWithLargeBodies(t *testing.T) {
	h := newHostileSystem(t, time.Second)
	body := make([]byte, hostileBody-64)
	h.attack(func(c net.Conn, n int) {
		head := fmt.Sprintf(hostileStart, n)
		if n%2 == 0 {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, len(body))
			_, _ = c.Write(body)
		} else {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, len(body))
			_, _ = c.Write(body)
			_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1))
	})
	h.check()
}

// Guards against bounds that refuse what the limits allow while there is no overload.
func TestRequestOfManyLinesIsServed(t *testing.T) {
	h := newHostileSystem(t, 20*time.Millisecond)
	is := is.New(t)
	lines := bytes.Repeat([]byte("a:b\r\n"), (hostileHead-256)/5)
	req := fmt.Appendf(nil, hostileStart+"%s\r\n", 1, lines)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(waitTimeout)))
	served := make(chan string, 1)
	go func() {
		_, _ = c.Write(req)
		start := make([]byte, 12)
		_, _ = io.ReadFull(c, start)
		served <- string(start)
	}()
	h.search(h.address, "/x/1", http.StatusOK)
	is.Equal(<-served, "HTTP/1.1 200")
	h.check()
}
