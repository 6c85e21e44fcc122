package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/admin"
	"github.com/jujubethread/jujubethread/internal/devel"
	"github.com/jujubethread/jujubethread/internal/load"
	"github.com/jujubethread/jujubethread/internal/scene"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

const (
	orderTimeout = 10 * time.Second
	orderTries   = 10

	// leavingWork is the time after which a leaving upstream gets no new work.
	leavingWork = 2 * time.Second
)

// operator sends the commands of a soak and replaces entry hosts. Its events
// come one at a time.
type operator struct {
	d       *devel.Deployment
	entries *load.Entries
	client  *admin.Client
	http    *http.Client

	mu       sync.Mutex
	retired  map[ident.Upstream]time.Time
	commands int
	replaced int
	late     int // retired upstreams that got work after leavingWork
}

func newOperator(d *devel.Deployment, entries *load.Entries) *operator {
	o := &operator{
		d:       d,
		entries: entries,
		http:    &http.Client{Transport: &http.Transport{}},
		retired: make(map[ident.Upstream]time.Time),
	}
	cfg := admin.Config{
		Timeout: orderTimeout,
		HTTP:    o.http,
	}
	for _, c := range d.Controls {
		cfg.Controls = append(cfg.Controls, c.Addr())
	}
	o.client = admin.NewClient(cfg)
	return o
}

func (o *operator) close() { o.http.CloseIdleConnections() }

// do carries an event out; it is a scene.HookFunc.
func (o *operator) do(ctx context.Context, _ string, e scene.Event, on bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e.Match {
	case hookReplace:
		return o.replace(on)
	case hookPreset:
		name := preset.Ordinary
		if on {
			name = preset.Peak
		}
		return o.command(ctx, config.SwitchPreset{Name: name})
	case hookRetire:
		return o.retire(ctx, ident.Upstream(e.Label), on)
	}
	return errors.Errorf("event %q does not exist in the soak", e.Match)
}

// replace adds an entry host, and stops the oldest one when the event ends.
func (o *operator) replace(on bool) error {
	if on {
		e, err := o.d.AddEntry()
		if err != nil {
			return err
		}
		o.entries.Add(e.Address())
		return nil
	}
	oldest := o.d.Entries[0]
	err := o.d.RemoveEntry(oldest)
	o.entries.Remove(oldest.Address())
	o.replaced++
	return err
}

// retire retires an upstream, and adds it again when the event ends.
func (o *operator) retire(ctx context.Context, id ident.Upstream, on bool) error {
	if on {
		err := o.command(ctx, config.RetireUpstream{ID: id})
		o.retired[id] = time.Now()
		return err
	}
	for i, l := range o.d.Shape.Leaves {
		if l.Upstream.ID != id {
			continue
		}
		if o.d.Leaves[i].Stats().LastRequest.After(o.retired[id].Add(leavingWork)) {
			o.late++
		}
		if err := o.command(ctx, config.RemoveUpstream{ID: id}); err != nil {
			return err
		}
		return o.command(ctx, config.AddUpstream{Upstream: l.Upstream})
	}
	return errors.Errorf("upstream %q does not exist in the deployment", id)
}

// command sends a change until it is accepted. An unknown outcome is asked for
// again under the same id, so that the change is applied once.
func (o *operator) command(ctx context.Context, change config.Change) error {
	var id ident.CommandID
	var expect *ident.ConfigVersion
	var last config.Outcome
	for range orderTries {
		cmd, out, err := o.client.Run(ctx, id, expect, change)
		if err != nil {
			return err
		}
		o.commands++
		switch out.Kind {
		case config.Accepted:
			return nil
		case config.Unknown:
			id, expect = cmd.ID, &cmd.Expect
		default:
			id, expect = "", nil
		}
		last = out
	}
	return errors.Errorf("change %T ended as %s after %d tries: %s", change, last.Kind, orderTries, last.Remedy)
}
