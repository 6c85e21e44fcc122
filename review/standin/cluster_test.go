package standin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cluster is a small deployment on loopback: control hosts and entry hosts as
// processes, the platform's list, and leafs.
type cluster struct {
	rec     *record
	trouble bool
	dir     string
	net     int // second byte of all addresses
	zones   int

	frontPort, readyPort, controlPort, linkPort int

	list net.Listener
	// oddEntry, if set, is an entry of another writer in the platform's list.
	oddEntry string
	controls []*machine
	entries  []*machine

	mu      sync.Mutex
	leafs   []*leaf
	killers []func()
}

// machine is one machine of the deployment with one process.
type machine struct {
	cluster *cluster
	name    string
	role    string
	zone    string
	ip      string
	folder  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// inCluster runs a case and then ends all processes that it started.
func inCluster(rec *record, trouble bool, run func(*cluster) ([]string, error)) ([]string, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &cluster{
		rec:     rec,
		trouble: trouble,
		dir:     dir,
		zones:   3,
	}
	if err := c.choosePorts(); err != nil {
		return nil, err
	}
	if err := c.serveList(); err != nil {
		return nil, err
	}
	defer c.close()
	rec.write("trouble: %v", trouble)
	return run(c)
}

func (c *cluster) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, group, number)
}

// choosePorts finds a loopback network and ports, the same on all machines, that
// are free.
func (c *cluster) choosePorts() error {
	for range 50 {
		c.net = 20 + rand.IntN(200)
		c.linkPort = 15000 + 20*rand.IntN(800)
		c.frontPort, c.readyPort, c.controlPort = c.linkPort+16, c.linkPort+17, c.linkPort+18
		free := true
		for _, group := range []int{1, 2, 3, 4} {
			for port := c.linkPort; port < c.linkPort+19; port++ {
				lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(group, 1), port))
				if err != nil {
					free = false
					break
				}
				lis.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports were found")
}

func (c *cluster) close() {
	for _, m := range append(append([]*machine{}, c.entries...), c.controls...) {
		m.kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.killers {
		k()
	}
	c.list.Close()
}

// serveList serves the platform's list, in pages of 50.
func (c *cluster) serveList() error {
	lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(9, 1), c.controlPort))
	if err != nil {
		return err
	}
	c.list = lis
	go http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:errcheck // ends with the listener
		first := 0
		_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &first)
		c.mu.Lock()
		defer c.mu.Unlock()
		var page []string
		var next any
		n := 0
		for _, l := range c.leafs {
			if !l.listed {
				continue
			}
			if n++; n <= first {
				continue
			}
			if len(page) == 50 {
				next = fmt.Sprintf("p-%d", first+50)
				break
			}
			state := "ready"
			if l.draining {
				state = "draining"
			}
			raw, _ := json.Marshal(map[string]any{
				"Id":              l.id,
				"Service":         l.service,
				"Address":         l.address,
				"Zone":            l.zone,
				"Version":         "v1",
				"Slots":           l.slots,
				"State":           state,
				"ColdRemainingMs": 0,
				"born":            l.born,
			})
			page = append(page, string(raw))
		}
		if c.oddEntry != "" && first == 0 {
			page = slices.Insert(page, 1, c.oddEntry)
		}
		w.Header().Set("Content-Type", "application/json")
		nextPage, _ := json.Marshal(next)
		fmt.Fprintf(w, `{"Instances":[%s],"NextPageToken":%s}`, strings.Join(page, ","), nextPage)
	}))
	return nil
}

