package dial

import (
	"context"
	"io"
	"time"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Probe asks an upstream for a health report over a connection of its pool.
// It ends in one UpstreamReported or ProbeFailed.
func (c *Client) Probe(pr engine.Probe) {
	if !c.start() {
		return
	}
	go func() {
		defer c.work.Done()
		c.config.Emit(c.probe(pr))
	}()
}

func (c *Client) probe(pr engine.Probe) engine.Event {
	failed := engine.ProbeFailed{Upstream: pr.Upstream}
	// Waiting for a turn or for a connection that attempts have in use is no
	// sign of a bad upstream, so the timeout starts with the connection.
	ctx, cancel := context.WithTimeout(c.base, probeWait)
	defer cancel()
	select {
	case c.probes <- struct{}{}:
		defer func() { <-c.probes }()
	case <-ctx.Done():
		return failed
	}
	p := c.pool(pr.Upstream)
	if p == nil {
		return failed
	}
	p.sweep()
	limit := time.AfterFunc(probeWait, cancel)
	defer limit.Stop()
	var h wire.LeafHealth
	f := c.call(ctx, p, &exchange{
		path:      p.health,
		connected: func() { limit.Reset(c.config.ProbeTimeout) },
		decode: func(r io.Reader) (err error) {
			h, err = wire.DecodeLeafHealth(r)
			return err
		},
	})
	if f != nil {
		return failed
	}
	return engine.UpstreamReported{
		Upstream: pr.Upstream,
		Health:   h.Health,
		Load:     h.Load,
		Held:     h.Held,
	}
}

// File sends a filing once. A Failure whose NotRun is true means that it
// provably did not run; after any other one its outcome is unknown. Nothing is
// sent after the time until, also if a connection is free only then.
func (c *Client) File(ctx context.Context, id ident.Upstream, raw []byte, until time.Time, traceparent string) (filed wire.LeafFiled, f *Failure) {
	p := c.pool(id)
	if p == nil || !c.start() {
		return filed, &Failure{
			Kind: engine.Refused,
			Err:  errNoConnection,
		}
	}
	defer c.work.Done()
	f = c.call(ctx, p, &exchange{
		path:        p.file,
		body:        raw,
		traceparent: traceparent,
		until:       until,
		decode: func(r io.Reader) (err error) {
			filed, err = wire.DecodeLeafFiled(r)
			return err
		},
	})
	return filed, f
}
