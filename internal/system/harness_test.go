package system_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/admin"
	"github.com/jujubethread/jujubethread/internal/fault"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	waitLimit    = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "jujubethread-system-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "jujubethread")
	out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput()
	if err != nil {
		panic("the program does not build: " + string(out))
	}
	// Daemons would inherit an ignored SIGHUP, as under nohup, and none could end of it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one process of the program; it can be killed and started again
// with the same arguments.
type process struct {
	t    *testing.T
	args []string
	cmd  *exec.Cmd
	log  *os.File
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{
		t:    t,
		args: args,
	}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			text, _ := os.ReadFile(p.log.Name())
			t.Logf("%s:\n%s", strings.Join(p.args[:3], " "), tail(text))
		}
	})
	return p
}

func tail(b []byte) []byte { return b[max(0, len(b)-4000):] }

func (p *process) start() {
	p.t.Helper()
	var err error
	p.log, err = os.CreateTemp(p.t.TempDir(), "log-")
	is.New(p.t).NoErr(err)
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	is.New(p.t).NoErr(p.cmd.Start())
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	if p.cmd.ProcessState == nil {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
}

// wait waits for the process to exit and returns its exit status.
func (p *process) wait() int {
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// system is a small deployment of real processes: 3 control hosts, 2 entry
// hosts and 2 services of 2 upstreams in 2 domains. Other hosts connect to
// each control host through a fault proxy.
type system struct {
	t             *testing.T
	proxies       []*fault.Proxy
	controls      []*process
	entries       []*process
	leaves        []*process
	operatorAddrs []string // of the operator APIs of the control hosts
	callerAddrs   []string // of the entry hosts, for callers
	peerAddrs     []string // of the entry hosts, for peers
	faultAddrs    []string // of the upstreams, for fault settings and statistics
	client        *admin.Client
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t}
	s.startControls(3)
	s.startLeaves()
	s.startEntries(2)
	s.client = admin.NewClient(admin.Config{
		Controls: s.operatorAddrs,
		Timeout:  waitLimit,
	})
	for _, u := range s.upstreams() {
		s.change(config.AddUpstream{Upstream: u})
	}
	for i := range s.callerAddrs {
		s.awaitAnswer(i, func(a wire.SearchAnswer) bool { return a.Outcome == engine.Done })
	}
	return s
}

func (s *system) startControls(n int) {
	s.t.Helper()
	is := is.New(s.t)
	var group []string
	var folders, links []string
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	for i := range n {
		folder := filepath.Join(s.t.TempDir(), "data")
		id, err := exec.Command(binary, "control", "id", "-data", folder).Output()
		is.NoErr(err)
		link := freeAddress(s.t)
		p, err := fault.New(fault.Config{
			Name:   fmt.Sprintf("control-%d", i+1),
			Listen: "127.0.0.1:0",
			Target: link,
		})
		is.NoErr(err)
		go func() { _ = p.Run(ctx) }()
		s.proxies = append(s.proxies, p)
		folders, links = append(folders, folder), append(links, link)
		group = append(group, strings.TrimSpace(string(id))+"="+p.Address())
	}
	for i := range n {
		s.operatorAddrs = append(s.operatorAddrs, freeAddress(s.t))
		s.controls = append(s.controls, startProcess(s.t, "control", "-host", fmt.Sprintf("c%d", i+1), "-domain", "d1",
			"-listen", s.operatorAddrs[i], "-link-listen", links[i], "-data", folders[i], "-bootstrap", strings.Join(group, ",")))
	}
}

func (s *system) startLeaves() {
	for i, u := range s.upstreams() {
		s.faultAddrs = append(s.faultAddrs, freeAddress(s.t))
		s.leaves = append(s.leaves, startProcess(s.t, "leaf", "-host", string(u.ID), "-domain", string(u.Domain),
			"-listen", u.Address, "-fault-listen", s.faultAddrs[i], "-index", string(u.Index), "-service", string(u.Service),
			"-shards", string(u.Shards[0]), "-service-time", "2ms", "-conn-cost", "1ms"))
	}
}

var addresses = map[*testing.T][]string{}

// upstreams returns the upstreams of the deployment. Their addresses are chosen
// in the first call of a test and are the same in later calls.
func (s *system) upstreams() []config.Upstream {
	if addresses[s.t] == nil {
		for range 4 {
			addresses[s.t] = append(addresses[s.t], freeAddress(s.t))
		}
	}
	var list []config.Upstream
	for i, a := range addresses[s.t] {
		service := i/2 + 1
		list = append(list, config.Upstream{
			ID:        ident.Upstream(fmt.Sprintf("leaf-%d-%d", service, i%2+1)),
			Address:   a,
			Domain:    ident.Domain(fmt.Sprintf("d%d", i%2+1)),
			Index:     "papers",
			Service:   ident.Service(fmt.Sprintf("papers-%d", service)),
			Shards:    []ident.Shard{ident.Shard(fmt.Sprintf("papers/%d", service))},
			Slots:     2,
			ConnLimit: 50,
			Phase:     config.Active,
		})
	}
	return list
}

func (s *system) startEntries(n int) {
	var controls []string
	for _, p := range s.proxies {
		controls = append(controls, p.Address())
	}
	for i := range n {
		s.callerAddrs = append(s.callerAddrs, freeAddress(s.t))
		s.peerAddrs = append(s.peerAddrs, freeAddress(s.t))
		s.entries = append(s.entries, startProcess(s.t, "entry", "-host", fmt.Sprintf("e%d", i+1), "-domain", fmt.Sprintf("d%d", i%2+1),
			"-listen", s.callerAddrs[i], "-link-listen", s.peerAddrs[i], "-control", strings.Join(controls, ","), "-grace", "300ms"))
	}
}

// change retries a configuration change until it is accepted, and fails the test
// after waitLimit.
func (s *system) change(c config.Change) config.Outcome {
	s.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		_, out, err := s.client.Run(context.Background(), "", nil, c)
		if err == nil && out.Kind == config.Accepted {
			return out
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("change %+v was not accepted in %s: %+v, %v", c, waitLimit, out, err)
		}
		time.Sleep(pollInterval)
	}
}

