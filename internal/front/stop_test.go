package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	stopGrace    = 3 * time.Second
	stopDeadline = 15 * time.Second
)

// slowService is a service of one upstream, with one connection for all hosts, that
// counts how often each request runs.
type slowService struct {
	domain ident.Domain
	work   time.Duration
	mu     sync.Mutex
	runs   map[string]int
}

func (s *slowService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	_, _ = w.Write([]byte("body of " + id))
}

func (s *slowService) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// startSlowService starts a service and a control host that names it, with the
// routes /once/ and /many/ to it and /shard/ over it as the only shard.
// slowDocument returns the configuration of a slowService, with further fields.
func slowDocument(t *testing.T, version rules.Version, more string) board.Document {
	t.Helper()
	route := func(path, kind, to string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":"a.example","PathPrefix":%q,"Kind":%q,"TimeoutMs":15000,"TargetLatencyMs":500,"Priority":1,"MaxAttempts":1,%s}`,
			path, path, kind, to)
	}
	packed, err := board.Pack([]byte(fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"s","MaxConnections":1}],"Limits":{}%s}`, version, strings.Join([]string{
		route("/once/", "unsafe", `"Service":"s"`),
		route("/many/", "safe", `"Service":"s"`),
		route("/shard/", "safe", `"Gather":["s"],"TopK":1,"MinShardRatio":1`),
	}, ","), more)))
	is.New(t).NoErr(err)
	return board.Document{
		Version: version,
		Packed:  packed,
	}
}

func startSlowService(t *testing.T, domain ident.Domain, work time.Duration) (*slowService, *controlHost) {
	t.Helper()
	s := &slowService{
		domain: domain,
		work:   work,
		runs:   map[string]int{},
	}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	c := startControlHost(t, domain)
	c.SetDocument(slowDocument(t, 1, ""))
	c.SetList(board.NewList([]relay.Upstream{{
		ID:      "u",
		Service: "s",
		Address: srv.Listener.Addr().String(),
		Domain:  domain,
		Slots:   1,
	}}), c.Now())
	return s, c
}

// stoppable is an entry host that a test stops.
type stoppable struct {
	address string
	// stop begins the planned stop, ended is closed when Run has returned.
	stop  context.CancelFunc
	ended chan struct{}
}

func startStoppable(t *testing.T, seed string) *stoppable {
	t.Helper()
	is := is.New(t)
	free := func() string {
		address, err := ports.Free()
		is.NoErr(err)
		return address
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &stoppable{
		address: free(),
		stop:    stop,
		ended:   make(chan struct{}),
	}
	ready := free()
	f, err := front.New(front.Config{
		Name:   "stopping",
		Domain: "a",
		Front:  h.address,
		Ready:  ready,
		Link:   free(),
		Seeds:  []string{seed},
		Extra: budget.Config{
			Ratio:  0.2,
			Slack:  10,
			Window: 10 * time.Second,
		},
		Grace: stopGrace,
		Log:   slog.New(slog.DiscardHandler),
	})
	is.NoErr(err)
	go func() {
		defer close(h.ended)
		if err := f.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-h.ended
	})
	is.True(waitFor(t, applyTimeout, func() bool {
		res, err := http.Get("http://" + ready + platform.PathReady)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}))
	return h
}

// answer is what a caller got; err is set if the connection ended without one.
type answer struct {
	id     string
	status int
	err    error
	took   time.Duration
}

// send sends a request on a connection of its own.
func (h *stoppable) send(path, id string) answer {
	start := time.Now()
	a := answer{id: id}
	a.status, a.err = h.exchange(path, id)
	a.took = time.Since(start)
	return a
}

func (h *stoppable) exchange(path, id string) (int, error) {
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n\r\n", path, id, stopDeadline.Milliseconds())
	if err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, err
}

// sendAll sends requests from now on, one each interval, and returns their answers.
func (h *stoppable) sendAll(path string, n int, interval time.Duration) <-chan answer {
	answers := make(chan answer, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			answers <- h.send(path, fmt.Sprintf("r-%d", i))
		})
	}
	go func() {
		group.Wait()
		close(answers)
	}()
	return answers
}

// Guards against requests that wait in a host for room at an upstream, or run there,
// and whose connections a planned stop closes without an answer at the end of the
// grace time. A refusal must be true, and come at once for what cannot be answered.
func TestStopAnswersWhatWaits(t *testing.T) {
	for _, path := range []string{"/once/x", "/many/x", "/shard/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			service, control := startSlowService(t, "a", 1300*time.Millisecond)
			h := startStoppable(t, control.host.Link)
			answers := h.sendAll(path, 8, time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			h.stop()
			refused := 0
			for a := range answers {
				is.NoErr(a.err)
				if a.status != http.StatusServiceUnavailable {
					continue
				}
				refused++
				is.Equal(service.runsOf(a.id), 0)
				is.True(a.took < stopGrace) // at its deadline it would be 15 s
			}
			is.True(refused >= 5) // two can be answered in 3 s, a third may be running
			<-h.ended
		})
	}
}

// Guards against requests that come late in the grace time and are passed on although
// the host cannot wait for their answers, among them those that may run once only.
func TestStopPassesNothingOnThatItCannotAnswer(t *testing.T) {
	for _, path := range []string{"/once/x", "/many/x", "/shard/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			service, control := startSlowService(t, "a", 2*time.Second)
			h := startStoppable(t, control.host.Link)
			is.Equal(h.send(path, "first").status, http.StatusOK) // shows how long the work takes
			h.stop()
			time.Sleep(time.Second)
			var late atomic.Int32
			for a := range h.sendAll(path, 20, 20*time.Millisecond) {
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusServiceUnavailable)
				is.Equal(service.runsOf(a.id), 0)
				if a.took > 200*time.Millisecond {
					late.Add(1)
				}
			}
			is.Equal(late.Load(), int32(0)) // refused at once
		})
	}
}
