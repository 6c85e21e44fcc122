// Package load is the load and experiment tool: it sends requests at planned
// times whatever the answers do, carries out the faults of a scenario,
// verifies every answer and measures latency from the planned start.
package load

import (
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
	maxInFlight   = 20_000
	retryTries    = 3
	settleTimeout = 15 * time.Second // for upstreams to end what they run after the load
	settlePoll    = 20 * time.Millisecond
	candidates    = 10_000 // different search terms of a flow
	firstProbe    = 5 * time.Second
)

// Asker answers the requests to a target.
type Asker interface {
	Search(ctx context.Context, id ident.RequestID, s wire.SearchRequest) (wire.SearchAnswer, error)
	File(ctx context.Context, id ident.RequestID, f wire.FilingRequest) (wire.FilingAnswer, error)
	// Run keeps the asker's view of its target until the context ends.
	Run(ctx context.Context) error
}

// Config describes a load run.
type Config struct {
	Scenario *scene.Scenario
	// Hook does the events Hook; nil if the scenario has none.
	Hook scene.HookFunc
	// Asker replaces the way in which a target is asked; nil, or a nil
	// result, means as its Policy says.
	Asker func(scene.Target) Asker
	// Progress gets a line for each second and event; nil for none.
	Progress io.Writer
}

// Run carries a scenario out and returns what was measured. If the context
// ends, the result up to then is returned, marked as interrupted. The error
// tells that the run proves nothing, because a fault could not be made or the
// counts of the upstreams could not be read.
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
	tell := &teller{to: cfg.Progress}
	for i, t := range s.Targets {
		group.Go(func() error {
			d, err := newDriver(cfg, t, tell)
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

// driver loads one target.
type driver struct {
	scene  *scene.Scenario
	target scene.Target
	flows  []scene.Flow
	asker  Asker
	remote *scene.Remote
	truth  *check.Truth
	rec    *result.Recorder
	tell   *teller
	// prefix makes request ids unique over runs and targets, since filings are
	// remembered.
	prefix string
	begin  time.Time // end of the warm-up
	room   chan struct{}

	mu      sync.Mutex
	filings []check.Filing
	refused []refusal
}

func newDriver(cfg Config, t scene.Target, tell *teller) (*driver, error) {
	flows, err := cfg.Scenario.Callers()
	if err != nil {
		return nil, err
	}
	d := &driver{
		scene:  cfg.Scenario,
		target: t,
		flows:  flows,
		remote: scene.NewRemote(t, cfg.Hook),
		truth: &check.Truth{
			Seed:     cfg.Scenario.DocumentSeed,
			Versions: cfg.Scenario.AllVersions(),
		},
		rec:    result.NewRecorder(cfg.Scenario.DurationMillis.Duration()),
		tell:   tell,
		prefix: uuid.NewString()[:8],
		room:   make(chan struct{}, maxInFlight),
	}
	for _, name := range t.Indexes() {
		d.truth.Indexes = append(d.truth.Indexes, check.Index{Name: name, Shards: t.Shards(name)})
	}
	if cfg.Asker != nil {
		d.asker = cfg.Asker(t)
	}
	if d.asker == nil {
		d.asker = newAsker(t)
	}
	return d, nil
}

func newAsker(t scene.Target) Asker {
	if t.Policy == scene.Entry {
		return NewEntries(t.Entries)
	}
	tries := 1
	if t.Policy == scene.Retry {
		tries = retryTries
	}
	return naive.New(naive.Config{
		Upstreams: upstreams(t),
		Attempts:  tries,
	})
}

func upstreams(t scene.Target) []config.Upstream {
	list := make([]config.Upstream, 0, len(t.Leaves))
	for _, l := range t.Leaves {
		list = append(list, l.Upstream)
	}
	return list
}

// run loads the target for the time of the scenario.
func (d *driver) run(ctx context.Context) (result.Target, error) {
	defer d.remote.Close()
	// A run before may have rolled the index over or left faults behind.
	if err := d.remote.Reset(ctx, d.scene.Versions); err != nil {
		return result.Target{}, err
	}
	before, err := d.remote.Stats(ctx)
	if err != nil {
		return result.Target{}, err
	}
	keep, stopKeeping := context.WithCancel(ctx)
	defer stopKeeping()
	var keeper errgroup.Group
	keeper.Go(func() error { return d.asker.Run(keep) })
	if p, ok := d.asker.(interface{ Probe(context.Context) }); ok {
		probe, cancel := context.WithTimeout(ctx, firstProbe)
		p.Probe(probe)
		cancel()
	}
	keeper.Go(func() error { return d.checkRefusals(keep) })
	happened := d.drive(ctx)
	stopKeeping()
	if err := keeper.Wait(); err != nil {
		return result.Target{}, err
	}
	// After an interrupt the counts are still read, to report what there is.
	after, err := d.settle(context.WithoutCancel(ctx))
	if err != nil {
		return result.Target{}, err
	}
	out := d.rec.Target(upstreams(d.target), before, after)
	out.Name = d.target.Name
	out.Policy = string(d.target.Policy)
	out.Events = d.events(happened)
	return out, scene.Problem(happened)
}

// drive starts all flows and events and waits for their end.
func (d *driver) drive(ctx context.Context) []scene.Happened {
	start := time.Now()
	d.begin = start.Add(d.scene.WarmupMillis.Duration())
	var flows, requests sync.WaitGroup
	for i, f := range d.flows {
		flows.Go(func() { d.generate(ctx, i, f, start, &requests) })
	}
	quiet := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { d.tell.watch(d, start, quiet) })
	happened := d.scene.Play(ctx, start, d.target.Name, d.remote, func(h scene.Happened) {
		d.tell.event(d.target.Name, h)
	})
	flows.Wait()
	requests.Wait()
	close(quiet)
	watch.Wait()
	return happened
}

// generate sends the requests of a flow at times that depend on the seed
// alone, so that all targets get the same load.
func (d *driver) generate(ctx context.Context, number int, f scene.Flow, start time.Time, requests *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(d.scene.Seed, uint64(number)))
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Duration(0)
	for n := 0; ; n++ {
		rate := f.PerSecond * d.scene.Surge(f.Name, d.target.Name, due)
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		r := request{
			flow:     f,
			id:       ident.RequestID(fmt.Sprintf("%s-%d-%d", d.prefix, number, n)),
			terms:    fmt.Sprintf("candidate %d", rng.IntN(candidates)),
			intended: start.Add(due),
			resend:   rng.Float64()*100 < f.ResendPercent,
		}
		if due >= d.scene.Whole() {
			return
		}
		timer.Reset(time.Until(r.intended))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case d.room <- struct{}{}:
		default:
			d.rec.Add(d.notSent(r))
			continue
		}
		requests.Go(func() {
			d.send(ctx, r)
			<-d.room
		})
	}
}

