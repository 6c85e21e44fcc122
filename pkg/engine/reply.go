package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// refuse ends a query for which nothing was sent to any upstream.
func (e *Engine) refuse(q *query, remedy string) {
	e.drop(q)
	e.emit(Reply{
		Query:   q.ask.Query,
		Request: q.ask.Request,
		Outcome: NotRun,
		Preset:  q.preset.Name,
		Remedy:  remedy,
	})
}

// finish ends a query that was sent. Tasks that still run are missing.
func (e *Engine) finish(now ident.Instant, q *query, remedy string) {
	if !q.sent {
		e.refuse(q, cmp.Or(remedy, unserved))
		return
	}
	e.drop(q)
	rep := Reply{
		Query:   q.ask.Query,
		Request: q.ask.Request,
		Outcome: Done,
		Version: q.version,
		Preset:  q.preset.Name,
		Coverage: Coverage{
			Asked:   len(q.tasks),
			Missing: []Missing{},
		},
	}
	for i := range q.tasks {
		t := &q.tasks[i]
		switch t.state {
		case taskAnswered:
			rep.Coverage.Answered++
			continue
		case taskRunning:
			t.reason = MissingTimedOut
			if remedy == "" {
				e.expire(now, t)
			} else {
				e.cancel(now, t)
			}
		}
		rep.Coverage.Missing = append(rep.Coverage.Missing, Missing{
			Shard:  t.shard.Name,
			Reason: t.reason,
		})
	}
	rep.Documents = merge(q.tasks, q.ask.Limit)
	if len(rep.Coverage.Missing) > 0 {
		rep.Outcome = Partial
		rep.Remedy = remedy
		if remedy == "" {
			rep.Remedy = shortfall(q, rep.Coverage)
		}
	}
	if rep.Outcome == Done {
		q.index.ran(now.Sub(q.began))
	}
	e.emit(rep)
}

// ran notes the run time of a whole answer.
func (ix *index) ran(d time.Duration) {
	if ix.run == 0 {
		ix.run = d
	}
	ix.run += time.Duration(runShare * float64(d-ix.run))
}

// drop forgets a query.
func (e *Engine) drop(q *query) {
	if q.index != nil {
		q.index.queue.Remove(&q.waiter)
	}
	for i := range q.tasks {
		e.unlist(q, i)
	}
	e.disarm(&q.timer)
	delete(e.queries, q.ask.Query)
}

// shortfall says what a caller can do about a partial answer.
func shortfall(q *query, c Coverage) string {
	percent := 100 * float64(c.Answered) / float64(c.Asked)
	if least := q.preset.Limits(q.ask.Class).MinCoveragePercent; percent < least {
		return fmt.Sprintf("coverage is %.1f%%, below the minimum of %.1f%% of preset %q: send the request again, or use only the shards that answered", percent, least, q.preset.Name)
	}
	return fmt.Sprintf("%d of %d shards are missing: send the request again for the whole answer", len(c.Missing), c.Asked)
}

// merge returns the documents of all answered tasks, each id once with its
// highest revision, the best score first, at most limit if limit is not 0.
func merge(tasks []task, limit int) []Document {
	n := 0
	for i := range tasks {
		n += len(tasks[i].docs)
	}
	docs := make([]Document, 0, n)
	for i := range tasks {
		docs = append(docs, tasks[i].docs...)
	}
	slices.SortFunc(docs, func(a, b Document) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Revision, a.Revision),
			cmp.Compare(b.Score, a.Score), cmp.Compare(a.Body, b.Body))
	})
	docs = slices.CompactFunc(docs, func(a, b Document) bool { return a.ID == b.ID })
	slices.SortFunc(docs, func(a, b Document) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	if limit > 0 && len(docs) > limit {
		docs = docs[:limit]
	}
	return docs
}
