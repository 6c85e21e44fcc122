// Package cost measures the processor time and allocations of an entry host per
// leaf call, and those of a minimal net/http fan-out of the same size as a
// baseline. Callers, host and fake upstreams run in one process on loopback, so
// both figures include the same cost of callers and upstreams.
package cost

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/gossip"
)

const (
	warmupQueries   = 200
	startTimeout    = 10 * time.Second
	maxExcerptBytes = 1000
	searchBody      = `{"Index":"review-panel","Terms":"x"}`
)

// Config sizes a measurement.
type Config struct {
	Shards   int
	Replicas int
	// Callers is the number of concurrent callers. Each sends one query at a
	// time.
	Callers int
	// Queries is the total number of queries. If it is zero, callers send
	// queries for Duration instead.
	Queries  int
	Duration time.Duration
}

// Result is the outcome of a measurement.
type Result struct {
	Queries int
	// Incomplete counts errors and answers with missing documents. The figures
	// are valid only if it is zero.
	Incomplete int
	// LastIncomplete is the start of the last incomplete answer, or the text of
	// the last error.
	LastIncomplete string
	// CPU is the processor time of the process per leaf call.
	CPU time.Duration
	// Allocs is the number of allocations of the process per leaf call.
	Allocs float64
	// HeapBefore and HeapAfter are the size of the live heap in bytes, after a
	// garbage collection.
	HeapBefore uint64
	HeapAfter  uint64
}

// Baseline measures the minimal fan-out.
func Baseline(ctx context.Context, c Config) (Result, error) {
	up, err := startUpstreams(c)
	if err != nil {
		return Result{}, err
	}
	defer up.close()
	f := &minimalFanOut{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}}
	defer f.client.CloseIdleConnections()
	for i := 0; i < len(up.state.Upstreams); i += c.Replicas {
		f.leaves = append(f.leaves, up.state.Upstreams[i])
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, errors.Wrap(err, "fan-out cannot listen: free some ports")
	}
	server := &http.Server{Handler: f}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	res, err := measure(ctx, c, "http://"+l.Addr().String())
	if closeErr := server.Close(); err == nil {
		err = closeErr
	}
	if serveErr := <-done; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
		err = serveErr
	}
	return res, err
}

// Host measures an entry host with its engine and metrics, but without tracing.
func Host(ctx context.Context, c Config) (Result, error) {
	up, err := startUpstreams(c)
	if err != nil {
		return Result{}, err
	}
	defer up.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, errors.Wrap(err, "host cannot listen: free some ports")
	}
	counts := stats.New()
	defer func() { _ = counts.Close() }()
	h, err := host.New(host.Config{
		ID:       "cost",
		Listener: l,
		Engine:   engine.NewEngine(engine.Config{Host: "cost"}),
		Control:  newFixedControl(up.state),
		Stats:    counts,
		Grace:    time.Nanosecond,
	})
	if err != nil {
		return Result{}, err
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- h.Run(runCtx) }()
	res, err := measure(ctx, c, "http://"+l.Addr().String())
	stop()
	if runErr := <-done; err == nil {
		err = runErr
	}
	return res, err
}

// fixedControl provides a configuration and a seat that never change.
type fixedControl struct {
	configs chan *config.State
	seats   chan engine.Seat
}

func newFixedControl(s *config.State) *fixedControl {
	f := &fixedControl{
		configs: make(chan *config.State, 1),
		seats:   make(chan engine.Seat, 1),
	}
	f.configs <- s
	f.seats <- engine.SeatHeld
	return f
}

// Configs implements host.Control. It sends a single configuration.
func (f *fixedControl) Configs() <-chan *config.State { return f.configs }

// Seats implements host.Control. It reports that the seat is held.
func (f *fixedControl) Seats() <-chan engine.Seat { return f.seats }

// Report implements host.Control and does nothing.
func (*fixedControl) Report(engine.Report) {}

// Grants implements host.Control. It grants nothing.
func (*fixedControl) Grants() <-chan engine.ShareGranted { return nil }

// Tell implements host.Control and does nothing.
func (*fixedControl) Tell(gossip.Sent) {}

// Facts implements host.Control. No other host tells any.
func (*fixedControl) Facts() <-chan []gossip.Sent { return nil }

// File implements host.Control and refuses every filing.
func (f *fixedControl) File(context.Context, host.Filing, host.SendFiling) host.FilingResult {
	return host.FilingResult{Outcome: engine.NotRun}
}

func measure(ctx context.Context, c Config, url string) (Result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	defer client.CloseIdleConnections()
	var sent, incomplete atomic.Int64
	var lastIncomplete atomic.Value
	query := func() bool {
		body, ok := c.search(ctx, client, url)
		if !ok {
			lastIncomplete.Store(string(body[:min(len(body), maxExcerptBytes)]))
		}
		return ok
	}
	for end := time.Now().Add(startTimeout); !query(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return Result{}, errors.Errorf("no complete answer within %s: see the host's log", startTimeout)
		}
	}
	for range warmupQueries {
		query()
	}
	before, cpu := memStats(), processorTime()
	lastIncomplete.Store("")
	end := time.Now().Add(c.Duration)
	var callers sync.WaitGroup
	for range c.Callers {
		callers.Go(func() {
			for {
				n := sent.Add(1)
				if ctx.Err() != nil || (c.Queries > 0 && n > int64(c.Queries)) || (c.Queries == 0 && time.Now().After(end)) {
					sent.Add(-1)
					return
				}
				if !query() {
					incomplete.Add(1)
				}
			}
		})
	}
	callers.Wait()
	cpu = processorTime() - cpu
	after := memStats()
	n := sent.Load()
	calls := max(1, n*int64(c.Shards))
	return Result{
		Queries:        int(n),
		Incomplete:     int(incomplete.Load()),
		LastIncomplete: lastIncomplete.Load().(string),
		CPU:            cpu / time.Duration(calls),
		Allocs:         float64(after.Mallocs-before.Mallocs) / float64(calls),
		HeapBefore:     before.HeapAlloc,
		HeapAfter:      after.HeapAlloc,
	}, ctx.Err()
}

// search sends a query and reports whether the answer is complete. It returns
// the answer, or the text of the error.
func (c Config) search(ctx context.Context, client *http.Client, url string) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+wire.PathSearch, strings.NewReader(searchBody))
	if err != nil {
		return []byte(err.Error()), false
	}
	req.Header.Set(wire.HeaderRequestID, string(requestID))
	// Queries of other classes are delayed on a busy machine.
	req.Header.Set(wire.HeaderClass, "Critical")
	resp, err := client.Do(req)
	if err != nil {
		return []byte(err.Error()), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxMergedBytes))
	complete := err == nil && bytes.Contains(body, []byte(`"Outcome":"Done"`)) &&
		bytes.Count(body, []byte(`"ID"`)) == documentsPerAnswer*c.Shards
	return body, complete
}

func memStats() runtime.MemStats {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
