// Package agent connects an entry host to the control group and to its peers:
// it keeps the configuration up to date, holds the connection seat, runs
// filings through the ledger and serves the configuration to peers. One
// goroutine owns the reducers; others carry out their effects.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/host"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/mirror"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/filing"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

const (
	// inboxSize is the number of events that may wait for the owner.
	inboxSize = 256

	// leaveWait bounds how long a stopping agent waits for filings to be
	// recorded and for the seat to be given back.
	leaveWait = 2 * time.Second

	// ledgerTimeout bounds one call to the ledger.
	ledgerTimeout = 2 * time.Second
)

// Config are the settings of an agent.
type Config struct {
	Host   ident.HostID
	Domain ident.Domain
	// Listen is the IP:port at which peers are served; port 0 picks one.
	Listen string
	// Advertise is the IP:port that peers are told; empty means the address
	// that Listen got.
	Advertise string
	// Controls are the control hosts, at least one.
	Controls []follow.Source
	// Peers are entry hosts that are asked before the control group has named
	// any, for a restart in a domain that is cut off.
	Peers []follow.Source
	Link  link.Config
	// Log gets changes of sources, seats and faults; nil discards them.
	Log *slog.Logger
}

// Agent implements host.Control.
type Agent struct {
	cfg    Config
	start  time.Time
	boot   uint64
	lis    net.Listener
	server *link.Server
	client *link.Client
	feed   *mirror.Feed

	inbox   chan func()
	done    chan struct{}
	configs chan *config.State
	seats   chan engine.Seat

	// The fields below belong to the goroutine of Run.
	ctx      context.Context
	group    *errgroup.Group
	spread   *follow.Reducer
	holder   *member.Holder
	filing   *filing.Reducer
	streams  map[uint64]context.CancelFunc
	open     map[filing.ArrivalID]*arrival
	arrivals filing.ArrivalID
	control  int // index of the control host that is asked for filings
	leader   string
	timers   [3]*time.Timer
}

var _ host.Control = (*Agent)(nil)

// New returns an agent that listens but does nothing before Run.
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
	boot, err := newBoot()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:     cfg,
		start:   time.Now(),
		boot:    boot,
		lis:     lis,
		server:  server,
		client:  client,
		feed:    mirror.NewFeed(0),
		inbox:   make(chan func(), inboxSize),
		done:    make(chan struct{}),
		configs: make(chan *config.State, 1),
		seats:   make(chan engine.Seat, 1),
		streams: make(map[uint64]context.CancelFunc),
		open:    make(map[filing.ArrivalID]*arrival),
	}
	a.feed.Register(server)
	a.reducers()
	return a, nil
}

func newBoot() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "random number of the process cannot be made")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

func (a *Agent) reducers() {
	a.spread = follow.New(follow.Config{
		Domain:   a.cfg.Domain,
		Controls: a.cfg.Controls,
		Seed:     a.boot,
	})
	controls := make([]string, 0, len(a.cfg.Controls))
	for _, c := range a.cfg.Controls {
		controls = append(controls, c.Address)
	}
	// Hosts start at different control hosts, so that these share the load.
	at := int(a.boot % uint64(len(controls)))
	a.holder = member.NewHolder(member.HolderConfig{
		Host:     a.cfg.Host,
		Domain:   a.cfg.Domain,
		Boot:     a.boot,
		Address:  a.cfg.Advertise,
		Controls: slices.Concat(controls[at:], controls[:at]),
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

// Traffic returns the bytes that the agent received and sent, as server and client.
func (a *Agent) Traffic() (in, out int64) {
	s, c := a.server.Stats(), a.client.Stats()
	return s.BytesIn.Load() + c.BytesIn.Load(), s.BytesOut.Load() + c.BytesOut.Load()
}

// Run works until ctx ends. It then gives the seat back, waits shortly for
// filings to be recorded and closes all connections.
func (a *Agent) Run(ctx context.Context) error {
	// Effects outlive ctx, since stopping needs calls as well.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.group, a.ctx = errgroup.WithContext(work)
	a.group.Go(func() error { return a.server.Serve(a.ctx, a.lis) })
	a.own(ctx)
	cancel()
	close(a.done)
	err := a.group.Wait()
	_ = a.client.Close()
	if a.ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// own is the loop of the goroutine that owns the reducers.
func (a *Agent) own(ctx context.Context) {
	for i := range a.timers {
		a.timers[i] = time.NewTimer(time.Hour)
		defer a.timers[i].Stop()
	}
	if len(a.cfg.Peers) > 0 {
		a.stepSpread(follow.PeersChanged{Peers: a.cfg.Peers})
	}
	a.stepSpread(follow.Started{})
	a.stepHolder(member.Started{})
	stop := ctx.Done()
	var late <-chan time.Time
	for {
		select {
		case <-stop:
			stop = nil
			late = time.After(leaveWait)
			a.stepHolder(member.Left{})
		case <-late:
			a.cfg.Log.Warn("agent stops before everything was recorded", "Filings", a.filing.Open())
			return
		case <-a.ctx.Done(): // the server failed
			return
		case fn := <-a.inbox:
			fn()
		case <-a.timers[spreadTimer].C:
			a.stepSpread(follow.Ticked{})
		case <-a.timers[holderTimer].C:
			a.stepHolder(member.TimePassed{})
		case <-a.timers[filingTimer].C:
			a.stepFiling(filing.Ticked{})
		}
		if stop == nil && a.holder.Departed() && a.filing.Open() == 0 {
			return
		}
	}
}

func (a *Agent) now() ident.Instant { return ident.Instant(time.Since(a.start)) }

// post hands an event to the owner. It is dropped when the agent has stopped.
func (a *Agent) post(fn func()) {
	select {
	case a.inbox <- fn:
	case <-a.done:
	}
}

// spawn runs fn in a goroutine that Run waits for.
func (a *Agent) spawn(fn func(ctx context.Context)) {
	ctx := a.ctx
	a.group.Go(func() error {
		fn(ctx)
		return nil
	})
}

// The timers of the reducers.
const (
	spreadTimer = iota
	holderTimer
	filingTimer
)

func (a *Agent) wake(timer int, at ident.Instant) {
	a.timers[timer].Reset(max(at.Sub(a.now()), 0))
}

// offer replaces the undelivered value of a channel of size 1.
func offer[T any](ch chan T, v T) {
	select {
	case <-ch:
	default:
	}
	ch <- v
}
