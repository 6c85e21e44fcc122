package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// methodHand is the call between entry hosts; handIn, handOut.
const methodHand = "/front/hand"

// handIn is a query that another host of the domain hands over.
type handIn struct {
	Version rules.Version
	ID      ident.RequestID
	Method  string
	URI     string
	Host    string
	Path    string
	Head    string
	Body    []byte `cbor:",omitempty"`
	// LimitMicros is how long the caller still waits.
	LimitMicros int64
	// SpentMicros is how long the sender has had the query of its caller, and
	// what it keeps for the way back.
	SpentMicros int64 `cbor:",omitempty"`
	// TripMicros is the round trip to the caller.
	TripMicros int64 `cbor:",omitempty"`
	// Shards, if set, are the positions of the shards that are asked for, and
	// TargetMicros the time in which their answer is useful.
	Shards       []int `cbor:",omitempty"`
	TargetMicros int64 `cbor:",omitempty"`
	// Direct is set if the receiver has to call the upstreams itself.
	Direct bool `cbor:",omitempty"`
}

// handOut is the end of a handed query.
type handOut struct {
	// Declined means that this host does not hold the version or stops.
	Declined bool     `cbor:",omitempty"`
	Stamps   []string `cbor:",omitempty"`
	Missing  int      `cbor:",omitempty"`
	// Shards are the positions of the shards that are included, if some were
	// asked for.
	Shards []int `cbor:",omitempty"`
	// Tried tells what was done for the others of those.
	Tried []relay.Tried `cbor:",omitempty"`
	Body  []byte        `cbor:",omitempty"`
	// Refusal is set if the query was not served.
	Refusal     relay.Refusal `cbor:",omitempty"`
	AfterMicros int64         `cbor:",omitempty"`
	Reason      string        `cbor:",omitempty"`
}

// serveLink serves other entry hosts until ctx ends.
func (f *Front) serveLink(ctx context.Context) error {
	s, err := link.NewServer(link.Config{
		AllowPlain: true,
		Log:        f.log,
	})
	if err != nil {
		return err
	}
	link.Handle(s, methodHand, f.takeHanded)
	lis, err := net.Listen("tcp", f.cfg.Bind)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for other hosts on %s", f.cfg.Bind)
	}
	return s.Serve(ctx, lis)
}

// handOver lets a gatherer of the domain serve a query. It returns nil if this
// host has to serve it. A query that was lost at the gatherer is not started
// again here: its calls may have run, and the caller's own next try has all
// its attempts.
func (f *Front) handOver(ctx context.Context, q *request, v rules.Version, route *rules.Route, limit time.Duration) *handOut {
	to, ok := f.peers.choose(f.cfg.Domain, q.id)
	if !ok {
		return nil
	}
	in := q.handIn(v, limit)
	in.TripMicros = q.trip.Microseconds()
	in.SpentMicros = (f.now().Sub(q.begin) + f.back.margin()).Microseconds()
	out, err := f.hand(ctx, to, in)
	if err == nil && out.Missing > 0 {
		f.back.learn(f.now().Sub(q.begin) - (route.Target - relay.CallerMargin(route.Target, q.trip)) + f.back.margin())
	}
	if err != nil || out.Declined || sampled(q.id) {
		f.log.Info("query was handed over", "Request", string(q.id), "Version", v, "Gatherer", string(to.ID), "Declined", out.Declined, "Error", text(err))
	}
	switch {
	case link.NotRun(err) || err == nil && out.Declined:
		return nil
	case err != nil:
		return &handOut{
			Refusal: relay.Failed,
			Reason:  "the gatherer " + string(to.ID) + " was lost",
		}
	}
	return out
}

// hand calls a gatherer and notes one that does not answer.
func (f *Front) hand(ctx context.Context, to gather.Host, in handIn) (*handOut, error) {
	limit := time.Duration(in.LimitMicros) * time.Microsecond
	hctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	end := f.peers.begin(to.ID, cancel)
	defer end()
	var out handOut
	err := f.client.Call(hctx, to.Link, methodHand, &in, &out)
	f.countHanded(&out, err)
	if err != nil && ctx.Err() == nil && f.peers.lose(to.ID) {
		f.log.Info("gatherer is lost", "Gatherer", string(to.ID), "Request", string(in.ID), "Error", err.Error())
		f.tellGatherers()
	}
	return &out, err
}

func (f *Front) countHanded(out *handOut, err error) {
	result := gauge.Answered
	switch {
	case link.NotRun(err) || err == nil && out.Declined:
		result = gauge.Declined
	case err != nil:
		result = gauge.Lost
	}
	f.gauge.Delegated(result)
}

// handIn describes a request for a gatherer.
func (q *request) handIn(v rules.Version, limit time.Duration) handIn {
	return handIn{
		Version:     v,
		ID:          q.id,
		Method:      q.method,
		URI:         q.uri,
		Host:        q.host,
		Path:        q.path,
		Head:        q.head,
		Body:        q.body,
		LimitMicros: limit.Microseconds(),
	}
}

// startHand lets the gatherer of another domain or a helper answer for some
// shards.
func (f *Front) startHand(e relay.Delegate) {
	q := f.queries[e.Query]
	if q == nil {
		return
	}
	in := q.handIn(e.Version, e.Limit)
	in.Shards, in.TargetMicros = e.Shards, e.Target.Microseconds()
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
		out := &handOut{}
		if ok {
			var err error
			out, err = f.hand(ctx, to, in)
			ev.Lost = err != nil && !link.NotRun(err)
			ev.Answered, ev.Tried = out.Shards, out.Tried
		}
		f.inputs <- input{
			event: ev,
			out:   out,
		}
	}(q.ctx)
}

// tellGatherers tells the engine where shards of a query can be handed.
func (f *Front) tellGatherers() { f.inputs <- input{event: f.peers.gatherers()} }

// takeHanded serves a query that another host hands over.
func (f *Front) takeHanded(ctx context.Context, in *handIn) (*handOut, error) {
	if f.closing.Load() {
		return &handOut{Declined: true}, nil
	}
	f.handing.Add(1)
	defer f.handing.Done()
	q := &request{
		id:     in.ID,
		method: in.Method,
		uri:    in.URI,
		host:   in.Host,
		path:   in.Path,
		head:   in.Head,
		body:   in.Body,
		reply:  make(chan reply, 1),
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
	})
	if !ok {
		return nil, ctx.Err()
	}
	switch e := rep.effect.(type) {
	case relay.Merge:
		out := &handOut{
			Stamps:  rep.stamps(),
			Missing: e.Missing,
			Body:    merge(rep, e.Top),
		}
		if in.Shards != nil {
			out.Shards, out.Tried = e.Shards, e.Tried
		}
		return out, nil
	case relay.Refuse:
		return &handOut{
			Declined:    e.Status == relay.NoVersion,
			Refusal:     e.Status,
			Tried:       e.Tried,
			AfterMicros: e.After.Microseconds(),
			Reason:      e.Reason,
		}, nil
	case relay.Pass, relay.Call, relay.Stop, relay.Delegate, relay.Eject:
	}
	return &handOut{Declined: true}, nil
}

// writeHanded answers a caller with what a gatherer has returned.
func (f *Front) writeHanded(w http.ResponseWriter, q *request, out *handOut) {
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

// text returns the message of an error for a log; it is empty for none.
func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
