package launch

import (
	"context"
	"fmt"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/agent"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/logs"
	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/follow"
)

// maxRecordBytes bounds the file that records the engine's events: about 250,000
// leaf calls of 1.1 KB each.
const maxRecordBytes = 256 << 20

// entry serves callers until it is interrupted, then drains.
func (j *job) entry(ctx context.Context) error {
	o := j.opt
	log, err := logs.New(j.errOut, logs.Config{
		Host:   o.Host,
		Domain: o.Domain,
		Level:  o.LogLevel,
	})
	if err != nil {
		return err
	}
	go j.logHangups(log)
	guard.SetMemoryLimit(o.Memory)
	controlAgent, err := agent.New(agent.Config{
		Host:      o.Host,
		Domain:    o.Domain,
		Listen:    o.LinkListen,
		Advertise: o.Advertise,
		Controls:  sources(o.Controls),
		Peers:     sources(o.Peers),
		Link:      j.guardedLink(log, false),
		Log:       log,
	})
	if err != nil {
		return err
	}
	queryEngine := engine.NewEngine(j.engineConfig())
	reducer, closeRecord, err := j.reducer(queryEngine, func(err error) { log.Warn("recording stopped", "error", err) })
	if err != nil {
		return err
	}
	tracer, err := span.New(span.Config{
		Host:  o.Host,
		Ratio: o.TraceRatio,
		File:  o.TraceFile,
	})
	if err != nil {
		return err
	}
	metrics := stats.New()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrapf(err, "callers' address %s cannot be opened: free it or choose another with -listen", o.Listen)
	}
	h, err := host.New(host.Config{
		ID:       o.Host,
		Domain:   o.Domain,
		Listener: listener,
		Engine:   reducer,
		Control:  controlAgent,
		Grace:    o.Grace,
		Stats:    metrics,
		Tracer:   tracer,
		Log:      log,
		Depths:   host.DepthsOf(queryEngine),

		Memory:      o.Memory,
		Descriptors: o.Descriptors,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(j.out, "entry host %s: callers at %s, other hosts at %s\n", o.Host, h.Addr(), controlAgent.Address())
	err = serveEntry(ctx, h, controlAgent)
	for _, closeOutput := range []func() error{closeRecord, func() error { return tracer.Close(context.WithoutCancel(ctx)) }, metrics.Close} {
		if closeErr := closeOutput(); err == nil {
			err = closeErr
		}
	}
	return err
}

// serveEntry stops the agent only after the host has drained, so that the
// outcomes of the last filings are recorded. If the agent fails, the host
// drains.
func serveEntry(ctx context.Context, h *host.Host, controlAgent *agent.Agent) error {
	agentCtx, stopAgent := context.WithCancel(context.WithoutCancel(ctx))
	hostCtx, drainHost := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer drainHost()
		return controlAgent.Run(agentCtx)
	})
	group.Go(func() error {
		defer stopAgent()
		return h.Run(hostCtx)
	})
	return group.Wait()
}

func (j *job) engineConfig() engine.Config {
	return engine.Config{
		Host:   j.opt.Host,
		Domain: j.opt.Domain,
		Seed:   j.opt.Seed,
	}
}

// reducer returns the query engine, with a recorder around it if a record file
// is set, and a function that closes the record. It calls onFailure if
// recording stops early.
func (j *job) reducer(e *engine.Engine, onFailure func(error)) (host.Reducer, func() error, error) {
	if j.opt.RecordFile == "" {
		return e, func() error { return nil }, nil
	}
	r, err := replay.NewRecorder(replay.Config{
		Path:     j.opt.RecordFile,
		MaxBytes: maxRecordBytes,
		Reducer:  replay.ReducerEngine,
		Setup:    j.engineConfig(),
		Failed:   onFailure,
	}, e.Step)
	if err != nil {
		return nil, nil, err
	}
	return r, r.Close, nil
}

// sources returns configuration sources with the given addresses. Their failure
// domains are unset; the agent learns them from the control group.
func sources(addresses []string) []follow.Source {
	list := make([]follow.Source, 0, len(addresses))
	for _, a := range addresses {
		list = append(list, follow.Source{Address: a})
	}
	return list
}
