package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// methodDelegate is the RPC by which an entry host delegates a query to
// another: delegateRequest, delegateReply.
const methodDelegate = "/front/hand"

// delegateRequest is a query, or some of its shards, that another entry host
// delegates to this one.
type delegateRequest struct {
	Version rules.Version
	ID      ident.RequestID
	Print   blame.Print
	Cleared bool       `cbor:",omitempty"`
	Draw    quota.Draw `cbor:",omitempty"`
	Method  string
	URI     string
	Host    string
	Path    string
	Head    string
	Body    []byte `cbor:",omitempty"`
	// Account is the account of the caller. Its key stays at the host that the caller
	// has sent it to.
	Account     ident.Account `cbor:",omitempty"`
	Priority    int           `cbor:",omitempty"`
	HasPriority bool          `cbor:",omitempty"`
	// LimitMicros is the time left until the caller's deadline.
	LimitMicros int64
	// SpentMicros is the time since the sender received the query, plus its
	// margin for returning the answer.
	SpentMicros int64 `cbor:",omitempty"`
	// TripMicros is the round-trip time to the caller, 0 if unknown.
	TripMicros int64 `cbor:",omitempty"`
	// Shards, if set, are the positions in the route of the requested shards,
	// and TargetMicros is the time within which their answer is useful.
	Shards       []int `cbor:",omitempty"`
	TargetMicros int64 `cbor:",omitempty"`
	// Direct is set if the receiver must call the upstreams itself instead of
	// delegating further.
	Direct bool `cbor:",omitempty"`
	// Rest is set if the shards are those that an earlier reply left out since their
	// calls were in flight.
	Rest bool `cbor:",omitempty"`
}

// delegateReply is the answer to a delegated query.
type delegateReply struct {
	// Declined is set if the host did not start the query, since it lacks the
	// version of the configuration or is stopping.
	Declined bool     `cbor:",omitempty"`
	Stamps   []string `cbor:",omitempty"`
	Missing  int      `cbor:",omitempty"`
	// Shards are the positions of the included shards, if the request named some.
	Shards []int `cbor:",omitempty"`
	// Tried lists the calls made for the requested shards that are missing.
	Tried []relay.Tried `cbor:",omitempty"`
	// UsualMicros is the time that the usual shard took, 0 if unknown. Shed is the
	// number of shards at which upstreams shed calls.
	UsualMicros int64  `cbor:",omitempty"`
	Shed        int    `cbor:",omitempty"`
	Body        []byte `cbor:",omitempty"`
	// Refusal is set if the query was not served. AfterMicros is then the pause
	// before a retry, and Reason is logged by the entry host that delegated.
	Refusal     relay.Refusal `cbor:",omitempty"`
	AfterMicros int64         `cbor:",omitempty"`
	Reason      string        `cbor:",omitempty"`
}

// serveLink serves RPCs from other entry hosts until ctx ends.
func (f *Front) serveLink(ctx context.Context) error {
	s, err := link.NewServer(link.Config{
		AllowPlain: true,
		Guard:      f.newGuard(guard.HostBounds(f.cfg.Memory, f.cfg.Descriptors, maxBody, false)),
		Log:        f.log,
	})
	if err != nil {
		return err
	}
	link.Handle(s, methodDelegate, f.serveDelegated)
	link.Handle(s, methodAbandon, f.serveAbandon)
	link.Handle(s, MethodExplain, f.serveExplain)
	lis, err := net.Listen("tcp", f.cfg.Bind)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for other hosts on %s", f.cfg.Bind)
	}
	return s.Serve(ctx, lis)
}

// limitUntilEnd shortens the time limit of a query that is delegated as a whole to what
// a stopping host has left. It returns false if that is less than the route's target:
// the engine decides then whether an answer can still be expected.
func (f *Front) limitUntilEnd(limit time.Duration, route *rules.Route) (time.Duration, bool) {
	end := ident.Instant(f.endsAt.Load())
	if end == 0 {
		return limit, true
	}
	left := end.Sub(f.now())
	return min(limit, left), limit <= left || left >= route.Target
}

