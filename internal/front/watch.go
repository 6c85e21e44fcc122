package front

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 150 * time.Millisecond

	// startOffsets is the number of different offsets at which hosts start their
	// round-robin over the seeds.
	startOffsets = 60

	// hostCountRetention is how long the largest host count seen stays in use, so
	// that hosts in an isolated domain do not take over the budget shares of the
	// hosts that they cannot reach.
	hostCountRetention = 30 * time.Second

	// hostCountSettleTime is how long the host count must stay the same before it
	// is used. Hosts that restart together are all in the roster within 1 s.
	hostCountSettleTime = 1500 * time.Millisecond
)

// watcher polls one control host for updates, in its own domain if possible.
type watcher struct {
	front      *Front
	seeds      []string
	source     string
	nextSource int
	hosts      []board.Host

	version    rules.Version
	list       board.List
	roster     uint64
	listReadAt time.Time

	hostCount      int
	hostCountSince time.Time
	maxHosts       int
	maxHostsAt     time.Time
	reported       relay.Hosts
	disconnected   bool
}

// watch polls a control host for updates until ctx ends.
func (f *Front) watch(ctx context.Context) error {
	w := &watcher{
		front: f,
		seeds: f.cfg.Seeds,
		// Hosts that start together poll different seeds first.
		nextSource: int(gather.Hash(string(f.cfg.Name)) % startOffsets),
	}
	for ctx.Err() == nil {
		select {
		case w.seeds = <-f.seeds:
			f.log.Info("seeds changed", "Seeds", w.seeds)
		default:
		}
		if w.source == "" {
			w.source = w.chooseSource()
		}
		if w.source == "" {
			sleep(ctx, pollRetryDelay)
			continue
		}
		if err := w.poll(ctx); err != nil {
			if !w.disconnected {
				f.log.Info("control host is unreachable", "Source", w.source, "Version", w.version, "ListAgeMillis", time.Since(w.listReadAt).Milliseconds(), "Error", err.Error())
				w.disconnected = true
			}
			w.source = ""
			sleep(ctx, pollRetryDelay)
			continue
		}
		if w.disconnected {
			f.log.Info("control host is reachable again", "Source", w.source, "Version", w.version)
			w.disconnected = false
		}
	}
	return nil
}

// chooseSource returns the address of the next control host to poll. It goes
// round-robin over the control hosts of its own domain, those of other domains,
// and the seeds.
func (w *watcher) chooseSource() string {
	var own, others []string
	for _, h := range w.hosts {
		switch {
		case h.Kind != board.Control:
		case h.Domain == w.front.cfg.Domain:
			own = append(own, h.Link)
		default:
			others = append(others, h.Link)
		}
	}
	all := append(append(own, others...), w.seeds...)
	if len(all) == 0 {
		return ""
	}
	w.nextSource++
	return all[(w.nextSource-1)%len(all)]
}

// closerSource returns a control host of its own domain if the current source
// is in another one, else "".
func (w *watcher) closerSource() string {
	found := ""
	for _, h := range w.hosts {
		if h.Kind != board.Control || h.Domain != w.front.cfg.Domain {
			continue
		}
		if h.Link == w.source {
			return ""
		}
		found = h.Link
	}
	return found
}

func (w *watcher) poll(ctx context.Context) error {
	f := w.front
	var r board.Reply
	self := f.self
	self.Draining = f.draining.Load()
	err := f.client.Call(ctx, w.source, watch.MethodPoll, &board.Request{
		From:    self,
		Version: w.version,
		Digest:  w.list.Digest,
		Roster:  w.roster,
		AtOnce:  w.disconnected,
	}, &r)
	if err != nil {
		return err
	}
	if r.Document != nil {
		w.install(*r.Document)
	}
	w.applyList(&r)
	if r.Roster != w.roster {
		hosts, ok := r.NewHosts(w.hosts)
		if !ok {
			f.log.Info("update does not apply to the stored copy; requesting a full copy", "Source", w.source)
			w.roster = 0
			return nil
		}
		w.hosts, w.roster = hosts, r.Roster
		f.peers.setRoster(f.now(), w.hosts)
		f.updateGatherers()
		if closer := w.closerSource(); closer != "" {
			w.source, w.nextSource = closer, 0
		}
	}
	w.updateHostCount()
	return nil
}

func (w *watcher) install(d board.Document) {
	f := w.front
	raw, err := board.Unpack(d.Packed)
	if err != nil {
		f.log.Error("configuration cannot be unpacked", "Version", d.Version, "Error", err.Error())
		return
	}
	doc, err := platform.DecodeDocument(raw)
	if err != nil {
		f.log.Error("configuration cannot be decoded", "Version", d.Version, "Error", err.Error())
		return
	}
	w.version = d.Version
	table := rules.NewTable(doc)
	if old := f.table.Load(); old == nil || table.Version() > old.Version() {
		f.log.Info("configuration is in force", "Version", doc.Version, "Routes", len(doc.Routes), "Source", w.source)
		f.table.Store(table)
		f.inputs <- input{event: relay.Install{Table: table}}
	}
}

// applyList applies the list of upstreams in a reply, unless it was read
// earlier than the one in use.
func (w *watcher) applyList(r *board.Reply) {
	if r.ListAge < 0 {
		return
	}
	readAt := time.Now().Add(-time.Duration(r.ListAge) * time.Millisecond)
	w.front.listReadAt.Store(readAt.UnixNano())
	if r.List == nil && r.ListDelta == nil {
		w.listReadAt = readAt
		return
	}
	if readAt.Before(w.listReadAt) {
		return
	}
	next, ok := r.NewList(w.list)
	if !ok {
		w.front.log.Info("update does not apply to the stored copy; requesting a full copy", "Source", w.source)
		w.list.Digest = 0
		return
	}
	w.listReadAt, w.list = readAt, next
	w.front.inputs <- input{event: relay.Listed{Upstreams: next.Upstreams}}
	w.front.hasList.Store(true)
	w.front.upstreams.Store(int64(len(next.Upstreams)))
	w.front.log.Info("list of upstreams is in use", "Upstreams", len(next.Upstreams), "AgeMillis", r.ListAge, "Source", w.source)
}

// updateHostCount reports to the engine how many entry hosts share the budgets.
// The roster grows while hosts start, so a count is used only once it is stable.
func (w *watcher) updateHostCount() {
	n := 0
	for _, h := range w.hosts {
		if h.Kind == board.Entry {
			n++
		}
	}
	now := time.Now()
	if n != w.hostCount {
		w.hostCount, w.hostCountSince = n, now
	}
	if n == 0 || now.Sub(w.hostCountSince) < hostCountSettleTime {
		return
	}
	if n >= w.maxHosts || now.Sub(w.maxHostsAt) > hostCountRetention {
		w.maxHosts, w.maxHostsAt = n, now
	}
	next := w.front.peers.hostCounts(w.maxHosts)
	if next != w.reported {
		w.front.log.Info("host count changed", "Hosts", next.Count, "Gatherers", next.Gatherers, "Gathers", next.Gathers)
		w.front.inputs <- input{event: next}
		w.front.hosts.Store(int64(next.Count))
		w.reported = next
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
