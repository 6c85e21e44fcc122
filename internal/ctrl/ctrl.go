// Package ctrl is the control host daemon. One goroutine owns the replicated
// log and the replicated state, another writes to the disk, and others serve
// operators over HTTP/JSON and exchange messages with the other members.
package ctrl

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/clock"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/origin"
	"github.com/jujubethread/jujubethread/internal/peer"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Config holds the settings of a control host. Zero values mean the defaults
// unless a field says otherwise.
type Config struct {
	// Folder is the data folder; required.
	Folder string
	// Listen is the address of the operator API; required.
	Listen string
	// Address is where other hosts reach this one; required. Port 0 selects a
	// free port, which is suitable only for a group of one.
	Address string
	// Bind is where this host listens for other hosts; empty means Address.
	Bind string
	// Link has the certificates and limits of connections with other hosts.
	Link link.Config
	// NewGroup lets an empty folder start a group with this host as the only
	// member. Leave it unset on hosts that join a group.
	NewGroup bool
	// Bootstrap lists the first members of a new group and must be the same on
	// all of them. It is used only while the folder is empty.
	Bootstrap []quorum.Member
	// Transport replaces the link to the other members in tests.
	Transport Transport
	// PlatformList is a file with the ids of the entry hosts that the platform
	// considers live, one per line; empty means none. It may be stale.
	PlatformList string
	// Parts are replicated in addition to the configuration and the ledger.
	Parts []state.Part
	// ID is the identity for a data folder that has none yet; empty generates
	// one.
	ID ident.HostID
	// Extend registers further methods on the link to other hosts.
	Extend func(*link.Server) `json:"-"`
	// API returns the handler that replaces the operator API, if set.
	API func(*Host) http.Handler `json:"-"`
	// Guard bounds the connections of operators, if set. It has the limits and timeouts
	// then. With certificates it counts the encrypted bytes only, since operators who
	// have none are refused before their requests are read.
	Guard *guard.Guard `json:"-"`

	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// SnapshotBytes is the log size at which a snapshot replaces the log. A
	// larger last snapshot raises it to its own size.
	SnapshotBytes int64
	SegmentBytes  int64
	SlowSync      time.Duration
	FS            store.FS
	Log           *slog.Logger
}

// NotInBootstrapError reports a data folder whose identity is not in
// Config.Bootstrap, such as after a disk was wiped.
type NotInBootstrapError struct {
	ID     ident.HostID
	Folder string
}

// Error describes the mismatch and names the remedy.
func (e *NotInBootstrapError) Error() string {
	return fmt.Sprintf("data folder %s has the identity %s, which is not among the first members: "+
		"start without a list of first members and replace the old member by this one", e.Folder, e.ID)
}

// Host is a control host.
type Host struct {
	cfg      Config
	id       ident.HostID
	start    clock.Reading
	listener net.Listener
	link     *peer.Link
	log      *slog.Logger

	inbox      chan quorum.Message
	requests   chan request
	ownerCalls chan func(*owner)
	feed       *origin.Feed
	meters     *meters
	owner      *owner
	stopped    chan struct{}
}

// Identify returns the member id of a data folder, which it creates if needed.
func Identify(folder string) (ident.HostID, error) {
	s, err := store.Open(store.Config{Folder: folder})
	if err != nil {
		return "", err
	}
	return s.ID(), s.Close()
}

