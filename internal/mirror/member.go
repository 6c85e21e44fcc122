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

// errStopped is the error of heartbeats after Run has ended.
var errStopped = errors.New("this control host is stopping: ask another one")

// MembersConfig are the settings of Members.
type MembersConfig struct {
	// Leads reports whether this host is the leader and its lease runs. It is
	// asked before each answer, so that a leader that was cut off grants nothing.
	Leads func() bool
	// Leader returns the address of the leader for redirects, or an empty string.
	Leader func() string
	// Log gets hosts that fall silent or are heard again; nil discards them.
	Log *slog.Logger
}

// Members serves the heartbeats of entry hosts on a control host. One
// goroutine owns the table.
type Members struct {
	cfg   MembersConfig
	start time.Time
	inbox chan func(now ident.Instant)
	done  chan struct{}
	table *member.Table
}

// NewMembers returns members of a control host that is not the leader.
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

// Run owns the table until ctx ends.
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

// Post hands an event to the table: LeaderStarted, LeaderStopped, SeatsSet or
// Listed. It returns without waiting for its effect.
func (m *Members) Post(event member.Event) {
	m.do(func(now ident.Instant) { m.step(now, event) })
}

// Hosts returns the known entry host processes and the state of each domain.
func (m *Members) Hosts(ctx context.Context) ([]member.HostState, []member.DomainState, error) {
	type state struct {
		hosts   []member.HostState
		domains []member.DomainState
	}
	got := make(chan state, 1)
	m.do(func(ident.Instant) { got <- state{m.table.Hosts(), m.table.Domains()} })
	select {
	case s := <-got:
		return s.hosts, s.domains, nil
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	case <-m.done:
		return nil, nil, errStopped
	}
}

func (m *Members) do(fn func(now ident.Instant)) {
	select {
	case m.inbox <- fn:
	case <-m.done:
	}
}

// step carries out the effects of an event and returns the answer to a
// heartbeat, if the event is one.
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
	got := make(chan member.Answer, 1)
	m.do(func(now ident.Instant) { got <- m.step(now, in.Beat) })
	select {
	case a := <-got:
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
