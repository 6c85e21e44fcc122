package engine

import (
	"slices"
	"strconv"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const remedyCrasher = "this search has crashed as many upstreams as one may: change it, or send it again after a minute"

// Told carries facts that other hosts tell.
type Told struct {
	Facts []gossip.Fact `json:"Facts"`
}

// Tell requests that a fact be spread to the other hosts.
type Tell struct {
	Fact gossip.Fact `json:"Fact"`
}

func (Told) isEvent()  {}
func (Tell) isEffect() {}

// printOf identifies searches that ask the same.
func printOf(ev QueryArrived) blame.Print {
	return blame.PrintOf(nil, string(ev.Index), ev.Terms, strconv.Itoa(ev.Limit))
}

// running returns the number of attempts of q that are in flight.
func (q *query) running() (n int) {
	for i := range q.tasks {
		for _, a := range q.tasks[i].running {
			if a != nil {
				n++
			}
		}
	}
	return n
}

// holdBack reports whether an attempt of a suspect has to wait, since another one
// is in flight: a suspect is sent to one upstream at a time.
func (q *query) holdBack() bool { return q.suspect && q.running() > 0 }

// crashed holds the crash of an upstream under an attempt against the search. It
// reports whether the search is refused from now on, and has been answered.
func (e *Engine) crashed(now ident.Instant, a *attempt) (refused bool) {
	q := a.query
	if q.answeredOnce || e.cfg.Policy != PolicyTolerant || e.blame.Trusts(now, q.print) {
		return false
	}
	id := blame.CrashID(q.arrival.Request, q.crashes)
	if a.alone {
		id = e.rng.Uint64()
	}
	q.suspect = true
	q.crashes++
	e.blame.Blame(now, q.print, id)
	if e.blame.Verdict(now, q.print) != blame.Refused {
		return false
	}
	e.broadcastCrash(now, q.print)
	e.refuseAll(now, q.print)
	return true
}

// exonerate clears a search that an upstream has answered, as one that crashes
// upstreams is not answered by any.
func (e *Engine) exonerate(now ident.Instant, q *query) {
	q.answeredOnce = true
	if q.suspect {
		q.suspect = false
		for i := range q.tasks {
			if t := &q.tasks[i]; t.waitReason != "" {
				t.checkAt = now
			}
		}
		e.armQueryTimer(q)
	}
	if r, cleared := e.blame.Clear(now, q.print); cleared && r.Shared {
		e.broadcastCrash(now, q.print)
	}
}

// refuseAll ends the queries of a search that crashes upstreams.
func (e *Engine) refuseAll(now ident.Instant, p blame.Print) {
	var list []*query
	for _, q := range e.queries {
		if q.print == p {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(x, y *query) int { return int(x.arrival.Query) - int(y.arrival.Query) })
	for _, q := range list {
		e.finish(now, q, remedyCrasher)
	}
}

// shareCrashes tells other hosts of the crashes under a query that ends without
// an answer of any upstream.
func (e *Engine) shareCrashes(now ident.Instant, q *query) {
	if q.crashes > 0 && !q.answeredOnce && e.blame.Verdict(now, q.print) == blame.Suspect {
		e.broadcastCrash(now, q.print)
	}
}

func (e *Engine) broadcastCrash(now ident.Instant, p blame.Print) {
	if f, ok := e.blame.Fact(now, p); ok {
		e.emit(Tell{Fact: f})
	}
}

// receiveFacts processes facts of other hosts, and passes on what is new.
func (e *Engine) receiveFacts(now ident.Instant, facts []gossip.Fact) {
	for _, f := range facts {
		p := blame.Print(f.Key)
		if f.Topic != blame.Topic {
			continue
		}
		pass, isNew := e.blame.Learn(now, f)
		if !isNew {
			continue
		}
		e.emit(Tell{Fact: pass})
		switch e.blame.Verdict(now, p) {
		case blame.Clean:
		case blame.Suspect:
			for _, q := range e.queries {
				q.suspect = q.suspect || q.print == p && !q.answeredOnce
			}
		case blame.Refused:
			e.refuseAll(now, p)
		}
	}
}
