package ctrl

import (
	"context"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// firstTerm is the term of the first possible leader of a new group, which
// starts from a snapshot of term 1. No earlier leader can have granted seats.
const firstTerm quorum.Term = 2

// seating runs the table of entry hosts while this member leads.
type seating struct {
	table  *member.Table
	term   quorum.Term
	wakeAt ident.Instant
	seats  int
	calls  uint64
}

func newSeating() *seating { return &seating{table: member.NewTable()} }

// followLead tells the table when this member starts or stops to lead, and
// the number of seats in force. It reports whether seats may be granted now.
func (o *owner) followLead() bool {
	s, now := o.seating, o.host.now()
	q := o.node.Status(now)
	cfg := o.parts.Config()
	if q.Role != quorum.Leader {
		if s.term != 0 {
			s.term = 0
			o.stepTable(member.LeaderStopped{})
		}
		return false
	}
	switch {
	case q.Lease && s.term != q.Term:
		s.term, s.seats = q.Term, cfg.Seats
		o.stepTable(member.LeaderStarted{
			Seats:   cfg.Seats,
			Version: cfg.Version,
			Fresh:   q.Term == firstTerm,
		})
	case s.term == q.Term && s.seats != cfg.Seats:
		s.seats = cfg.Seats
		o.stepTable(member.SeatsSet{
			Seats:   cfg.Seats,
			Version: cfg.Version,
		})
	}
	if s.term != 0 && now >= s.wakeAt {
		o.stepTable(member.Ticked{})
	}
	return q.Lease
}

// stepTable gives the table one event and returns the answer to a heartbeat.
func (o *owner) stepTable(ev member.Event) (answer member.Answer) {
	for _, e := range o.seating.table.Step(o.host.now(), ev) {
		switch e := e.(type) {
		case member.Answer:
			answer = e
		case member.LivenessChanged:
			o.host.log.Info("entry host changed", "host", string(e.Host), "domain", string(e.Domain), "live", e.Live)
		case member.Wake:
			o.seating.wakeAt = e.At
		}
	}
	return answer
}

// beat answers a heartbeat, or names the leader.
func (o *owner) beat(b member.Beat) *proto.HeartbeatAnswer {
	if !o.followLead() {
		out := &proto.HeartbeatAnswer{}
		if m, ok := leaderOf(o.node.Status(o.host.now())); ok {
			out.Leader = m.Address
		}
		return out
	}
	o.seating.calls++
	b.Call = o.seating.calls
	return &proto.HeartbeatAnswer{Answer: o.stepTable(b)}
}

func (h *Host) serveSeats(s *link.Server) {
	link.Handle(s, proto.MethodHeartbeat, func(ctx context.Context, in *proto.Heartbeat) (*proto.HeartbeatAnswer, error) {
		if err := sameHost(ctx, in.Beat.Host); err != nil {
			return nil, err
		}
		var out *proto.HeartbeatAnswer
		err := h.ask(ctx, func(o *owner) { out = o.beat(in.Beat) })
		return out, err
	})
}
