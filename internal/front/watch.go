package front

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// retryEvery is the pause after an ask that failed.
	retryEvery = 150 * time.Millisecond

	// firstTurns is the number of turns among the seeds that a host may start at.
	firstTurns = 60

	// hostsKept is how long the largest number of hosts seen is used, so that
	// a domain that is cut off does not take the shares of the hosts beyond.
	hostsKept = 30 * time.Second

	// settleTime is how long the number of hosts must stay the same to count.
	// Hosts that restart together are all in the roster within 1 s.
	settleTime = 1500 * time.Millisecond
)

// watcher asks one control host for news, one in its own domain if possible.
type watcher struct {
	front  *Front
	seeds  []string
	source string
	next   int
	hosts  []watch.Host

	version rules.Version
	list    watch.List
	roster  uint64
	readAt  time.Time

	counted   int
	countedAt time.Time
	most      int
	mostAt    time.Time
	told      relay.Hosts
	lost      bool
}

// watch follows a control host until ctx ends.
func (f *Front) watch(ctx context.Context) error {
	w := &watcher{
		front: f,
		seeds: f.cfg.Seeds,
		// Hosts that start together ask different seeds first.
		next: int(gather.Hash(string(f.cfg.Name)) % firstTurns),
	}
	for ctx.Err() == nil {
		select {
		case w.seeds = <-f.seeds:
			f.log.Info("seeds changed", "Seeds", w.seeds)
		default:
		}
		if w.source == "" {
			w.source = w.choose()
		}
		if w.source == "" {
			sleep(ctx, retryEvery)
			continue
		}
		if err := w.ask(ctx); err != nil {
			if !w.lost {
				f.log.Info("control host is lost", "Source", w.source, "Version", w.version, "ListAgeMillis", time.Since(w.readAt).Milliseconds(), "Error", err.Error())
				w.lost = true
			}
			w.source = ""
			sleep(ctx, retryEvery)
			continue
		}
		if w.lost {
			f.log.Info("control host is back", "Source", w.source, "Version", w.version)
			w.lost = false
		}
	}
	return nil
}

// choose returns the next control host to ask: those of the own domain, the
// others, then the seeds, in turn.
func (w *watcher) choose() string {
	var own, others []string
	for _, h := range w.hosts {
		switch {
		case h.Kind != watch.Control:
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
	w.next++
	return all[(w.next-1)%len(all)]
}

// closer returns a control host of the own domain if the source is elsewhere.
func (w *watcher) closer() string {
	found := ""
	for _, h := range w.hosts {
		if h.Kind != watch.Control || h.Domain != w.front.cfg.Domain {
			continue
		}
		if h.Link == w.source {
			return ""
		}
		found = h.Link
	}
	return found
}

func (w *watcher) ask(ctx context.Context) error {
	f := w.front
	var r watch.Reply
	self := f.self
	self.Draining = f.draining.Load()
	err := f.client.Call(ctx, w.source, watch.MethodAsk, &watch.Ask{
		From:    self,
		Version: w.version,
		Digest:  w.list.Digest,
		Roster:  w.roster,
		AtOnce:  w.lost,
	}, &r)
	if err != nil {
		return err
	}
	if r.Document != nil {
		w.install(*r.Document)
	}
	w.takeList(&r)
	if r.Roster != w.roster {
		hosts, ok := r.NewHosts(w.hosts)
		if !ok {
			f.log.Info("news do not fit what is held; the whole is asked for", "Source", w.source)
			w.roster = 0
			return nil
		}
		w.hosts, w.roster = hosts, r.Roster
		f.peers.set(f.now(), w.hosts)
		f.tellGatherers()
		if closer := w.closer(); closer != "" {
			w.source, w.next = closer, 0
		}
	}
	w.count()
	return nil
}

func (w *watcher) install(d watch.Document) {
	f := w.front
	raw, err := watch.Unpack(d.Packed)
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

// takeList takes a list that was read later than the one in use.
func (w *watcher) takeList(r *watch.Reply) {
	if r.ListAge < 0 {
		return
	}
	at := time.Now().Add(-time.Duration(r.ListAge) * time.Millisecond)
	w.front.listAt.Store(at.UnixNano())
	if r.List == nil && r.ListDelta == nil {
		w.readAt = at
		return
	}
	if at.Before(w.readAt) {
		return
	}
	next, ok := r.NewList(w.list)
	if !ok {
		w.front.log.Info("news do not fit what is held; the whole is asked for", "Source", w.source)
		w.list.Digest = 0
		return
	}
	w.readAt, w.list = at, next
	w.front.inputs <- input{event: relay.Listed{Upstreams: next.Upstreams}}
	w.front.listed.Store(true)
	w.front.upstreams.Store(int64(len(next.Upstreams)))
	w.front.log.Info("list of upstreams is in use", "Upstreams", len(next.Upstreams), "AgeMillis", r.ListAge, "Source", w.source)
}

// count tells the engine how many entry hosts share the budgets. While hosts
// start, the roster grows, so a number counts only once it has settled.
func (w *watcher) count() {
	n := 0
	for _, h := range w.hosts {
		if h.Kind == watch.Entry {
			n++
		}
	}
	now := time.Now()
	if n != w.counted {
		w.counted, w.countedAt = n, now
	}
	if n == 0 || now.Sub(w.countedAt) < settleTime {
		return
	}
	if n >= w.most || now.Sub(w.mostAt) > hostsKept {
		w.most, w.mostAt = n, now
	}
	next := w.front.peers.counts(w.most)
	if next != w.told {
		w.front.log.Info("hosts were counted", "Hosts", next.Count, "Gatherers", next.Gatherers, "Gathers", next.Gathers)
		w.front.inputs <- input{event: next}
		w.front.hosts.Store(int64(next.Count))
		w.told = next
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
