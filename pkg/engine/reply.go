package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// reject answers a query with NotRun. Nothing may have been sent to any
// upstream.
func (e *Engine) reject(q *query, remedy string) {
	e.removeQuery(q)
	e.emit(Reply{
		Query:   q.arrival.Query,
		Request: q.arrival.Request,
		Outcome: NotRun,
		Preset:  q.preset.Name,
		Remedy:  remedy,
	})
}

// finish answers a query with the results so far; shards whose tasks still run
// are missing. A remedy means that the caller disconnected, so that running
// attempts do not count against their upstreams.
func (e *Engine) finish(now ident.Instant, q *query, remedy string) {
	if !q.anySent {
		e.reject(q, cmp.Or(remedy, remedyNoUpstream))
		return
	}
	e.shareCrashes(now, q)
	e.removeQuery(q)
	reply := Reply{
		Query:   q.arrival.Query,
		Request: q.arrival.Request,
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
			reply.Coverage.Answered++
			continue
		case taskRunning:
			t.reason = MissingTimedOut
			if remedy == "" {
				e.expireAttempts(now, t)
			} else {
				e.cancelAttempts(now, t)
			}
		}
		reply.Coverage.Missing = append(reply.Coverage.Missing, Missing{
			Shard:  t.shard.Name,
			Reason: t.reason,
		})
	}
	reply.Documents = mergeDocuments(q.tasks, q.arrival.Limit)
	if len(reply.Coverage.Missing) > 0 {
		reply.Outcome = Partial
		reply.Remedy = remedy
		if remedy == "" {
			reply.Remedy = partialRemedy(q, reply.Coverage)
		}
	}
	if reply.Outcome == Done {
		q.index.recordRunTime(now.Sub(q.startedAt))
	}
	e.emit(reply)
}

// recordRunTime records the run time of a query with a complete answer.
func (ix *index) recordRunTime(runTime time.Duration) {
	if ix.meanRunTime == 0 {
		ix.meanRunTime = runTime
	}
	ix.meanRunTime += time.Duration(runTimeWeight * float64(runTime-ix.meanRunTime))
}

// removeQuery removes q from the queue, the waiting tasks and the timers.
func (e *Engine) removeQuery(q *query) {
	if q.index != nil {
		q.index.queue.Remove(&q.waiter)
	}
	for i := range q.tasks {
		e.removeWaiting(q, i)
	}
	e.disarm(&q.timer)
	delete(e.queries, q.arrival.Query)
}

// partialRemedy returns the remedy for a partial answer.
func partialRemedy(q *query, coverage Coverage) string {
	percent := 100 * float64(coverage.Answered) / float64(coverage.Asked)
	if minimum := q.preset.Limits(q.arrival.Class).MinCoveragePercent; percent < minimum {
		return fmt.Sprintf("coverage is %.1f%%, below the minimum of %.1f%% of preset %q: send the request again, or use only the shards that answered", percent, minimum, q.preset.Name)
	}
	return fmt.Sprintf("%d of %d shards are missing: send the request again for the whole answer", len(coverage.Missing), coverage.Asked)
}

// mergeDocuments returns the documents of all answered tasks, each ID once with
// its highest revision, sorted by descending score. limit bounds their number
// unless it is 0.
func mergeDocuments(tasks []task, limit int) []Document {
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