// settle waits until the upstreams have ended what they run, checks the
// filings and returns the counts.
func (d *driver) settle(ctx context.Context) ([]leafStats, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	tick := time.NewTicker(settlePoll)
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
			if err := d.checkRefused(ctx, time.Now()); err != nil {
				return nil, err
			}
			return stats, d.checkFilings(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, errors.Errorf("upstreams still run %d requests %s after the load: check whether a fault holds them", busy, settleTimeout)
		}
	}
}

func (d *driver) checkFilings(ctx context.Context) error {
	if len(d.filings) == 0 {
		return nil
	}
	ran, err := d.remote.Filings(ctx)
	if err != nil {
		return err
	}
	d.rec.Violate(check.Filings(d.filings, ran))
	return nil
}

// events pairs starts and ends, with times from the end of the warm-up.
func (d *driver) events(happened []scene.Happened) []result.Event {
	var list []result.Event
	for i, h := range happened {
		if !h.On {
			continue
		}
		e := result.Event{
			Title: h.Event.Title(),
			Start: h.At - d.scene.WarmupMillis.Duration(),
		}
		for _, later := range happened[i+1:] {
			if !later.On && later.Event == h.Event {
				e.End = later.At - d.scene.WarmupMillis.Duration()
				break
			}
		}
		list = append(list, e)
	}
	return list
}
