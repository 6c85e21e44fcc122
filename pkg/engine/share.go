package engine

import (
	"math"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// hedgeRank is the urgency of hedges among the calls to a limited upstream: the
// least.
const hedgeRank = math.MaxInt

func quotaKey(u *layout.Upstream) quota.Key { return quota.KeyOf(u.Conf.ID, 0) }

// takeShare reports whether this host's share of the limit of an upstream allows
// an attempt, and counts it. n is the number of upstreams that were passed over.
// Without a grant of the owner, all hosts with a seat have an equal part of a
// share of the limit.
func (e *Engine) takeShare(now ident.Instant, q *query, t *task, r *layout.Replica, reason Reason, n int) bool {
	key := quotaKey(r.Upstream)
	if e.shares.Limit(now, key) == 0 {
		return true
	}
	if q.draw == 0 {
		q.draw = quota.Draw(e.rng.Uint64())
	}
	draw := q.draw
	for range n + t.attemptCount {
		draw = draw.Next()
	}
	rank := q.rank
	if reason == Hedge {
		rank = hedgeRank
	}
	return e.shares.Take(now, key, quota.Call{
		Rank:  rank,
		First: true,
		Draw:  draw,
	})
}

// learnLimit processes the limit that an answer names.
func (e *Engine) learnLimit(now ident.Instant, a *attempt, perSecond float64) {
	if perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return
	}
	e.shares.Record(now, a.sentAt, quotaKey(a.upstream.Upstream), "", perSecond)
}

// reportDemand reports the demand for limited upstreams when that is due. One
// owner divides the limits of all domains.
func (e *Engine) reportDemand(now ident.Instant) {
	for _, demands := range e.shares.Reports(now) {
		e.emit(Report{
			At:      now,
			Demands: demands,
		})
	}
}
