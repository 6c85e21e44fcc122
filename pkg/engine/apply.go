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

// index is what the host keeps per index.
type index struct {
	*layout.Index
	queue *limit.Queue[*query]
	timer timer // next look at a blocked queue
	// blocked is the shard without room that the queue waits for.
	blocked *layout.Shard
	hedges  *limit.Bucket
	delay   *hedge.Delay                         // of all services
	paces   [len(preset.Classes) - 1]*limit.Pace // of all ranks but the foremost
	run     time.Duration                        // mean time from the first attempt to the answer
}

type serviceKey struct {
	index   ident.Index
	service ident.Service
}

// service is what is learned per service.
type service struct {
	delay   *hedge.Delay
	retries *limit.Bucket
}

// indexOf returns what the host keeps for an index of the placement.
func (e *Engine) indexOf(p *layout.Index) *index {
	if ix, ok := p.Data.(*index); ok {
		return ix
	}
	ix := &index{
		Index:  p,
		queue:  limit.NewQueue[*query](&e.waiting),
		hedges: hedge.NewBudget(e.preset.HedgePercent),
		delay:  hedge.NewDelay(e.preset.HedgePercent, nil),
	}
	ix.queue.SetOrder(limit.Order(*e.preset))
	ix.timer.index = ix
	for i := range ix.paces {
		ix.paces[i] = limit.NewPace(i + 1)
	}
	p.Data = ix
	e.indexes = append(e.indexes, ix)
	return ix
}

func (e *Engine) serviceOf(u *layout.Upstream) *service {
	key := serviceKey{u.Conf.Index, u.Conf.Service}
	s := e.services[key]
	if s == nil {
		s = &service{
			delay:   hedge.NewDelay(e.preset.HedgePercent, e.indexOf(u.Index).delay),
			retries: limit.NewBucket(e.preset.RetryPercent, retryBurst, retryStart),
		}
		e.services[key] = s
	}
	return s
}

// applied puts a configuration in force.
func (e *Engine) applied(now ident.Instant, next *config.State) {
	if next == nil || next.Version.Less(e.state.Version) {
		return
	}
	seats := e.state.Seats
	e.state = next
	if p := next.Preset(); p != *e.preset {
		e.applyPreset(p)
	}
	for _, c := range e.places.Apply(next.Upstreams) {
		e.changed(now, c)
	}
	if seats != next.Seats {
		e.share()
	}
	e.pumpAll(now)
}

func (e *Engine) changed(now ident.Instant, c layout.Change) {
	switch c.Kind {
	case layout.Added:
		u := e.newUpstream(c.Upstream)
		e.arm(&u.timer, now)
		e.warm(u)
	case layout.Removed:
		u := up(c.Upstream)
		e.disarm(&u.timer)
		e.warm(u)
	case layout.Moved:
		u := up(c.Upstream)
		e.describe(u)
		u.heard = 0 // ask at once what it holds of the new shards
		e.arm(&u.timer, now)
		e.warm(u)
	case layout.Changed:
		u := up(c.Upstream)
		e.describe(u)
		e.warm(u)
	}
}

// applyPreset sets the budgets and the order of classes for new attempts.
// Queries in flight keep the deadline and the hedging of their own preset.
func (e *Engine) applyPreset(p preset.Preset) {
	e.preset = &p
	for _, ix := range e.indexes {
		ix.hedges.SetPercent(p.HedgePercent)
		ix.delay.SetPercent(p.HedgePercent)
		ix.queue.SetOrder(limit.Order(p))
	}
	for _, s := range e.services {
		s.delay.SetPercent(p.HedgePercent)
		s.retries.SetPercent(p.RetryPercent)
	}
}
