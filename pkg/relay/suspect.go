package relay

import (
	"slices"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/gossip"
)

// CrasherReason is the reason of refusals of requests that crash upstreams.
const CrasherReason = "this request has crashed as many upstreams as one may"

// judge draws conclusions about a request from one of its calls. A request that
// crashes upstreams is not answered by any, so one answer clears it. Without an
// answer, a crash under a call that was sent alone counts at once, those under
// calls sent side by side once all of these have ended.
func (e *Engine) judge(a *attempt, ev Ended) {
	q := a.query
	switch {
	case ev.Result == Good:
		e.exonerate(q)
		return
	case ev.Result != Lost || !ev.Crashed || q.answeredOnce || e.blame.Trusts(e.now, q.print):
		return
	}
	q.suspect, q.crashedOn, a.part.crashed = true, a.upstream, true
	if a.alone {
		e.hold(q, e.blame.AloneCrashID(q.print, uint64(a.upstream.key)))
		return
	}
	if q.crashes++; q.crashes >= earlyCrashes {
		e.shareCrashes(q)
	} else if q.inFlight() == 0 {
		e.holdCrashes(q)
	}
}

// halt stops the calls of a refused query. An upstream that has queued one drops
// it with its connection, and is spared.
func (e *Engine) halt(q *query) {
	for _, a := range q.attempts() {
		if !a.ended && !a.stopped {
			a.stopped = true
			e.emit(Stop{Attempt: a.id})
		}
	}
}

// exonerate clears a request that an upstream has answered.
func (e *Engine) exonerate(q *query) {
	q.answeredOnce, q.suspect, q.crashes = true, false, 0
	if r, changed := e.blame.Clear(e.now, q.print); changed {
		if r.Shared {
			e.broadcastCrashes(q.print)
		}
		e.emit(Suspicion{
			Request: q.request,
			Print:   q.print,
		})
	}
	if q.trial && !q.done {
		q.trial = false
		e.begin(q)
	}
}

// holdCrashes holds the crashes under calls that were sent side by side against
// the request.
func (e *Engine) holdCrashes(q *query) {
	if q.crashes == 0 {
		return
	}
	ids := make([]uint64, 0, q.crashes)
	for i := range q.crashes {
		ids = append(ids, blame.CrashID(q.request, i))
	}
	q.crashes = 0
	e.hold(q, ids...)
}

func (e *Engine) hold(q *query, ids ...uint64) {
	q.held = true
	known, before := e.blame.Crashes(q.print), e.blame.Verdict(e.now, q.print)
	e.blame.Blame(e.now, q.print, ids...)
	crashes, refused := e.blame.Crashes(q.print), e.blame.Verdict(e.now, q.print) == blame.Refused
	if crashes == known && refused == (before == blame.Refused) {
		return
	}
	s := Suspicion{
		Request: q.request,
		Print:   q.print,
		Crashes: crashes,
		Refused: refused,
	}
	if u := q.crashedOn; u != nil {
		s.Upstream, s.Service = u.ID, u.Service
	}
	e.emit(s)
	if refused {
		e.broadcastCrashes(q.print)
		e.refuseAll(q.print)
	}
}

// shareCrashes tells the other hosts what is held against a request that ended
// without an answer. While it may still be answered, as after most connections
// that break, they need not know.
func (e *Engine) shareCrashes(q *query) {
	e.holdCrashes(q)
	if q.held && !q.answeredOnce {
		e.broadcastCrashes(q.print)
	}
}

// refuseAll ends the queries of a request that crashes upstreams. Calls that an
// upstream has not begun to run are dropped there with their connection.
func (e *Engine) refuseAll(p blame.Print) {
	for _, q := range slices.Clone(e.order) {
		if q.print != p || q.done {
			continue
		}
		q.done, q.crashes, q.held = true, 0, false
		e.halt(q)
		q.condemned = true
		e.refuse(q, false)
		e.end(q)
	}
}

// refuseCrasher refuses a request before any call.
func refuseCrasher(q *query) Refuse {
	return Refuse{
		Query:  q.id,
		Status: NotNow,
		After:  crasherRetry,
		Reason: CrasherReason,
	}
}

func (e *Engine) broadcastCrashes(p blame.Print) {
	if f, ok := e.blame.Fact(e.now, p); ok {
		e.emit(Broadcast{Fact: f})
	}
}

func (e *Engine) learnCrash(f gossip.Fact) (pass gossip.Fact, isNew bool) {
	p := blame.Print(f.Key)
	known, before := e.blame.Crashes(p), e.blame.Verdict(e.now, p)
	if pass, isNew = e.blame.Learn(e.now, f); !isNew {
		return pass, false
	}
	if e.blame.Crashes(p) == known && e.blame.Verdict(e.now, p) == before {
		return pass, true
	}
	for _, q := range e.order {
		if q.print == p && !q.answeredOnce && e.blame.Crashes(p) > 0 {
			q.suspect = true
		}
	}
	refused := e.blame.Verdict(e.now, p) == blame.Refused
	e.emit(Suspicion{
		Print:   p,
		Crashes: e.blame.Crashes(p),
		Refused: refused,
		Learned: true,
	})
	if refused {
		e.refuseAll(p)
	}
	return pass, true
}

// suspectAt reports whether an upstream runs a call of another request that may
// crash it.
func (u *upstream) suspectAt(q *query) bool {
	return slices.ContainsFunc(u.inFlight, func(a *attempt) bool { return a.query.suspect && a.query.print != q.print })
}

func (q *query) attempts() (list []*attempt) {
	for _, p := range q.parts {
		list = append(list, p.attempts...)
	}
	return list
}

// Suspects returns the number of requests that are held to crash upstreams.
func (e *Engine) Suspects() int { return e.blame.Len() }
