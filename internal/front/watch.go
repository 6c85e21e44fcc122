package front

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/clock"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

const (
	// outdatedAge is the age of the configuration above which changes may be
	// missing that must be in force.
	outdatedAge = 3 * time.Second

	// hostCountRetention is how long the largest host count seen stays in use, so
	// that hosts in an isolated domain do not take over the budget shares of the
	// hosts that they cannot reach.
	hostCountRetention = 30 * time.Second

	// hostCountSettleTime is how long the host count must stay the same before it
	// is used. Hosts that restart together are all in the roster within 1 s.
	hostCountSettleTime = 1500 * time.Millisecond
)

// watcher keeps the configuration, the list of upstreams and the roster up to
// date. follow.Poller decides which control host is polled.
type watcher struct {
	front  *Front
	start  clock.Reading
	poller *follow.Poller
	polls  map[uint64]*poll
	ended  chan pollEnd
	timer  *time.Timer

	version rules.Version
	// stated is the version that polls state: that in force, or a later one that
	// could not be read and is not to be sent again.
	stated rules.Version
	// copy is the age of the configuration.
	copy follow.Copy[rules.Version]
	// evacuation holds the evacuated domains. The configuration waits in held until
	// they are known.
	evacuation evacuation
	held       *board.Document

	list       board.List
	listReadAt ident.Instant
	hosts      []board.Host
	roster     uint64

	hostCount      int
	hostCountSince time.Time
	maxHosts       int
	maxHostsAt     time.Time
	reported       relay.Hosts
	disconnected   bool
	outdated       bool
}

// poll is a poll in progress. list and hosts are those that it was sent with, to
// which a delta applies.
type poll struct {
	source string
	sentAt ident.Instant
	cancel context.CancelFunc
	list   board.List
	hosts  []board.Host
	roster uint64
}

// pollEnd is the end of a poll.
type pollEnd struct {
	attempt uint64
	reply   board.Reply
	err     error
}

// watch polls control hosts for updates until ctx ends.
func (f *Front) watch(ctx context.Context) error {
	w := &watcher{
		front: f,
		start: clock.Now(),
		poller: follow.NewPoller(follow.PollerConfig{
			Domain: f.cfg.Domain,
			Seed:   gather.Hash(string(f.cfg.Name)),
		}),
		polls: make(map[uint64]*poll),
		ended: make(chan pollEnd),
		timer: time.NewTimer(0),
	}
	defer w.timer.Stop()
	w.step(ctx, follow.SeedsChanged{Seeds: f.cfg.Seeds})
	for {
		select {
		case <-ctx.Done():
			return nil
		case seeds := <-f.seeds:
			f.log.Info("seeds changed", "Seeds", seeds)
			w.step(ctx, follow.SeedsChanged{Seeds: seeds})
		case e := <-w.ended:
			w.finishPoll(ctx, e)
		case <-w.timer.C:
			w.step(ctx, follow.Ticked{})
		}
		w.reportAge()
		w.updateHostCount()
	}
}

// now returns the time since the watcher started, suspensions included.
func (w *watcher) now() ident.Instant { return ident.Instant(clock.Now().Sub(w.start)) }

// step passes one event to the poller and carries out the effects.
func (w *watcher) step(ctx context.Context, ev follow.PollEvent) {
	for _, e := range w.poller.Step(w.now(), ev) {
		switch e := e.(type) {
		case follow.Poll:
			w.startPoll(ctx, e)
		case follow.CancelPoll:
			if p := w.polls[e.Attempt]; p != nil {
				p.cancel()
				delete(w.polls, e.Attempt)
			}
		case follow.SourceChanged:
			w.front.log.Info("control host changed", "Source", e.To, "Previous", e.From, "Reason", string(e.Reason), "Version", w.version)
		case follow.Wake:
			w.timer.Reset(e.At.Sub(w.now()))
		}
	}
}

func (w *watcher) startPoll(ctx context.Context, e follow.Poll) {
	f := w.front
	self := f.self
	self.Draining = f.draining.Load()
	ctx, cancel := context.WithCancel(ctx)
	p := &poll{
		source: e.To,
		sentAt: w.now(),
		cancel: cancel,
		list:   w.list,
		hosts:  w.hosts,
		roster: w.roster,
	}
	w.polls[e.Attempt] = p
	request := &board.Request{
		From:    self,
		Version: w.stated,
		Digest:  w.list.Digest,
		ListAge: p.sentAt.Sub(w.listReadAt).Milliseconds(),
		Roster:  w.roster,
		AtOnce:  e.AtOnce,

		Evacuation: w.evacuation.held.StatedRevision(),
	}
	go func() {
		end := pollEnd{attempt: e.Attempt}
		end.err = f.client.Call(ctx, e.To, watch.MethodPoll, request, &end.reply)
		select {
		case w.ended <- end:
		case <-ctx.Done(): // cancelled
		}
	}()
}

