// Package load is the load and experiment tool. It is an open-loop generator:
// it sends requests at planned times regardless of the answers, injects the
// faults of a scenario, verifies every answer and measures latency from the
// planned start.
package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/internal/naive"
	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	maxInFlight       = 20_000
	retryAttempts     = 3
	idleTimeout       = 15 * time.Second // for upstreams to finish their requests after the load
	idlePollInterval  = 20 * time.Millisecond
	distinctTerms     = 10_000 // search terms of a flow
	firstProbeTimeout = 5 * time.Second
)

// Client sends requests to a target.
type Client interface {
	Search(ctx context.Context, id ident.RequestID, s wire.SearchRequest) (wire.SearchAnswer, error)
	File(ctx context.Context, id ident.RequestID, f wire.FilingRequest) (wire.FilingAnswer, error)
	// Run keeps up to date what the client knows of its target, such as the
	// health of hosts, until ctx is done.
	Run(ctx context.Context) error
}

// Config describes a load run.
type Config struct {
	Scenario *scene.Scenario
	// Hook executes the events whose action is Hook; nil if there are none.
	Hook scene.HookFunc
	// NewClient returns the client of a target. If it is nil or returns nil, the
	// Policy of the target selects the client.
	NewClient func(scene.Target) Client
	// Progress receives a line per second and per event; nil for no output.
	Progress io.Writer
}

// Run runs a scenario and returns the measurements. If ctx is canceled, it
// returns the measurements so far, marked as interrupted. An error means that
// the run is not valid, because a fault could not be injected or the counters
// of the upstreams could not be read.
func Run(ctx context.Context, cfg Config) (*result.Run, error) {
	s := cfg.Scenario
	if err := s.Check(); err != nil {
		return nil, err
	}
	run := &result.Run{
		Scenario: s.Name,
		Seed:     s.Seed,
		Started:  time.Now(),
		Warmup:   s.WarmupMillis.Duration(),
		Duration: s.DurationMillis.Duration(),
		Targets:  make([]result.Target, len(s.Targets)),
	}
	var group errgroup.Group
	if !s.Together {
		group.SetLimit(1)
	}
	progress := &progressWriter{out: cfg.Progress}
	for i, t := range s.Targets {
		group.Go(func() error {
			d, err := newDriver(cfg, t, progress)
			if err != nil {
				return err
			}
			run.Targets[i], err = d.run(ctx)
			return errors.Wrapf(err, "target %q", t.Name)
		})
	}
	err := group.Wait()
	run.Interrupted = ctx.Err() != nil
	return run, err
}

// driver generates the load of one target.
type driver struct {
	scenario *scene.Scenario
	target   scene.Target
	flows    []scene.Flow
	client   Client
	remote   *scene.RemoteExecutor
	truth    *check.Truth
	rec      *result.Recorder
	progress *progressWriter
	// idPrefix makes request ids unique across runs and targets. A reused id
	// would be taken for a repetition of a recorded filing.
	idPrefix  string
	warmupEnd time.Time
	inFlight  chan struct{}

	mu      sync.Mutex
	filings []check.Filing
	notRun  []notRunSearch
}

func newDriver(cfg Config, t scene.Target, progress *progressWriter) (*driver, error) {
	flows, err := cfg.Scenario.ResolveFlows()
	if err != nil {
		return nil, err
	}
	d := &driver{
		scenario: cfg.Scenario,
		target:   t,
		flows:    flows,
		remote:   scene.NewRemoteExecutor(t, cfg.Hook),
		truth: &check.Truth{
			Seed:     cfg.Scenario.DocumentSeed,
			Versions: cfg.Scenario.AllVersions(),
		},
		rec:      result.NewRecorder(cfg.Scenario.DurationMillis.Duration()),
		progress: progress,
		idPrefix: uuid.NewString()[:8],
		inFlight: make(chan struct{}, maxInFlight),
	}
	for _, name := range t.Indexes() {
		d.truth.Indexes = append(d.truth.Indexes, check.Index{Name: name, Shards: t.Shards(name)})
	}
	if cfg.NewClient != nil {
		d.client = cfg.NewClient(t)
	}
	if d.client == nil {
		d.client = newClient(t)
	}
	return d, nil
}

func newClient(t scene.Target) Client {
	if t.Policy == scene.Entry {
		return NewEntryClient(t.Entries)
	}
	attempts := 1
	if t.Policy == scene.Retry {
		attempts = retryAttempts
	}
	return naive.New(naive.Config{
		Upstreams: upstreams(t),
		Attempts:  attempts,
	})
}

func upstreams(t scene.Target) []config.Upstream {
	list := make([]config.Upstream, 0, len(t.Leaves))
	for _, l := range t.Leaves {
		list = append(list, l.Upstream)
	}
	return list
}

