package filing

import (
	"container/heap"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// timer is the time at which a filing has to be handled. A filing that is
// scheduled again gets another timer; the old one stays in the heap and is
// skipped, since its time is no longer arrival.due.
type timer struct {
	at      ident.Instant
	arrival ArrivalID
}

type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface. Timers of the same time are ordered by
// arrival, so that the order of effects does not depend on the heap's history.
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].arrival < t[j].arrival
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(v any) { *t = append(*t, v.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	v := (*t)[last]
	*t = (*t)[:last]
	return v
}

// schedule sets when a filing is handled next: at the given time, or before that
// when a grant expires or a reply is due.
func (r *Reducer) schedule(a *arrival, at ident.Instant) {
	a.nextCommand, a.due = at, at
	switch {
	case a.phase == reserving:
		a.due = min(at, a.sendLimit())
	case a.phase == recording && !a.replied:
		a.due = min(at, a.replyBy)
	}
	heap.Push(&r.timers, timer{
		at:      a.due,
		arrival: a.id,
	})
}

func (r *Reducer) ticked(now ident.Instant) {
	for len(r.timers) > 0 && r.timers[0].at <= now {
		t := heap.Pop(&r.timers).(timer)
		if a := r.open[t.arrival]; a != nil && a.due == t.at {
			r.handleDue(now, a)
		}
	}
}

// wake requests the next tick, after removing outdated timers from the top of
// the heap.
func (r *Reducer) wake(now ident.Instant) {
	for len(r.timers) > 0 {
		t := r.timers[0]
		if a := r.open[t.arrival]; a != nil && a.due == t.at {
			r.emit(Wake{At: max(t.at, now)})
			return
		}
		heap.Pop(&r.timers)
	}
}
