package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// owner is the state that one goroutine owns: the reducer of the replicated
// log, the replicated state, queued disk writes and pending requests.
type owner struct {
	host  *Host
	store *store.Store
	node  *quorum.Node
	parts *state.Set
	// allocator has state only while this member leads.
	allocator *seatAllocator

	// queuedJobs wait for the disk goroutine, which runs one list at a time;
	// writing is set meanwhile.
	queuedJobs  []job
	writing     bool
	diskJobs    chan []job
	results     chan diskResult
	diskStopped chan struct{}

	// leaseTerm is the last term in which this member had the lease.
	leaseTerm quorum.Term

	nextMetricsAt ident.Instant

	lastID  quorum.ProposalID
	pending map[quorum.ProposalID]chan<- Answer

	logBytes  int64
	snapBytes int64
	// snapshotting is set while a goroutine of snapshotters writes a snapshot of
	// applied state. After a failure, the next one starts at snapshotAt or later.
	snapshotting bool
	snapshotAt   ident.Instant
	snapshotters sync.WaitGroup
	snapshots    chan preparedSnapshot
	// diskFault is the disk fault that suspends this host, until it is repaired.
	diskFault *store.Error
	reopenAt  ident.Instant
	// diskWarning is the last slow sync or failure to write a snapshot. It does
	// not suspend the host.
	diskWarning   *store.Error
	diskWarningAt ident.Instant
	fatal         error
}

// request is a Request with the channel for its answer, which is buffered so
// that the owner never blocks.
type request struct {
	Request
	answer chan<- Answer
}

// view is a copy of the owner's state for readers in other goroutines.
type view struct {
	quorum    quorum.Status
	config    *config.State
	pending   int
	logBytes  int64
	snapBytes int64
	faults    []*store.Error
	domains   []member.DomainState
	hosts     []member.HostState
}

func newOwner(h *Host) (*owner, error) {
	o := &owner{
		host:      h,
		pending:   map[quorum.ProposalID]chan<- Answer{},
		allocator: newSeatAllocator(),
	}
	return o, o.open()
}

// open reads the data folder and builds the reducer and the state from it.
func (o *owner) open() error {
	cfg := o.host.cfg
	s, err := store.Open(store.Config{
		Folder:       cfg.Folder,
		ID:           cfg.ID,
		FS:           cfg.FS,
		SegmentBytes: cfg.SegmentBytes,
		SlowSync:     cfg.SlowSync,
	})
	if err != nil {
		return err
	}
	o.store = s
	if err := o.build(); err != nil {
		_ = s.Close()
		return err
	}
	o.queuedJobs, o.writing, o.snapshotting = nil, false, false
	o.logBytes, o.snapBytes = s.LogBytes(), s.SnapshotBytes()
	return nil
}

func (o *owner) build() error {
	cfg, s := o.host.cfg, o.store
	o.parts = state.NewSet(cfg.Parts...)
	stored := s.Stored()
	if r := s.Report(); r.CutBytes > 0 {
		o.host.log.Warn("cut a torn record at the end of the log", "file", r.CutFile, "bytes", r.CutBytes)
	}
	if stored.Snapshot.Meta.Index == 0 && len(stored.Entries) == 0 {
		snap, ok, err := o.firstSnapshot()
		if err != nil {
			return err
		}
		if ok {
			if err := s.SaveSnapshot(snap); err != nil {
				return err
			}
			stored.Snapshot = snap
		}
	}
	if at := stored.Snapshot.Meta.Index; at > 0 {
		if err := o.parts.Restore(at, stored.Snapshot.Data); err != nil {
			return err
		}
	}
	n, err := quorum.New(quorum.Config{
		ID:              s.ID(),
		Seed:            o.host.seed(s.ID()),
		ElectionTimeout: cfg.ElectionTimeout,
		Heartbeat:       cfg.Heartbeat,
	}, stored, o.host.now())
	if err != nil {
		return err
	}
	o.node = n
	return nil
}

