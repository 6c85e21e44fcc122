package relay

import (
	"math"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// hedgeRank is the rank of hedges among the calls to a limited upstream: they
// get what all classes of first calls leave.
const hedgeRank = math.MaxInt

// admit returns the upstream with the lowest cost that may be called now, and
// takes the call from its limit if it has one. What a limit does not allow goes
// to the other upstreams of the service. busy is set as by pick.
func (e *Engine) admit(q *query, p *part, hedge bool) (best *upstream, busy bool) {
	rank := q.priority
	if hedge {
		rank = hedgeRank
	}
	var denied []*upstream
	draw := q.draw
	for range p.arrivals + len(p.attempts) {
		draw = draw.Next()
	}
	for ; ; draw = draw.Next() {
		u, b := e.pick(q, p, denied)
		busy = busy || b
		if u == nil {
			if !hedge && len(denied) > 0 {
				p.limited = true
				e.emit(Withheld{Service: p.service})
			}
			return nil, busy
		}
		if e.quota.Limit(e.now, u.key) == 0 {
			p.limited = false
			return u, busy
		}
		first := hedge || !slices.Contains(p.wanted, u)
		if first && !hedge {
			p.wanted = append(p.wanted, u)
		}
		if e.quota.Take(e.now, u.key, quota.Call{
			Rank:  rank,
			First: first,
			Draw:  draw,
		}) {
			p.limited = false
			return u, busy
		}
		denied = append(denied, u)
	}
}

// limitWait returns when a part whose upstreams are all limited may be sent.
func (e *Engine) limitWait(p *part) time.Duration {
	wait := time.Duration(0)
	for i, u := range p.wanted {
		if w := e.quota.Wait(e.now, u.key); i == 0 || w < wait {
			wait = w
		}
	}
	return min(max(wait, retryAfter), maxLimitWait)
}

// recordLimit processes the limit stated in an answer. One that states none ends the
// limit only if it is a success: a rejection or a failure may leave it out.
func (e *Engine) recordLimit(a *attempt, ev Ended) {
	if cold := e.coldLimit(a.upstream); cold > 0 && (ev.Limit <= 0 || cold < ev.Limit) {
		return // the stated bound of cold upstreams is lower
	}
	if ev.Status == 0 || ev.Moved || ev.Limit == UnreadableLimit || ev.Limit == 0 && ev.Result != Good {
		return
	}
	if c, changed := e.quota.Record(e.now, a.sentAt, a.upstream.key, a.upstream.Domain, ev.Limit); changed {
		e.emitLimit(c, a.upstream)
		e.emit(Broadcast{Fact: limitFact(e.now, c, a.upstream.Domain)})
	}
}

func (e *Engine) granted(ev Granted) {
	for _, c := range e.quota.Granted(e.now, ev.Sent, ev.Domain, ev.Grants) {
		if u := e.byKey[c.Key]; u != nil {
			e.emitLimit(c, u)
		}
	}
}

func (e *Engine) emitLimit(c quota.Change, u *upstream) {
	e.emit(Limit{
		Upstream:  u.ID,
		Service:   u.Service,
		PerSecond: c.Limit,
		Learned:   c.Learned,
	})
}

// report sends the demand for limited upstreams to their owners, when due.
func (e *Engine) report() {
	byDomain := e.quota.Reports(e.now)
	domains := make([]ident.Domain, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	for _, d := range domains {
		e.emit(Report{
			Domain:  d,
			Demands: byDomain[d],
		})
	}
}

// Limited returns the number of upstreams with a limit.
func (e *Engine) Limited() int { return e.quota.Limited(e.now) }
