package soak_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubethread/jujubethread/internal/fault"
)

const (
	linkPort     = 7400
	frontPort    = 8104
	readyPort    = 8108
	operatorPort = 8106

	graceTime = 6 * time.Second

	// restartTime is how soon a process that has ended is started again.
	restartTime = 300 * time.Millisecond
)

// host is one process of the real program with a proxy before its link port.
type host struct {
	world  *world
	name   string
	role   string
	domain string
	ip     string // where other hosts reach it, through the proxy
	bound  string // where it listens
	folder string
	proxy  *fault.Proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool // its end was caused by the soak
	// until is when the last fault on this host ends, planned when the last
	// SIGTERM or SIGHUP does.
	until   time.Time
	planned time.Time
}

func (w *world) newHost(role, domain string, net, number int) *host {
	h := &host{
		world:  w,
		name:   fmt.Sprintf("%s-%s-%d", role, domain, number),
		role:   role,
		domain: domain,
		ip:     w.ip(net, number),
		bound:  w.ip(net+1, number),
		folder: filepath.Join(w.dir, fmt.Sprintf("%s-%d", role, number)),
	}
	if err := os.MkdirAll(h.folder, 0o755); err != nil {
		w.t.Fatal(err)
	}
	var err error
	h.proxy, err = fault.New(fault.Config{
		Name:   h.name,
		Listen: fmt.Sprintf("%s:%d", h.ip, linkPort),
		Target: fmt.Sprintf("%s:%d", h.bound, linkPort),
		Log:    slog.New(slog.DiscardHandler),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.background(func(ctx context.Context) { _ = h.proxy.Run(ctx) }) // ends with ctx
	w.forwardDatagrams(h)
	return h
}

func (h *host) frontURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", h.bound, frontPort, path)
}

func (h *host) operatorURL() string {
	return fmt.Sprintf("http://%s:%d/-/configuration", h.bound, operatorPort)
}

// settings writes the settings file with the control hosts as seeds, rotated.
func (h *host) settings(first bool, rotate int) {
	w := h.world
	var seeds []string
	for i := range min(3, len(w.controls)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.controls[(i+rotate)%min(3, len(w.controls))].ip, operatorPort))
	}
	lines := []string{
		"name " + h.name, "domain " + h.domain, "ip " + h.ip, "bind " + h.bound,
		fmt.Sprintf("ports %d,%d", linkPort, linkPort),
		"seeds " + strings.Join(seeds, ","),
	}
	if h.role == "control" {
		lines = append(lines, fmt.Sprintf("operator %s:%d", h.bound, operatorPort), "folder "+filepath.Join(h.folder, "data"),
			fmt.Sprintf("first %v", first), "lost 1", "list "+w.list.Listener.Addr().String())
	} else {
		lines = append(lines, fmt.Sprintf("front %s:%d", h.bound, frontPort), fmt.Sprintf("ready %s:%d", h.bound, readyPort),
			fmt.Sprintf("extra-ratio %v", extraRatio), fmt.Sprintf("extra-slack %v", extraSlack), "extra-window "+extraWindow.String(),
			"grace "+graceTime.String())
	}
	if err := os.WriteFile(h.file(), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		h.world.t.Error(err)
	}
}

func (h *host) file() string { return filepath.Join(h.folder, "settings") }

func (h *host) logFile() string { return filepath.Join(h.folder, "log") }

// start runs the process until it ends or is ended.
func (h *host) start() {
	log, err := os.OpenFile(h.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.world.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }() // the process has its own
	cmd := exec.Command(binary, h.role, "-config", h.file())
	cmd.Stdout, cmd.Stderr = log, log
	// A soak that is killed takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := cmd.Start(); err != nil {
		h.world.t.Error(err)
		return
	}
	done := make(chan struct{})
	h.cmd, h.done, h.expected = cmd, done, false
	h.world.operator.restarted(h.name)
	go h.watch(cmd, done)
}

// watch notes a process that ends by itself and starts it again.
func (h *host) watch(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	expected := h.expected
	close(done)
	h.mu.Unlock()
	if expected || h.world.ctx.Err() != nil {
		return
	}
	text, _ := os.ReadFile(h.logFile())
	h.world.ledger.fault(exit, "%s ended by itself: %v\n%s", h.name, err, text[max(0, len(text)-2000):])
	time.Sleep(restartTime)
	h.start()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // it may have ended
	}
}

// end signals the process, and waits until it has ended or the time is over.
func (h *host) end(s syscall.Signal, within time.Duration) bool {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.expected = true
	h.mu.Unlock()
	if cmd == nil {
		return true
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-done:
		return true
	case <-time.After(within):
		_ = cmd.Process.Kill()
		<-done
		return false
	}
}

// limitFiles makes every write beyond the first byte of a file fail, as on a
// full disk, until the process starts again.
func (h *host) limitFiles() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected = true // a process that cannot write may end
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		h.world.t.Error(err)
	}
}

// disturb notes a fault on this host for a while from now on.
func (h *host) disturb(d time.Duration, plannedWork bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Now().Add(d)
	if plannedWork {
		h.planned = later(h.planned, end)
		return
	}
	h.until = later(h.until, end)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// calmFor returns how long the host has been without faults; planned work
// counts as one unless it is left out.
func (h *host) calmFor(planned bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.until
	if planned {
		last = later(last, h.planned)
	}
	return time.Since(last)
}

// forwardDatagrams passes datagrams to a host on, as its proxy does for
// connections, while the proxy's rules hold nothing back.
func (w *world) forwardDatagrams(h *host) {
	front, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP:   net.ParseIP(h.ip),
		Port: linkPort,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	to := &net.UDPAddr{
		IP:   net.ParseIP(h.bound),
		Port: linkPort,
	}
	w.background(func(ctx context.Context) {
		<-ctx.Done()
		_ = front.Close()
	})
	w.background(func(ctx context.Context) {
		back := make(map[string]*net.UDPConn)
		b := make([]byte, 2048)
		for ctx.Err() == nil {
			n, from, err := front.ReadFromUDP(b)
			if err != nil {
				continue
			}
			conn := back[from.String()]
			if conn == nil {
				if conn, err = net.DialUDP("udp4", nil, to); err != nil {
					continue
				}
				back[from.String()] = conn
				w.background(func(ctx context.Context) {
					<-ctx.Done()
					_ = conn.Close()
				})
				go answerDatagrams(front, conn, from, h)
			}
			if h.passes() {
				_, _ = conn.Write(b[:n]) // datagrams may be lost
			}
		}
	})
}

func answerDatagrams(front, conn *net.UDPConn, from *net.UDPAddr, h *host) {
	b := make([]byte, 2048)
	for {
		n, err := conn.Read(b)
		if err != nil {
			if h.world.ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // no listener while the process is down
			continue
		}
		if h.passes() {
			_, _ = front.WriteToUDP(b[:n], from) // datagrams may be lost
		}
	}
}

func (h *host) passes() bool {
	r := h.proxy.Rules()
	if d := time.Duration(r.Forward.DelayMicros) * time.Microsecond; d > 0 {
		time.Sleep(d)
	}
	return !r.Forward.Blackhole && !r.Backward.Blackhole
}
