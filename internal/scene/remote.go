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
	controlTimeout     = 5 * time.Second
	maxControlRequests = 32 // in flight
	maxResponseBytes   = 64 << 20
	maxErrorBytes      = 4 << 10
	idleControlConns   = 2 // per control listener
	// rememberedSearches is the number of searches that an upstream remembers,
	// which covers several seconds of its load.
	rememberedSearches = 5_000
)

// HookFunc executes an event whose action is Hook, and undoes it when on is
// false.
type HookFunc func(ctx context.Context, target string, e Event, on bool) error

// RemoteExecutor executes events through the control listeners of upstreams and
// fault proxies, and reads the counters of the upstreams.
type RemoteExecutor struct {
	target Target
	hook   HookFunc
	client *http.Client

	mu     sync.Mutex
	faults map[ident.Upstream]leaf.Faults
}

// NewRemoteExecutor returns a RemoteExecutor for a target. hook may be nil if
// no event has the action Hook.
func NewRemoteExecutor(t Target, hook HookFunc) *RemoteExecutor {
	return &RemoteExecutor{
		target: t,
		hook:   hook,
		client: &http.Client{
			Timeout:   controlTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: idleControlConns},
		},
		faults: make(map[ident.Upstream]leaf.Faults),
	}
}

// Close closes the idle connections.
func (r *RemoteExecutor) Close() { r.client.CloseIdleConnections() }

// Do starts an event, or ends it when on is false.
func (r *RemoteExecutor) Do(ctx context.Context, e Event, on bool) error {
	switch e.Do {
	case Mark, Surge: // the load tool applies Scenario.SurgeFactor
		return nil
	case Hook:
		if r.hook == nil {
			return errors.Errorf("event %q needs a hook of the program that runs the scenario: run it from that program, or remove the event", e.Title())
		}
		return r.hook(ctx, r.target.Name, e, on)
	case Partition:
		return r.partition(ctx, e, on)
	case RollOver:
		return r.rollOver(ctx, e, on)
	case Move:
		return r.move(ctx, e, on)
	case Drain:
		return r.postToEach(ctx, e, leaf.PathDrain, func(Leaf) any { return leaf.Switch{On: on} })
	case Cold:
		return r.postToEach(ctx, e, leaf.PathCold, func(Leaf) any { return leaf.Switch{On: on} })
	}
	return r.postToEach(ctx, e, leaf.PathFaults, func(l Leaf) any { return r.mergeFaults(l.Upstream.ID, e, on) })
}

// mergeFaults changes only those faults of an upstream that the event controls, so
// that events may overlap, and returns all its faults.
func (r *RemoteExecutor) mergeFaults(id ident.Upstream, e Event, on bool) leaf.Faults {
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
	case Crash:
		f.CrashTerms = ""
		if on {
			f.CrashTerms = e.Terms
		}
	case Limit:
		f.PerSecond = 0
		if on {
			f.PerSecond = e.PerSecond
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

func (r *RemoteExecutor) rollOver(ctx context.Context, e Event, on bool) error {
	change := leaf.VersionChange{Add: e.Version}
	if !on {
		change = leaf.VersionChange{Drop: e.Version - 1}
	}
	return r.postToEach(ctx, e, leaf.PathVersions, func(Leaf) any { return change })
}

func (r *RemoteExecutor) move(ctx context.Context, e Event, on bool) error {
	change := leaf.ShardChange{Hold: e.Shard}
	if on {
		e.Match = e.To
	} else {
		change = leaf.ShardChange{Drop: e.Shard}
	}
	return r.postToEach(ctx, e, leaf.PathShards, func(Leaf) any { return change })
}

func (r *RemoteExecutor) partition(ctx context.Context, e Event, on bool) error {
	rules := fault.Rules{}
	rules.Forward.Blackhole = on
	rules.Backward.Blackhole = on && !e.OneWay
	return r.post(ctx, r.target.Proxies, fault.PathChange, fault.Change{
		Match: e.Match,
		Rules: &rules,
	})
}

// postToEach posts a body to every upstream of the event, spread over its
// SpreadMillis.
func (r *RemoteExecutor) postToEach(ctx context.Context, e Event, path string, body func(Leaf) any) error {
	leaves := e.leaves(r.target)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxControlRequests)
	start := time.Now()
	for i, l := range leaves {
		due := e.SpreadMillis.Duration() * time.Duration(i) / time.Duration(len(leaves))
		if !sleep(ctx, time.Until(start.Add(due))) {
			break
		}
		group.Go(func() error {
			return errors.Wrapf(r.post(ctx, l.Control, path, body(l)), "upstream %q", l.Upstream.ID)
		})
	}
	return group.Wait()
}

// sleep reports false if the context is done before d has elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
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

// Reset sets all upstreams to the initial state of a run: no faults, not
// draining, their own shards and the given index versions.
func (r *RemoteExecutor) Reset(ctx context.Context, versions []ident.IndexVersion) error {
	r.mu.Lock()
	clear(r.faults)
	r.mu.Unlock()
	return r.postToEach(ctx, Event{}, leaf.PathReset, func(l Leaf) any {
		return leaf.Reset{
			Versions: versions,
			Shards:   l.Upstream.Shards,
			Remember: rememberedSearches,
		}
	})
}

// Stats returns the counters of all upstreams, in the order of the target.
func (r *RemoteExecutor) Stats(ctx context.Context) ([]leaf.Stats, error) {
	return getFromAll[leaf.Stats](ctx, r, leaf.PathStats)
}

// RanFilings returns the filings that ran, grouped by upstream.
func (r *RemoteExecutor) RanFilings(ctx context.Context) ([]leaf.FilingRuns, error) {
	lists, err := getFromAll[[]leaf.FilingRuns](ctx, r, leaf.PathFilings)
	var all []leaf.FilingRuns
	for _, l := range lists {
		all = append(all, l...)
	}
	return all, err
}

// RanSearches returns those of the given searches that ran on an upstream of the
// index. A search that ran on several upstreams is returned for each.
func (r *RemoteExecutor) RanSearches(ctx context.Context, index ident.Index, ids []ident.RequestID) ([]ident.RequestID, error) {
	doc, err := wire.Encode(leaf.RanRequest{Requests: ids})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []ident.RequestID
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxControlRequests)
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

func getFromAll[T any](ctx context.Context, r *RemoteExecutor, path string) ([]T, error) {
	list := make([]T, len(r.target.Leaves))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxControlRequests)
	for i, l := range r.target.Leaves {
		group.Go(func() error {
			return errors.Wrapf(r.send(ctx, http.MethodGet, l.Control, path, nil, &list[i]), "upstream %q", l.Upstream.ID)
		})
	}
	return list, group.Wait()
}

func (r *RemoteExecutor) post(ctx context.Context, address, path string, body any) error {
	doc, err := wire.Encode(body)
	if err != nil {
		return err
	}
	return r.send(ctx, http.MethodPost, address, path, bytes.NewReader(doc), nil)
}

func (r *RemoteExecutor) send(ctx context.Context, method, address, path string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrapf(err, "control address %q is not valid: give IP:port", address)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "control request failed: check that the process runs, and its control address")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		return errors.Errorf("control request %s was answered with %s: %s", path, res.Status, bytes.TrimSpace(text))
	}
	if into == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseBytes))
		return errors.Wrap(err, "answer of the control request is truncated")
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(into)
	return errors.Wrapf(err, "answer of control request %s cannot be decoded", path)
}