// firstSnapshot returns the snapshot from which the first members of a new
// group start, or false for a host that joins a group.
func (o *owner) firstSnapshot() (quorum.Snapshot, bool, error) {
	cfg, id := o.host.cfg, o.store.ID()
	members := cfg.Bootstrap
	if len(members) == 0 && cfg.NewGroup {
		members = []quorum.Member{{
			ID:      id,
			Address: cfg.Address,
		}}
	}
	if len(members) == 0 {
		return quorum.Snapshot{}, false, nil
	}
	listed := false
	for _, m := range members {
		listed = listed || m.ID == id
	}
	if !listed {
		return quorum.Snapshot{}, false, &NotInBootstrapError{
			ID:     id,
			Folder: cfg.Folder,
		}
	}
	data, err := o.parts.Freeze()()
	return quorum.Bootstrap(members, data), true, err
}

// startDisk starts the disk goroutine for the open store.
func (o *owner) startDisk() {
	o.diskJobs = make(chan []job)
	o.results = make(chan diskResult, 1)
	o.snapshots = make(chan preparedSnapshot, 1)
	o.diskStopped = make(chan struct{})
	go func(s *store.Store, in <-chan []job, out chan<- diskResult, stopped chan<- struct{}) {
		defer close(stopped)
		runDisk(s, in, out)
	}(o.store, o.diskJobs, o.results, o.diskStopped)
}

// stopDisk waits for the write in progress and closes the store.
func (o *owner) stopDisk() {
	close(o.diskJobs)
	<-o.diskStopped
	o.snapshotters.Wait()
	_ = o.store.Close()
}

