// Package core is the control host of the platform: the replicated log of
// internal/ctrl with the operator's configuration documents and evacuations, the
// reader of the platform's list of upstreams, and the state that entry hosts poll.
// The leader manages the group's membership and reads the list; other control hosts
// receive the list from the leader.
package core

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/pkg/roster"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// groupCheckInterval is the time between two checks of the group's state.
	// Other hosts learn of a new leader up to this much later.
	groupCheckInterval = 100 * time.Millisecond

	// statusTimeout bounds a status request to the goroutine that owns the log,
	// which a slow disk can delay.
	statusTimeout = 250 * time.Millisecond

	// electionTimeout is five heartbeats. After a power loss of all hosts the
	// configuration is unavailable until a leader is elected.
	electionTimeout = 500 * time.Millisecond

	// listReadInterval is the time between two reads of the platform's list.
	// With the platform's own lag of under a second, all hosts know of a
	// draining upstream within 2 s; 3 s are allowed.
	listReadInterval = 1100 * time.Millisecond

	// maxListAge is the age at which a host that does not lead reads the list
	// itself, such as in a failure domain partitioned from the leader.
	maxListAge = 4 * time.Second

	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second

	// retryDelay is the pause after a request that failed or found no leader.
	retryDelay = 100 * time.Millisecond

	maxDocumentBytes = 8 << 20

	// operatorStallTimeout is the time in which the body of an operator's request must
	// make progress.
	operatorStallTimeout = 5 * time.Second
)

// Config holds the settings of a control host.
type Config struct {
	Name   ident.HostID
	Domain ident.Domain
	// Folder is the data folder.
	Folder string
	// Operator is the address for operators, Link that for other hosts.
	Operator string
	Link     string
	// Bind is where this host listens for other hosts; empty means at Link.
	Bind string
	// Seeds are link addresses of control hosts, used to find the leader.
	Seeds []string
	// First is set on the first start of the whole system. The seeds are then
	// the first members of the group.
	First bool
	// MaxDiskFailures is the number of disks that may fail at once. The group
	// has 2*MaxDiskFailures+1 voters.
	MaxDiskFailures int
	// ListAddress is the address that serves the platform's list of upstreams.
	ListAddress string
	// Metrics is the address where metrics are served; empty means none.
	Metrics string
	// Memory is the memory of the host in MB, and Descriptors the number of its
	// descriptors; 0 means the defaults of package guard.
	Memory      int
	Descriptors int
	Log         *slog.Logger
}

// operatorGuard returns the bounds for operators.
func operatorGuard(cfg Config) *guard.Guard {
	bounds := guard.OperatorBounds(cfg.Memory, cfg.Descriptors, maxDocumentBytes)
	bounds.StallTimeout = operatorStallTimeout
	bounds.Log = cfg.Log
	return guard.New(bounds)
}

// Core is a control host.
type Core struct {
	cfg        Config
	log        *slog.Logger
	self       board.Host
	watchState *watch.State
	// evacuations belongs to the goroutine that applies the log.
	evacuations *evacuationPart
	host        *ctrl.Host
	client      *link.Client
	lister      *platform.Lister
	planner     *roster.Planner

	seeds atomic.Pointer[[]string]
	// leaders receives the link addresses of leaders that announce themselves.
	leaders chan string
	// namedLeader is the leader that another host has named, empty if none. It
	// counts while the replicated log names none.
	namedLeader atomic.Pointer[string]

	// confirmedDigest is the digest of the hosts that poll this host, as last
	// confirmed by the leader.
	confirmedDigest uint64
	// resync is set to request the full list and roster.
	resync bool
}

// bootstrapID returns the identity of a first member. It depends only on the
// address, so that all first members can derive it before any contact.
func bootstrapID(address string) ident.HostID { return ident.HostID("first-" + address) }

