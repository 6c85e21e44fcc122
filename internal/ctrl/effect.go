package ctrl

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// step passes one event to the reducer and executes the effects.
func (o *owner) step(ev quorum.Event) {
	for _, e := range o.node.Step(ev) {
		switch e := e.(type) {
		case quorum.Send:
			o.send(e.Message)
		case quorum.Append:
			o.queuedJobs = append(o.queuedJobs, job{
				seq:     e.Seq,
				hard:    e.Hard,
				entries: e.Entries,
			})
		case quorum.SaveSnapshot:
			o.queuedJobs = append(o.queuedJobs, job{
				seq:     e.Seq,
				hard:    e.Hard,
				install: &e.Snapshot,
			})
		case quorum.Restore:
			if err := o.parts.Restore(e.Snapshot.Meta.Index, e.Snapshot.Data); err != nil {
				o.fatal = err
			}
		case quorum.Apply:
			o.apply(e)
		case quorum.Reply:
			o.reply(e)
		}
	}
	o.startSnapshot()
	s := o.node.Status(o.host.now())
	o.host.feed.SetStale(!s.Lease && (s.Leader == "" || s.Role == quorum.Leader))
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
	data, err := o.parts.Apply(a.Entry.Index, a.Entry.Data)
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

// startSnapshot starts writing a snapshot if the log has reached SnapshotBytes
// and the size of the last snapshot.
func (o *owner) startSnapshot() {
	limit := max(o.host.cfg.SnapshotBytes, o.snapBytes)
	if o.snapshotting || o.diskFault != nil || o.logBytes < limit || o.node.Applied() <= o.node.SnapshotIndex() || o.host.now() < o.snapshotAt {
		return
	}
	o.snapshotting = true
	encode, meta, s, out := o.parts.Freeze(), o.node.Meta(), o.store, o.snapshots
	o.snapshotters.Go(func() { out <- prepareSnapshot(s, encode, meta) })
}

// onSnapshotPrepared activates a written snapshot after the queued writes. If
// the snapshot could not be written, the log stays and another attempt follows
// after reopenInterval.
func (o *owner) onSnapshotPrepared(p preparedSnapshot) {
	var fault *store.Error
	switch {
	case o.diskFault != nil:
	case p.err == nil:
		o.queuedJobs = append(o.queuedJobs, job{activate: &p})
	case errors.As(p.err, &fault):
		o.host.log.Warn("snapshot was not written", "error", fault)
		o.snapshotting, o.snapshotAt = false, o.host.now().Add(reopenInterval)
		o.diskWarning, o.diskWarningAt = fault, o.host.now()
	default:
		o.fatal = p.err
	}
}

func (o *owner) onDiskResult(res diskResult) {
	o.writing = false
	o.host.meters.writeTime.RecordDuration(res.took)
	o.logBytes, o.snapBytes = res.logBytes, res.snapBytes
	if res.slow != nil {
		o.diskWarning, o.diskWarningAt = res.slow, o.host.now()
		o.host.log.Warn("disk is slow", "error", res.slow)
	}
	if res.err != nil {
		o.onDiskFault(res.err)
		return
	}
	if res.snapshot != nil {
		o.snapshotting = false
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

// onDiskFault suspends this member until the data folder can be opened again.
func (o *owner) onDiskFault(err error) {
	var f *store.Error
	if !errors.As(err, &f) {
		o.fatal = err
		return
	}
	o.host.log.Error("disk failed", "error", f)
	o.diskFault = f
	o.reopenAt = o.host.now().Add(reopenInterval)
	o.queuedJobs = nil
	o.step(quorum.DiskFailed{Now: o.host.now()})
}

// reopen attempts to open the data folder again after a fault. A corrupt folder
// stops the host.
func (o *owner) reopen() {
	if o.diskFault == nil || o.host.now().Before(o.reopenAt) {
		return
	}
	o.reopenAt = o.host.now().Add(reopenInterval)
	o.snapshotters.Wait()
	_ = o.store.Close()
	err := o.open()
	if err == nil {
		o.host.log.Info("data folder is in use again")
		o.diskFault = nil
		o.startDisk()
		return
	}
	var f *store.Error
	if !errors.As(err, &f) || f.Kind == store.Corrupt {
		o.fatal = err
		return
	}
	o.diskFault = f
}

func (o *owner) view() view {
	v := view{
		quorum:    o.node.Status(o.host.now()),
		config:    o.parts.Config(),
		pending:   len(o.pending),
		logBytes:  o.logBytes,
		snapBytes: o.snapBytes,
		domains:   o.allocator.table.Domains(),
		hosts:     o.allocator.table.Hosts(),
	}
	if o.diskFault != nil {
		v.faults = append(v.faults, o.diskFault)
	}
	if o.diskWarning != nil && o.host.now() < o.diskWarningAt.Add(diskWarningReportTime) {
		v.faults = append(v.faults, o.diskWarning)
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
