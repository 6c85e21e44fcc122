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
	commandTimeout  = 10 * time.Second
	commandAttempts = 10

	// retireGrace is the time within which a retired upstream must stop getting
	// requests.
	retireGrace = 2 * time.Second
)

// operator simulates an operator who changes the configuration and replaces
// entry hosts during a soak. It handles one event at a time.
type operator struct {
	d       *devel.Deployment
	entries *load.EntryClient
	client  *admin.Client
	http    *http.Client

	mu       sync.Mutex
	retired  map[ident.Upstream]time.Time
	commands int
	replaced int
	lateWork int // retired upstreams that got requests after retireGrace
}

func newOperator(d *devel.Deployment, entries *load.EntryClient) *operator {
	o := &operator{
		d:       d,
		entries: entries,
		http:    &http.Client{Transport: &http.Transport{}},
		retired: make(map[ident.Upstream]time.Time),
	}
	cfg := admin.Config{
		Timeout: commandTimeout,
		HTTP:    o.http,
	}
	for _, c := range d.Controls {
		cfg.Controls = append(cfg.Controls, c.Addr())
	}
	o.client = admin.NewClient(cfg)
	return o
}

func (o *operator) close() { o.http.CloseIdleConnections() }

// handle implements scene.HookFunc.
func (o *operator) handle(ctx context.Context, _ string, e scene.Event, on bool) error {
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
		return o.runCommand(ctx, config.SwitchPreset{Name: name})
	case hookRetire:
		return o.retire(ctx, ident.Upstream(e.Label), on)
	}
	return errors.Errorf("unknown soak event %q", e.Match)
}

// replace adds an entry host when the event starts (on), and stops the oldest
// one when it ends.
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

// retire retires an upstream when the event starts (on), and removes and adds it
// again when it ends.
func (o *operator) retire(ctx context.Context, id ident.Upstream, on bool) error {
	if on {
		err := o.runCommand(ctx, config.RetireUpstream{ID: id})
		o.retired[id] = time.Now()
		return err
	}
	for i, l := range o.d.Shape.Leaves {
		if l.Upstream.ID != id {
			continue
		}
		if o.d.Leaves[i].Stats().LastRequest.After(o.retired[id].Add(retireGrace)) {
			o.lateWork++
		}
		if err := o.runCommand(ctx, config.RemoveUpstream{ID: id}); err != nil {
			return err
		}
		return o.runCommand(ctx, config.AddUpstream{Upstream: l.Upstream})
	}
	return errors.Errorf("upstream %q is not in the deployment", id)
}

// runCommand sends a change until it is accepted. After an unknown outcome it
// sends the same command ID again, so that the change is applied only once.
func (o *operator) runCommand(ctx context.Context, change config.Change) error {
	var id ident.CommandID
	var expect *ident.ConfigVersion
	var last config.Outcome
	for range commandAttempts {
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
	return errors.Errorf("change %T ended as %s after %d attempts: %s", change, last.Kind, commandAttempts, last.Remedy)
}