// New opens the data folder and the ports. Run must follow.
func New(cfg Config) (*Core, error) {
	linkConfig := link.Config{
		AllowPlain:  true,
		CallTimeout: watch.PollTimeout,
		DialTimeout: time.Second,
		Log:         cfg.Log,
	}
	client, err := link.NewClient(linkConfig)
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg:        cfg,
		log:        cfg.Log,
		watchState: watch.NewState(),
		client:     client,
		lister:     platform.NewLister(cfg.ListAddress),
		planner:    roster.NewPlanner(),
		leaders:    make(chan string, 1),
	}
	c.evacuations = &evacuationPart{
		watchState: c.watchState,
		log:        cfg.Log,
	}
	c.seeds.Store(&cfg.Seeds)
	c.namedLeader.Store(new(string))
	bounds := guard.HostBounds(cfg.Memory, cfg.Descriptors, link.DefaultMaxMessage, true)
	bounds.Log = cfg.Log
	linkConfig.Guard = guard.New(bounds)
	hostConfig := ctrl.Config{
		Folder:  cfg.Folder,
		Listen:  cfg.Operator,
		Address: cfg.Link,
		Bind:    cfg.Bind,
		Link:    linkConfig,
		Parts: []state.Part{
			&documentPart{
				watchState: c.watchState,
				log:        cfg.Log,
			},
			c.evacuations,
		},
		Extend: c.register,
		API:    c.api,
		Guard:  operatorGuard(cfg),

		ElectionTimeout: electionTimeout,
		Log:             cfg.Log,
	}
	if cfg.First && slices.Contains(cfg.Seeds, cfg.Link) {
		hostConfig.ID = bootstrapID(cfg.Link)
		for _, s := range cfg.Seeds {
			hostConfig.Bootstrap = append(hostConfig.Bootstrap, quorum.Member{
				ID:      bootstrapID(s),
				Address: s,
			})
		}
	}
	if c.host, err = ctrl.New(hostConfig); err != nil {
		return nil, err
	}
	c.self = board.Host{
		ID:       c.host.ID(),
		Kind:     board.Control,
		Domain:   cfg.Domain,
		Link:     cfg.Link,
		Operator: cfg.Operator,
	}
	return c, nil
}

// Run serves until ctx ends. A leader transfers its leadership before Run
// returns.
func (c *Core) Run(ctx context.Context) error {
	c.log.Info("control host starts", "ID", string(c.self.ID), "First", c.cfg.First, "Seeds", c.cfg.Seeds)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.host.Run(ctx) })
	g.Go(func() error { return c.maintainGroup(ctx) })
	g.Go(func() error { return c.readList(ctx) })
	g.Go(func() error { return c.followLeader(ctx) })
	g.Go(func() error { return c.announce(ctx) })
	g.Go(func() error { return c.keepFacts(ctx) })
	g.Go(func() error { return c.serveMetrics(ctx) })
	err := g.Wait()
	c.log.Info("control host stops")
	_ = c.client.Close()
	return err
}

// SetSeeds replaces the seeds after the settings have changed.
func (c *Core) SetSeeds(seeds []string) {
	c.log.Info("seeds changed", "Seeds", seeds)
	c.seeds.Store(&seeds)
}

// status returns this member's view of the group; ok is false while the
// goroutine that owns it is busy or has stopped.
func (c *Core) status(ctx context.Context) (s quorum.Status, ok bool) {
	s, _, ok = c.statusAndEvacuation(ctx)
	return s, ok
}

// statusAndEvacuation is status with the set of evacuated domains that this member has
// applied in the same state.
func (c *Core) statusAndEvacuation(ctx context.Context) (s quorum.Status, applied evac.Set, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err := c.host.View(ctx, func(q quorum.Status) { s, applied = q, c.evacuations.orders.Set })
	return s, applied, err == nil
}

func leaderAddress(s quorum.Status) string {
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m.Address
		}
	}
	return ""
}

// maintainGroup tracks the leader and, while this host leads, changes the
// membership.
func (c *Core) maintainGroup(ctx context.Context) error {
	tick := time.NewTicker(groupCheckInterval)
	defer tick.Stop()
	leader := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c.watchState.Sweep()
		evacuated := c.watchState.Evacuation()
		c.host.SetGauge("evacuated_domains", float64(len(evacuated.Domains)))
		c.host.SetGauge("evacuation_revision", float64(evacuated.Revision))
		asked := c.watchState.Now()
		s, applied, ok := c.statusAndEvacuation(ctx)
		if !ok {
			continue
		}
		leading := s.Role == quorum.Leader
		address := leaderAddress(s)
		if leading {
			address = c.cfg.Link
			c.watchState.RecordHeartbeat(c.self)
		}
		if s.Lease {
			c.watchState.ConfirmOwn(applied, asked)
		}
		if address != leader {
			c.log.Info("leader changed", "Leader", address, "Term", uint64(s.Term), "Leading", leading, "Members", len(s.Members))
			leader = address
		}
		if address == "" {
			address = *c.namedLeader.Load()
		}
		c.watchState.SetLeader(leading, address)
		if !leading || !s.Lease {
			c.planner.Reset()
			continue
		}
		c.changeMembers(ctx, s)
	}
}

