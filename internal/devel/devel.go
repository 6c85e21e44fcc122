// Package devel runs a whole small deployment on loopback in one process: the
// stand-in upstreams of an example shape, control hosts and entry hosts, each
// with its own listeners, talking to each other as separate processes would.
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
	// Shape is thesiswell or hanbit.
	Shape string
	// Factor scales the number of services; zero means 1.
	Factor float64
	// Entries is the number of entry hosts, spread over the domains.
	Entries int
	// Controls is the number of control hosts; zero means 1.
	Controls int
	// Folder holds the data folders of the control hosts.
	Folder string
	// EntryListen and ControlListen are the addresses of the first entry and
	// control host; empty takes free ports. The others always take free ports.
	EntryListen   string
	ControlListen string
	// Policy selects the policy of the entry hosts.
	Policy engine.Policy
	// Seed makes documents, service times and faults reproducible.
	Seed uint64
	// Service is the distribution of service times; a zero Median means 4 ms.
	Service leaf.ServiceTime
	// TraceRatio is the share of requests that are traced, 0 to 1.
	TraceRatio float64
	// Grace is the time between a failing health check and refused requests.
	Grace time.Duration
	// Log may be nil.
	Log *slog.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	Shape    sample.Deployment
	Leaves   []*leaf.Leaf
	Controls []*ctrl.Host
	// Entries are the entry hosts in the order of their start, the stopped ones
	// included unless RemoveEntry stopped them.
	Entries []*Entry

	cfg Config
	// started counts the entry hosts ever started, so that no id is used twice.
	started int
	// back runs the upstreams and control hosts, front the entry hosts. The
	// front stops first, so that no request in flight loses its upstreams.
	back, front         *errgroup.Group
	stopBack, stopFront context.CancelFunc
	frontCtx            context.Context
}

// Start starts a deployment and returns when every entry host serves. Stop
// must follow.
func Start(cfg Config) (*Deployment, error) {
	cfg = cfg.withDefaults()
	back, stopBack := context.WithCancel(context.Background())
	front, stopFront := context.WithCancel(context.Background())
	d := &Deployment{
		cfg:       cfg,
		stopBack:  stopBack,
		stopFront: stopFront,
	}
	d.back, back = errgroup.WithContext(back)
	d.front, d.frontCtx = errgroup.WithContext(front)
	for _, step := range []func() error{
		func() error { return d.startLeaves(back) },
		func() error { return d.startControl(back) },
		func() error { return d.addUpstreams(back) },
		d.startEntries,
	} {
		if err := step(); err != nil {
			return nil, errors.Wrap(firstOf(err, d.Stop()), "deployment did not start")
		}
	}
	return d, nil
}

// Stop ends all hosts gracefully, the entry hosts first, and waits for them.
func (d *Deployment) Stop() error {
	d.stopFront()
	err := d.front.Wait()
	d.stopBack()
	return firstOf(err, d.back.Wait())
}

// Wait returns when an entry host stopped by itself, or all of them did.
func (d *Deployment) Wait() error { return d.front.Wait() }

// EntryAddress returns the address of the first entry host.
func (d *Deployment) EntryAddress() string { return d.Entries[0].Address() }

// ControlAddresses returns the operator addresses of all control hosts.
func (d *Deployment) ControlAddresses() []string {
	list := make([]string, 0, len(d.Controls))
	for _, c := range d.Controls {
		list = append(list, c.Addr())
	}
	return list
}

// ControlAddress returns the address of the first control host.
func (d *Deployment) ControlAddress() string { return d.Controls[0].Addr() }

func (c Config) withDefaults() Config {
	if c.Factor == 0 {
		c.Factor = 1
	}
	c.Controls = max(c.Controls, 1)
	if c.Service.Median == 0 {
		c.Service = leaf.ServiceTime{
			Median: defaultMedian,
			Sigma:  defaultSigma,
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
			QueueBound:   leafWaiting,
			ConnectDelay: l.Connect,
			ServiceTime:  d.cfg.Service,
			Log:          d.cfg.Log,
		})
		if err != nil {
			return err
		}
		d.Shape.Leaves[i].Upstream.Address = up.Address()
		d.Leaves = append(d.Leaves, up)
		d.back.Go(func() error { return up.Run(ctx) })
	}
	return nil
}

// startControl starts the control hosts.
func (d *Deployment) startControl(ctx context.Context) error {
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
		d.back.Go(func() error { return h.Run(ctx) })
	}
	return nil
}

func (d *Deployment) controlFolder(i int) string {
	return filepath.Join(d.cfg.Folder, fmt.Sprintf("control-%d", i+1))
}

// addUpstreams puts the upstreams into the configuration. A data folder that
// is used again knows them by old addresses, so these are replaced.
func (d *Deployment) addUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s, err := d.leader(ctx)
	if err != nil {
		return err
	}
	version := s.Version
	run := func(change config.Change) error {
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
		if _, ok := s.FindUpstream(u.ID); ok {
			if err := firstOf(run(config.RetireUpstream{ID: u.ID}), run(config.RemoveUpstream{ID: u.ID})); err != nil {
				return err
			}
		}
		if err := run(config.AddUpstream{Upstream: u}); err != nil {
			return err
		}
	}
	return nil
}

// leader waits until a control host leads with its whole log applied and
// returns its configuration.
func (d *Deployment) leader(ctx context.Context) (*config.State, error) {
	tick := time.NewTicker(retryPause)
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

// sources returns the control hosts as the entry hosts know them.
func (d *Deployment) sources() []follow.Source {
	list := make([]follow.Source, 0, len(d.Controls))
	for i, c := range d.Controls {
		list = append(list, follow.Source{
			Domain:  d.Shape.Domains[i%len(d.Shape.Domains)],
			Address: c.LinkAddr(),
		})
	}
	return list
}
