package front

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/pipe"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/platform"
)

// idleTick is the time between two looks at the engine without events.
const idleTick = time.Second

// input is an event for the engine, with what the traffic side knows of it.
type input struct {
	event   relay.Event
	request *request
	attempt ident.AttemptID
	outcome *pipe.Outcome
	// out is the answer of a gatherer.
	out *handOut
}

// callState is a call to an upstream, in progress or kept for its answer.
type callState struct {
	query   ident.QueryID
	begin   ident.Instant
	stop    func()
	outcome pipe.Outcome
}

// loop runs the engine until ctx ends.
func (f *Front) loop(ctx context.Context) error {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-f.inputs:
			f.handle(in)
		case <-timer.C:
			f.step(relay.Tick{Now: f.now()})
		}
		wait := idleTick
		if next, ok := f.engine.Next(); ok {
			wait = min(wait, max(0, next.Sub(f.now())))
		}
		timer.Reset(wait)
	}
}

// handle completes an input with the current time and gives it to the engine.
func (f *Front) handle(in input) {
	switch ev := in.event.(type) {
	case relay.Arrive:
		f.queries[ev.Query] = in.request
		f.step(ev)
	case relay.Gatherers:
		ev.Now = f.now()
		f.step(ev)
	case relay.DelegateEnded:
		if q := f.queries[ev.Query]; q != nil {
			if q.groups == nil {
				q.groups = make(map[int]*handOut)
			}
			q.groups[ev.Group] = in.out
			ev.Now = f.now()
			f.step(ev)
		}
	case relay.Disconnected:
		if q := f.queries[ev.Query]; q != nil && q.cancel != nil {
			q.cancel()
		}
		delete(f.queries, ev.Query)
		ev.Now = f.now()
		f.step(ev)
	case relay.Install:
		ev.Now = f.now()
		f.step(ev)
		f.local.Store(f.engine.Local())
	case relay.Listed:
		ev.Now = f.now()
		f.step(ev)
		f.keepConnections(ev.Upstreams)
		f.local.Store(f.engine.Local())
	case relay.Hosts:
		ev.Now = f.now()
		f.step(ev)
	case nil:
		f.finishCall(in)
	case relay.Ended, relay.Tick:
	}
}

// keepConnections closes unused connections to upstreams that have gone.
func (f *Front) keepConnections(ups []relay.Upstream) {
	inUse := make(map[string]bool, len(ups))
	for _, u := range ups {
		inUse[string(u.ID)] = true
	}
	f.pool.Keep(inUse)
}

// finishCall keeps the answer of a call for its query and tells the engine.
func (f *Front) finishCall(in input) {
	c := f.calls[in.attempt]
	if c == nil {
		return
	}
	c.outcome = *in.outcome
	o := in.outcome
	f.gauge.Call(o.Result.String(), o.Answer.Status != 0, f.now().Sub(c.begin))
	f.step(relay.Ended{
		Now:     f.now(),
		Attempt: in.attempt,
		Result:  o.Result,
		Status:  o.Answer.Status,
		Moved:   o.Answer.Moved,
		Load:    o.Answer.Load,
	})
	if f.queries[c.query] == nil {
		delete(f.calls, in.attempt)
	}
}

// step gives the engine one event and carries out the effects.
func (f *Front) step(ev relay.Event) {
	for _, e := range f.engine.Step(ev) {
		switch e := e.(type) {
		case relay.Call:
			f.startCall(e)
		case relay.Stop:
			if c := f.calls[e.Attempt]; c != nil && c.stop != nil {
				c.stop()
			}
		case relay.Pass:
			f.end(e.Query, e, e.Attempt)
		case relay.Delegate:
			f.startHand(e)
		case relay.Eject:
			f.gauge.Ejected.Inc(1)
			f.log.Info("upstream is shunned", "Upstream", string(e.Upstream), "Service", string(e.Service), "ForMillis", e.For.Milliseconds(), "Reason", e.Reason)
		case relay.Merge:
			f.end(e.Query, e, e.Attempts...)
		case relay.Refuse:
			f.end(e.Query, e)
		}
	}
}

func (f *Front) startCall(e relay.Call) {
	q := f.queries[e.Query]
	if q == nil {
		return
	}
	q.calls = append(q.calls, e.Attempt)
	c := &callState{
		query: e.Query,
		begin: f.now(),
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

// end answers a request and forgets its finished calls. Those in progress are
// forgotten when they end.
func (f *Front) end(id ident.QueryID, effect relay.Effect, attempts ...ident.AttemptID) {
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
	// The log line is made beside the loop, after the answer is on its way.
	go f.observe(q, effect, len(q.calls), len(q.groups))
	delete(f.queries, id)
	for _, a := range q.calls {
		if c := f.calls[a]; c != nil && c.outcome.Result != 0 {
			delete(f.calls, a)
		}
	}
}
