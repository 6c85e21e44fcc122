package soak_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
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

	// handlerDelay is how long a process that has just started may be without
	// handlers of signals.
	handlerDelay = time.Second

	// restartDelay is how long after an unexpected exit a process is restarted.
	restartDelay = 300 * time.Millisecond
)

// host is one process of the real program, with a fault proxy in front of its
// link port.
type host struct {
	cluster *cluster
	name    string
	role    string
	domain  string
	ip      string // the proxy's address, used by other hosts
	bound   string // the address on which the process listens
	folder  string
	program string // replaces the real program if set
	proxy   *fault.Proxy

	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{}
	exitExpected bool // set if the test stops the process
	startedAt    time.Time
	logStart     int64 // how long the log was when the process started
	exitErr      error // how the process ended, nil for status 0
	// faultEnd is when the last fault of this host ends; plannedEnd is the same
	// for planned work: SIGTERM, SIGHUP and changed settings.
	faultEnd   time.Time
	plannedEnd time.Time
}

func (cl *cluster) newHost(role, domain string, net, number int) *host {
	h := &host{
		cluster: cl,
		name:    fmt.Sprintf("%s-%s-%d", role, domain, number),
		role:    role,
		domain:  domain,
		ip:      cl.ip(net, number),
		bound:   cl.ip(net+1, number),
		folder:  filepath.Join(cl.dir, fmt.Sprintf("%s-%d", role, number)),
	}
	if err := os.MkdirAll(h.folder, 0o755); err != nil {
		cl.t.Fatal(err)
	}
	var err error
	h.proxy, err = fault.New(fault.Config{
		Name:   h.name,
		Listen: fmt.Sprintf("%s:%d", h.ip, linkPort),
		Target: fmt.Sprintf("%s:%d", h.bound, linkPort),
		Log:    slog.New(slog.DiscardHandler),
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.background(func(ctx context.Context) { _ = h.proxy.Run(ctx) }) // ends with ctx
	cl.forwardDatagrams(h)
	return h
}

func (h *host) frontURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", h.bound, frontPort, path)
}

func (h *host) operatorURL() string {
	return fmt.Sprintf("http://%s:%d/-/configuration", h.bound, operatorPort)
}

// writeSettings writes the settings file. The seeds are the first 3 control
// hosts, rotated by the given number.
func (h *host) writeSettings(bootstrap bool, rotate int) {
	cl := h.cluster
	var seeds []string
	for i := range min(3, len(cl.controls)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", cl.controls[(i+rotate)%min(3, len(cl.controls))].ip, operatorPort))
	}
	lines := []string{
		"name " + h.name, "domain " + h.domain, "ip " + h.ip, "bind " + h.bound,
		fmt.Sprintf("ports %d,%d", linkPort, linkPort),
		"seeds " + strings.Join(seeds, ","),
	}
	if h.role == "control" {
		lines = append(lines, fmt.Sprintf("operator %s:%d", h.bound, operatorPort), "folder "+filepath.Join(h.folder, "data"),
			fmt.Sprintf("first %v", bootstrap), "lost 1", "list "+cl.list.Listener.Addr().String())
	} else {
		lines = append(lines, fmt.Sprintf("front %s:%d", h.bound, frontPort), fmt.Sprintf("ready %s:%d", h.bound, readyPort),
			fmt.Sprintf("extra-ratio %v", extraRatio), fmt.Sprintf("extra-slack %v", extraSlack), "extra-window "+extraWindow.String(),
			"grace "+graceTime.String())
	}
	if err := os.WriteFile(h.settingsFile(), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		h.cluster.t.Error(err)
	}
}

func (h *host) settingsFile() string { return filepath.Join(h.folder, "settings") }

func (h *host) logFile() string { return filepath.Join(h.folder, "log") }

// start starts the process; watchExit restarts it if it ends unexpectedly.
func (h *host) start() {
	log, err := os.OpenFile(h.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.cluster.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	written, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		h.cluster.t.Error(err)
		return
	}
	cmd := exec.Command(cmp.Or(h.program, binary), h.role, "-config", h.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process if the test is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := cmd.Start(); err != nil {
		h.cluster.t.Error(err)
		return
	}
	done := make(chan struct{})
	h.cmd, h.done, h.exitExpected, h.startedAt, h.exitErr = cmd, done, false, time.Now(), nil
	h.logStart = written
	h.cluster.operator.forget(h.name)
	h.cluster.group.Go(func() { h.watchExit(cmd, done) })
}

// watchExit records an unexpected exit of the process as a violation and
// restarts the process.
func (h *host) watchExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	exitExpected := h.exitExpected
	h.exitErr = err
	close(done)
	h.mu.Unlock()
	if exitExpected || h.cluster.ctx.Err() != nil {
		return
	}
	text, _ := os.ReadFile(h.logFile())
	h.cluster.history.violation(ruleExit, "%s exited unexpectedly: %v\n%s", h.name, err, text[max(0, len(text)-2000):])
	pause(h.cluster.ctx, restartDelay)
	if h.cluster.ctx.Err() == nil {
		h.start()
	}
}

// exitError returns how the process ended; it is nil for status 0, and for a process
// that SIGTERM ended before it could handle signals.
func (h *host) exitError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var exit *exec.ExitError
	if errors.As(h.exitErr, &exit) && time.Since(h.startedAt) < handlerDelay {
		if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signal() == syscall.SIGTERM {
			return nil
		}
	}
	return h.exitErr
}

