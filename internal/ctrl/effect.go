package ctrl

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// step gives the reducer one event and carries out the effects.
func (o *owner) step(ev quorum.Event) {
	for _, e := range o.node.Step(ev) {
		switch e := e.(type) {
		case quorum.Send:
			o.send(e.Message)
		case quorum.Append:
			o.jobs = append(o.jobs, job{
				seq:     e.Seq,
				hard:    e.Hard,
				entries: e.Entries,
			})
		case quorum.SaveSnapshot:
			o.jobs = append(o.jobs, job{
				seq:     e.Seq,
				hard:    e.Hard,
				install: &e.Snapshot,
			})
		case quorum.Restore:
			if err := o.parts.Restore(e.Snapshot.Data); err != nil {
				o.fatal = err
			}
		case quorum.Apply:
			o.apply(e)
		case quorum.Reply:
			o.reply(e)
		}
	}
	o.compact()
	if o.node.Applied() > 0 {
		o.host.feed.Set(o.parts.Config(), o.parts.Deltas())
	}
}

func (o *owner) send(m quorum.Message) {
	for _, member := range o.node.Members() {
		if member.ID == m.To {
			o.host.cfg.Transport.Send(member, m)
			return
		}
	}
	o.host.cfg.Transport.Send(quorum.Member{ID: m.To}, m)
}

func (o *owner) apply(a quorum.Apply) {
	if a.Entry.Kind != quorum.Command {
		return
	}
	data, err := o.parts.Apply(a.Entry.Data)
	if err != nil {
		o.fatal = errors.Wrapf(err, "entry %d cannot be applied", a.Entry.Index)
		return
	}
	o.answer(a.Proposal, Answer{
		Kind: config.Accepted,
		Data: data,
	})
}

func (o *owner) reply(r quorum.Reply) {
	a := Answer{
		Remedy: r.Reason,
		Retry:  r.Kind == quorum.NotRun && !r.Invalid,
	}
	switch r.Kind {
	case quorum.Committed:
		a.Kind = config.Accepted
	case quorum.NotRun:
		a.Kind = config.NotRun
	case quorum.Unknown:
		a.Kind = config.Unknown
	}
	o.answer(r.Proposal, a)
}

// compact asks for a snapshot when the log has outgrown the last one.
func (o *owner) compact() {
	limit := max(o.host.cfg.SnapshotBytes, o.snapSize)
	if o.freezing || o.fault != nil || o.logBytes < limit || o.node.Applied() <= o.node.SnapshotIndex() || o.host.now() < o.freezeAt {
		return
	}
	o.freezing = true
	encode, meta, s, out := o.parts.Freeze(), o.node.Meta(), o.store, o.snapshots
	o.freezers.Go(func() { out <- freeze(s, encode, meta) })
}

// onFrozen puts a written snapshot in use after the writes that wait. If it
// could not be written, the log is kept and it is tried again later.
func (o *owner) onFrozen(f frozen) {
	var fault *store.Error
	switch {
	case o.fault != nil:
	case f.err == nil:
		o.jobs = append(o.jobs, job{use: &f})
	case errors.As(f.err, &fault):
		o.host.log.Warn("snapshot was not written", "error", fault)
		o.freezing, o.freezeAt = false, o.host.now().Add(reopenPause)
		o.slow, o.slowAt = fault, o.host.now()
	default:
		o.fatal = f.err
	}
}

func (o *owner) onDisk(res diskResult) {
	o.busy = false
	o.host.meters.writes.RecordDuration(res.took)
	o.logBytes, o.snapSize = res.logBytes, res.snapSize
	if res.slow != nil {
		o.slow, o.slowAt = res.slow, o.host.now()
		o.host.log.Warn("disk is slow", "error", res.slow)
	}
	if res.err != nil {
		o.onFault(res.err)
		return
	}
	if res.snapshot != nil {
		o.freezing = false
		o.step(quorum.Compacted{
			Now:      o.host.now(),
			Snapshot: *res.snapshot,
		})
	}
	o.step(quorum.Synced{
		Now: o.host.now(),
		Seq: res.seq,
	})
}

// onFault stops taking part until the data folder can be opened again.
func (o *owner) onFault(err error) {
	var f *store.Error
	if !errors.As(err, &f) {
		o.fatal = err
		return
	}
	o.host.log.Error("disk failed", "error", f)
	o.fault = f
	o.reopenAt = o.host.now().Add(reopenPause)
	o.jobs = nil
	o.step(quorum.DiskFailed{Now: o.host.now()})
}

// reopen tries to open the data folder again after a fault. A corrupt folder
// is beyond repair.
func (o *owner) reopen() {
	if o.fault == nil || o.host.now().Before(o.reopenAt) {
		return
	}
	o.reopenAt = o.host.now().Add(reopenPause)
	o.freezers.Wait()
	_ = o.store.Close()
	err := o.open()
	if err == nil {
		o.host.log.Info("data folder is in use again")
		o.fault = nil
		o.startDisk()
		return
	}
	var f *store.Error
	if !errors.As(err, &f) || f.Kind == store.Corrupt {
		o.fatal = err
		return
	}
	o.fault = f
}

func (o *owner) view() view {
	v := view{
		quorum:  o.node.Status(o.host.now()),
		config:  o.parts.Config(),
		waiting: len(o.waiting),
		log:     o.logBytes,
		snap:    o.snapSize,
		domains: o.seating.table.Domains(),
		hosts:   o.seating.table.Hosts(),
	}
	if o.fault != nil {
		v.faults = append(v.faults, o.fault)
	}
	if o.slow != nil && o.host.now() < o.slowAt.Add(slowShown) {
		v.faults = append(v.faults, o.slow)
	}
	return v
}

func leaderOf(s quorum.Status) (quorum.Member, bool) {
	if s.Leader == "" || s.Leader == s.ID {
		return quorum.Member{}, false
	}
	return memberOf(s.Members, s.Leader)
}

func memberOf(members []quorum.Member, id ident.HostID) (quorum.Member, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return quorum.Member{}, false
}
