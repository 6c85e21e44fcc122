package engine

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/hedge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// index is the engine's state of one index.
type index struct {
	*layout.Index
	queue      *limit.Queue[*query]
	queueTimer timer // next admission attempt while the queue is blocked
	// fullShard is the shard whose lack of room blocks the queue, or nil.
	fullShard   *layout.Shard
	hedgeBudget *limit.Bucket
	hedgeDelay  *hedge.Delay                         // over all services
	paces       [len(preset.Classes) - 1]*limit.Pace // of all ranks but 0
	meanRunTime time.Duration                        // EWMA of the time from the first attempt to a complete answer
}

type serviceKey struct {
	index   ident.Index
	service ident.Service
}

// service is the engine's state of one service.
type service struct {
	hedgeDelay  *hedge.Delay
	retryBudget *limit.Bucket
}

// indexOf returns the engine's state of an index, created on first use.
func (e *Engine) indexOf(li *layout.Index) *index {
	if ix, ok := li.Data.(*index); ok {
		return ix
	}
	ix := &index{
		Index:       li,
		queue:       limit.NewQueue[*query](&e.queued),
		hedgeBudget: hedge.NewBudget(e.preset.HedgePercent),
		hedgeDelay:  hedge.NewDelay(e.preset.HedgePercent, nil),
	}
	ix.queue.SetOrder(limit.Order(*e.preset))
	ix.queueTimer.index = ix
	for i := range ix.paces {
		ix.paces[i] = limit.NewPace(i + 1)
	}
	li.Data = ix
	e.indexes = append(e.indexes, ix)
	return ix
}

func (e *Engine) serviceOf(u *layout.Upstream) *service {
	key := serviceKey{u.Conf.Index, u.Conf.Service}
	s := e.services[key]
	if s == nil {
		s = &service{
			hedgeDelay:  hedge.NewDelay(e.preset.HedgePercent, e.indexOf(u.Index).hedgeDelay),
			retryBudget: limit.NewBucket(e.preset.RetryPercent, retryBurst, retryStart),
		}
		e.services[key] = s
	}
	return s
}

// configApplied makes next the active configuration unless it is older than the
// current one.
func (e *Engine) configApplied(now ident.Instant, next *config.State) {
	if next == nil || next.Version.Less(e.state.Version) {
		return
	}
	oldSeats := e.state.Seats
	e.state = next
	if p := next.Preset(); p != *e.preset {
		e.applyPreset(p)
	}
	for _, c := range e.layout.Apply(next.Upstreams) {
		e.upstreamChanged(now, c)
	}
	e.shares.SetHosts(next.Seats)
	if oldSeats != next.Seats {
		e.redistributeConns()
	}
	e.admitAllQueued(now)
}

func (e *Engine) upstreamChanged(now ident.Instant, c layout.Change) {
	switch c.Kind {
	case layout.Added:
		u := e.newUpstream(c.Upstream)
		e.arm(&u.probeTimer, now)
		e.updateWarmConns(u)
	case layout.Removed:
		u := upstreamOf(c.Upstream)
		e.disarm(&u.probeTimer)
		e.updateWarmConns(u)
	case layout.Moved:
		u := upstreamOf(c.Upstream)
		e.configureUpstream(u)
		u.versionsReportedAt = 0 // probe at once for its versions of the new shards
		e.arm(&u.probeTimer, now)
		e.updateWarmConns(u)
	case layout.Changed:
		u := upstreamOf(c.Upstream)
		e.configureUpstream(u)
		e.updateWarmConns(u)
	}
}

// applyPreset sets the budgets and the order of classes. Queries in flight keep
// the deadline and the hedging rules of the preset they started with.
func (e *Engine) applyPreset(p preset.Preset) {
	e.preset = &p
	for _, ix := range e.indexes {
		ix.hedgeBudget.SetPercent(p.HedgePercent)
		ix.hedgeDelay.SetPercent(p.HedgePercent)
		ix.queue.SetOrder(limit.Order(p))
	}
	for _, s := range e.services {
		s.hedgeDelay.SetPercent(p.HedgePercent)
		s.retryBudget.SetPercent(p.RetryPercent)
	}
}