// delegate sends a query to a gatherer of this domain. It returns nil if this
// host must serve the query itself. If the gatherer does not answer, the query
// fails instead of starting again here: its calls may have run, and a retry by
// the caller gets its full number of attempts.
func (f *Front) delegate(ctx context.Context, q *request, v rules.Version, route *rules.Route, limit time.Duration) *delegateReply {
	limit, ok := f.limitUntilEnd(limit, route)
	if !ok {
		return nil
	}
	to, ok := f.peers.choose(f.cfg.Domain, q.id)
	if !ok {
		return nil
	}
	in := q.delegateRequest(v, limit)
	in.TripMicros = q.roundTrip.Microseconds()
	in.SpentMicros = (f.now().Sub(q.started) + f.returnLag.margin()).Microseconds()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.serving, cancel)()
	out, err := f.callGatherer(ctx, to, in)
	if err == nil && out.Missing > 0 {
		f.returnLag.learn(f.now().Sub(q.started) - (route.Target - relay.CallerMargin(route.Target, q.roundTrip)) + f.returnLag.margin())
	}
	if err != nil || out.Declined || sampled(q.id) {
		f.log.Info("query was delegated", "Request", string(q.id), "Version", v, "Gatherer", string(to.ID), "Declined", out.Declined, "Error", errorText(err))
	}
	switch {
	case link.NotRun(err) || err == nil && out.Declined:
		return nil
	case err != nil && f.serving.Err() != nil:
		return &delegateReply{
			Refusal: relay.TimedOut,
			Reason:  "this host stopped before the gatherer " + string(to.ID) + " answered",
		}
	case err != nil:
		return &delegateReply{
			Refusal: relay.Failed,
			Reason:  "the gatherer " + string(to.ID) + " was lost",
		}
	}
	return out
}

// leastAnswerTime is how long a host may take for an answer before silence counts against
// it: twice the round trip above which it counts as overloaded.
const leastAnswerTime = 2 * gather.SlowRoundTrip

// showsUnreachable reports whether a failed call shows that the other host is
// unreachable: not if it has answered with an error, nor if the caller left it no time.
func showsUnreachable(err error, limit time.Duration) bool {
	switch link.KindOf(err) {
	case link.Malformed, link.TooLarge, link.NoMethod, link.Forbidden, link.Failed:
		return false
	case link.TimedOut, link.Cancelled, link.Unreachable, link.Untrusted, link.Insecure, link.Broken:
	}
	return limit >= leastAnswerTime || !errors.Is(err, context.DeadlineExceeded)
}

// callGatherer sends a query to a host and marks the host unreachable if it
// does not answer.
func (f *Front) callGatherer(ctx context.Context, to gather.Host, in delegateRequest) (*delegateReply, error) {
	limit := time.Duration(in.LimitMicros) * time.Microsecond
	hctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	untrack := f.peers.track(to.ID, cancel)
	defer untrack()
	var out delegateReply
	err := f.client.Call(hctx, to.Link, methodDelegate, &in, &out)
	f.countDelegated(&out, err)
	if err != nil && ctx.Err() == nil && showsUnreachable(err, limit) && f.peers.markUnreachable(to.ID) {
		f.log.Info("gatherer is unreachable", "Gatherer", string(to.ID), "Request", string(in.ID), "Error", err.Error())
		f.updateGatherers()
	}
	return &out, err
}

func (f *Front) countDelegated(out *delegateReply, err error) {
	result := gauge.Answered
	switch {
	case link.NotRun(err) || err == nil && out.Declined:
		result = gauge.Declined
	case err != nil:
		result = gauge.Lost
	}
	f.gauge.Delegated(result)
}

func (q *request) delegateRequest(v rules.Version, limit time.Duration) delegateRequest {
	return delegateRequest{
		Version:     v,
		ID:          q.id,
		Print:       q.print,
		Method:      q.method,
		URI:         q.uri,
		Host:        q.host,
		Path:        q.path,
		Head:        q.head,
		Body:        q.body,
		Account:     q.account,
		Priority:    q.priority,
		HasPriority: q.hasPriority,
		LimitMicros: limit.Microseconds(),
	}
}

