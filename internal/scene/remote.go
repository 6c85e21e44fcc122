package scene

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/fault"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	controlTimeout   = 5 * time.Second
	controlParallel  = 32
	maxStatsBytes    = 64 << 20
	maxProblemBytes  = 4 << 10
	idleControlConns = 2
	// remembered covers several seconds of one upstream's load.
	remembered = 5_000
)

// HookFunc does what an event Hook stands for, and undoes it when on is false.
type HookFunc func(ctx context.Context, target string, e Event, on bool) error

// Remote carries events out through the control paths of upstreams and fault
// proxies, and reads the counts of the upstreams.
type Remote struct {
	target Target
	hook   HookFunc
	client *http.Client

	mu     sync.Mutex
	faults map[ident.Upstream]leaf.Faults
}

// NewRemote returns a Remote for a target. hook may be nil if the scenario has
// no event Hook.
func NewRemote(t Target, hook HookFunc) *Remote {
	return &Remote{
		target: t,
		hook:   hook,
		client: &http.Client{
			Timeout:   controlTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: idleControlConns},
		},
		faults: make(map[ident.Upstream]leaf.Faults),
	}
}

// Close frees the connections.
func (r *Remote) Close() { r.client.CloseIdleConnections() }

// Do starts an event, or ends it when on is false.
func (r *Remote) Do(ctx context.Context, e Event, on bool) error {
	switch e.Do {
	case Mark, Surge: // Scenario.Surge tells the callers
		return nil
	case Hook:
		if r.hook == nil {
			return errors.Errorf("event %q needs a program that does it: run it from there, or leave it out", e.Title())
		}
		return r.hook(ctx, r.target.Name, e, on)
	case Partition:
		return r.partition(ctx, e, on)
	case RollOver:
		return r.rollOver(ctx, e, on)
	case Move:
		return r.move(ctx, e, on)
	case Drain:
		return r.each(ctx, e, leaf.PathDrain, func(Leaf) any { return leaf.Switch{On: on} })
	case Cold:
		return r.each(ctx, e, leaf.PathCold, func(Leaf) any { return leaf.Switch{On: on} })
	}
	return r.each(ctx, e, leaf.PathFaults, func(l Leaf) any { return r.merge(l.Upstream.ID, e, on) })
}

// merge changes the part of an upstream's faults that the event is about, so
// that events may overlap.
func (r *Remote) merge(id ident.Upstream, e Event, on bool) leaf.Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[id]
	switch e.Do {
	case Slow:
		f.SlowFraction, f.SlowFactor = 0, 0
		if on {
			f.SlowFraction, f.SlowFactor = e.Fraction, e.Factor
		}
	case Shed:
		f.ShedFraction = 0
		if on {
			f.ShedFraction = e.Fraction
		}
	case Lost:
		f.Lost = on
	case Kill:
		f.Killed = on
	case Faulty:
		f = leaf.Faults{}
		if on {
			f = *e.Faults
		}
	}
	r.faults[id] = f
	return f
}

func (r *Remote) rollOver(ctx context.Context, e Event, on bool) error {
	change := leaf.VersionChange{Add: e.Version}
	if !on {
		change = leaf.VersionChange{Drop: e.Version - 1}
	}
	return r.each(ctx, e, leaf.PathVersions, func(Leaf) any { return change })
}

func (r *Remote) move(ctx context.Context, e Event, on bool) error {
	change := leaf.ShardChange{Hold: e.Shard}
	if on {
		e.Match = e.To
	} else {
		change = leaf.ShardChange{Drop: e.Shard}
	}
	return r.each(ctx, e, leaf.PathShards, func(Leaf) any { return change })
}

func (r *Remote) partition(ctx context.Context, e Event, on bool) error {
	rules := fault.Rules{}
	rules.Forward.Blackhole = on
	rules.Backward.Blackhole = on && !e.OneWay
	return r.post(ctx, r.target.Proxies, fault.PathChange, fault.Change{
		Match: e.Match,
		Rules: &rules,
	})
}

// each posts a body to every upstream of the event, spread over its time.
func (r *Remote) each(ctx context.Context, e Event, path string, body func(Leaf) any) error {
	leaves := e.leaves(r.target)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(controlParallel)
	start := time.Now()
	for i, l := range leaves {
		due := e.SpreadMillis.Duration() * time.Duration(i) / time.Duration(len(leaves))
		if !pause(ctx, time.Until(start.Add(due))) {
			break
		}
		group.Go(func() error {
			return errors.Wrapf(r.post(ctx, l.Control, path, body(l)), "upstream %q", l.Upstream.ID)
		})
	}
	return group.Wait()
}

// pause reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Reset brings all upstreams to the state in which a run starts: no faults, no
// drain, their own shards and the given versions.
func (r *Remote) Reset(ctx context.Context, versions []ident.IndexVersion) error {
	r.mu.Lock()
	clear(r.faults)
	r.mu.Unlock()
	return r.each(ctx, Event{}, leaf.PathReset, func(l Leaf) any {
		return leaf.Reset{
			Versions: versions,
			Shards:   l.Upstream.Shards,
			Remember: remembered,
		}
	})
}

// Stats returns the counts of all upstreams, in the order of the target.
func (r *Remote) Stats(ctx context.Context) ([]leaf.Stats, error) {
	return collect[leaf.Stats](ctx, r, leaf.PathStats)
}

// Filings returns the filings that ran, those of each upstream in turn.
func (r *Remote) Filings(ctx context.Context) ([]leaf.FilingRuns, error) {
	lists, err := collect[[]leaf.FilingRuns](ctx, r, leaf.PathFilings)
	var all []leaf.FilingRuns
	for _, l := range lists {
		all = append(all, l...)
	}
	return all, err
}

// Ran returns those of the searches that ran on any upstream of an index.
func (r *Remote) Ran(ctx context.Context, index ident.Index, ids []ident.RequestID) ([]ident.RequestID, error) {
	doc, err := wire.Encode(leaf.RanRequest{Requests: ids})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []ident.RequestID
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(controlParallel)
	for _, l := range r.target.Leaves {
		if l.Upstream.Index != index {
			continue
		}
		group.Go(func() error {
			var ran []ident.RequestID
			err := r.send(ctx, http.MethodPost, l.Control, leaf.PathRan, bytes.NewReader(doc), &ran)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ran...)
			return errors.Wrapf(err, "upstream %q", l.Upstream.ID)
		})
	}
	return all, group.Wait()
}

func collect[T any](ctx context.Context, r *Remote, path string) ([]T, error) {
	list := make([]T, len(r.target.Leaves))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(controlParallel)
	for i, l := range r.target.Leaves {
		group.Go(func() error {
			return errors.Wrapf(r.send(ctx, http.MethodGet, l.Control, path, nil, &list[i]), "upstream %q", l.Upstream.ID)
		})
	}
	return list, group.Wait()
}

func (r *Remote) post(ctx context.Context, address, path string, body any) error {
	doc, err := wire.Encode(body)
	if err != nil {
		return err
	}
	return r.send(ctx, http.MethodPost, address, path, bytes.NewReader(doc), nil)
}

func (r *Remote) send(ctx context.Context, method, address, path string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrapf(err, "control address %q is not valid: give IP:port", address)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "control path cannot be reached: check that the process runs and its control address")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
		return errors.Errorf("control path %s answers %s: %s", path, res.Status, bytes.TrimSpace(text))
	}
	if into == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxStatsBytes))
		return errors.Wrap(err, "answer of the control path broke off")
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxStatsBytes)).Decode(into)
	return errors.Wrapf(err, "answer of control path %s cannot be decoded", path)
}