// awaitAnswer repeats a search through an entry host until want reports true,
// and fails the test after waitLimit.
func (s *system) awaitAnswer(entry int, want func(wire.SearchAnswer) bool) wire.SearchAnswer {
	s.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		a, err := search(s.callerAddrs[entry])
		if err == nil && want(a) {
			return a
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("entry host %d did not give the expected answer in %s, last: %+v, %v", entry+1, waitLimit, a, err)
		}
		time.Sleep(pollInterval)
	}
}

// leader returns the index of the control host that is leader with a valid
// lease, or -1 if there is none. It skips the host at index except, since a
// frozen host would delay the result.
func (s *system) leader(except int) int {
	for i, address := range s.operatorAddrs {
		if i == except {
			continue
		}
		single := admin.NewClient(admin.Config{
			Controls: []string{address},
			Timeout:  waitLimit,
		})
		if status := single.Status(context.Background())[0].Status; status != nil && status.Lease {
			return i
		}
	}
	return -1
}

// runs returns how often each filing ran, in total over all upstreams.
func (s *system) runs() map[ident.RequestID]int {
	s.t.Helper()
	total := map[ident.RequestID]int{}
	for _, address := range s.faultAddrs {
		var list []leaf.FilingRuns
		getJSON(s.t, "http://"+address+leaf.PathFilings, &list)
		for _, f := range list {
			total[f.Request] += f.Runs
		}
	}
	return total
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := ports.Free()
	is.New(t).NoErr(err)
	return a
}

var httpClient = &http.Client{Timeout: 15 * time.Second}

func search(address string) (wire.SearchAnswer, error) {
	var a wire.SearchAnswer
	return a, postJSON(address+wire.PathSearch, "", `{"Index":"papers","Terms":"letter"}`, &a)
}

func submitFiling(address string, id ident.RequestID) (wire.FilingAnswer, error) {
	var a wire.FilingAnswer
	return a, postJSON(address+wire.PathFilings, string(id), `{"Index":"papers","Body":"draft `+string(id)+`"}`, &a)
}

func postJSON(url, id, body string, out any) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	if id != "" {
		req.Header.Set(wire.HeaderRequestID, id)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(out)
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	res, err := httpClient.Get(url)
	is.New(t).NoErr(err)
	defer res.Body.Close()
	is.New(t).NoErr(json.NewDecoder(res.Body).Decode(out))
}

// requestsAt returns the number of searches and filings that an upstream has
// received.
func (s *system) requestsAt(upstream int) uint64 {
	s.t.Helper()
	var stats leaf.Stats
	getJSON(s.t, "http://"+s.faultAddrs[upstream]+leaf.PathStats, &stats)
	return stats.Requests
}
