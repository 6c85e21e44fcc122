package front

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/platform"
)

// tickInterval is the longest time between two events for the engine.
const tickInterval = time.Second

// input is an event for the engine with the data that only this package needs.
// If event is nil, it is the outcome of the upstream call with the ID attempt.
type input struct {
	event   relay.Event
	request *request
	// done is closed once the request of an Arrive has no caller any more, or no permit.
	done    <-chan struct{}
	attempt ident.AttemptID
	outcome *pipe.Outcome
	// delegated is the reply to a relay.Delegate.
	delegated *delegateReply
	// demand and grant are messages about the limits of upstreams. They replace
	// the event.
	demand *receivedDemand
	grant  *demandReply
	// gossip is a message of another host, peers the hosts of a new roster.
	gossip  *receivedGossip
	peers   []board.Host
	explain *explainInput
	// rejoined is set after a time without contact to other hosts.
	rejoined bool
}

// callState is a call to an upstream: in progress, or ended and kept until its
// query has been answered.
type callState struct {
	query   ident.QueryID
	started ident.Instant
	stop    func()
	outcome pipe.Outcome
	// kept is set while the outcome is kept although the query has ended.
	kept bool
}

// loop runs the engine until ctx ends.
func (f *Front) loop(ctx context.Context) error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-f.inputs:
			f.handleInput(in)
		case <-timer.C:
			f.stepEngine(relay.Tick{Now: f.now()})
			f.limited.Store(int64(f.engine.Limited()))
			f.suspects.Store(int64(f.engine.Suspects()))
			f.leaving.Store(int64(f.engine.Leaving()))
			f.paused.Store(int64(f.engine.Paused()))
		}
		f.sendGossip()
		wait := tickInterval
		if next, ok := f.gossip.Next(); ok {
			wait = min(wait, max(0, next.Sub(f.now())))
		}
		if next, ok := f.engine.Next(); ok {
			wait = min(wait, max(0, next.Sub(f.now())))
		}
		timer.Reset(wait)
	}
}

// handleInput passes an event to the engine with the present time: it may have waited.
func (f *Front) handleInput(in input) {
	if f.handleMessage(in) {
		return
	}
	switch ev := in.event.(type) {
	case relay.Arrive:
		select {
		case <-in.done:
			// A new table may have ended the permit before the engine got that table. The
			// handler begins again or refuses, so that nothing of this query may be sent.
		default:
			f.queries[ev.Query] = in.request
			f.stepEngine(relay.At(ev, f.now()))
		}
	case relay.DelegateEnded:
		if q := f.queries[ev.Query]; q != nil {
			if q.groups == nil {
				q.groups = make(map[int]*delegateReply)
			}
			q.groups[ev.Group] = in.delegated
			f.stepEngine(relay.At(ev, f.now()))
		}
	case relay.Disconnected:
		q := f.queries[ev.Query]
		if q != nil && q.cancel != nil {
			q.cancel()
		}
		delete(f.queries, ev.Query)
		f.stepEngine(relay.At(ev, f.now()))
		if q != nil {
			f.forgetCalls(q)
		}
	case relay.Install:
		f.stepEngine(relay.At(ev, f.now()))
		f.localCoverage.Store(f.engine.Local())
	case relay.Listed:
		f.stepEngine(relay.At(ev, f.now()))
		f.pruneConnections(ev.Upstreams)
		f.localCoverage.Store(f.engine.Local())
	case relay.Evacuated:
		f.stepEngine(relay.At(ev, f.now()))
		f.localCoverage.Store(f.engine.Local())
	case relay.Gatherers, relay.Abandoned, relay.Stopping, relay.Hosts:
		f.stepEngine(relay.At(ev, f.now()))
	case nil:
		f.finishCall(in)
	case relay.Ended, relay.Granted, relay.FactsReceived, relay.Tick:
	}
}

// handleMessage handles messages of other hosts, changes of the contact to them, and
// questions of operators. It reports false for other inputs.
func (f *Front) handleMessage(in input) bool {
	switch {
	case in.demand != nil:
		f.answerDemand(in.demand)
	case in.grant != nil:
		f.takeGrant(in.grant)
	case in.gossip != nil:
		f.takeGossip(in.gossip)
	case in.peers != nil:
		f.setGossipPeers(in.peers)
	case in.explain != nil:
		in.explain.reply <- f.engine.Explain(f.now(), in.explain.host, in.explain.path, in.explain.priority)
	case in.rejoined:
		f.gossip.Rejoin(f.now())
	default:
		return false
	}
	return true
}

// pruneConnections closes idle connections to upstreams that are not listed.
func (f *Front) pruneConnections(ups []relay.Upstream) {
	inUse := make(map[string]bool, len(ups))
	for _, u := range ups {
		inUse[string(u.ID)] = true
	}
	f.pool.CloseExcept(inUse)
}

