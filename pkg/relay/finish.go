package relay

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// finish ends a query whose answer is complete, good enough or out of reach.
func (e *Engine) finish(q *query, timeout bool) {
	if q.route.Gathers() {
		e.finishGather(q, timeout)
		return
	}
	p := q.parts[0]
	switch {
	case p.good != nil:
		e.emit(Pass{
			Query:   q.id,
			Attempt: p.good.id,
		})
	case p.live() > 0 && !timeout:
		return
	case p.bad != nil:
		e.emit(Pass{
			Query:   q.id,
			Attempt: p.bad.id,
		})
	case timeout || p.hopeless:
		e.refuse(q, timeout)
	default:
		return
	}
	e.end(q)
}

func (e *Engine) refuse(q *query, timeout bool) {
	sent := q.ran
	for _, p := range q.parts {
		sent = sent || p.live() > 0 || p.inHand()
	}
	r := Refuse{
		Query:  q.id,
		Status: NotNow,
		After:  retryAfter,
		Reason: "no upstream took the request",
		Tried:  q.tried(),
		Detail: e.detail(q),
	}
	switch {
	case sent && timeout:
		r.Status, r.Reason = TimedOut, "the time ended before an answer came"
	case sent:
		r.Status, r.Reason = Failed, "upstreams failed"
	}
	e.emit(r)
}

func (e *Engine) finishGather(q *query, timeout bool) {
	good, open := 0, 0
	for _, p := range q.parts {
		switch {
		case p.has():
			good++
		case !p.hopeless:
			open++
		}
	}
	least := q.route.MinParts()
	if q.sub {
		least = min(1, good)
	}
	enough := good >= least && good > 0
	switch {
	case enough && (open == 0 || timeout || q.sub && e.now >= q.target || e.timely(q)):
		e.merge(q, good)
	case timeout || good+open < least || open == 0 || q.sub && e.now >= q.target:
		e.refuse(q, timeout)
	default:
		return
	}
	e.end(q)
}

// timely reports whether an answer with enough parts should be sent now: just
// before the target, or a little later if it is late anyway.
func (e *Engine) timely(q *query) bool {
	late := q.target.Add(time.Duration(lateGrace * float64(q.route.Target)))
	switch {
	case e.now < q.target:
		q.wakeAt(q.target)
		return false
	case e.now < q.target.Add(leastTargetMargin) || e.now >= late:
		return true
	}
	q.wakeAt(late)
	return false
}

func (e *Engine) merge(q *query, good int) {
	m := Merge{
		Query:    q.id,
		Attempts: make([]ident.AttemptID, 0, good),
		Missing:  len(q.parts) - good,
		Top:      q.route.TopK,
		Shards:   make([]int, 0, good),
		Tried:    q.tried(),
	}
	if m.Missing > 0 || e.now >= q.target {
		m.Detail = e.detail(q)
	}
	for _, p := range q.parts {
		if !p.has() {
			continue
		}
		m.Shards = append(m.Shards, p.shard)
		if p.good != nil {
			m.Attempts = append(m.Attempts, p.good.id)
		}
	}
	for _, g := range q.groups {
		if len(g.good) > 0 {
			m.Groups = append(m.Groups, g.id)
		}
	}
	e.emit(m)
}