// zones are the names of zones; a cluster uses the first ones.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// start starts three control hosts and the entry hosts, one in each zone in turn,
// and waits until all are ready under the first configuration.
func (c *cluster) start(entries int, document string) error {
	for i := range 3 {
		c.controls = append(c.controls, c.newMachine("control", zones[i], i+1, 1))
	}
	for i := range entries {
		zone := i % c.zones
		c.entries = append(c.entries, c.newMachine("entry", zones[zone], zone+1, 2+i/c.zones))
	}
	for _, m := range append(append([]*machine{}, c.controls...), c.entries...) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	if err := c.configure(document); err != nil {
		return err
	}
	for _, m := range c.entries {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // all hosts know each other
	return nil
}

func (c *cluster) newMachine(role, zone string, group, number int) *machine {
	m := &machine{
		cluster: c,
		name:    fmt.Sprintf("%s-%s-%d", role, zone, number),
		role:    role,
		zone:    zone,
		ip:      c.ip(group, number),
	}
	m.folder = filepath.Join(c.dir, m.name)
	_ = os.MkdirAll(filepath.Join(m.folder, "data"), 0o755)
	return m
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (m *machine) writeSettings(first bool) error {
	c := m.cluster
	template, err := os.ReadFile(filepath.Join("deploy", m.role+".conf"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range c.controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, c.controlPort))
	}
	fields := map[string]string{
		"NodeName":                fmt.Sprint(m.name),
		"Zone":                    m.zone,
		"Ip":                      m.ip,
		"InternalPortRange":       fmt.Sprintf("%d,%d", c.linkPort, c.linkPort+15),
		"ListenAddresses.Front":   fmt.Sprintf("%s:%d", m.ip, c.frontPort),
		"ListenAddresses.Ready":   fmt.Sprintf("%s:%d", m.ip, c.readyPort),
		"ListenAddresses.Control": fmt.Sprintf("%s:%d", m.ip, c.controlPort),
		"DataDirectory":           filepath.Join(m.folder, "data"),
		"SeedNodes":               strings.Join(seeds, ","),
		"Bootstrap":               fmt.Sprint(first),
		"FaultTolerance.Machines": "1",
		"CloudApi.Address":        c.list.Addr().String(),
		"Bounds.RetryBudgetRatio": "0.2",
		"Bounds.RetryBudgetSlack": "129",
		"Bounds.BudgetWindowS":    "10",
		"Bounds.GraceS":           "6",
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		v, ok := fields[p[2:len(p)-2]]
		if !ok {
			missing = p
		}
		return v
	})
	if missing != "" {
		return fmt.Errorf("the template names %s, which this stand-in does not fill in", missing)
	}
	return os.WriteFile(m.settings(), []byte(text), 0o600)
}

func (m *machine) settings() string { return filepath.Join(m.folder, "settings") }

// start starts the process with the command of the deploy file.
func (m *machine) start(first bool) error {
	if err := m.writeSettings(first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/tier", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "JUJUBETHREAD_CONFIG=" + m.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cluster.rec.write("%s starts as process %d", m.name, cmd.Process.Pid)
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() {
		err := cmd.Wait()
		m.cluster.rec.write("%s has ended: %v", m.name, err)
		close(done)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cluster.rec.write("%s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s) // it may have ended
}

func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-done
}

// alive reports whether the process runs.
func (m *machine) alive() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

func (m *machine) frontAddress() string { return fmt.Sprintf("%s:%d", m.ip, m.cluster.frontPort) }

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", m.ip, m.cluster.readyPort))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			m.cluster.rec.write("%s is ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", m.name, within)
}

// configure sends a configuration to control hosts in turn until one accepts it.
func (c *cluster) configure(document string) error {
	client := http.Client{Timeout: time.Second}
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end); i++ {
		m := c.controls[i%len(c.controls)]
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/-/configuration", m.ip, c.controlPort), strings.NewReader(document))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		if res, err := client.Do(req); err == nil {
			reason, _ := io.ReadAll(res.Body)
			res.Body.Close()
			switch res.StatusCode {
			case http.StatusOK:
				c.rec.write("the configuration is acknowledged by %s", m.name)
				return nil
			case http.StatusBadRequest:
				return fmt.Errorf("the configuration is refused: %s", bytes.TrimSpace(reason))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no control host acknowledges the configuration")
}

// route is a route of a configuration; service has its name for one leaf, shards
// for a query over many.
type route struct {
	prefix  string
	kind    string
	service string
	shards  []string
	// attempts is the number of leafs that a request may be sent to, 2 if not set.
	attempts int
	timeout  int // milliseconds
	target   int // milliseconds
}

// routeHost is the host name of all routes.
const routeHost = "review.example"

// document returns a configuration with the limits of a small deployment.
func document(version int, maxConnections int, routes ...route) string {
	var list, services []map[string]any
	known := make(map[string]bool)
	for i, r := range routes {
		entry := map[string]any{
			"Name":            fmt.Sprintf("r-%d", i),
			"Host":            routeHost,
			"PathPrefix":      r.prefix,
			"Kind":            r.kind,
			"TimeoutMs":       r.timeout,
			"TargetLatencyMs": r.target,
			"Priority":        1,
			"MaxAttempts":     cmp.Or(r.attempts, 2),
		}
		names := r.shards
		if r.service != "" {
			entry["Service"], names = r.service, []string{r.service}
		} else {
			entry["Gather"], entry["TopK"], entry["MinShardRatio"] = r.shards, 10, 0.89
		}
		list = append(list, entry)
		for _, n := range names {
			if !known[n] {
				known[n] = true
				services = append(services, map[string]any{
					"Name":            n,
					"HealthCheckPath": "/health",
					"MaxConnections":  maxConnections,
					"Protocol":        "h1",
					"Tls":             false,
				})
			}
		}
	}
	raw, _ := json.Marshal(map[string]any{
		"Version":  version,
		"Routes":   list,
		"Services": services,
		"Limits": map[string]any{
			"MaxHeaderBytes":  16384,
			"MaxBodyBytes":    262144,
			"HeaderTimeoutMs": 3000,
			"IdleTimeoutMs":   15000,
		},
	})
	return string(raw)
}
