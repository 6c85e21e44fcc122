// Package devel runs a small but complete deployment on loopback in one process:
// stand-in upstreams of an example shape, control hosts and entry hosts. Each
// has its own listeners, and they communicate as separate processes would.
package devel

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/sample"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config describes a deployment.
type Config struct {
	// Shape is the name of an example shape: thesiswell or hanbit.
	Shape string
	// Factor scales the number of services; zero means 1.
	Factor float64
	// Entries is the number of entry hosts, distributed over the failure
	// domains.
	Entries int
	// Controls is the number of control hosts; zero means 1.
	Controls int
	// Folder holds the data folders of the control hosts.
	Folder string
	// EntryListen and ControlListen are the addresses of the first entry and
	// control host; if empty, they listen on free ports. All other hosts always
	// listen on free ports.
	EntryListen   string
	ControlListen string
	// Policy selects the query policy of the entry hosts.
	Policy engine.Policy
	// Seed makes documents, service times and faults reproducible.
	Seed uint64
	// ServiceTime is the distribution of service times; a zero Median means 4 ms.
	ServiceTime leaf.ServiceTime
	// TraceRatio is the fraction of requests that are traced, from 0 to 1.
	TraceRatio float64
	// Grace is the time from when the health check of a stopping entry host
	// starts to fail until the host refuses requests; zero means 2 s.
	Grace time.Duration
	// Log receives the logs of all hosts; nil discards them.
	Log *slog.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	Shape    sample.Deployment
	Leaves   []*leaf.Leaf
	Controls []*ctrl.Host
	// Entries are the entry hosts in the order of their start. A host that was
	// stopped stays in the list until RemoveEntry removes it.
	Entries []*Entry

	cfg Config
	// entriesStarted counts all AddEntry calls, so that no host id is used twice.
	entriesStarted int
	// backends runs the upstreams and control hosts, frontends the entry hosts.
	// The entry hosts stop first, so that requests in flight can still reach
	// their upstreams.
	backends, frontends         *errgroup.Group
	stopBackends, stopFrontends context.CancelFunc
	frontendsCtx                context.Context
}

// Start starts a deployment and returns when all its hosts have been started.
// The caller must call Stop, except after an error.
func Start(cfg Config) (*Deployment, error) {
	cfg = cfg.withDefaults()
	backendsCtx, stopBackends := context.WithCancel(context.Background())
	frontendsCtx, stopFrontends := context.WithCancel(context.Background())
	d := &Deployment{
		cfg:           cfg,
		stopBackends:  stopBackends,
		stopFrontends: stopFrontends,
	}
	d.backends, backendsCtx = errgroup.WithContext(backendsCtx)
	d.frontends, d.frontendsCtx = errgroup.WithContext(frontendsCtx)
	for _, step := range []func() error{
		func() error { return d.startLeaves(backendsCtx) },
		func() error { return d.startControls(backendsCtx) },
		func() error { return d.addUpstreams(backendsCtx) },
		d.startEntries,
	} {
		if err := step(); err != nil {
			return nil, errors.Wrap(firstError(err, d.Stop()), "deployment did not start")
		}
	}
	return d, nil
}

// Stop shuts all hosts down gracefully, the entry hosts first, waits until they
// have stopped and returns the first error.
func (d *Deployment) Stop() error {
	d.stopFrontends()
	err := d.frontends.Wait()
	d.stopBackends()
	return firstError(err, d.backends.Wait())
}

// Wait waits until all entry hosts have stopped and returns the first error. If
// one of them fails, the others are stopped.
func (d *Deployment) Wait() error { return d.frontends.Wait() }

// EntryAddress returns the address of the first entry host for callers.
func (d *Deployment) EntryAddress() string { return d.Entries[0].Address() }

// ControlAddresses returns the operator addresses of all control hosts.
func (d *Deployment) ControlAddresses() []string {
	list := make([]string, 0, len(d.Controls))
	for _, c := range d.Controls {
		list = append(list, c.Addr())
	}
	return list
}

// ControlAddress returns the operator address of the first control host.
func (d *Deployment) ControlAddress() string { return d.Controls[0].Addr() }

