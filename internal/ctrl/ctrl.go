// Package ctrl is the control host daemon. One goroutine owns the replicated
// log and the replicated state, one writes to the disk, and others serve
// operators by HTTP/JSON and exchange messages with the other members.
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
	"github.com/jujubethread/jujubethread/internal/feed"
	"github.com/jujubethread/jujubethread/internal/link"
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
	// Address is where other hosts reach this one; required. Port 0 takes a
	// free port, which only suits a group of one.
	Address string
	// Bind is where this host listens for other hosts; empty means at Address.
	Bind string
	// Link has the certificates for the traffic with other hosts.
	Link link.Config
	// NewGroup lets an empty folder start a group with this host as the only
	// member. Leave it unset on hosts that join a group.
	NewGroup bool
	// Bootstrap lists the first members of a new group, the same on all of
	// them. It is used only while the folder is empty.
	Bootstrap []quorum.Member
	// Transport replaces the link to the other members in tests.
	Transport Transport
	// PlatformList is a file with the entry hosts that the platform lists as
	// live, one id a line; empty means none. It may lag.
	PlatformList string
	// Parts are replicated besides the configuration.
	Parts []state.Part
	// ID is the identity of a data folder that has none yet; empty makes one up.
	ID ident.HostID
	// Extend registers further methods on the link to other hosts.
	Extend func(*link.Server) `json:"-"`
	// API replaces the operator API, if set.
	API func(*Host) http.Handler `json:"-"`

	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// SnapshotBytes is the least size of the log at which a snapshot replaces it.
	SnapshotBytes int64
	SegmentBytes  int64
	SlowSync      time.Duration
	FS            store.FS
	Log           *slog.Logger
}

// NotInBootstrapError reports a data folder that the stated list of first
// members does not contain, as after a disk was wiped.
type NotInBootstrapError struct {
	ID     ident.HostID
	Folder string
}

// Error names the remedy.
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

	inbox    chan quorum.Message
	requests chan request
	asks     chan func(*owner)
	feed     *feed.Feed
	meters   *meters
	owner    *owner
	done     chan struct{}
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
		cfg:      cfg,
		start:    clock.Now(),
		log:      cfg.Log,
		inbox:    make(chan quorum.Message, inboxSize),
		requests: make(chan request),
		asks:     make(chan func(*owner)),
		feed:     feed.New(),
		done:     make(chan struct{}),
	}
	if err := h.open(); err != nil {
		h.close()
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

// close releases what open has taken when it failed.
func (h *Host) close() {
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

// LinkAddr returns the address that other hosts reach this one at.
func (h *Host) LinkAddr() string { return h.cfg.Address }

// Run serves until ctx ends or the data folder is beyond repair. A leader
// hands over before it returns.
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
	g, ctx := errgroup.WithContext(ctx)
	// The link outlives ctx, since a leader hands over when ctx ends.
	lctx, unlink := context.WithCancel(context.WithoutCancel(ctx))
	if h.link != nil {
		g.Go(func() error { return h.link.Run(lctx, h.id, h) })
	}
	defer func() { _ = h.meters.closer.Close() }()
	g.Go(func() error {
		defer unlink()
		defer close(h.done)
		return h.owner.run(ctx)
	})
	g.Go(func() error {
		if err := srv.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator API failed")
		}
		return nil
	})
	g.Go(func() error { return h.followPlatform(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		<-h.done
		// Answers of commands in flight are written before the server closes.
		sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return srv.Shutdown(sctx)
	})
	return g.Wait()
}

// Deliver hands a message of another member to this host. It does not block
// and drops the message if too many wait.
func (h *Host) Deliver(m quorum.Message) {
	select {
	case h.inbox <- m:
	default:
	}
}

// now counts the time that the machine was suspended, so that a lease does
// not outlive a suspension.
func (h *Host) now() ident.Instant { return ident.Instant(clock.Now().Sub(h.start)) }

// Metrics serves the metrics of this member.
func (h *Host) Metrics() http.Handler { return h.meters.handler }

// Now returns the time on the clock of Status.
func (h *Host) Now() ident.Instant { return h.now() }

// Quorum returns this member's view of the group.
func (h *Host) Quorum(ctx context.Context) (quorum.Status, error) {
	var s quorum.Status
	err := h.ask(ctx, func(o *owner) { s = o.node.Status(h.now()) })
	return s, err
}

// seed differs between hosts, so that their election timeouts do.
func (h *Host) seed(id ident.HostID) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}