// finishPoll takes what is new in the answer to a poll.
func (w *watcher) finishPoll(ctx context.Context, e pollEnd) {
	f, p := w.front, w.polls[e.attempt]
	if p == nil {
		return // cancelled meanwhile
	}
	p.cancel()
	delete(w.polls, e.attempt)
	if e.err != nil {
		if !w.disconnected && p.source == w.poller.Current() {
			f.log.Info("control host is unreachable", "Source", p.source, "Version", w.version, "ListAgeMillis", w.now().Sub(w.listReadAt).Milliseconds(), "Error", e.err.Error())
			w.disconnected = true
		}
		w.step(ctx, follow.PollFailed{Attempt: e.attempt})
		return
	}
	if w.disconnected {
		f.log.Info("control host is reachable again", "Source", p.source, "Version", w.version)
		w.disconnected = false
		f.inputs <- input{rejoined: true}
	}
	r := &e.reply
	confirmedAt, confirmed := r.ConfirmedAt(p.sentAt)
	w.applyEvacuation(r, p)
	if r.Document != nil {
		w.install(*r.Document, p.source)
	}
	if confirmed {
		w.copy.Confirm(r.Version, confirmedAt)
	}
	w.applyList(r, p)
	controls, changed := w.applyRoster(r, p)
	w.step(ctx, follow.PollAnswered{
		Attempt:     e.attempt,
		Confirmed:   confirmed,
		ConfirmedAt: confirmedAt,
	})
	if changed {
		w.step(ctx, follow.ControlsChanged{Controls: controls})
	}
}

// reportAge logs when the configuration has not been confirmed for outdatedAge,
// and when it is again, and updates the metric.
func (w *watcher) reportAge() {
	f := w.front
	age, known := w.copy.Age(w.now())
	evacuationAge, evacuationKnown := w.evacuation.held.Age(w.now())
	if !known || !evacuationKnown {
		return
	}
	age = max(age, evacuationAge)
	f.confirmedAt.Store(time.Now().Add(-age).UnixNano())
	if outdated := age > outdatedAge; outdated != w.outdated {
		w.outdated = outdated
		f.log.Info("age of the configuration changed", "Outdated", outdated, "Version", w.version, "AgeMillis", age.Milliseconds(), "Source", w.poller.Current())
	}
}

func (w *watcher) install(d board.Document, source string) {
	f := w.front
	if d.Version <= w.stated {
		return
	}
	w.stated = d.Version
	if !f.knowsEvacuation.Load() {
		w.held = &d
		return
	}
	w.activate(d, source)
}

// activate puts a document in force.
func (w *watcher) activate(d board.Document, source string) {
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
	w.copy.Hold(d.Version)
	table := rules.NewTable(doc)
	if old := f.table.Load(); old == nil || table.Version() > old.Version() {
		f.log.Info("configuration is in force", "Version", doc.Version, "Routes", len(doc.Routes), "Source", source)
		f.permits.install(table)
		f.table.Store(table)
		f.inputs <- input{event: relay.Install{Table: table}}
	}
}

// applyList takes the list of upstreams in an answer, unless it was read earlier
// than the one in use.
func (w *watcher) applyList(r *board.Reply, p *poll) {
	readAt, read := r.ListReadAt(p.sentAt)
	if !read || w.front.hasList.Load() && readAt.Add(board.ReadTolerance).Before(w.listReadAt) {
		return
	}
	if r.List == nil && r.ListDelta == nil {
		if p.list.Digest == w.list.Digest {
			w.setListReadAt(readAt)
		}
		return
	}
	next, ok := r.NewList(p.list)
	if !ok {
		w.front.log.Info("update does not apply to the stored copy; requesting a full copy", "Source", p.source)
		w.list.Digest = 0
		return
	}
	w.setListReadAt(readAt)
	if next.Digest == w.list.Digest {
		return
	}
	w.list = next
	w.front.inputs <- input{event: relay.Listed{Upstreams: next.Upstreams}}
	w.front.hasList.Store(true)
	w.front.upstreams.Store(int64(len(next.Upstreams)))
	w.front.log.Info("list of upstreams is in use", "Upstreams", len(next.Upstreams), "AgeMillis", r.ListAge, "Source", p.source)
}

func (w *watcher) setListReadAt(at ident.Instant) {
	w.listReadAt = at
	w.front.listReadAt.Store(time.Now().Add(-w.now().Sub(at)).UnixNano())
}

// applyRoster takes the roster in an answer and returns the control hosts in it.
func (w *watcher) applyRoster(r *board.Reply, p *poll) (controls []follow.Source, changed bool) {
	if r.Roster == 0 || r.Roster == w.roster {
		return nil, false
	}
	if r.Roster == p.roster {
		return nil, false // a later answer has replaced it meanwhile
	}
	f := w.front
	hosts, ok := r.NewHosts(p.hosts)
	if !ok {
		f.log.Info("update does not apply to the stored copy; requesting a full copy", "Source", p.source)
		w.roster = 0
		return nil, false
	}
	w.hosts, w.roster = hosts, r.Roster
	f.peers.setRoster(f.now(), w.hosts)
	f.inputs <- input{peers: w.hosts}
	f.updateGatherers()
	for _, h := range hosts {
		if h.Kind == board.Control {
			controls = append(controls, follow.Source{
				Address: h.Link,
				Domain:  h.Domain,
			})
		}
	}
	return controls, true
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
