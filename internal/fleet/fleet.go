package fleet

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/agent"
	"github.com/jujubethread/jujubethread/internal/fault"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// convergeTimeout bounds the time until every host has the first or the last
// configuration.
const convergeTimeout = 30 * time.Second

// Size describes one measurement.
type Size struct {
	Hosts     int
	Domains   int
	Controls  int
	Upstreams int
	// Changes is the number of configuration changes, and Every the interval
	// between them. The measurement continues for Tail after every host has the
	// last one.
	Changes int
	Every   time.Duration
	Tail    time.Duration
	// Blackholed drops all traffic of the second control host in both directions
	// once every host has the first configuration.
	Blackholed bool
}

// Result contains the figures of one measurement.
type Result struct {
	// P50, P99 and Max are the time from a change until it is active on a host,
	// over all changes and hosts.
	P50, P99, Max time.Duration
	// Reverts counts configurations that were older than the previous one of the
	// same host.
	Reverts int
	// CPU is the processor time of the whole process, including the stand-in
	// control group, per host and second.
	CPU time.Duration
	// Allocated is the memory allocated per host and second, in bytes.
	Allocated float64
	// Heap is the live memory of the whole process per host, in bytes.
	Heap float64
	// Wire is the traffic in both directions per host and second, in bytes.
	Wire float64
}

// run is one measurement in progress.
type run struct {
	size   Size
	group  *Group
	agents []*agent.Agent
	// proxy stands before the second control host if Size.Blackholed, else nil.
	proxy *fault.Proxy

	mu        sync.Mutex
	changedAt map[uint64]time.Time // time of each change, by version number
	seen      []uint64             // newest version number of each host
	reverts   int
	latencies *hdrhistogram.Histogram
	arrived   chan struct{}
}

// Run runs one measurement. It fails if a host does not receive the first or the
// last configuration within 30 s.
func Run(ctx context.Context, size Size) (Result, error) {
	r := &run{
		size:      size,
		changedAt: make(map[uint64]time.Time),
		seen:      make([]uint64, size.Hosts),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		arrived:   make(chan struct{}, 1),
	}
	if err := r.build(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.group.Serve(ctx) })
	if r.proxy != nil {
		group.Go(func() error { return r.proxy.Run(ctx) })
	}
	for i, a := range r.agents {
		group.Go(func() error { return a.Run(ctx) })
		group.Go(func() error { return r.recordConfigs(ctx, i, a) })
	}
	result, err := r.measure(ctx)
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return result, err
}

func (r *run) build() error {
	state, err := State(r.size.Upstreams)
	if err != nil {
		return err
	}
	domain := func(i int) ident.Domain { return ident.Domain(fmt.Sprintf("d%d", i%r.size.Domains)) }
	domains := make([]ident.Domain, 0, r.size.Controls)
	for i := range r.size.Controls {
		domains = append(domains, domain(i))
	}
	began := time.Now()
	clock := func() ledger.Stamp { return ledger.Stamp(time.Since(began)) + 1 }
	if r.group, err = NewGroup(state, domains, clock); err != nil {
		return err
	}
	sources := r.group.Sources()
	if r.size.Blackholed {
		r.proxy, err = fault.New(fault.Config{
			Name:   "control-1",
			Listen: "127.0.0.1:0",
			Target: sources[1].Address,
		})
		if err != nil {
			return err
		}
		sources[1].Address = r.proxy.Address()
	}
	for i := range r.size.Hosts {
		a, err := agent.New(agent.Config{
			Host:     ident.HostID(fmt.Sprintf("entry-%04d", i)),
			Domain:   domain(i),
			Listen:   "127.0.0.1:0",
			Controls: sources,
		})
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	return nil
}

// State returns a synthetic configuration with the given number of upstreams.
func State(upstreams int) (*config.State, error) {
	list := make([]config.Upstream, 0, upstreams)
	for i := range upstreams {
		list = append(list, config.Upstream{
			ID:        ident.Upstream(fmt.Sprintf("leaf-%06d", i)),
			Address:   fmt.Sprintf("10.%d.%d.%d:9000", i>>16&255, i>>8&255, i&255),
			Domain:    "d0",
			Index:     "review-panel",
			Service:   ident.Service(fmt.Sprintf("faculty-%d", i/2)),
			Shards:    []ident.Shard{ident.Shard(fmt.Sprintf("review-panel/%d", i/2))},
			Slots:     2,
			ConnLimit: 50,
			Phase:     config.Active,
		})
	}
	s, err := config.NewState().WithUpstreams(list)
	if err != nil {
		return nil, err
	}
	// Set the version that the same number of changes would give. Hosts take
	// version 0 for no configuration and would fetch a full copy during the
	// measurement.
	s.Version.Number = uint64(upstreams)
	return s, nil
}

// recordConfigs records when configurations arrive at host i. A configuration
// contains all earlier changes.
func (r *run) recordConfigs(ctx context.Context, i int, a *agent.Agent) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-a.Configs():
			r.recordArrival(i, s.Version.Number, time.Now())
		}
	}
}

