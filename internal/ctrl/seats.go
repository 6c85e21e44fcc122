package ctrl

import (
	"context"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// firstTerm is the term of the first possible leader of a new group, which
// starts from a snapshot of term 1. No earlier leader can have granted seats.
const firstTerm quorum.Term = 2

// seatAllocator keeps the membership table of entry hosts, which grants their
// seats while this member leads.
type seatAllocator struct {
	table *member.Table
	// term is the term in which the table was last notified that this member
	// leads; 0 while it does not lead.
	term   quorum.Term
	wakeAt ident.Instant
	// seatCount is the number of seats last passed to the table.
	seatCount int
	lastCall  uint64
	// limits divides the limits of upstreams among the entry hosts.
	limits *quota.Owner
}

func newSeatAllocator() *seatAllocator {
	return &seatAllocator{
		table:  member.NewTable(),
		limits: quota.NewOwner(),
	}
}

// syncLeadership notifies the table when this member starts or stops leading,
// and when the configured number of seats changes. It reports whether seats may
// be granted now.
func (o *owner) syncLeadership() bool {
	s, now := o.allocator, o.host.now()
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
		s.term, s.seatCount = q.Term, cfg.Seats
		s.limits = quota.NewOwner()
		o.stepTable(member.LeaderStarted{
			Seats:   cfg.Seats,
			Version: cfg.Version,
			Fresh:   q.Term == firstTerm,
		})
	case s.term == q.Term && s.seatCount != cfg.Seats:
		s.seatCount = cfg.Seats
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

// stepTable passes one event to the table and returns the answer, if the event
// is a heartbeat.
func (o *owner) stepTable(ev member.Event) (answer member.Answer) {
	for _, e := range o.allocator.table.Step(o.host.now(), ev) {
		switch e := e.(type) {
		case member.Answer:
			answer = e
		case member.LivenessChanged:
			o.host.log.Info("entry host liveness changed", "host", string(e.Host), "domain", string(e.Domain), "live", e.Live)
		case member.Wake:
			o.allocator.wakeAt = e.At
		}
	}
	return answer
}

// answerHeartbeat answers a heartbeat, or names the leader if this member does
// not lead.
func (o *owner) answerHeartbeat(in *proto.Heartbeat) *proto.HeartbeatAnswer {
	if !o.syncLeadership() {
		out := &proto.HeartbeatAnswer{}
		if m, ok := leaderOf(o.node.Status(o.host.now())); ok {
			out.Leader = m.Address
		}
		return out
	}
	o.allocator.lastCall++
	beat := in.Beat
	beat.Call = o.allocator.lastCall
	out := &proto.HeartbeatAnswer{Answer: o.stepTable(beat)}
	if len(in.Demands) > 0 {
		fleet := quota.Fleet{Hosts: o.allocator.seatCount}
		out.Grants = o.allocator.limits.Report(o.host.now(), beat.Host, fleet, in.Demands[:min(len(in.Demands), quota.MaxEntries)])
	}
	return out
}

func (h *Host) serveSeats(s *link.Server) {
	link.Handle(s, proto.MethodHeartbeat, func(ctx context.Context, in *proto.Heartbeat) (*proto.HeartbeatAnswer, error) {
		if err := checkCertificateHost(ctx, in.Beat.Host); err != nil {
			return nil, err
		}
		var out *proto.HeartbeatAnswer
		err := h.runOnOwner(ctx, func(o *owner) { out = o.answerHeartbeat(in) })
		return out, err
	})
}