// New opens the data folder and the operator listener. Run must follow.
func New(cfg Config) (*Host, error) {
	if cfg.Folder == "" || cfg.Listen == "" || cfg.Address == "" {
		return nil, errors.New("control host needs Folder, Listen and Address")
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = defaultElectionTimeout
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	h := &Host{
		cfg:        cfg,
		start:      clock.Now(),
		log:        cfg.Log,
		inbox:      make(chan quorum.Message, inboxCapacity),
		requests:   make(chan request),
		ownerCalls: make(chan func(*owner)),
		feed:       origin.New(),
		stopped:    make(chan struct{}),
	}
	if err := h.open(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) open() error {
	if h.cfg.Link.Log == nil {
		h.cfg.Link.Log = h.log
	}
	if h.cfg.Transport == nil {
		l, err := peer.Listen(h.cfg.Link, cmp.Or(h.cfg.Bind, h.cfg.Address))
		if err != nil {
			return err
		}
		h.link, h.cfg.Transport = l, l
		if h.cfg.Bind == "" {
			h.cfg.Address = l.Address()
		}
		h.feed.Register(l.Server())
		h.serveFilings(l.Server())
		h.serveSeats(l.Server())
		if h.cfg.Extend != nil {
			h.cfg.Extend(l.Server())
		}
	}
	lis, err := net.Listen("tcp", h.cfg.Listen)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for operators on %s", h.cfg.Listen)
	}
	if h.cfg.Guard != nil && h.cfg.Link.Keys.IsSet() {
		lis = h.cfg.Guard.WrapRaw(lis)
	}
	if h.listener, err = link.Secure(h.cfg.Link, lis); err != nil {
		return err
	}
	o, err := newOwner(h)
	if err != nil {
		return err
	}
	h.owner = o
	h.id = o.store.ID()
	h.log = h.log.With("member", string(h.id))
	h.meters = newMeters()
	return nil
}

// closeListeners closes the listeners after open has failed.
func (h *Host) closeListeners() {
	if h.link != nil {
		h.link.Close()
	}
	if h.listener != nil {
		_ = h.listener.Close()
	}
}

// ID returns the member id of the data folder.
func (h *Host) ID() ident.HostID { return h.id }

// Addr returns the address of the operator API.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// LinkAddr returns the address where other hosts reach this one.
func (h *Host) LinkAddr() string { return h.cfg.Address }

// Run serves until ctx ends or the data folder cannot be recovered. A leader
// transfers its leadership before Run returns.
func (h *Host) Run(ctx context.Context) error {
	handler := h.handler()
	if h.cfg.API != nil {
		handler = h.cfg.API(h)
	}
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	listener := h.listener
	switch {
	case h.cfg.Guard == nil:
	case h.cfg.Link.Keys.IsSet():
		srv.ConnState = link.ReportState
	default:
		guarded := h.cfg.Guard.Wrap(h.listener)
		listener = guarded
		srv.Handler = guard.Handler(handler)
		srv.ReadHeaderTimeout, srv.ReadTimeout, srv.IdleTimeout = 0, 0, 0
		srv.ConnState, srv.ConnContext = guarded.ConnState(nil), guard.ConnContext
	}
	g, ctx := errgroup.WithContext(ctx)
	// The link outlives ctx, since a leader transfers its leadership when ctx
	// ends.
	linkCtx, stopLink := context.WithCancel(context.WithoutCancel(ctx))
	if h.link != nil {
		g.Go(func() error { return h.link.Run(linkCtx, h.id, h) })
	}
	defer func() { _ = h.meters.closer.Close() }()
	g.Go(func() error {
		defer stopLink()
		defer close(h.stopped)
		return h.owner.run(ctx)
	})
	g.Go(func() error {
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator API failed")
		}
		return nil
	})
	g.Go(func() error { return h.followPlatformList(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		<-h.stopped
		// The answers to commands in flight are written before the server closes.
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return srv.Shutdown(shutdownCtx)
	})
	return g.Wait()
}

// Deliver queues a message of another member. It does not block and drops the
// message if the queue is full.
func (h *Host) Deliver(m quorum.Message) {
	select {
	case h.inbox <- m:
	default:
	}
}

// now returns the time since the start. It includes time in which the machine
// was suspended, so that a lease does not outlive a suspension.
func (h *Host) now() ident.Instant { return ident.Instant(clock.Now().Sub(h.start)) }

// Metrics returns the handler that serves this member's metrics in the
// Prometheus text format.
func (h *Host) Metrics() http.Handler { return h.meters.handler }

// SetGauge sets a metric of a part that this package does not know.
func (h *Host) SetGauge(name string, value float64) { h.meters.scope.Gauge(name).Update(value) }

// Now returns the time since the host started, the clock of the replicated
// log.
func (h *Host) Now() ident.Instant { return h.now() }

// View passes this member's view of the group to read, on the goroutine that applies the
// log: read may look at the parts that this host was given, in the same state.
func (h *Host) View(ctx context.Context, read func(quorum.Status)) error {
	return h.runOnOwner(ctx, func(o *owner) { read(o.node.Status(h.now())) })
}

// Quorum returns this member's view of the replicated log and its group.
func (h *Host) Quorum(ctx context.Context) (quorum.Status, error) {
	var s quorum.Status
	err := h.View(ctx, func(q quorum.Status) { s = q })
	return s, err
}

// seed returns a hash of the member id, so that hosts use different random
// election timeouts.
func (h *Host) seed(id ident.HostID) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}