func (c Config) withDefaults() Config {
	if c.Factor == 0 {
		c.Factor = 1
	}
	c.Controls = max(c.Controls, 1)
	if c.ServiceTime.Median == 0 {
		c.ServiceTime = leaf.ServiceTime{
			Median: defaultServiceMedian,
			Sigma:  defaultServiceSigma,
		}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.EntryListen == "" {
		c.EntryListen = freePort
	}
	if c.ControlListen == "" {
		c.ControlListen = freePort
	}
	return c
}

func (d *Deployment) startLeaves(ctx context.Context) error {
	build := sample.Thesiswell
	if d.cfg.Shape == "hanbit" {
		build = sample.Hanbit
	}
	d.Shape = build(d.cfg.Factor, func(config.Upstream) string { return freePort })
	for i, l := range d.Shape.Leaves {
		up, err := leaf.New(leaf.Config{
			Upstream:     l.Upstream,
			Control:      freePort,
			Seed:         d.cfg.Seed,
			Versions:     []ident.IndexVersion{1},
			QueueBound:   leafQueueBound,
			ConnectDelay: l.Connect,
			ServiceTime:  d.cfg.ServiceTime,
			Log:          d.cfg.Log,
		})
		if err != nil {
			return err
		}
		d.Shape.Leaves[i].Upstream.Address = up.Address()
		d.Leaves = append(d.Leaves, up)
		d.backends.Go(func() error { return up.Run(ctx) })
	}
	return nil
}

func (d *Deployment) startControls(ctx context.Context) error {
	members, err := firstMembers(d.cfg.Folder, d.cfg.Controls, d.controlFolder)
	if err != nil {
		return err
	}
	for i, m := range members {
		listen := freePort
		if i == 0 {
			listen = d.cfg.ControlListen
		}
		h, err := ctrl.New(ctrl.Config{
			Folder:    d.controlFolder(i),
			Listen:    listen,
			Address:   m.Address,
			Bootstrap: members,
			Log:       d.cfg.Log,
		})
		if err != nil {
			return err
		}
		d.Controls = append(d.Controls, h)
		d.backends.Go(func() error { return h.Run(ctx) })
	}
	return nil
}

func (d *Deployment) controlFolder(i int) string {
	return filepath.Join(d.cfg.Folder, fmt.Sprintf("control-%d", i+1))
}

// addUpstreams adds the upstreams to the configuration. A reused data folder
// still lists them with the addresses of an earlier run; those are replaced.
func (d *Deployment) addUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	state, err := d.leaderConfig(ctx)
	if err != nil {
		return err
	}
	version := state.Version
	apply := func(change config.Change) error {
		out := d.Controls[0].Command(ctx, config.Command{
			ID:     ident.CommandID(uuid.NewString()),
			Expect: version,
			Change: change,
		})
		if out.Kind != config.Accepted {
			return errors.Errorf("change %T of the example deployment ended as %s: %s", change, out.Kind, out.Remedy)
		}
		version = out.Version
		return nil
	}
	for _, u := range d.Shape.Upstreams() {
		if _, ok := state.FindUpstream(u.ID); ok {
			if err := firstError(apply(config.RetireUpstream{ID: u.ID}), apply(config.RemoveUpstream{ID: u.ID})); err != nil {
				return err
			}
		}
		if err := apply(config.AddUpstream{Upstream: u}); err != nil {
			return err
		}
	}
	return nil
}

// leaderConfig waits until a control host is leader and has applied its complete
// log, and returns its configuration.
func (d *Deployment) leaderConfig(ctx context.Context) (*config.State, error) {
	tick := time.NewTicker(leaderPollInterval)
	defer tick.Stop()
	for {
		for _, h := range d.Controls {
			st, err := h.Status(ctx)
			if err != nil {
				return nil, err
			}
			if st.Lease && st.Applied == st.Last {
				return h.Config(ctx)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "no control host became leader")
		}
	}
}

// controlSources returns the control hosts from which entry hosts follow the
// configuration.
func (d *Deployment) controlSources() []follow.Source {
	list := make([]follow.Source, 0, len(d.Controls))
	for i, c := range d.Controls {
		list = append(list, follow.Source{
			Domain:  d.Shape.Domains[i%len(d.Shape.Domains)],
			Address: c.LinkAddr(),
		})
	}
	return list
}
