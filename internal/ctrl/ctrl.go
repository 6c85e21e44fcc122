// Package ctrl is the control host daemon. One goroutine owns the replicated
// log and the replicated state, one writes to the disk, and others serve
// operators by HTTP/JSON and exchange messages with the other members.
package ctrl

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

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
	// Address is where other members reach this one; required.
	Address string
	// NewGroup lets an empty folder start a group with this host as the only
	// member. Leave it unset on hosts that join a group.
	NewGroup bool
	// Bootstrap lists the first members of a new group, the same on all of
	// them. It is used only while the folder is empty.
	Bootstrap []quorum.Member
	// Transport reaches the other members; nil for a group of one.
	Transport Transport
	// Parts are replicated besides the configuration.
	Parts []Part

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
	start    time.Time
	listener net.Listener
	log      *slog.Logger

	inbox    chan quorum.Message
	requests chan request
	views    chan chan view
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
	if cfg.Transport == nil {
		cfg.Transport = alone{}
	}
	h := &Host{
		cfg:      cfg,
		start:    time.Now(),
		log:      cfg.Log,
		inbox:    make(chan quorum.Message, inboxSize),
		requests: make(chan request),
		views:    make(chan chan view),
		done:     make(chan struct{}),
	}
	o, err := newOwner(h)
	if err != nil {
		return nil, err
	}
	h.owner = o
	h.id = o.store.ID()
	h.log = cfg.Log.With("member", string(h.id))
	h.listener, err = net.Listen("tcp", cfg.Listen)
	if err != nil {
		_ = o.store.Close()
		return nil, errors.Wrapf(err, "cannot listen for operators on %s", cfg.Listen)
	}
	return h, nil
}

// ID returns the member id of the data folder.
func (h *Host) ID() ident.HostID { return h.id }

// Addr returns the address of the operator API.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// Run serves until ctx ends or the data folder is beyond repair. A leader
// hands over before it returns.
func (h *Host) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           h.handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(h.done)
		return h.owner.run(ctx)
	})
	g.Go(func() error {
		if err := srv.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator API failed")
		}
		return nil
	})
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

func (h *Host) now() ident.Instant { return ident.Instant(time.Since(h.start)) }

// seed differs between hosts, so that their election timeouts do.
func (h *Host) seed(id ident.HostID) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}

// alone is the transport of a group of one.
type alone struct{}

func (alone) Send(quorum.Member, quorum.Message) {}

func (alone) Forward(_ context.Context, to quorum.Member, _ Request) (Answer, error) {
	return Answer{}, &NotSentError{
		To:    to.ID,
		Cause: errors.New("this host has no transport"),
	}
}
