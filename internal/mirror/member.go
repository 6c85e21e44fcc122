package mirror

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

// errStopped is returned by Hosts and for heartbeats after Run has ended.
var errStopped = errors.New("this control host is stopping: ask another one")

// MembersConfig holds the settings of Members.
type MembersConfig struct {
	// Leads reports whether this host is the leader with a valid lease. It is
	// called before each answer, so that a partitioned leader grants no seats.
	Leads func() bool
	// Leader returns the address of the leader for redirects, or an empty string
	// if it is unknown.
	Leader func() string
	// Log receives liveness changes of entry hosts; nil discards them.
	Log *slog.Logger
}

// Members answers the heartbeats of entry hosts on a control host and assigns
// their connection seats. Only the goroutine of Run uses the table.
type Members struct {
	cfg   MembersConfig
	start time.Time
	inbox chan func(now ident.Instant)
	done  chan struct{}
	table *member.Table
}

// NewMembers returns a Members without hosts. It grants no seats until Post
// passes member.LeaderStarted.
func NewMembers(cfg MembersConfig) *Members {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Members{
		cfg:   cfg,
		start: time.Now(),
		inbox: make(chan func(ident.Instant), 64),
		done:  make(chan struct{}),
		table: member.NewTable(),
	}
}

// Register serves the heartbeats on s.
func (m *Members) Register(s *link.Server) { link.Handle(s, proto.MethodHeartbeat, m.heartbeat) }

// Run processes heartbeats and posted events until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	defer close(m.done)
	sweep := time.NewTicker(member.SweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-m.inbox:
			fn(m.now())
		case <-sweep.C:
			m.step(m.now(), member.Ticked{})
		}
	}
}

func (m *Members) now() ident.Instant { return ident.Instant(time.Since(m.start)) }

// Post passes an event to the table: member.LeaderStarted, LeaderStopped,
// SeatsSet or Listed. It does not wait until the event is processed.
func (m *Members) Post(event member.Event) {
	m.enqueue(func(now ident.Instant) { m.step(now, event) })
}

// Hosts returns the state of the known entry host processes and of each domain.
// It fails when ctx ends or Run has ended.
func (m *Members) Hosts(ctx context.Context) ([]member.HostState, []member.DomainState, error) {
	type state struct {
		hosts   []member.HostState
		domains []member.DomainState
	}
	reply := make(chan state, 1)
	m.enqueue(func(ident.Instant) { reply <- state{m.table.Hosts(), m.table.Domains()} })
	select {
	case s := <-reply:
		return s.hosts, s.domains, nil
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	case <-m.done:
		return nil, nil, errStopped
	}
}

func (m *Members) enqueue(fn func(now ident.Instant)) {
	select {
	case m.inbox <- fn:
	case <-m.done:
	}
}

// step passes an event to the table and carries out the effects. If the event is
// a heartbeat, it returns the answer.
func (m *Members) step(now ident.Instant, event member.Event) (answer member.Answer) {
	for _, eff := range m.table.Step(now, event) {
		switch eff := eff.(type) {
		case member.Answer:
			answer = eff
		case member.LivenessChanged:
			m.cfg.Log.Info("entry host liveness changed", "Host", string(eff.Host), "Domain", string(eff.Domain), "Live", eff.Live)
		case member.Wake: // Run ticks every member.SweepInterval
		}
	}
	return answer
}

func (m *Members) heartbeat(ctx context.Context, in *proto.Heartbeat) (*proto.HeartbeatAnswer, error) {
	reply := make(chan member.Answer, 1)
	m.enqueue(func(now ident.Instant) { reply <- m.step(now, in.Beat) })
	select {
	case a := <-reply:
		if !a.Accepted || !m.cfg.Leads() {
			return &proto.HeartbeatAnswer{Leader: m.cfg.Leader()}, nil
		}
		return &proto.HeartbeatAnswer{Answer: a}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.done:
		return nil, errStopped
	}
}
