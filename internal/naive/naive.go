// Package naive is the baseline that the query tier is compared with. It fans a
// search out to one replica of each shard, without hedged requests, queues,
// outlier ejection or retry budgets. It may retry, without backoff.
package naive

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Config describes a baseline client.
type Config struct {
	Upstreams []config.Upstream
	// Attempts is the maximum number of attempts per shard, including the first;
	// 1 disables retries.
	Attempts int
	// SkipVersionCheck accepts answers of any index version, and SkipCoverage
	// always reports full coverage. Tests set them to show that the verifier
	// detects such wrong answers.
	SkipVersionCheck bool
	SkipCoverage     bool
}

const (
	probeInterval   = 250 * time.Millisecond
	probeTimeout    = time.Second
	maxDiscardBytes = 64 << 10
	// connPercent is the share of an upstream's connection limit that the client
	// uses, since other hosts open connections too.
	connPercent = 75
)

// Client calls upstreams directly. Its methods may be called from any goroutine.
type Client struct {
	cfg         Config
	http        *http.Client
	lastAttempt atomic.Uint64
	nextReplica atomic.Uint64

	mu       sync.Mutex
	versions map[ident.Upstream][]engine.Held
}

// New returns a client. It knows no index version before the first Probe, which
// Run calls.
func New(cfg Config) *Client {
	limit := 0
	for _, u := range cfg.Upstreams {
		if share := max(1, u.ConnLimit*connPercent/100); limit == 0 || share < limit {
			limit = share
		}
	}
	return &Client{
		cfg:      cfg,
		versions: make(map[ident.Upstream][]engine.Held),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: limit,
			MaxConnsPerHost:     limit,
		}},
	}
}

// Run probes all upstreams every probeInterval until ctx is done. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	defer c.http.CloseIdleConnections()
	for {
		c.Probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Probe requests the health of all upstreams once and records which index
// versions they hold. For an upstream that does not answer, the last known
// versions stay.
func (c *Client) Probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group errgroup.Group
	for _, u := range c.cfg.Upstreams {
		group.Go(func() error {
			h, err := c.health(ctx, u)
			if err == nil {
				c.mu.Lock()
				c.versions[u.ID] = h.Held
				c.mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (c *Client) health(ctx context.Context, u config.Upstream) (wire.LeafHealth, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+wire.PathLeafHealth, nil)
	if err != nil {
		return wire.LeafHealth{}, errors.Wrapf(err, "upstream %q has a bad Address: give IP:port", u.ID)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return wire.LeafHealth{}, errors.Wrapf(err, "health check of upstream %q failed: check that it runs", u.ID)
	}
	defer closeBody(res)
	return wire.DecodeLeafHealth(res.Body)
}

// closeBody discards up to maxDiscardBytes of the body before it closes it, so
// that the connection can be reused.
func closeBody(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardBytes))
	_ = res.Body.Close()
}

// shardReplicas is a shard and the upstreams configured to serve it.
type shardReplicas struct {
	shard    ident.Shard
	replicas []config.Upstream
}

// pinVersion returns the shards of an index and the newest index version that is
// available for all of them, or if there is none, the newest of any shard.
func (c *Client) pinVersion(index ident.Index) ([]shardReplicas, ident.IndexVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var shards []shardReplicas
	available := make(map[ident.Shard][]ident.IndexVersion)
	for _, u := range c.cfg.Upstreams {
		if u.Index != index {
			continue
		}
		for _, s := range u.Shards {
			i := slices.IndexFunc(shards, func(r shardReplicas) bool { return r.shard == s })
			if i < 0 {
				i = len(shards)
				shards = append(shards, shardReplicas{shard: s})
			}
			shards[i].replicas = append(shards[i].replicas, u)
		}
		for _, h := range c.versions[u.ID] {
			available[h.Shard] = append(available[h.Shard], h.Versions...)
		}
	}
	return shards, newestVersion(shards, available)
}

func newestVersion(shards []shardReplicas, available map[ident.Shard][]ident.IndexVersion) ident.IndexVersion {
	var complete, latest ident.IndexVersion
	for _, versions := range available {
		for _, v := range versions {
			latest = max(latest, v)
			missing := slices.ContainsFunc(shards, func(r shardReplicas) bool { return !slices.Contains(available[r.shard], v) })
			if !missing {
				complete = max(complete, v)
			}
		}
	}
	if complete != 0 {
		return complete
	}
	return latest
}

// Search calls all shards in parallel, one replica at a time for each, and merges
// the answers. It returns an error only if the request is invalid.
func (c *Client) Search(ctx context.Context, id ident.RequestID, s wire.SearchRequest) (wire.SearchAnswer, error) {
	if err := s.Check(); err != nil {
		return wire.SearchAnswer{}, err
	}
	class, _ := preset.ParseClass(s.Class)
	limits := preset.Defaults()[0].Limits(class)
	if s.DeadlineMillis == 0 {
		s.DeadlineMillis = limits.DeadlineMillis
	}
	ctx, cancel := context.WithTimeout(ctx, s.DeadlineMillis.Duration())
	defer cancel()
	shards, version := c.pinVersion(s.Index)
	calls := make([]shardCall, len(shards))
	var group errgroup.Group
	for i, r := range shards {
		calls[i] = shardCall{
			target: r,
			body: wire.LeafSearch{
				Request: id,
				Index:   s.Index,
				Shard:   r.shard,
				Version: version,
				Terms:   s.Terms,
				Limit:   s.Limit,
				Class:   class,
			},
		}
		group.Go(func() error { c.callShard(ctx, &calls[i]); return nil })
	}
	_ = group.Wait()
	return c.merge(id, s, version, calls), nil
}

// File sends a filing to the replicas of the first shard of an index until one
// acknowledges it or the attempts are used up. It has no protection against
// duplicates, so the filing may run more than once. The error is always nil.
func (c *Client) File(ctx context.Context, id ident.RequestID, f wire.FilingRequest) (wire.FilingAnswer, error) {
	shards, _ := c.pinVersion(f.Index)
	answer := wire.FilingAnswer{
		RequestID: id,
		Outcome:   engine.NotRun,
		Remedy:    "index " + string(f.Index) + " has no upstream: name another",
	}
	if len(shards) == 0 {
		return answer, nil
	}
	target := shards[0]
	for attempt := range max(1, c.cfg.Attempts) {
		u := target.replicas[attempt%len(target.replicas)]
		res, err := c.post(ctx, u, wire.PathLeafFile, wire.LeafFile{
			Request:         id,
			Shard:           target.shard,
			Body:            f.Body,
			RemainingMicros: remaining(ctx),
		})
		if err != nil {
			answer.Outcome = engine.Unknown
			answer.Remedy = "send it again under the same id"
			continue
		}
		filed, err := wire.DecodeLeafFiled(res.Body)
		closeBody(res)
		if res.StatusCode == http.StatusOK && err == nil {
			answer.Outcome = engine.Done
			answer.Receipt = filed.Receipt
			answer.Remedy = ""
			return answer, nil
		}
	}
	return answer, nil
}

func (c *Client) post(ctx context.Context, u config.Upstream, path string, body any) (*http.Response, error) {
	doc, err := wire.Encode(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+path, bytes.NewReader(doc))
	if err != nil {
		return nil, errors.Wrapf(err, "upstream %q has a bad Address: give IP:port", u.ID)
	}
	return c.http.Do(req)
}

func remaining(ctx context.Context) int64 {
	end, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(end).Microseconds())
}