func (o *owner) run(ctx context.Context) error {
	ticker := time.NewTicker(o.host.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	o.startDisk()
	defer o.stopDisk()
	defer o.answerPending()
	o.step(quorum.Tick{Now: o.host.now()})
	for o.fatal == nil {
		select {
		case <-ctx.Done():
			return o.transferLeadership(ticker.C)
		default:
			o.handleNext(ctx.Done(), ticker.C)
		}
	}
	return o.fatal
}

// transferLeadership transfers the leadership to another member and waits for
// pending answers, up to twice the election timeout.
func (o *owner) transferLeadership(tick <-chan time.Time) error {
	o.step(quorum.Transfer{Now: o.host.now()})
	limit := 2 * o.host.cfg.ElectionTimeout
	expired := time.After(limit)
	for o.fatal == nil {
		st := o.node.Status(o.host.now())
		if len(o.pending) == 0 && (st.Role != quorum.Leader || len(st.Peers) == 0) {
			break
		}
		select {
		case <-expired:
			return nil
		default:
			o.handleNext(nil, tick)
		}
	}
	return o.fatal
}

// handleNext waits for one input and handles it.
func (o *owner) handleNext(stop <-chan struct{}, tick <-chan time.Time) {
	var out chan []job
	if len(o.queuedJobs) > 0 && !o.writing && o.diskFault == nil {
		out = o.diskJobs
	}
	select {
	case <-stop:
	case out <- o.queuedJobs:
		o.queuedJobs, o.writing = nil, true
	case res := <-o.results:
		o.onDiskResult(res)
	case p := <-o.snapshots:
		o.onSnapshotPrepared(p)
	case <-tick:
		o.step(quorum.Tick{Now: o.host.now()})
		o.reopen()
		o.syncLeadership()
		o.proposePeriodic()
		if now := o.host.now(); now >= o.nextMetricsAt {
			o.nextMetricsAt = now.Add(metricsInterval)
			o.host.meters.setGauges(o.view())
		}
	case m := <-o.host.inbox:
		o.step(quorum.Receive{
			Now:     o.host.now(),
			Message: m,
		})
	case r := <-o.host.requests:
		o.handleRequests(r)
	case call := <-o.host.ownerCalls:
		call(o)
	}
}

// handleRequests handles a request and all queued ones, so that their commands
// share one record, one sync and one message.
func (o *owner) handleRequests(r request) {
	var batch []quorum.Proposal
	for more := true; more; {
		o.lastID++
		o.pending[o.lastID] = r.answer
		switch {
		case len(o.pending) > maxPendingRequests:
			o.answer(o.lastID, Answer{
				Kind:   config.NotRun,
				Remedy: "too many commands wait on this host: send it again later",
			})
		case r.Members != nil:
			o.changeMembers(o.lastID, *r.Members)
		case r.Command != nil:
			if data, ok := o.prepare(o.lastID, *r.Command); ok {
				batch = append(batch, quorum.Proposal{
					ID:   o.lastID,
					Data: data,
				})
			}
		}
		select {
		case r = <-o.host.requests:
		default:
			more = false
		}
	}
	o.step(quorum.Propose{
		Now:       o.host.now(),
		Proposals: batch,
	})
}

// mayPropose reports whether this member may propose commands of parts that
// implement state.Proposer, and notifies these parts once per term.
func (o *owner) mayPropose() bool {
	s := o.node.Status(o.host.now())
	if s.Lease && s.Term != o.leaseTerm {
		o.leaseTerm = s.Term
		for _, p := range o.parts.Proposers() {
			p.StartLeading(o.host.now())
		}
	}
	return s.Lease
}

// prepare returns the log entry for a command, or answers the command and
// returns false.
func (o *owner) prepare(id quorum.ProposalID, c state.Command) ([]byte, bool) {
	part, err := o.parts.Find(c.Part)
	if p, ok := part.(state.Proposer); err == nil && ok {
		if !o.mayPropose() {
			// The reducer might accept the command, but Prepare has not set its
			// time.
			a := notRun("this member does not lead or was just elected: send it again in a moment")
			o.answer(id, a)
			return nil, false
		}
		c.Data, err = p.Prepare(o.host.now(), c.Data)
	}
	var data []byte
	if err == nil {
		data, err = proto.Marshal(c)
	}
	if err != nil {
		o.answer(id, Answer{
			Kind:   config.NotRun,
			Remedy: err.Error(),
		})
	}
	return data, err == nil
}

// proposePeriodic proposes the commands that parts issue without a request,
// such as expiries.
func (o *owner) proposePeriodic() {
	if o.diskFault != nil || !o.mayPropose() {
		return
	}
	for _, p := range o.parts.Proposers() {
		data, err := p.DueCommand(o.host.now())
		if err == nil && data != nil {
			data, err = proto.Marshal(state.Command{
				Part: p.Name(),
				Data: data,
			})
		}
		if err != nil {
			o.fatal = err
		}
		if data == nil || err != nil {
			continue
		}
		o.lastID++
		o.step(quorum.Propose{
			Now: o.host.now(),
			Proposals: []quorum.Proposal{{
				ID:   o.lastID,
				Data: data,
			}},
		})
	}
}

func (o *owner) changeMembers(id quorum.ProposalID, m MembersRequest) {
	c, ok := m.Change()
	if !ok {
		o.answer(id, Answer{
			Kind:   config.NotRun,
			Remedy: "name exactly one of Add, Remove and Replace",
		})
		return
	}
	o.step(quorum.ChangeMember{
		Now:    o.host.now(),
		ID:     id,
		Change: c,
		After:  m.After,
	})
}

func (o *owner) answer(id quorum.ProposalID, a Answer) {
	if to, ok := o.pending[id]; ok {
		to <- a
		delete(o.pending, id)
	}
}

// answerPending answers the pending requests with Unknown when the owner stops.
func (o *owner) answerPending() {
	for id := range o.pending {
		o.answer(id, Answer{
			Kind:   config.Unknown,
			Remedy: "this host stops: resend the same id to another member",
		})
	}
}
