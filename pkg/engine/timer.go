package engine

import (
	"container/heap"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// timer is the timer of a query, an upstream or the queue of an index; the
// pointer to its owner is set. at is 0 while the timer is not armed.
type timer struct {
	at       ident.Instant
	pos      int
	query    *query
	upstream *upstream
	index    *index
}

// timers is a heap ordered by time. Timers know their position, so that those
// of finished queries are removed at once.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].pos, t[j].pos = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	item := x.(*timer)
	item.pos = len(*t)
	*t = append(*t, item)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return item
}

// arm sets t to fire at the given time, whether it is armed or not.
func (e *Engine) arm(t *timer, at ident.Instant) {
	switch t.at {
	case at:
	case 0:
		t.at = at
		heap.Push(&e.timers, t)
	default:
		t.at = at
		heap.Fix(&e.timers, t.pos)
	}
}

func (e *Engine) disarm(t *timer) {
	if t.at != 0 {
		heap.Remove(&e.timers, t.pos)
		t.at = 0
	}
}

// fireTimers handles every timer that is due.
func (e *Engine) fireTimers(now ident.Instant) {
	for len(e.timers) > 0 && e.timers[0].at <= now {
		t := e.timers[0]
		e.disarm(t)
		switch {
		case t.query != nil:
			e.queryDue(now, t.query)
		case t.upstream != nil:
			e.probeDue(now, t.upstream)
		default:
			e.admitQueued(now, t.index)
		}
	}
}

// requestWake emits a Wake for the next timer unless an earlier one is pending.
func (e *Engine) requestWake() {
	if len(e.timers) == 0 {
		return
	}
	if at := e.timers[0].at; e.wakeAt == 0 || at < e.wakeAt {
		e.wakeAt = at
		e.emit(Wake{At: at})
	}
}
