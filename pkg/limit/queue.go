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

// Counts is the number of waiting items per class. Queues that share one Counts
// share the bound per class.
type Counts [len(preset.Classes)]int

// Waiter is one item in a Queue.
type Waiter[T any] struct {
	Item     T
	Class    preset.Class
	Deadline ident.Instant

	prev, next *Waiter[T]
	queued     bool
}

// OfferResult is the result of Queue.Offer.
type OfferResult uint8

// Results of Queue.Offer. Full and Late mean that the item was rejected.
const (
	Queued OfferResult = iota
	Full
	Late
)

// Queue holds items that wait for admission, by strict priority of the classes
// and first in, first out within a class.
type Queue[T any] struct {
	shared        *Counts // items of all queues with the same bound
	counts        Counts  // items of this queue
	order         [len(preset.Classes)]preset.Class
	heads         [len(preset.Classes)]Waiter[T] // sentinels of circular lists
	meanGap       float64                        // EWMA of the time between admissions while items wait, ns
	lastAdmission ident.Instant                  // or when the queue became non-empty
}

// NewQueue returns an empty queue that also counts its items in shared.
func NewQueue[T any](shared *Counts) *Queue[T] {
	q := &Queue[T]{
		shared: shared,
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
	for _, c := range q.counts {
		n += c
	}
	return n
}

// EstimateWait estimates how long a new item of class c would wait, from the
// recent rate of admissions.
func (q *Queue[T]) EstimateWait(c preset.Class) time.Duration {
	ahead := 1
	for _, o := range q.order {
		ahead += q.counts[o]
		if o == c {
			break
		}
	}
	return time.Duration(q.meanGap * float64(ahead))
}

// Offer adds w unless bound items of its class already wait (Full), or its
// estimated wait would leave less than minRemaining before its deadline (Late).
// An empty queue accepts any deadline.
func (q *Queue[T]) Offer(now ident.Instant, w *Waiter[T], bound int, minRemaining time.Duration) OfferResult {
	if q.shared[w.Class] >= bound {
		return Full
	}
	if q.Len() == 0 {
		q.lastAdmission = now
	} else if w.Deadline.Sub(now) < q.EstimateWait(w.Class)+minRemaining {
		return Late
	}
	h := &q.heads[w.Class]
	w.prev, w.next = h.prev, h
	h.prev.next, h.prev = w, w
	w.queued = true
	q.shared[w.Class]++
	q.counts[w.Class]++
	return Queued
}

// Head returns the next item to admit, or nil.
func (q *Queue[T]) Head() *Waiter[T] {
	for _, c := range q.order {
		if q.counts[c] > 0 {
			return q.heads[c].next
		}
	}
	return nil
}

// Admit removes w on its admission and updates the estimated rate of
// admissions.
func (q *Queue[T]) Admit(now ident.Instant, w *Waiter[T]) {
	gap := float64(now.Sub(q.lastAdmission))
	if q.meanGap == 0 {
		q.meanGap = gap
	}
	q.meanGap += gapWeight * (gap - q.meanGap)
	q.lastAdmission = now
	q.Remove(w)
}

// Remove removes w without admission. It does nothing if w is not queued.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	if !w.queued {
		return
	}
	w.prev.next, w.next.prev = w.next, w.prev
	w.prev, w.next, w.queued = nil, nil, false
	q.shared[w.Class]--
	q.counts[w.Class]--
}