// startDelegate requests some shards of a query from the gatherer of another
// domain or from a helper of this one.
func (f *Front) startDelegate(e relay.Delegate) {
	q := f.queries[e.Query]
	if q == nil {
		return
	}
	in := q.delegateRequest(e.Version, e.Limit)
	in.Shards, in.TargetMicros = e.Shards, e.Target.Microseconds()
	in.Cleared, in.Draw, in.Rest = e.Cleared, e.Draw, e.Rest
	to, ok := f.peers.helper(e.Helper)
	if in.Direct = e.Helper != ""; !in.Direct {
		to, ok = f.peers.choose(e.Domain, q.id)
	}
	if q.ctx == nil {
		q.ctx, q.cancel = context.WithCancel(context.Background())
	}
	go func(ctx context.Context) {
		ev := relay.DelegateEnded{
			Query: e.Query,
			Group: e.Group,
		}
		out := &delegateReply{}
		if ok {
			var err error
			out, err = f.callGatherer(ctx, to, in)
			ev.Lost = err != nil && !link.NotRun(err)
			ev.Answered, ev.Tried = out.Shards, out.Tried
			ev.Usual, ev.Shed = time.Duration(out.UsualMicros)*time.Microsecond, out.Shed
		}
		f.inputs <- input{
			event:     ev,
			delegated: out,
		}
	}(q.ctx)
}

// updateGatherers reports to the engine to which domains and helpers it can
// delegate.
func (f *Front) updateGatherers() { f.inputs <- input{event: f.peers.gatherers()} }

// serveDelegated serves a query that another host delegates to this one.
func (f *Front) serveDelegated(ctx context.Context, in *delegateRequest) (*delegateReply, error) {
	if f.closing.Load() {
		return &delegateReply{Declined: true}, nil
	}
	release, ok := f.guard.Admit(len(in.Body) + len(in.Head))
	defer release()
	if !ok {
		return &delegateReply{Declined: true}, nil
	}
	f.servingDelegated.Add(1)
	defer f.servingDelegated.Done()
	q := &request{
		id:     in.ID,
		print:  in.Print,
		method: in.Method,
		uri:    in.URI,
		host:   in.Host,
		path:   in.Path,
		head:   in.Head,
		body:   in.Body,
		reply:  make(chan reply, 1),

		account:     in.Account,
		priority:    in.Priority,
		hasPriority: in.HasPriority,
	}
	rep, ok := f.query(ctx, q, relay.Arrive{
		Now:     f.now(),
		Host:    in.Host,
		Path:    in.Path,
		Limit:   time.Duration(in.LimitMicros) * time.Microsecond,
		Version: in.Version,
		Shards:  in.Shards,
		Target:  time.Duration(in.TargetMicros) * time.Microsecond,
		Trip:    time.Duration(in.TripMicros) * time.Microsecond,
		Spent:   time.Duration(in.SpentMicros) * time.Microsecond,
		Direct:  in.Direct,
		Request: in.ID,
		Print:   in.Print,
		Cleared: in.Cleared,
		Draw:    in.Draw,
		Rest:    in.Rest,

		Account:     in.Account,
		Priority:    in.Priority,
		HasPriority: in.HasPriority,
	})
	if !ok {
		return nil, ctx.Err()
	}
	switch e := rep.effect.(type) {
	case relay.Merge:
		out := &delegateReply{
			Stamps:  rep.stamps(),
			Missing: e.Missing,
			Body:    merge(rep, e.Top),
		}
		if in.Shards != nil {
			out.Shards, out.Tried = e.Shards, e.Tried
			out.UsualMicros, out.Shed = e.Usual.Microseconds(), e.Shed
		}
		return out, nil
	case relay.Refuse:
		return &delegateReply{
			Declined:    e.Status == relay.NoVersion || e.Stopping,
			Refusal:     e.Status,
			Tried:       e.Tried,
			UsualMicros: e.Usual.Microseconds(),
			Shed:        e.Shed,
			AfterMicros: e.After.Microseconds(),
			Reason:      e.Reason,
		}, nil
	case relay.Pass, relay.Call, relay.Stop, relay.Delegate, relay.Abandon, relay.Keep, relay.Drop, relay.Eject, relay.Report, relay.Limit, relay.Departure, relay.Pause, relay.Paced, relay.Withheld, relay.Broadcast, relay.Suspicion:
	}
	return &delegateReply{Declined: true}, nil
}

// writeDelegated answers a caller with a gatherer's reply.
func (f *Front) writeDelegated(w http.ResponseWriter, q *request, out *delegateReply) {
	if out.Refusal != 0 {
		f.refuse(w, q, relay.Refuse{
			Status: out.Refusal,
			After:  time.Duration(out.AfterMicros) * time.Microsecond,
			Reason: out.Reason,
		})
		return
	}
	f.writeMerged(w, q, out.Stamps, out.Missing, out.Body)
}

// errorText returns the message of an error for a log, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
