package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Order returns the classes in the order in which they are served: the class
// with the lowest shedding order first.
func Order(p preset.Preset) [len(preset.Classes)]preset.Class {
	order := preset.Classes
	slices.SortStableFunc(order[:], func(a, b preset.Class) int {
		return cmp.Compare(p.Limits(a).ShedOrder, p.Limits(b).ShedOrder)
	})
	return order
}

// Counts holds the number of waiting items per class. Queues that share one
// Counts share the bound.
type Counts [len(preset.Classes)]int

// Waiter is one item in a Queue.
type Waiter[T any] struct {
	Item     T
	Class    preset.Class
	Deadline ident.Instant

	prev, next *Waiter[T]
	in         bool
}

// Verdict says what became of an offered item.
type Verdict uint8

// The verdicts. Full and Late mean that the item was not taken.
const (
	Queued Verdict = iota
	Full
	Late
)

// Queue holds items that wait for admission, in strict order of class and
// first in first out within a class.
type Queue[T any] struct {
	counts   *Counts
	own      Counts
	order    [len(preset.Classes)]preset.Class
	heads    [len(preset.Classes)]Waiter[T] // sentinels of rings
	interval float64                        // mean time between admissions under load, ns
	last     ident.Instant                  // last admission, or begin of the backlog
}

// NewQueue returns an empty queue that counts its items in counts too.
func NewQueue[T any](counts *Counts) *Queue[T] {
	q := &Queue[T]{
		counts: counts,
		order:  preset.Classes,
	}
	for i := range q.heads {
		h := &q.heads[i]
		h.prev, h.next = h, h
	}
	return q
}

// SetOrder changes the order in which classes are served.
func (q *Queue[T]) SetOrder(order [len(preset.Classes)]preset.Class) { q.order = order }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	n := 0
	for _, c := range q.own {
		n += c
	}
	return n
}

// Wait estimates how long a new item of class c would wait.
func (q *Queue[T]) Wait(c preset.Class) time.Duration {
	ahead := 1
	for _, o := range q.order {
		ahead += q.own[o]
		if o == c {
			break
		}
	}
	return time.Duration(q.interval * float64(ahead))
}

// Offer adds w unless bound items of its class wait already (Full), or its
// estimated wait leaves less than need before its deadline (Late).
func (q *Queue[T]) Offer(now ident.Instant, w *Waiter[T], bound int, need time.Duration) Verdict {
	if q.counts[w.Class] >= bound {
		return Full
	}
	if q.Len() == 0 {
		q.last = now
	} else if w.Deadline.Sub(now) < q.Wait(w.Class)+need {
		return Late
	}
	h := &q.heads[w.Class]
	w.prev, w.next = h.prev, h
	h.prev.next, h.prev = w, w
	w.in = true
	q.counts[w.Class]++
	q.own[w.Class]++
	return Queued
}

// Head returns the next item to admit, or nil.
func (q *Queue[T]) Head() *Waiter[T] {
	for _, c := range q.order {
		if q.own[c] > 0 {
			return q.heads[c].next
		}
	}
	return nil
}

// Admit removes w because it is admitted, and learns the rate of admissions.
func (q *Queue[T]) Admit(now ident.Instant, w *Waiter[T]) {
	gap := float64(now.Sub(q.last))
	if q.interval == 0 {
		q.interval = gap
	}
	q.interval += intervalShare * (gap - q.interval)
	q.last = now
	q.Remove(w)
}

// Remove takes w out. It does nothing if w does not wait.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	if !w.in {
		return
	}
	w.prev.next, w.next.prev = w.next, w.prev
	w.prev, w.next, w.in = nil, nil, false
	q.counts[w.Class]--
	q.own[w.Class]--
}
