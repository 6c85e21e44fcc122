// Package core is the control host on the platform: the replicated log of
// internal/ctrl with the operator's documents, the reader of the platform's
// list of upstreams, and the board that entry hosts watch. The leader keeps
// the group's membership and reads the list; the others follow it.
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
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
	"github.com/jujubethread/jujubethread/pkg/roster"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// routineEvery is how often the group is looked at. Other hosts hear of a
	// new leader that much later.
	routineEvery = 100 * time.Millisecond

	// statusWait bounds asking the goroutine that owns the log, which waits for
	// a slow disk.
	statusWait = 250 * time.Millisecond

	// electionTimeout is five heartbeats. After a loss of power of all hosts
	// the configuration is back only with a new leader.
	electionTimeout = 500 * time.Millisecond

	// listEvery is the time between two readings of the platform's list. With
	// the platform's own lag of under a second, a draining upstream is known
	// everywhere within 2 s of the 3 s that are allowed.
	listEvery = 1100 * time.Millisecond

	// listOld is the age at which a host that does not lead reads the list
	// itself, as in a domain that is cut off from the leader.
	listOld = 4 * time.Second

	// changeWait bounds one change of the group.
	changeWait = 2 * time.Second

	// retryEvery is the pause after an ask that failed or found no leader.
	retryEvery = 100 * time.Millisecond

	maxDocument = 8 << 20 // bytes
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
	// Seeds are link addresses of control hosts.
	Seeds []string
	// First is set when the whole system starts for the first time.
	First bool
	// Lost is the number of disks that may be lost at once.
	Lost int
	// ListAddress is where the platform's list is read.
	ListAddress string
	// Metrics is the address where metrics are served; empty means none.
	Metrics string
	Log     *slog.Logger
}

// Core is a control host.
type Core struct {
	cfg    Config
	log    *slog.Logger
	self   watch.Host
	board  *watch.State
	host   *ctrl.Host
	client *link.Client
	lister *platform.Lister
	keeper *roster.Planner

	seeds atomic.Pointer[[]string]
	// leaders gets the leaders that announce themselves.
	leaders chan string

	// confirmed is the digest of this host's askers that the leader knows.
	confirmed uint64
	// resync is set to ask for the whole list and roster.
	resync bool
}

// founder is the identity of a first member, which all others can work out
// before they have heard of it.
func founder(address string) ident.HostID { return ident.HostID("first-" + address) }

// New opens the data folder and the ports. Run must follow.
func New(cfg Config) (*Core, error) {
	secure := link.Config{
		AllowPlain:  true,
		CallTimeout: watch.PollTimeout,
		DialTimeout: time.Second,
		Log:         cfg.Log,
	}
	client, err := link.NewClient(secure)
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg:     cfg,
		log:     cfg.Log,
		board:   watch.NewState(),
		client:  client,
		lister:  platform.NewLister(cfg.ListAddress),
		keeper:  roster.NewPlanner(),
		leaders: make(chan string, 1),
	}
	c.seeds.Store(&cfg.Seeds)
	own := ctrl.Config{
		Folder:  cfg.Folder,
		Listen:  cfg.Operator,
		Address: cfg.Link,
		Bind:    cfg.Bind,
		Link:    secure,
		Parts:   []state.Part{&documentPart{board: c.board}},
		Extend:  c.register,
		API:     c.api,

		ElectionTimeout: electionTimeout,
		Log:             cfg.Log,
	}
	if cfg.First && slices.Contains(cfg.Seeds, cfg.Link) {
		own.ID = founder(cfg.Link)
		for _, s := range cfg.Seeds {
			own.Bootstrap = append(own.Bootstrap, quorum.Member{
				ID:      founder(s),
				Address: s,
			})
		}
	}
	if c.host, err = ctrl.New(own); err != nil {
		return nil, err
	}
	c.self = watch.Host{
		ID:       c.host.ID(),
		Kind:     watch.Control,
		Domain:   cfg.Domain,
		Link:     cfg.Link,
		Operator: cfg.Operator,
	}
	return c, nil
}

// Run serves until ctx ends. A leader hands over before it returns.
func (c *Core) Run(ctx context.Context) error {
	c.log.Info("control host starts", "ID", string(c.self.ID), "First", c.cfg.First, "Seeds", c.cfg.Seeds)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.host.Run(ctx) })
	g.Go(func() error { return c.keep(ctx) })
	g.Go(func() error { return c.readList(ctx) })
	g.Go(func() error { return c.follow(ctx) })
	g.Go(func() error { return c.announce(ctx) })
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
// goroutine that owns it is busy or gone.
func (c *Core) status(ctx context.Context) (s quorum.Status, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	s, err := c.host.Quorum(ctx)
	return s, err == nil
}

func leaderAddress(s quorum.Status) string {
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m.Address
		}
	}
	return ""
}

