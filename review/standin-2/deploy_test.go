// Package standin_test plays the cases of the second review. Its test binary starts the
// project's programs as processes on loopback addresses, with settings as deploy/*.conf
// has them for a small deployment, and stand-ins of the platform's list, upstreams,
// callers and an operator, which do only what the users' pages allow.
package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the pages for deployments of the kind of demands/.
const (
	evacuationTime     = 5 * time.Second
	connectivityWindow = 5 * time.Second
	graceTime          = 6 * time.Second
	operatorTimeout    = time.Second // an operator moves on after a second without an answer
)

var zones = []string{"z1", "z2", "z3"}

// world is one deployment with its stand-ins.
type world struct {
	dir     string
	program string
	started time.Time

	recordMu sync.Mutex
	record   *os.File

	net      string // the first two bytes of all addresses
	port     int    // the first port between hosts
	controls []*process
	entries  []*process
	list     *lister
	leafs    []*leaf
	lastID   int
	idMu     sync.Mutex
}

// process is one of the project's programs.
type process struct {
	w        *world
	name     string
	role     string
	zone     string
	ip       string // the address for other hosts
	bound    string // the address on which it listens
	folder   string
	front    string
	ready    string
	operator string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed once the process has ended. stopping is set if the case ends it.
	ended    chan struct{}
	stopping bool
}

// notRun ends the case with the status for one that could not run.
func (w *world) notRun(format string, args ...any) {
	w.log("COULD NOT RUN: "+format, args...)
	panic(exitStatus(2))
}

type exitStatus int

func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.record, line)
}

// newWorld prepares a deployment with one control host in each zone and some entry hosts
// in each.
func newWorld(recordFile string, entriesPerZone int, proxied bool) *world {
	w := &world{started: time.Now()}
	var err error
	if w.record, err = os.Create(recordFile); err != nil {
		panic(err)
	}
	if w.program, err = filepath.Abs("target/tier"); err != nil {
		panic(err)
	}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		panic(err)
	}
	w.findPorts()
	for i, zone := range zones {
		w.controls = append(w.controls, w.newProcess("control", zone, 10+i, proxied))
	}
	for n := range entriesPerZone {
		for i, zone := range zones {
			w.entries = append(w.entries, w.newProcess("entry", zone, 100+10*n+i, false))
		}
	}
	w.list = newLister(w)
	return w
}

// findPorts chooses addresses that nobody uses.
func (w *world) findPorts() {
	for range 100 {
		w.net = fmt.Sprintf("127.%d", 64+rand.IntN(128))
		w.port = 12000 + rand.IntN(15000)
		free := true
		for _, offset := range []int{0, 100, 101, 102} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1.10:%d", w.net, w.port+offset))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return
		}
	}
	w.notRun("no free ports")
}

func (w *world) newProcess(role, zone string, number int, proxied bool) *process {
	p := &process{
		w:    w,
		name: fmt.Sprintf("%s-%s-%d", role, zone, number),
		role: role,
		zone: zone,
		ip:   fmt.Sprintf("%s.1.%d", w.net, number),
	}
	p.bound = p.ip
	if proxied {
		p.bound = fmt.Sprintf("%s.2.%d", w.net, number)
	}
	p.folder = filepath.Join(w.dir, p.name)
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		w.notRun("%v", err)
	}
	p.front = fmt.Sprintf("%s:%d", p.bound, w.port+100)
	p.ready = fmt.Sprintf("%s:%d", p.bound, w.port+101)
	p.operator = fmt.Sprintf("%s:%d", p.bound, w.port+102)
	return p
}

// link is the address of a process for other hosts.
func (p *process) link() string { return fmt.Sprintf("%s:%d", p.ip, p.w.port) }