// run loads the target for the duration of the scenario.
func (d *driver) run(ctx context.Context) (result.Target, error) {
	defer d.remote.Close()
	// An earlier run may have rolled the index over or left faults in place.
	if err := d.remote.Reset(ctx, d.scenario.Versions); err != nil {
		return result.Target{}, err
	}
	before, err := d.remote.Stats(ctx)
	if err != nil {
		return result.Target{}, err
	}
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	var group errgroup.Group
	group.Go(func() error { return d.client.Run(background) })
	if prober, ok := d.client.(interface{ Probe(context.Context) }); ok {
		probeCtx, cancel := context.WithTimeout(ctx, firstProbeTimeout)
		prober.Probe(probeCtx)
		cancel()
	}
	group.Go(func() error { return d.pollNotRun(background) })
	executions := d.runLoad(ctx)
	stopBackground()
	if err := group.Wait(); err != nil {
		return result.Target{}, err
	}
	// After an interrupt the counters are still read, to report the run so far.
	after, err := d.awaitIdle(context.WithoutCancel(ctx))
	if err != nil {
		return result.Target{}, err
	}
	out := d.rec.Target(upstreams(d.target), before, after)
	out.Name = d.target.Name
	out.Policy = string(d.target.Policy)
	out.Events = d.reportEvents(executions)
	return out, scene.FirstFailure(executions)
}

// runLoad starts all flows and events and waits until they have ended.
func (d *driver) runLoad(ctx context.Context) []scene.Execution {
	start := time.Now()
	d.warmupEnd = start.Add(d.scenario.WarmupMillis.Duration())
	var flows, requests sync.WaitGroup
	for i, f := range d.flows {
		flows.Go(func() { d.runFlow(ctx, i, f, start, &requests) })
	}
	loadDone := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() { d.progress.reportUntil(d, start, loadDone) })
	executions := d.scenario.Play(ctx, start, d.target.Name, d.remote, func(x scene.Execution) {
		d.progress.event(d.target.Name, x)
	})
	flows.Wait()
	requests.Wait()
	close(loadDone)
	reporter.Wait()
	return executions
}

// runFlow sends the requests of a flow at times that depend only on the seed,
// so that all targets get the same load.
func (d *driver) runFlow(ctx context.Context, flowIndex int, f scene.Flow, start time.Time, requests *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(d.scenario.Seed, uint64(flowIndex)))
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Duration(0)
	for n := 0; ; n++ {
		rate := f.PerSecond * d.scenario.SurgeFactor(f.Name, d.target.Name, due)
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := request{
			flow:     f,
			id:       ident.RequestID(fmt.Sprintf("%s-%d-%d", d.idPrefix, flowIndex, n)),
			terms:    cmp.Or(f.Terms, fmt.Sprintf("candidate %d", rng.IntN(distinctTerms))),
			intended: start.Add(due),
			resend:   rng.Float64()*100 < f.ResendPercent,
		}
		if due >= d.scenario.TotalDuration() {
			return
		}
		timer.Reset(time.Until(r.intended))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case d.inFlight <- struct{}{}:
		default:
			d.rec.Add(d.notSent(r))
			continue
		}
		requests.Go(func() {
			d.send(ctx, r)
			<-d.inFlight
		})
	}
}

// awaitIdle waits until no upstream runs or queues a request, then verifies the
// filings and the searches answered NotRun, and returns the counters.
func (d *driver) awaitIdle(ctx context.Context) ([]leafStats, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for {
		stats, err := d.remote.Stats(ctx)
		if err != nil {
			return nil, err
		}
		busy := 0
		for _, s := range stats {
			busy += s.Running + s.Waiting
		}
		if busy == 0 {
			if err := d.checkNotRun(ctx, time.Now()); err != nil {
				return nil, err
			}
			return stats, d.checkFilings(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, errors.Errorf("upstreams still run or queue %d requests %s after the load: check whether a fault blocks them", busy, idleTimeout)
		}
	}
}

func (d *driver) checkFilings(ctx context.Context) error {
	if len(d.filings) == 0 {
		return nil
	}
	ran, err := d.remote.RanFilings(ctx)
	if err != nil {
		return err
	}
	d.rec.AddViolations(check.Filings(d.filings, ran))
	return nil
}

// reportEvents pairs the starts and ends of events, with times since the end
// of the warm-up.
func (d *driver) reportEvents(executions []scene.Execution) []result.Event {
	var list []result.Event
	for i, x := range executions {
		if !x.On {
			continue
		}
		e := result.Event{
			Title: x.Event.Title(),
			Start: x.At - d.scenario.WarmupMillis.Duration(),
		}
		for _, later := range executions[i+1:] {
			if !later.On && later.Event == x.Event {
				e.End = later.At - d.scenario.WarmupMillis.Duration()
				break
			}
		}
		list = append(list, e)
	}
	return list
}