// awaitHandlers waits until the process has written a log line, or has ended, but no
// longer than handlerDelay after its start. The daemons catch SIGHUP before they write.
// Earlier it ends every Go program, at whatever time its main function asks for it.
func (h *host) awaitHandlers() {
	h.mu.Lock()
	logStart, limit, done := h.logStart, h.startedAt.Add(handlerDelay), h.done
	h.mu.Unlock()
	for time.Now().Before(limit) {
		if info, err := os.Stat(h.logFile()); err == nil && info.Size() > logStart {
			return
		}
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// age returns how long ago the process started.
func (h *host) age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt).Round(time.Millisecond)
}

// awaitLog waits until the process has written a text.
func (h *host) awaitLog(text string) {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if raw, err := os.ReadFile(h.logFile()); err == nil && strings.Contains(string(raw), text) {
			return
		}
	}
	h.cluster.t.Errorf("%s did not write %q", h.name, text)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // it may have exited
	}
}

// terminate sends a signal to the process and waits for its exit. A process
// still running after the time limit is killed; terminate then returns false.
func (h *host) terminate(s syscall.Signal, within time.Duration) bool {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.exitExpected = true
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

// fillDisk makes every write beyond the first byte of a file fail, as on a full disk,
// or ends that. The process is expected to run on.
func (h *host) fillDisk(full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := unix.Rlimit{
		Cur: unix.RLIM_INFINITY,
		Max: unix.RLIM_INFINITY,
	}
	if full {
		limit.Cur = 1
	}
	if err := unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		h.cluster.t.Error(err)
	}
}

// limitFileSize makes every write beyond the first byte of a file fail, as on a
// full disk, until the process starts again.
func (h *host) limitFileSize() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitExpected = true // a process that cannot write may exit
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		h.cluster.t.Error(err)
	}
}

// recordFault records that a fault, or planned work, affects this host for d
// from now on.
func (h *host) recordFault(d time.Duration, plannedWork bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Now().Add(d)
	if plannedWork {
		h.plannedEnd = later(h.plannedEnd, end)
		return
	}
	h.faultEnd = later(h.faultEnd, end)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// faultFree returns how long the host has been without faults. With planned,
// planned work counts as a fault.
func (h *host) faultFree(planned bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.faultEnd
	if planned {
		last = later(last, h.plannedEnd)
	}
	return time.Since(last)
}

// forwardDatagrams forwards UDP datagrams to and from a host, since its proxy
// forwards only TCP connections. It follows the delay and the blackhole rules
// of the proxy.
func (cl *cluster) forwardDatagrams(h *host) {
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP:   net.ParseIP(h.ip),
		Port: linkPort,
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	to := &net.UDPAddr{
		IP:   net.ParseIP(h.bound),
		Port: linkPort,
	}
	cl.background(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	cl.background(func(ctx context.Context) {
		replyConns := make(map[string]*net.UDPConn)
		b := make([]byte, 2048)
		for ctx.Err() == nil {
			n, from, err := listener.ReadFromUDP(b)
			if err != nil {
				continue
			}
			conn := replyConns[from.String()]
			if conn == nil {
				if conn, err = net.DialUDP("udp4", nil, to); err != nil {
					continue
				}
				replyConns[from.String()] = conn
				cl.background(func(ctx context.Context) {
					<-ctx.Done()
					_ = conn.Close()
				})
				go relayReplies(listener, conn, from, h)
			}
			if h.passes() {
				_, _ = conn.Write(b[:n]) // datagrams are best effort
			}
		}
	})
}

func relayReplies(listener, conn *net.UDPConn, from *net.UDPAddr, h *host) {
	b := make([]byte, 2048)
	for {
		n, err := conn.Read(b)
		if err != nil {
			if h.cluster.ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // no listener while the process is down
			continue
		}
		if h.passes() {
			_, _ = listener.WriteToUDP(b[:n], from) // datagrams are best effort
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
