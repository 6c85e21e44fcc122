// Package cost measures the CPU time and allocations of an entry host for each
// leaf call and compares them with the plainest net/http fan-out of the same
// size. Callers, host and stand-in upstreams run in one process on loopback,
// so the figures include the same share of callers and stand-ins.
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
)

const (
	warmQueries = 200 // before the measurement
	startLimit  = 10 * time.Second
	shownBytes  = 1000
	searchBody  = `{"Index":"review-panel","Terms":"x"}`
)

// Config sizes a measurement.
type Config struct {
	Shards   int
	Replicas int
	// Callers ask at once, one query after the other.
	Callers int
	// Queries are asked in all; if zero, callers ask for Duration.
	Queries  int
	Duration time.Duration
}

// Result is what a measurement found.
type Result struct {
	Queries int
	// Short counts answers that were not whole. The figures do not hold then.
	Short int
	// Fault is the start of the last answer that was not whole.
	Fault string
	// CPU is the processor time of the process for each leaf call.
	CPU time.Duration
	// Allocs are the allocations of the process for each leaf call.
	Allocs float64
	// HeapBefore and HeapAfter are the live heap after a collection, in bytes.
	HeapBefore uint64
	HeapAfter  uint64
}

// Bare measures the plain fan-out.
func Bare(ctx context.Context, c Config) (Result, error) {
	up, err := startStands(c)
	if err != nil {
		return Result{}, err
	}
	defer up.close()
	f := &fanOut{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}}
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
	if cerr := server.Close(); err == nil {
		err = cerr
	}
	if serr := <-done; err == nil && !errors.Is(serr, http.ErrServerClosed) {
		err = serr
	}
	return res, err
}

// Host measures an entry host with its engine and metrics, without sampled
// spans.
func Host(ctx context.Context, c Config) (Result, error) {
	up, err := startStands(c)
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
		Control:  newFixed(up.state),
		Stats:    counts,
		Grace:    time.Nanosecond,
	})
	if err != nil {
		return Result{}, err
	}
	life, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- h.Run(life) }()
	res, err := measure(ctx, c, "http://"+l.Addr().String())
	stop()
	if herr := <-done; err == nil {
		err = herr
	}
	return res, err
}

// fixed is a control group that never changes anything.
type fixed struct {
	configs chan *config.State
	seats   chan engine.Seat
}

func newFixed(s *config.State) *fixed {
	f := &fixed{
		configs: make(chan *config.State, 1),
		seats:   make(chan engine.Seat, 1),
	}
	f.configs <- s
	f.seats <- engine.SeatHeld
	return f
}

// Configs implements host.Control.
func (f *fixed) Configs() <-chan *config.State { return f.configs }

// Seats implements host.Control.
func (f *fixed) Seats() <-chan engine.Seat { return f.seats }

// File implements host.Control and refuses every filing.
func (f *fixed) File(context.Context, host.Filing, host.SendFiling) host.FilingResult {
	return host.FilingResult{Outcome: engine.NotRun}
}

func measure(ctx context.Context, c Config, url string) (Result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	defer client.CloseIdleConnections()
	var asked, short atomic.Int64
	var fault atomic.Value
	whole := func() bool {
		body, ok := c.ask(ctx, client, url)
		if !ok {
			fault.Store(string(body[:min(len(body), shownBytes)]))
		}
		return ok
	}
	for end := time.Now().Add(startLimit); !whole(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return Result{}, errors.Errorf("no whole answer came within %s: look at the host's log", startLimit)
		}
	}
	for range warmQueries {
		whole()
	}
	before, cpu := memory(), processorTime()
	fault.Store("")
	end := time.Now().Add(c.Duration)
	var callers sync.WaitGroup
	for range c.Callers {
		callers.Go(func() {
			for {
				n := asked.Add(1)
				if ctx.Err() != nil || (c.Queries > 0 && n > int64(c.Queries)) || (c.Queries == 0 && time.Now().After(end)) {
					asked.Add(-1)
					return
				}
				if !whole() {
					short.Add(1)
				}
			}
		})
	}
	callers.Wait()
	cpu = processorTime() - cpu
	after := memory()
	n := asked.Load()
	calls := max(1, n*int64(c.Shards))
	return Result{
		Queries:    int(n),
		Short:      int(short.Load()),
		Fault:      fault.Load().(string),
		CPU:        cpu / time.Duration(calls),
		Allocs:     float64(after.Mallocs-before.Mallocs) / float64(calls),
		HeapBefore: before.HeapAlloc,
		HeapAfter:  after.HeapAlloc,
	}, ctx.Err()
}

// ask returns the answer to a query, or the error, and whether it is whole.
func (c Config) ask(ctx context.Context, client *http.Client, url string) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+wire.PathSearch, strings.NewReader(searchBody))
	if err != nil {
		return []byte(err.Error()), false
	}
	req.Header.Set(wire.HeaderRequestID, string(request))
	// Other classes are paced on a busy machine and would wait.
	req.Header.Set(wire.HeaderClass, "Critical")
	resp, err := client.Do(req)
	if err != nil {
		return []byte(err.Error()), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	whole := err == nil && bytes.Contains(body, []byte(`"Outcome":"Done"`)) &&
		bytes.Count(body, []byte(`"ID"`)) == documents*c.Shards
	return body, whole
}

func memory() runtime.MemStats {
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
