package dial

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Probe requests a health report from an upstream over a connection of its
// pool. It emits one UpstreamReported or ProbeFailed.
func (c *Client) Probe(probe engine.Probe) {
	if !c.startWork() {
		return
	}
	go func() {
		defer c.work.Done()
		c.config.Emit(c.probe(probe))
	}()
}

func (c *Client) probe(probe engine.Probe) engine.Event {
	failed := engine.ProbeFailed{Upstream: probe.Upstream}
	// Waiting for a probe slot or for a connection in use by attempts does not
	// mean that the upstream is unhealthy, so ProbeTimeout starts only when the
	// probe has its connection.
	ctx, cancel := context.WithTimeout(c.baseCtx, probeTotalTimeout)
	defer cancel()
	select {
	case c.probeSlots <- struct{}{}:
		defer func() { <-c.probeSlots }()
	case <-ctx.Done():
		return failed
	}
	p := c.activePool(probe.Upstream)
	if p == nil {
		return failed
	}
	p.closeDeadSpares()
	timeout := time.AfterFunc(probeTotalTimeout, cancel)
	defer timeout.Stop()
	var health wire.LeafHealth
	failure := c.call(ctx, p, &exchange{
		template:    p.health,
		onConnected: func() { timeout.Reset(c.config.ProbeTimeout) },
		decode: func(r io.Reader) (err error) {
			health, err = wire.DecodeLeafHealth(r)
			return err
		},
	})
	if failure != nil {
		return failed
	}
	return engine.UpstreamReported{
		Upstream: probe.Upstream,
		Health:   health.Health,
		Load:     health.Load,
		Held:     health.Held,
	}
}

// File sends a filing at most once. After a Failure whose NotRun is true it
// provably did not run; after any other failure its outcome is unknown. If no
// connection is available before sendBefore, nothing is sent.
func (c *Client) File(ctx context.Context, id ident.Upstream, filing wire.LeafFile, sendBefore time.Time, traceparent string) (filed wire.LeafFiled, failure *Failure) {
	body, err := wire.Encode(filing)
	if err != nil {
		return filed, &Failure{
			Kind: engine.Refused,
			Err:  errors.Wrap(err, "filing cannot be encoded: report this as a bug"),
		}
	}
	p := c.activePool(id)
	if p == nil || !c.startWork() {
		return filed, &Failure{
			Kind: engine.Refused,
			Err:  errNoConnection,
		}
	}
	defer c.work.Done()
	failure = c.call(ctx, p, &exchange{
		template:    p.file,
		body:        body,
		traceparent: traceparent,
		sendBefore:  sendBefore,
		decode: func(r io.Reader) (err error) {
			filed, err = wire.DecodeLeafFiled(r)
			return err
		},
		call: wire.LeafError{
			Request: filing.Request,
			Fence:   filing.Fence,
		},
	})
	return filed, failure
}
