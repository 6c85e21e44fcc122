package engine

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// enqueue admits q at once if nothing waits, else lets it wait.
func (e *Engine) enqueue(now ident.Instant, q *query) {
	ix := q.index
	q.queued = true
	ix.queue = append(ix.queue, q)
	e.pump(now, ix)
}

func (e *Engine) dequeue(q *query) {
	if q.queued {
		q.queued = false
		q.index.queue = slices.DeleteFunc(q.index.queue, func(o *query) bool { return o == q })
	}
}

func (e *Engine) pumpAll(now ident.Instant) {
	for i := range e.state.Upstreams {
		e.pump(now, e.indexes[e.state.Upstreams[i].Index])
	}
}

// pump admits waiting queries while all their shards can be sent at once.
func (e *Engine) pump(now ident.Instant, ix *index) {
	for len(ix.queue) > 0 && e.admissible(ix) {
		q := ix.queue[0]
		e.dequeue(q)
		e.plan(now, q)
	}
}

func (e *Engine) admissible(ix *index) bool {
	p := e.pinned(ix)
	return p.version != 0 && !p.waiting
}