// writeSettings writes what deploy/*.conf becomes once the platform has filled it in.
func (p *process) writeSettings(first bool) {
	w := p.w
	var seeds []string
	for _, c := range w.controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, w.port+102))
	}
	lines := []string{
		"name " + p.name, "domain " + p.zone, "ip " + p.ip,
		fmt.Sprintf("ports %d,%d", w.port, w.port+15),
		"seeds " + strings.Join(seeds, ","),
		fmt.Sprintf("metrics %s:%d", p.bound, w.port+103),
	}
	if p.bound != p.ip {
		lines = append(lines, "bind "+p.bound)
	}
	if p.role == "control" {
		lines = append(lines, "operator "+p.operator, "folder "+filepath.Join(p.folder, "data"),
			fmt.Sprintf("first %v", first), "lost 1", "list "+w.list.address, "memory 280", "descriptors 4096")
	} else {
		lines = append(lines, "front "+p.front, "ready "+p.ready, "extra-ratio 0.2", "extra-slack 158",
			"extra-window 10s", "grace 6s", "domains ,"+strings.Join(zones, ","), "memory 184", "descriptors 4100")
	}
	if err := os.WriteFile(filepath.Join(p.folder, "settings"), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		w.notRun("%v", err)
	}
}

func (p *process) start(first bool) {
	p.writeSettings(first)
	out, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.w.notRun("%v", err)
	}
	defer out.Close()
	cmd := exec.Command(p.w.program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "JUJUBETHREAD_CONFIG=" + filepath.Join(p.folder, "settings")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.w.notRun("%s does not start: %v", p.name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.stopping = cmd, ended, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		stopping := p.stopping
		p.mu.Unlock()
		if !stopping {
			p.w.log("%s ended by itself: %v", p.name, err)
		}
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping = true
	}
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// restart stops a process as the platform does, and starts it again.
func (p *process) restart() {
	p.w.log("%s: SIGTERM", p.name)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.w.log("%s: SIGKILL after the grace time", p.name)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	time.Sleep(200 * time.Millisecond)
	p.start(false)
	p.w.log("%s: started again", p.name)
}

// logText returns what a process has written.
func (p *process) logText() string {
	b, err := os.ReadFile(filepath.Join(p.folder, "log"))
	if err != nil {
		return ""
	}
	return string(b)
}

// startAll starts all processes and sends the first configuration until it is accepted.
func (w *world) startAll(config map[string]any) {
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		p.start(true)
	}
	w.putConfig(config, w.controls)
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				w.notRun("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log("all entry hosts are ready")
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + p.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// order sends an order as the operator does: to the first host, and after a second
// without an answer, a failure or a 5xx to the next ones, until it is acknowledged. The
// connection of an attempt without an answer is closed.
func (w *world) order(method, path string, body []byte, to []*process) time.Time {
	backoff := 50 * time.Millisecond
	for n := range 60 {
		c := to[n%len(to)]
		status, err := w.orderOnce(method, path, body, c)
		w.log("operator: %s %s to %s: %d %v", method, path, c.name, status, err)
		if status == http.StatusOK {
			return time.Now()
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			w.notRun("order refused with %d", status)
		}
		time.Sleep(backoff)
		backoff = min(backoff*2, 500*time.Millisecond)
	}
	w.notRun("order %s %s is not acknowledged", method, path)
	return time.Time{}
}

func (w *world) orderOnce(method, path string, body []byte, to *process) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.operator+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, nil
}

func (w *world) putConfig(config map[string]any, to []*process) time.Time {
	b, err := json.Marshal(config)
	if err != nil {
		w.notRun("%v", err)
	}
	return w.order(http.MethodPut, "/-/configuration", b, to)
}

var leadingLine = regexp.MustCompile(`(?m)^.*leader changed.*$`)

// leader returns the control host that leads, by what the control hosts log.
func (w *world) leader() *process {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		for _, c := range w.controls {
			lines := leadingLine.FindAllString(c.logText(), -1)
			if len(lines) == 0 {
				continue
			}
			last := lines[len(lines)-1]
			if strings.Contains(last, `"Leading":true`) || strings.Contains(last, "Leading=true") {
				return c
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.notRun("no control host leads")
	return nil
}

// close ends all processes.
func (w *world) close(keep bool) {
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if p.ended != nil {
			<-p.ended
		}
	}
	for _, l := range w.leafs {
		l.stop()
	}
	_ = w.record.Close()
	if !keep {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) nextID() string {
	w.idMu.Lock()
	defer w.idMu.Unlock()
	w.lastID++
	return fmt.Sprintf("9c41d07b%08x", w.lastID)
}