func (r *run) recordArrival(i int, number uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.seen[i] {
		r.reverts++
	}
	for n := r.seen[i] + 1; n <= number; n++ {
		if at, ok := r.changedAt[n]; ok {
			_ = r.latencies.RecordValue(max(now.Sub(at).Microseconds(), 1))
		}
	}
	r.seen[i] = number
	select {
	case r.arrived <- struct{}{}:
	default:
	}
}

// awaitVersion waits until every host has the given version or a later one.
func (r *run) awaitVersion(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for {
		r.mu.Lock()
		missing := 0
		for _, n := range r.seen {
			if n < number {
				missing++
			}
		}
		r.mu.Unlock()
		if missing == 0 {
			return nil
		}
		select {
		case <-r.arrived:
		case <-ctx.Done():
			return errors.Errorf("%d of %d hosts did not reach version %d: check for a blocked link", missing, r.size.Hosts, number)
		}
	}
}

func (r *run) measure(ctx context.Context) (Result, error) {
	if err := r.awaitVersion(ctx, r.group.State().Version.Number); err != nil {
		return Result{}, err
	}
	if r.proxy != nil {
		blackhole := fault.Path{Blackhole: true}
		if err := r.proxy.Set(fault.Rules{
			Forward:  blackhole,
			Backward: blackhole,
		}); err != nil {
			return Result{}, err
		}
	}
	before := r.usage()
	ticker := time.NewTicker(max(r.size.Every, time.Millisecond))
	defer ticker.Stop()
	for i := range r.size.Changes {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Result{}, ctx.Err()
		}
		if err := r.applyChange(i); err != nil {
			return Result{}, err
		}
	}
	if err := r.awaitVersion(ctx, r.group.State().Version.Number); err != nil {
		return Result{}, err
	}
	select {
	case <-time.After(r.size.Tail):
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
	return r.result(before, r.usage()), nil
}

// applyChange changes the shards of one upstream, or the number of seats if there
// are no upstreams.
func (r *run) applyChange(i int) error {
	r.mu.Lock()
	r.changedAt[r.group.State().Version.Number+1] = time.Now()
	r.mu.Unlock()
	var c config.Change = config.SetSeats{Seats: 25 + i%2}
	if r.size.Upstreams > 0 {
		c = config.PlaceShards{
			ID:     ident.Upstream(fmt.Sprintf("leaf-%06d", i%r.size.Upstreams)),
			Shards: []ident.Shard{ident.Shard(fmt.Sprintf("review-panel/%d", i))},
		}
	}
	_, err := r.group.Change(c)
	return err
}

// usage is the resource use of the process at one time. All but heap are totals
// since its start.
type usage struct {
	at        time.Time
	cpu       time.Duration
	allocated uint64
	heap      uint64
	wire      int64
}

func (r *run) usage() usage {
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	u := usage{
		at:        time.Now(),
		cpu:       time.Duration(ru.Utime.Nano() + ru.Stime.Nano()),
		allocated: mem.TotalAlloc,
		heap:      mem.HeapAlloc,
	}
	for _, a := range r.agents {
		in, out := a.Traffic()
		u.wire += in + out
	}
	return u
}

func (r *run) result(before, after usage) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	hostSeconds := after.at.Sub(before.at).Seconds() * float64(r.size.Hosts)
	micros := func(q float64) time.Duration {
		return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	return Result{
		P50:       micros(50),
		P99:       micros(99),
		Max:       micros(100),
		Reverts:   r.reverts,
		CPU:       time.Duration(float64(after.cpu-before.cpu) / hostSeconds),
		Allocated: float64(after.allocated-before.allocated) / hostSeconds,
		Heap:      float64(after.heap) / float64(r.size.Hosts),
		Wire:      float64(after.wire-before.wire) / hostSeconds,
	}
}
