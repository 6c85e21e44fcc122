// Package agent connects an entry host to the control group and to its peers,
// the other entry hosts. An agent follows the configuration and serves it to
// peers, sends heartbeats that renew the connection seat, and reserves and
// records filings in the ledger. One goroutine owns the reducers; others carry
// out their effects.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/mirror"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

const (
	// inboxSize is the number of events that may wait for the goroutine of Run.
	inboxSize = 256

	// factsSize is the number of messages of other entry hosts that may wait for
	// the engine.
	factsSize = 64

	// gossipTimeout bounds one message to another entry host.
	gossipTimeout = 500 * time.Millisecond

	// stopTimeout bounds how long a stopping agent waits for open filings to be
	// recorded and for the seat to be released.
	stopTimeout = 2 * time.Second

	// ledgerTimeout bounds one call to the ledger.
	ledgerTimeout = 2 * time.Second
)

// Config holds the settings of an Agent.
type Config struct {
	Host   ident.HostID
	Domain ident.Domain
	// Listen is the IP:port at which the agent serves peers; port 0 picks one.
	Listen string
	// Advertise is the IP:port that is announced to peers; empty means the
	// listen address, with the port that was picked.
	Advertise string
	// Controls are the control hosts, at least one.
	Controls []follow.Source
	// Peers are entry hosts to follow before the control group has named any, so
	// that a host can restart in a domain that cannot reach the control group.
	Peers []follow.Source
	Link  link.Config
	// Log receives source changes, seat changes and faults; nil discards them.
	Log *slog.Logger
}

// Agent connects one entry host to the control group and to its peers. It
// implements host.Control.
type Agent struct {
	cfg    Config
	start  time.Time
	boot   uint64 // random id of this process
	lis    net.Listener
	server *link.Server
	client *link.Client
	feed   *mirror.Feed

	inbox   chan func()
	done    chan struct{}
	configs chan *config.State
	seats   chan engine.Seat
	grants  chan engine.ShareGranted
	facts   chan []gossip.Sent
	// demand is for the next heartbeat.
	demand atomic.Pointer[engine.Report]

	// The fields below are used only by the goroutine of Run.
	ctx          context.Context
	group        *errgroup.Group
	follower     *follow.Reducer
	holder       *member.Holder
	filing       *filing.Reducer
	streams      map[uint64]context.CancelFunc
	openFilings  map[filing.ArrivalID]*arrival
	lastArrival  filing.ArrivalID
	controlIndex int    // control host for ledger calls while leader is empty
	leader       string // address of the leader, empty if unknown
	spreader     *gossip.Spreader
	timers       [4]*time.Timer
}

var _ host.Control = (*Agent)(nil)

// New returns an agent that listens but does not serve or connect before Run.
func New(cfg Config) (*Agent, error) {
	if len(cfg.Controls) == 0 {
		return nil, errors.New("entry host has no control host: name at least one address")
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	server, err := link.NewServer(cfg.Link)
	if err != nil {
		return nil, err
	}
	client, err := link.NewClient(cfg.Link)
	if err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "address %s for peers cannot be used: free it or choose another one", cfg.Listen)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = lis.Addr().String()
	}
	boot, err := newBootID()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:         cfg,
		start:       time.Now(),
		boot:        boot,
		lis:         lis,
		server:      server,
		client:      client,
		feed:        mirror.NewFeed(0),
		inbox:       make(chan func(), inboxSize),
		done:        make(chan struct{}),
		configs:     make(chan *config.State, 1),
		seats:       make(chan engine.Seat, 1),
		grants:      make(chan engine.ShareGranted, 1),
		facts:       make(chan []gossip.Sent, factsSize),
		spreader:    gossip.New(boot),
		streams:     make(map[uint64]context.CancelFunc),
		openFilings: make(map[filing.ArrivalID]*arrival),
	}
	a.feed.Register(server)
	link.Handle(server, proto.MethodGossip, a.receiveGossip)
	a.initReducers()
	return a, nil
}

func newBootID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "random id of this process cannot be generated: check the random source of the system")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

func (a *Agent) initReducers() {
	a.follower = follow.New(follow.Config{
		Domain:   a.cfg.Domain,
		Controls: a.cfg.Controls,
		Seed:     a.boot,
	})
	controls := make([]string, 0, len(a.cfg.Controls))
	for _, c := range a.cfg.Controls {
		controls = append(controls, c.Address)
	}
	// Hosts start at different control hosts, so that these share the load.
	first := int(a.boot % uint64(len(controls)))
	a.holder = member.NewHolder(member.HolderConfig{
		Host:     a.cfg.Host,
		Domain:   a.cfg.Domain,
		Boot:     a.boot,
		Address:  a.cfg.Advertise,
		Controls: slices.Concat(controls[first:], controls[:first]),
	})
	a.filing = filing.New(filing.Config{Boot: a.boot})
}