func (c *Core) changeMembers(ctx context.Context, s quorum.Status) {
	v := roster.View{
		Now:     c.host.Now(),
		Self:    s.ID,
		Members: s.Members,
		Reached: make(map[ident.HostID]bool, len(s.Peers)),
		Voters:  2*c.cfg.MaxDiskFailures + 1,
	}
	for _, p := range s.Peers {
		v.Reached[p.ID] = p.Reached
	}
	directHosts, _ := c.watchState.DirectHosts()
	for _, h := range directHosts {
		if h.Kind == board.Control {
			v.Alive = append(v.Alive, roster.Host{
				ID:      h.ID,
				Address: h.Link,
				Domain:  h.Domain,
			})
		}
	}
	change, due := c.planner.Next(v)
	if !due {
		return
	}
	req := ctrl.MembersRequest{}
	switch {
	case change.Remove != "":
		req.Remove = &ctrl.RemoveMember{ID: change.Remove}
	case change.Old == "":
		req.Add = &ctrl.AddMember{
			ID:      change.Join,
			Address: change.Address,
		}
	default:
		req.Replace = &ctrl.ReplaceMember{
			Old:     change.Old,
			ID:      change.Join,
			Address: change.Address,
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	a := c.host.Local(ctx, ctrl.Request{Members: &req})
	c.log.Info("group membership changes", "Join", string(change.Join), "Old", string(change.Old), "Remove", string(change.Remove),
		"Reason", change.Reason, "Outcome", a.Kind, "Remedy", a.Remedy)
	if a.Kind == config.Unknown {
		c.planner.Reset()
	}
}

// readList reads the platform's list while this host leads, or while the list
// received from the leader is older than maxListAge.
func (c *Core) readList(ctx context.Context) error {
	tick := time.NewTicker(listReadInterval)
	defer tick.Stop()
	failing := false
	for {
		s, ok := c.status(ctx)
		_, age, hasList := c.watchState.List()
		if ok && s.Role == quorum.Leader || !hasList || age > maxListAge {
			started := c.watchState.Now()
			upstreams, skipped, err := c.lister.Read(ctx)
			switch {
			case err != nil && !failing:
				c.log.Info("list of upstreams cannot be read", "Error", err.Error())
				failing = true
			case err == nil:
				if failing {
					c.log.Info("list of upstreams is readable again")
					failing = false
				}
				l := board.NewList(upstreams)
				if old, _, _ := c.watchState.List(); old.Digest != l.Digest {
					c.log.Info("list of upstreams changed", "Upstreams", len(upstreams), "Skipped", skipped)
				}
				c.watchState.SetList(l, started)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// followLeader requests updates of the list and the roster from the leader
// while another host leads. A host whose replicated log names no leader, such
// as one removed from the group, receives the document this way as well, and
// the leader learns of it as a host that may join.
func (c *Core) followLeader(ctx context.Context) error {
	finder := follow.LeaderFinder{Own: c.cfg.Link}
	disconnected := false
	for ctx.Err() == nil {
		finder.Seeds = *c.seeds.Load()
		select {
		case leader := <-c.leaders:
			finder.Answered("", leader, true)
		default:
		}
		named := finder.Leader()
		c.namedLeader.Store(&named)
		s, ok := c.status(ctx)
		if ok && s.Role == quorum.Leader {
			finder.Failed()
			sleep(ctx, retryDelay)
			continue
		}
		logHasLeader := s.Leader != ""
		address, discovering := finder.Target(leaderAddress(s), c.otherControls())
		if address == "" {
			sleep(ctx, retryDelay)
			continue
		}
		leader, current, err := c.requestUpdate(ctx, address, logHasLeader, discovering)
		if disconnected != (err != nil) || discovering && leader != "" {
			disconnected = err != nil
			c.log.Info("update source changed", "Source", address, "Lost", disconnected, "Leader", leader, "Hears", logHasLeader, "Current", current, "Version", c.watchState.Document().Version, "Error", errorText(err))
		}
		if err != nil {
			finder.Failed()
		} else {
			finder.Answered(address, leader, current)
		}
		if err != nil || finder.Leader() == "" {
			sleep(ctx, retryDelay)
		}
	}
	return nil
}

// otherControls returns the link addresses of the control hosts in the roster.
func (c *Core) otherControls() []string {
	var list []string
	hosts, _ := c.watchState.Roster()
	for _, h := range hosts {
		if h.Kind == board.Control && h.Link != c.cfg.Link {
			list = append(list, h.Link)
		}
	}
	return list
}

// requestUpdate requests an update from one control host. It returns the leader
// that the contacted host names, and whether its copy is current. logHasLeader
// is set if the replicated log names a leader; atOnce requests an answer without
// waiting for changes.
func (c *Core) requestUpdate(ctx context.Context, address string, logHasLeader, atOnce bool) (leader string, current bool, err error) {
	list, listAge, _ := c.watchState.List()
	hosts, rosterDigest := c.watchState.Roster()
	if c.resync {
		list.Digest, rosterDigest = 0, 0
	}
	request := board.Request{
		From:    c.self,
		Version: c.watchState.Document().Version,
		Digest:  list.Digest,
		ListAge: listAge.Milliseconds(),
		Roster:  rosterDigest,
		Follows: logHasLeader,
		AtOnce:  atOnce,

		Evacuation: c.watchState.StatedEvacuation(),
	}
	directHosts, directDigest := c.watchState.DirectHosts()
	if request.DirectDigest = directDigest; directDigest != c.confirmedDigest {
		request.DirectHosts = directHosts
	}
	sentAt := c.watchState.Now()
	var r board.Reply
	err = c.client.Call(ctx, address, watch.MethodPoll, &request, &r)
	c.confirmedDigest = r.DirectDigest
	if err != nil {
		return "", false, err
	}
	if r.Document != nil && c.watchState.SetDocument(*r.Document) {
		c.log.Info("configuration was received", "Version", r.Document.Version, "Source", address)
	}
	if c.watchState.Confirm(r.Version, r.Evacuations(sentAt)) {
		logEvacuation(c.log, c.watchState.Evacuation(), address)
	}
	confirmedAt, confirmed := r.ConfirmedAt(sentAt)
	newList, ok := r.NewList(list)
	c.resync = !ok && r.ListDelta != nil
	switch readAt, read := r.ListReadAt(sentAt); {
	case ok && read:
		c.watchState.SetList(newList, readAt)
	case read && !c.resync:
		c.watchState.ConfirmList(list.Digest, readAt)
	}
	if r.Roster != 0 && r.Roster != rosterDigest {
		if hosts, ok = r.NewHosts(hosts); ok {
			c.watchState.SetRoster(hosts)
		} else {
			c.resync = true
		}
	}
	if c.resync {
		c.log.Info("update does not apply to the stored copy; requesting a full copy", "Source", address)
	}
	return r.Leader, confirmed && c.watchState.Now().Sub(confirmedAt) <= follow.StaleAge, nil
}

// errorText returns the message of an error for a log; it is empty for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// serveMetrics serves the metrics of the replicated log until ctx ends. If the
// port is taken, the control host runs without serving them.
func (c *Core) serveMetrics(ctx context.Context) error {
	if c.cfg.Metrics == "" {
		return nil
	}
	lis, err := net.Listen("tcp", c.cfg.Metrics)
	if err != nil {
		c.log.Error("metrics are not served; free the port or set another", "Address", c.cfg.Metrics, "Error", err.Error())
		return nil
	}
	bounds := guard.CheckBounds("metrics", c.cfg.Descriptors)
	bounds.Log = c.log
	guarded := guard.New(bounds).Wrap(lis)
	srv := guard.CheckServer(guarded, guard.MetricsBytes, c.host.Metrics())
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("metrics are not served any more", "Error", err.Error())
	}
	return nil
}
