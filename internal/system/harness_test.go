package system_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
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
	waitFor = 20 * time.Second
	pause   = 10 * time.Millisecond
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
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running process of the program.
type process struct {
	t    *testing.T
	args []string
	cmd  *exec.Cmd
	log  *os.File
}

func run(t *testing.T, args ...string) *process {
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

// wait returns the exit status of a process that was asked to end.
func (p *process) wait() int {
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// site is a small deployment of real processes: 3 control hosts, 2 entry
// hosts and 2 services of 2 upstreams in 2 domains. Each control host is
// reached by others through a fault proxy.
type site struct {
	t        *testing.T
	proxies  []*fault.Proxy
	controls []*process
	entries  []*process
	leaves   []*process
	operate  []string // operator addresses of the control hosts
	callers  []string // addresses of the entry hosts for callers
	links    []string // addresses of the entry hosts for peers
	steer    []string // control addresses of the upstreams
	client   *admin.Client
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t}
	s.startControls(3)
	s.startLeaves()
	s.startEntries(2)
	s.client = admin.NewClient(admin.Config{
		Controls: s.operate,
		Timeout:  waitFor,
	})
	for _, u := range s.upstreams() {
		s.change(config.AddUpstream{Upstream: u})
	}
	for i := range s.callers {
		s.await(i, func(a wire.SearchAnswer) bool { return a.Outcome == engine.Done })
	}
	return s
}

func (s *site) startControls(n int) {
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
		link := free(s.t)
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
		s.operate = append(s.operate, free(s.t))
		s.controls = append(s.controls, run(s.t, "control", "-host", fmt.Sprintf("c%d", i+1), "-domain", "d1",
			"-listen", s.operate[i], "-link-listen", links[i], "-data", folders[i], "-bootstrap", strings.Join(group, ",")))
	}
}

func (s *site) startLeaves() {
	for i, u := range s.upstreams() {
		s.steer = append(s.steer, free(s.t))
		s.leaves = append(s.leaves, run(s.t, "leaf", "-host", string(u.ID), "-domain", string(u.Domain),
			"-listen", u.Address, "-fault-listen", s.steer[i], "-index", string(u.Index), "-service", string(u.Service),
			"-shards", string(u.Shards[0]), "-service-time", "2ms", "-conn-cost", "1ms"))
	}
}

var addresses = map[*testing.T][]string{}

// upstreams returns the same upstreams, with the same addresses, in each call.
func (s *site) upstreams() []config.Upstream {
	if addresses[s.t] == nil {
		for range 4 {
			addresses[s.t] = append(addresses[s.t], free(s.t))
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

func (s *site) startEntries(n int) {
	var controls []string
	for _, p := range s.proxies {
		controls = append(controls, p.Address())
	}
	for i := range n {
		s.callers = append(s.callers, free(s.t))
		s.links = append(s.links, free(s.t))
		s.entries = append(s.entries, run(s.t, "entry", "-host", fmt.Sprintf("e%d", i+1), "-domain", fmt.Sprintf("d%d", i%2+1),
			"-listen", s.callers[i], "-link-listen", s.links[i], "-control", strings.Join(controls, ","), "-grace", "300ms"))
	}
}

// change runs a change until it is accepted.
func (s *site) change(c config.Change) config.Outcome {
	s.t.Helper()
	end := time.Now().Add(waitFor)
	for {
		_, out, err := s.client.Run(context.Background(), "", nil, c)
		if err == nil && out.Kind == config.Accepted {
			return out
		}
		if time.Now().After(end) {
			s.t.Fatalf("change %+v was not accepted in %s: %+v, %v", c, waitFor, out, err)
		}
		time.Sleep(pause)
	}
}

// await repeats a search through an entry host until the answer is as wanted.
func (s *site) await(entry int, want func(wire.SearchAnswer) bool) wire.SearchAnswer {
	s.t.Helper()
	end := time.Now().Add(waitFor)
	for {
		a, err := search(s.callers[entry])
		if err == nil && want(a) {
			return a
		}
		if time.Now().After(end) {
			s.t.Fatalf("last answer of entry host %d in %s: %+v, %v", entry+1, waitFor, a, err)
		}
		time.Sleep(pause)
	}
}

// leader returns the position of the control host that leads with a lease, or
// -1. The host at except is not asked, since a frozen one delays the answer.
func (s *site) leader(except int) int {
	for i, address := range s.operate {
		if i == except {
			continue
		}
		one := admin.NewClient(admin.Config{
			Controls: []string{address},
			Timeout:  waitFor,
		})
		if st := one.Status(context.Background())[0].Status; st != nil && st.Lease {
			return i
		}
	}
	return -1
}

// runs returns how often each filing ran, over all upstreams.
func (s *site) runs() map[ident.RequestID]int {
	s.t.Helper()
	total := map[ident.RequestID]int{}
	for _, a := range s.steer {
		var list []leaf.FilingRuns
		get(s.t, "http://"+a+leaf.PathFilings, &list)
		for _, f := range list {
			total[f.Request] += f.Runs
		}
	}
	return total
}

func free(t *testing.T) string {
	t.Helper()
	a, err := ports.Free()
	is.New(t).NoErr(err)
	return a
}

var caller = &http.Client{Timeout: 15 * time.Second}

func search(address string) (wire.SearchAnswer, error) {
	var a wire.SearchAnswer
	return a, post(address+wire.PathSearch, "", `{"Index":"papers","Terms":"letter"}`, &a)
}

func file(address string, id ident.RequestID) (wire.FilingAnswer, error) {
	var a wire.FilingAnswer
	return a, post(address+wire.PathFilings, string(id), `{"Index":"papers","Body":"draft `+string(id)+`"}`, &a)
}

func post(url, id, body string, into any) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	if id != "" {
		req.Header.Set(wire.HeaderRequestID, id)
	}
	res, err := caller.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

func get(t *testing.T, url string, into any) {
	t.Helper()
	res, err := caller.Get(url)
	is.New(t).NoErr(err)
	defer res.Body.Close()
	is.New(t).NoErr(json.NewDecoder(res.Body).Decode(into))
}

// searches returns the number of searches and filings that reached an upstream.
func (s *site) searches(upstream int) uint64 {
	s.t.Helper()
	var st leaf.Stats
	get(s.t, "http://"+s.steer[upstream]+leaf.PathStats, &st)
	return st.Requests
}
