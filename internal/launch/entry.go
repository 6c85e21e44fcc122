package launch

import (
	"context"
	"fmt"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/agent"
	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/logs"
	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/follow"
)

// recordBytes bounds a record of the engine: about 250,000 leaf calls at 1.1 KB.
const recordBytes = 256 << 20

// entry serves callers until it is interrupted; then it drains.
func (j *job) entry(ctx context.Context) error {
	o := j.opt
	log, err := logs.New(j.err, logs.Config{
		Host:   o.Host,
		Domain: o.Domain,
		Level:  o.LogLevel,
	})
	if err != nil {
		return err
	}
	control, err := agent.New(agent.Config{
		Host:      o.Host,
		Domain:    o.Domain,
		Listen:    o.LinkListen,
		Advertise: o.Advertise,
		Controls:  sources(o.Controls),
		Peers:     sources(o.Peers),
		Link:      j.linkConfig(),
		Log:       log,
	})
	if err != nil {
		return err
	}
	queries := engine.NewEngine(j.engineConfig())
	reducer, endRecord, err := j.reducer(queries, func(err error) { log.Warn("recording stopped", "error", err) })
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
	meter := stats.New()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrapf(err, "callers' address %s cannot be opened: free it or choose another with -listen", o.Listen)
	}
	h, err := host.New(host.Config{
		ID:       o.Host,
		Domain:   o.Domain,
		Listener: listener,
		Engine:   reducer,
		Control:  control,
		Grace:    o.Grace,
		Stats:    meter,
		Tracer:   tracer,
		Log:      log,
		Depths:   host.DepthsOf(queries),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(j.out, "entry host %s: callers at %s, other hosts at %s\n", o.Host, h.Addr(), control.Address())
	err = serveEntry(ctx, h, control)
	for _, end := range []func() error{endRecord, func() error { return tracer.Close(context.WithoutCancel(ctx)) }, meter.Close} {
		if endErr := end(); err == nil {
			err = endErr
		}
	}
	return err
}

// serveEntry runs the agent until after the host has drained, so that the
// outcomes of the last filings are recorded. A failed agent drains the host.
func serveEntry(ctx context.Context, h *host.Host, control *agent.Agent) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	serving, drain := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer drain()
		return control.Run(life)
	})
	group.Go(func() error {
		defer end()
		return h.Run(serving)
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

// reducer returns the query engine, recorded if the settings say so.
func (j *job) reducer(e *engine.Engine, failed func(error)) (host.Reducer, func() error, error) {
	if j.opt.RecordFile == "" {
		return e, func() error { return nil }, nil
	}
	r, err := replay.NewRecorder(replay.Config{
		Path:     j.opt.RecordFile,
		MaxBytes: recordBytes,
		Reducer:  replay.ReducerEngine,
		Setup:    j.engineConfig(),
		Failed:   failed,
	}, e.Step)
	if err != nil {
		return nil, nil, err
	}
	return r, r.Close, nil
}

// sources turns addresses into sources. Their domains are learned from the
// control group.
func sources(addresses []string) []follow.Source {
	list := make([]follow.Source, 0, len(addresses))
	for _, a := range addresses {
		list = append(list, follow.Source{Address: a})
	}
	return list
}
