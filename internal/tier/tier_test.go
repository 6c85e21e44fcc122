package tier_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/core"
	"github.com/jujubethread/jujubethread/internal/crowd"
	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/platform"
)

// waitTimeout bounds each wait of a test, also on a busy machine.
const waitTimeout = 20 * time.Second

// system is a small deployment on loopback: three control hosts, three entry
// hosts in two failure domains, and fakes of the platform's list and upstreams.
type system struct {
	t    *testing.T
	list *httptest.Server
	// entries are addresses for callers, controls those for operators.
	entries  []string
	controls []string
	// port is the one at which all hosts listen for other hosts.
	port int
	// stop and ended have one element per daemon, control hosts first.
	stop []context.CancelFunc
	// atWork is the number of calls that upstreams run, and called the number that
	// those of domains a and b have got.
	atWork  atomic.Int64
	calledA atomic.Int64
	calledB atomic.Int64
	ended   []chan struct{}
	// hostile is what upstreams, or the list, send instead of their answers, if set.
	hostileUpstreams atomic.Pointer[crowd.Shape]
	hostileList      atomic.Pointer[crowd.Shape]
}

// largePath is a query that all shards but shard-3 answer at once, with largeSize
// bytes.
const (
	largePath = "/x/large"
	largeSize = 128 << 10
)

// startUpstream starts a fake upstream that answers with one record of its own after
// some work, unless its caller leaves, and returns its address.
func (s *system) startUpstream(name string, work time.Duration) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if sendHostile(w, &s.hostileUpstreams) {
			return
		}
		s.atWork.Add(1)
		defer s.atWork.Add(-1)
		if strings.HasSuffix(name, "-a") {
			s.calledA.Add(1)
		} else {
			s.calledB.Add(1)
		}
		duration := work
		if r.URL.Path == largePath && !strings.HasPrefix(name, "shard-3") {
			duration = 0
		}
		select {
		case <-time.After(duration):
		case <-r.Context().Done():
			return
		}
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Stamp", name+"."+id)
		if r.URL.Path == largePath {
			_, _ = w.Write(make([]byte, largeSize))
			return
		}
		_, _ = fmt.Fprintf(w, "%-16s", name[:len(name)-2])
	}))
	s.t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// sendHostile sends a hostile answer if one is set, and keeps the connection open until
// its peer closes it or waitTimeout has passed.
func sendHostile(w http.ResponseWriter, by *atomic.Pointer[crowd.Shape]) bool {
	shape := by.Load()
	if shape == nil {
		return false
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	shape.Send(c, 0)
	_, _ = io.Copy(io.Discard, c)
	return true
}

func newSystem(t *testing.T, work time.Duration) *system { return newSystemIn(t, work, "a", "a", "b") }

// newSystemIn starts a system with one entry host in each of some domains, which stop
// within a second. Upstreams are in domains a and b.
func newSystemIn(t *testing.T, work time.Duration, entryDomains ...ident.Domain) *system {
	return newSystemThatStopsIn(t, time.Second, work, entryDomains...)
}

func newSystemThatStopsIn(t *testing.T, grace, work time.Duration, entryDomains ...ident.Domain) *system {
	s := &system{t: t}
	var entries []json.RawMessage
	for shard := range 4 {
		for _, domain := range []string{"a", "b"} {
			name := fmt.Sprintf("shard-%d-%s", shard, domain)
			entries = append(entries, json.RawMessage(fmt.Sprintf(
				`{"Id":%q,"Service":"shard-%d","Address":%q,"Zone":%q,"Slots":2,"State":"ready","ColdRemainingMs":0}`,
				name, shard, s.startUpstream(name, work), domain)))
		}
	}
	s.list = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if sendHostile(w, &s.hostileList) {
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"Instances":     entries,
			"NextPageToken": nil,
		})
	}))
	t.Cleanup(s.list.Close)
	log := slog.New(slog.DiscardHandler)
	port := freePort(t)
	s.port = port
	link := func(n int) string { return fmt.Sprintf("127.0.9.%d:%d", n, port) }
	seeds := []string{link(1), link(2), link(3)}
	for n := 1; n <= 3; n++ {
		operator := freeAddress(t)
		c, err := core.New(core.Config{
			Name:            ident.HostID(fmt.Sprint("core-", n)),
			Domain:          "a",
			Folder:          t.TempDir(),
			Operator:        operator,
			Link:            link(n),
			Seeds:           seeds,
			First:           true,
			MaxDiskFailures: 1,
			ListAddress:     s.list.Listener.Addr().String(),
			Log:             log,
		})
		if err != nil {
			t.Fatal(err)
		}
		s.controls = append(s.controls, operator)
		s.run(c.Run)
	}
	for n, domain := range entryDomains {
		address := freeAddress(t)
		f, err := front.New(front.Config{
			Name:   ident.HostID(fmt.Sprint("front-", n)),
			Domain: domain,
			Front:  address,
			Ready:  freeAddress(t),
			Link:   link(4 + n),
			Seeds:  seeds,
			Extra: budget.Config{
				Ratio:  0.2,
				Slack:  100,
				Window: 10 * time.Second,
			},
			Grace: grace,
			Log:   log,
		})
		if err != nil {
			t.Fatal(err)
		}
		s.entries = append(s.entries, address)
		s.run(f.Run)
	}
	return s
}

