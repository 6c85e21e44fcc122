package devel

import (
	"context"
	"fmt"
	"net"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/agent"
	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Entry is one entry host of a deployment.
type Entry struct {
	ID    ident.HostID
	Host  *host.Host
	Agent *agent.Agent

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Address returns the address that callers connect to.
func (e *Entry) Address() string { return e.Host.Addr().String() }

// Stop shuts the entry host down gracefully and returns when it has stopped.
func (e *Entry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

func (d *Deployment) startEntries() error {
	for range d.cfg.Entries {
		if _, err := d.AddEntry(); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts one more entry host. It serves once it has a configuration
// and a seat.
func (d *Deployment) AddEntry() (*Entry, error) {
	i := d.entriesStarted
	d.entriesStarted++
	address := freePort
	if i == 0 {
		address = d.cfg.EntryListen
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "entry host cannot listen on %s: free the address or choose another", address)
	}
	e := &Entry{
		ID:   ident.HostID(fmt.Sprintf("entry-%d", i+1)),
		done: make(chan struct{}),
	}
	tracer, err := span.New(span.Config{
		Host:  e.ID,
		Ratio: d.cfg.TraceRatio,
	})
	if err != nil {
		return nil, err
	}
	metrics := stats.New()
	if err := d.initEntry(e, i, listener, tracer, metrics); err != nil {
		return nil, err
	}
	d.Entries = append(d.Entries, e)
	ctx, cancel := context.WithCancel(d.frontendsCtx)
	e.stop = cancel
	d.frontends.Go(func() error {
		defer close(e.done)
		e.err = firstError(e.run(ctx), tracer.Close(context.WithoutCancel(ctx)), metrics.Close())
		return e.err
	})
	return e, nil
}

// RemoveEntry stops an entry host gracefully and removes it from Entries.
func (d *Deployment) RemoveEntry(e *Entry) error {
	err := e.Stop()
	d.Entries = slices.DeleteFunc(d.Entries, func(other *Entry) bool { return other == e })
	return err
}

func (d *Deployment) initEntry(e *Entry, i int, listener net.Listener, tracer *span.Tracer, metrics *stats.Stats) error {
	domain := d.Shape.Domains[i%len(d.Shape.Domains)]
	log := d.cfg.Log.With("Host", string(e.ID), "Domain", string(domain))
	var err error
	e.Agent, err = agent.New(agent.Config{
		Host:     e.ID,
		Domain:   domain,
		Listen:   freePort,
		Controls: d.controlSources(),
		Log:      log,
	})
	if err != nil {
		return err
	}
	queryEngine := engine.NewEngine(engine.Config{
		Host:   e.ID,
		Domain: domain,
		Seed:   d.cfg.Seed + uint64(i),
		Policy: d.cfg.Policy,
	})
	e.Host, err = host.New(host.Config{
		ID:       e.ID,
		Domain:   domain,
		Listener: listener,
		Engine:   queryEngine,
		Control:  e.Agent,
		Grace:    d.cfg.Grace,
		Stats:    metrics,
		Tracer:   tracer,
		Log:      log,
		Depths:   host.DepthsOf(queryEngine),
	})
	return err
}

// run stops the agent only after the host has drained, so that the outcomes of
// the last filings are recorded.
func (e *Entry) run(ctx context.Context) error {
	agentCtx, stopAgent := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return e.Agent.Run(agentCtx) })
	err := e.Host.Run(ctx)
	stopAgent()
	return firstError(err, group.Wait())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