// keep follows who leads and, while this host does, changes the membership.
func (c *Core) keep(ctx context.Context) error {
	tick := time.NewTicker(routineEvery)
	defer tick.Stop()
	leader := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s, ok := c.status(ctx)
		if !ok {
			continue
		}
		leading := s.Role == quorum.Leader
		address := leaderAddress(s)
		if leading {
			address = c.cfg.Link
			c.board.RecordHeartbeat(c.self)
		}
		if address != leader && address != "" {
			c.log.Info("leader changed", "Leader", address, "Term", uint64(s.Term), "Leading", leading, "Members", len(s.Members))
			leader = address
		}
		if address != "" {
			c.board.SetLeader(leading, address)
		}
		c.board.Sweep()
		if !leading || !s.Lease {
			c.keeper.Reset()
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
		Voters:  2*c.cfg.Lost + 1,
	}
	for _, p := range s.Peers {
		v.Reached[p.ID] = p.Reached
	}
	here, _ := c.board.DirectHosts()
	for _, h := range here {
		if h.Kind == watch.Control {
			v.Alive = append(v.Alive, roster.Host{
				ID:      h.ID,
				Address: h.Link,
				Domain:  h.Domain,
			})
		}
	}
	change, due := c.keeper.Next(v)
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
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	a := c.host.Local(ctx, ctrl.Request{Members: &req})
	c.log.Info("group membership changes", "Join", string(change.Join), "Old", string(change.Old), "Remove", string(change.Remove),
		"Reason", change.Reason, "Outcome", a.Kind, "Remedy", a.Remedy)
	if a.Kind == config.Unknown {
		c.keeper.Reset()
	}
}

// readList reads the platform's list while this host leads, or while the list
// that it gets from the leader is old.
func (c *Core) readList(ctx context.Context) error {
	tick := time.NewTicker(listEvery)
	defer tick.Stop()
	lost := false
	for {
		s, ok := c.status(ctx)
		_, age := c.board.List()
		if ok && s.Role == quorum.Leader || age > listOld {
			begin := time.Now()
			ups, skipped, err := c.lister.Read(ctx)
			switch {
			case err != nil && !lost:
				c.log.Info("list of upstreams is lost", "Error", err.Error())
				lost = true
			case err == nil:
				if lost {
					c.log.Info("list of upstreams is back")
					lost = false
				}
				l := watch.NewList(ups)
				if old, _ := c.board.List(); old.Digest != l.Digest {
					c.log.Info("list of upstreams changed", "Upstreams", len(ups), "Skipped", skipped)
				}
				c.board.SetList(l, time.Since(begin))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// follow asks the leader for the list and the roster while another host
// leads. A host that hears no leader in the replicated log, such as one that
// has been removed from the group, asks for the document as well and is known
// to the leader as one that may join.
func (c *Core) follow(ctx context.Context) error {
	source := Source{Own: c.cfg.Link}
	lost := false
	for ctx.Err() == nil {
		source.Seeds = *c.seeds.Load()
		select {
		case leader := <-c.leaders:
			source.Heard(leader)
		default:
		}
		s, ok := c.status(ctx)
		if ok && s.Role == quorum.Leader {
			source.Heard("")
			sleep(ctx, retryEvery)
			continue
		}
		hears := s.Leader != ""
		target, finding := source.Target(leaderAddress(s))
		if target == "" {
			sleep(ctx, retryEvery)
			continue
		}
		leader, err := c.ask(ctx, target, hears, finding)
		if lost != (err != nil) || finding && leader != "" {
			lost = err != nil
			c.log.Info("source of news changed", "Source", target, "Lost", lost, "Leader", leader, "Hears", hears, "Version", c.board.Document().Version, "Error", text(err))
		}
		source.Heard(leader)
		if err != nil || finding && leader == "" {
			sleep(ctx, retryEvery)
		}
		if err == nil && !hears && leader != "" && leader != c.cfg.Link {
			c.board.SetLeader(false, leader)
		}
	}
	return nil
}

// ask asks one control host for news and returns who leads.
func (c *Core) ask(ctx context.Context, address string, hears, atOnce bool) (leader string, err error) {
	list, _ := c.board.List()
	hosts, digest := c.board.Roster()
	if c.resync {
		list.Digest, digest = 0, 0
	}
	ask := watch.Request{
		From:    c.self,
		Version: c.board.Document().Version,
		Digest:  list.Digest,
		Roster:  digest,
		Follows: hears,
		AtOnce:  atOnce,
	}
	here, known := c.board.DirectHosts()
	if ask.DirectDigest = known; known != c.confirmed {
		ask.DirectHosts = here
	}
	var r watch.Reply
	err = c.client.Call(ctx, address, watch.MethodPoll, &ask, &r)
	c.confirmed = r.DirectDigest
	if err != nil {
		return "", err
	}
	if r.Document != nil {
		c.board.SetDocument(*r.Document)
	}
	age := time.Duration(r.ListAge) * time.Millisecond
	next, ok := r.NewList(list)
	c.resync = !ok && r.ListDelta != nil
	switch {
	case ok:
		c.board.SetList(next, age)
	case r.ListAge >= 0 && !c.resync:
		c.board.ConfirmList(list.Digest, age)
	}
	if r.Roster != digest {
		if hosts, ok = r.NewHosts(hosts); ok {
			c.board.SetRoster(hosts)
		} else {
			c.resync = true
		}
	}
	if c.resync {
		c.log.Info("news do not fit what is held; the whole is asked for", "Source", address)
	}
	return r.Leader, nil
}

// text returns the message of an error for a log; it is empty for none.
func text(err error) string {
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

// serveMetrics serves the metrics of the replicated log until ctx ends. A
// port that is taken costs the metrics, not the service.
func (c *Core) serveMetrics(ctx context.Context) error {
	if c.cfg.Metrics == "" {
		return nil
	}
	lis, err := net.Listen("tcp", c.cfg.Metrics)
	if err != nil {
		c.log.Error("metrics are not served; free the port or set another", "Address", c.cfg.Metrics, "Error", err.Error())
		return nil
	}
	srv := &http.Server{
		Handler:           c.host.Metrics(),
		ReadHeaderTimeout: changeWait,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("metrics are not served any more", "Error", err.Error())
	}
	return nil
}