// finishCall stores the outcome of a call for its query and reports it to the
// engine.
func (f *Front) finishCall(in input) {
	c := f.calls[in.attempt]
	if c == nil {
		return
	}
	c.outcome = *in.outcome
	o := in.outcome
	f.gauge.Call(o.Result.String(), o.Answer.Status != 0, f.now().Sub(c.started))
	f.stepEngine(relay.Ended{
		Now:     f.now(),
		Attempt: in.attempt,
		Result:  o.Result,
		Status:  o.Answer.Status,
		Moved:   o.Answer.Moved,
		Endless: o.Endless,
		Crashed: o.Crashed,
		Load:    o.Answer.Load,
		Limit:   o.Answer.Limit,
		Leaving: o.Answer.Leaving,
		Pause:   o.Answer.Pause,
	})
	f.forget(in.attempt)
}

// forget removes a call that has ended, unless its outcome may still be used.
func (f *Front) forget(id ident.AttemptID) {
	if c := f.calls[id]; c != nil && c.outcome.Result != 0 && !c.kept && f.queries[c.query] == nil {
		delete(f.calls, id)
	}
}

// keep keeps the outcomes of calls for a query that may come, or gives them to one
// that has come.
func (f *Front) keep(e relay.Keep) {
	q := f.queries[e.Query]
	for _, id := range e.Attempts {
		c := f.calls[id]
		if c == nil {
			continue
		}
		if c.kept = q == nil; q != nil {
			c.query = e.Query
			q.calls = append(q.calls, id)
		}
	}
}

func (f *Front) drop(e relay.Drop) {
	for _, id := range e.Attempts {
		if c := f.calls[id]; c != nil {
			c.kept = false
			f.forget(id)
		}
	}
}

// stepEngine passes one event to the engine and carries out the effects.
func (f *Front) stepEngine(ev relay.Event) {
	for _, e := range f.engine.Step(ev) {
		switch e := e.(type) {
		case relay.Call:
			f.startCall(e)
		case relay.Stop:
			if c := f.calls[e.Attempt]; c != nil && c.stop != nil {
				c.stop()
			}
		case relay.Pass:
			f.endQuery(e.Query, e, e.Attempt)
		case relay.Delegate:
			f.startDelegate(e)
		case relay.Abandon:
			f.sendAbandon(e)
		case relay.Keep:
			f.keep(e)
		case relay.Drop:
			f.drop(e)
		case relay.Eject:
			f.gauge.Ejected.Inc(1)
			f.log.Info("upstream is ejected", "Upstream", string(e.Upstream), "Service", string(e.Service), "ForMillis", e.For.Milliseconds(), "Reason", e.Reason)
		case relay.Report:
			f.sendReport(e)
		case relay.Limit:
			f.reportLimit(e)
		case relay.Departure:
			f.reportDeparture(e)
		case relay.Pause:
			f.reportPause(e)
		case relay.Broadcast:
			f.gossip.Spread(f.now(), e.Fact)
		case relay.Suspicion:
			f.reportSuspicion(e)
		case relay.Paced:
			f.reportPaced(e)
		case relay.Withheld:
			f.gauge.Withheld.Inc(1)
		case relay.Merge:
			f.endQuery(e.Query, e, e.Attempts...)
		case relay.Refuse:
			f.endQuery(e.Query, e)
		}
	}
	f.watchGate()
}

func (f *Front) startCall(e relay.Call) {
	q := f.queries[e.Query]
	if q == nil {
		return
	}
	q.calls = append(q.calls, e.Attempt)
	c := &callState{
		query:   e.Query,
		started: f.now(),
	}
	f.calls[e.Attempt] = c
	c.stop = f.pool.Start(pipe.Call{
		Address:  e.Upstream.Address,
		Instance: string(e.Upstream.ID),
		ID:       q.id,
		Method:   q.method,
		Head:     q.callHead(e),
		Body:     q.body,
		Limit:    e.Limit,
		Parse:    platform.AnswerOf,
		Done: func(o pipe.Outcome) {
			f.inputs <- input{
				attempt: e.Attempt,
				outcome: &o,
			}
		},
	})
}

// endQuery answers a request and removes its finished calls. finishCall removes
// those still in progress.
func (f *Front) endQuery(id ident.QueryID, effect relay.Effect, attempts ...ident.AttemptID) {
	q := f.queries[id]
	if q == nil {
		return
	}
	rep := reply{effect: effect}
	for _, a := range attempts {
		rep.outcomes = append(rep.outcomes, f.calls[a].outcome)
	}
	if m, ok := effect.(relay.Merge); ok {
		for _, g := range m.Groups {
			rep.groups = append(rep.groups, q.groups[g])
		}
	}
	q.reply <- rep
	// Logged in another goroutine, so that it delays neither answer nor loop.
	go f.observe(q, effect, len(q.calls), len(q.groups))
	delete(f.queries, id)
	f.forgetCalls(q)
}

// forgetCalls removes the ended calls of a query that has ended.
func (f *Front) forgetCalls(q *request) {
	for _, a := range q.calls {
		f.forget(a)
	}
}
