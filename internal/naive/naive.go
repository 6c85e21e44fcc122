// Package naive is the baseline that the query tier is compared with: it fans
// a search out to one replica of each shard, without hedges, queues, ejection
// or budgets, and may try again naively.
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
	// Tries is the number of times that a shard is asked in all; 1 does not retry.
	Tries int
	// SkipVersionCheck takes answers of any version and SkipCoverage claims
	// whole coverage always. They plant the faults that a verifier must find.
	SkipVersionCheck bool
	SkipCoverage     bool
}

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
	drainBytes    = 64 << 10
	// connPercent of an upstream's connection limit are used, since other
	// hosts hold connections too.
	connPercent = 75
)

// Client asks upstreams directly. Its methods may be called from any goroutine.
type Client struct {
	cfg     Config
	http    *http.Client
	attempt atomic.Uint64
	turn    atomic.Uint64

	mu   sync.Mutex
	held map[ident.Upstream][]engine.Held
}

// New returns a client. Run must be called to learn index versions.
func New(cfg Config) *Client {
	limit := 0
	for _, u := range cfg.Upstreams {
		if share := max(1, u.ConnLimit*connPercent/100); limit == 0 || share < limit {
			limit = share
		}
	}
	return &Client{
		cfg:  cfg,
		held: make(map[ident.Upstream][]engine.Held),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: limit,
			MaxConnsPerHost:     limit,
		}},
	}
}

// Run asks all upstreams for their health until the context ends.
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

// Probe asks all upstreams for their health once.
func (c *Client) Probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group errgroup.Group
	for _, u := range c.cfg.Upstreams {
		group.Go(func() error {
			h, err := c.health(ctx, u)
			if err == nil {
				c.mu.Lock()
				c.held[u.ID] = h.Held
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
		return wire.LeafHealth{}, errors.Wrapf(err, "upstream %q gives no health report: check that it runs", u.ID)
	}
	defer closeBody(res)
	return wire.DecodeLeafHealth(res.Body)
}

// closeBody reads what is left so that the connection can be used again.
func closeBody(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, drainBytes))
	_ = res.Body.Close()
}

// place is a shard and the upstreams that hold it at the pinned version.
type place struct {
	shard    ident.Shard
	replicas []config.Upstream
}

// plan pins the newest version that every shard of the index has; if there is
// none, the newest of any shard.
func (c *Client) plan(index ident.Index) ([]place, ident.IndexVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var places []place
	have := make(map[ident.Shard][]ident.IndexVersion)
	for _, u := range c.cfg.Upstreams {
		if u.Index != index {
			continue
		}
		for _, s := range u.Shards {
			i := slices.IndexFunc(places, func(p place) bool { return p.shard == s })
			if i < 0 {
				i = len(places)
				places = append(places, place{shard: s})
			}
			places[i].replicas = append(places[i].replicas, u)
		}
		for _, h := range c.held[u.ID] {
			have[h.Shard] = append(have[h.Shard], h.Versions...)
		}
	}
	return places, newest(places, have)
}

func newest(places []place, have map[ident.Shard][]ident.IndexVersion) ident.IndexVersion {
	var whole, any ident.IndexVersion
	for _, versions := range have {
		for _, v := range versions {
			any = max(any, v)
			missing := slices.ContainsFunc(places, func(p place) bool { return !slices.Contains(have[p.shard], v) })
			if !missing {
				whole = max(whole, v)
			}
		}
	}
	if whole != 0 {
		return whole
	}
	return any
}

// Search asks one replica of every shard at once and merges the answers.
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
	places, version := c.plan(s.Index)
	asks := make([]ask, len(places))
	var group errgroup.Group
	for i, p := range places {
		asks[i] = ask{
			place: p,
			body: wire.LeafSearch{
				Request: id,
				Index:   s.Index,
				Shard:   p.shard,
				Version: version,
				Terms:   s.Terms,
				Limit:   s.Limit,
				Class:   class,
			},
		}
		group.Go(func() error { c.askShard(ctx, &asks[i]); return nil })
	}
	_ = group.Wait()
	return c.merge(id, s, version, asks), nil
}

// File sends a filing to the upstreams of an index, as naively as searches are
// sent: it may run more than once.
func (c *Client) File(ctx context.Context, id ident.RequestID, f wire.FilingRequest) (wire.FilingAnswer, error) {
	places, _ := c.plan(f.Index)
	answer := wire.FilingAnswer{
		RequestID: id,
		Outcome:   engine.NotRun,
		Remedy:    "index " + string(f.Index) + " has no upstream: name another",
	}
	if len(places) == 0 {
		return answer, nil
	}
	p := places[0]
	for try := range max(1, c.cfg.Tries) {
		u := p.replicas[try%len(p.replicas)]
		res, err := c.post(ctx, u, wire.PathLeafFile, wire.LeafFile{
			Request:         id,
			Shard:           p.shard,
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