// Address returns the IP:port at which peers are served.
func (a *Agent) Address() string { return a.lis.Addr().String() }

// Configs implements host.Control. Only the newest undelivered configuration
// is kept.
func (a *Agent) Configs() <-chan *config.State { return a.configs }

// Seats implements host.Control. Only the newest undelivered seat is kept.
func (a *Agent) Seats() <-chan engine.Seat { return a.seats }

// Report implements host.Control. The next heartbeat carries the demand.
func (a *Agent) Report(r engine.Report) { a.demand.Store(&r) }

// Grants implements host.Control. Only the newest undelivered answer is kept.
func (a *Agent) Grants() <-chan engine.ShareGranted { return a.grants }

// Traffic returns the total bytes that the agent received and sent, as server
// and as client.
func (a *Agent) Traffic() (in, out int64) {
	s, c := a.server.Stats(), a.client.Stats()
	return s.BytesIn.Load() + c.BytesIn.Load(), s.BytesOut.Load() + c.BytesOut.Load()
}

// Run runs the agent until ctx ends. It then releases the seat, waits up to
// stopTimeout for open filings to be recorded and closes all connections.
func (a *Agent) Run(ctx context.Context) error {
	// The context of effects outlives ctx: releasing the seat and recording
	// filings takes further calls.
	effectCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.group, a.ctx = errgroup.WithContext(effectCtx)
	a.group.Go(func() error { return a.server.Serve(a.ctx, a.lis) })
	a.loop(ctx)
	cancel()
	close(a.done)
	err := a.group.Wait()
	_ = a.client.Close()
	if a.ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// loop passes events to the reducers until the agent has stopped.
func (a *Agent) loop(ctx context.Context) {
	for i := range a.timers {
		a.timers[i] = time.NewTimer(time.Hour)
		defer a.timers[i].Stop()
	}
	if len(a.cfg.Peers) > 0 {
		a.setGossipPeers(a.cfg.Peers)
		a.stepFollower(follow.PeersChanged{Peers: a.cfg.Peers})
	}
	a.stepFollower(follow.Started{})
	a.stepHolder(member.Started{})
	stop := ctx.Done()
	var stopExpired <-chan time.Time
	for {
		select {
		case <-stop:
			stop = nil
			stopExpired = time.After(stopTimeout)
			a.stepHolder(member.Left{})
		case <-stopExpired:
			a.cfg.Log.Warn("agent stopped before its seat was released or all filings were recorded", "Filings", a.filing.Open())
			return
		case <-a.ctx.Done(): // the server failed
			return
		case fn := <-a.inbox:
			fn()
		case <-a.timers[followerTimer].C:
			a.stepFollower(follow.Ticked{})
		case <-a.timers[holderTimer].C:
			a.stepHolder(member.TimePassed{})
		case <-a.timers[filingTimer].C:
			a.stepFiling(filing.Ticked{})
		case <-a.timers[gossipTimer].C:
			a.sendGossip()
		}
		if stop == nil && a.holder.Departed() && a.filing.Open() == 0 {
			return
		}
	}
}

func (a *Agent) now() ident.Instant { return ident.Instant(time.Since(a.start)) }

// post runs fn in the goroutine of Run. After the agent has stopped, fn is
// dropped.
func (a *Agent) post(fn func()) {
	select {
	case a.inbox <- fn:
	case <-a.done:
	}
}

// spawn runs fn in a goroutine that Run waits for before it returns.
func (a *Agent) spawn(fn func(ctx context.Context)) {
	ctx := a.ctx
	a.group.Go(func() error {
		fn(ctx)
		return nil
	})
}

// Indexes into Agent.timers: the timer of each reducer.
const (
	followerTimer = iota
	holderTimer
	filingTimer
	gossipTimer
)

func (a *Agent) setTimer(timer int, at ident.Instant) {
	a.timers[timer].Reset(max(at.Sub(a.now()), 0))
}

// sendLatest sends v on a channel of size 1 without blocking. It replaces a
// value that was not received yet.
func sendLatest[T any](ch chan T, v T) {
	select {
	case <-ch:
	default:
	}
	ch <- v
}