func (s *system) run(f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	s.stop, s.ended = append(s.stop, cancel), append(s.ended, ended)
	go func() {
		defer close(ended)
		if err := f(ctx); err != nil {
			s.t.Error(err)
		}
	}()
	s.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func freePort(t *testing.T) int {
	t.Helper()
	_, port, err := net.SplitHostPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	_, err = fmt.Sscan(port, &n)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func document(version int, prefix string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"search","Host":"a.example","PathPrefix":%q,"Kind":"safe",
		"TimeoutMs":3000,"TargetLatencyMs":900,"Priority":1,"Gather":["shard-0","shard-1","shard-2","shard-3"],
		"MaxAttempts":2,"TopK":3,"MinShardRatio":0.75}],
		"Services":[{"Name":"shard-0","MaxConnections":60},{"Name":"shard-1","MaxConnections":60},
		{"Name":"shard-2","MaxConnections":60},{"Name":"shard-3","MaxConnections":60}],"Limits":{}}`, version, prefix)
}

// putDocument sends a document to a control host until it gets a final answer.
func (s *system) putDocument(control, body string) int {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; {
		req, err := http.NewRequest(http.MethodPut, "http://"+control+platform.PathConfiguration, strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		status := 0
		if err == nil {
			status = res.StatusCode
			_ = res.Body.Close()
		}
		if status == http.StatusOK || status == http.StatusBadRequest || time.Now().After(deadline) {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// search sends queries to an entry host until it gets the wanted status.
func (s *system) search(entry, path string, want int) (http.Header, string) {
	s.t.Helper()
	for deadline, n := time.Now().Add(waitTimeout), 0; time.Now().Before(deadline); n++ {
		req, err := http.NewRequest(http.MethodGet, "http://"+entry+path, nil)
		if err != nil {
			s.t.Fatal(err)
		}
		req.Host = "a.example"
		req.Header.Set("Request-Id", fmt.Sprint("r-", n))
		req.Header.Set("Deadline-Milliseconds", "3000")
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			body, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if err == nil && res.StatusCode == want {
				return res.Header, string(body)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("no answer with status %d from %s for %s", want, entry, path)
	return nil, ""
}

// Guards against hosts that work alone but not together: a document from an
// operator must reach the entry hosts of both failure domains, which merge the
// answers of the listed upstreams, also after a control host has stopped.
func TestWholePathOnLoopback(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 0)
	is.Equal(s.putDocument(s.controls[1], document(5, "/x/")), http.StatusOK)
	is.Equal(s.putDocument(s.controls[2], document(5, "/x/")[:200]), http.StatusBadRequest)
	for _, entry := range s.entries {
		h, body := s.search(entry, "/x/1", http.StatusOK)
		stamps := strings.Split(h.Get("Part-Stamps"), ", ")
		is.Equal(len(stamps), 4)
		is.Equal(h.Get("Missing-Parts"), "")
		is.Equal(body, fmt.Sprintf("%-16s%-16s%-16s", "shard-3", "shard-2", "shard-1"))
	}
	s.stop[0]()
	<-s.ended[0]
	is.Equal(s.putDocument(s.controls[1], document(9, "/y/")), http.StatusOK)
	is.Equal(s.putDocument(s.controls[2], document(7, "/z/")), http.StatusOK) // older: acknowledged, not active
	for _, entry := range s.entries {
		s.search(entry, "/y/1", http.StatusOK)
		s.search(entry, "/x/1", http.StatusNotFound)
		s.search(entry, "/z/1", http.StatusNotFound)
	}
	res, err := http.Get("http://" + s.controls[2] + platform.PathConfiguration)
	is.NoErr(err)
	raw, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(string(raw), document(9, "/y/"))
}
