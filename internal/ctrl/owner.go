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

// owner is the state that one goroutine owns: the reducer, the replicated
// state and what waits for them.
type owner struct {
	host  *Host
	store *store.Store
	node  *quorum.Node
	parts *state.Set
	// seating is empty unless this member leads.
	seating *seating

	// jobs wait for the disk goroutine, which has one list at a time.
	jobs    []job
	busy    bool
	disk    chan []job
	results chan diskResult
	stopped chan struct{}

	// office is the last term in which this member held the lease.
	office quorum.Term

	meterAt ident.Instant

	lastID  quorum.ProposalID
	waiting map[quorum.ProposalID]chan<- Answer

	logBytes int64
	snapSize int64
	// freezing is set while a snapshot of applied state is being written by a
	// goroutine of freezers; not before freezeAt after a failure.
	freezing  bool
	freezeAt  ident.Instant
	freezers  sync.WaitGroup
	snapshots chan frozen
	// fault is the disk fault that stopped this host, until it is repaired.
	fault    *store.Error
	reopenAt ident.Instant
	slow     *store.Error
	slowAt   ident.Instant
	fatal    error
}

// request is a Request with the place for its answer, which has room for it.
type request struct {
	Request
	answer chan<- Answer
}

// view is a copy of the owner's state for readers in other goroutines.
type view struct {
	quorum  quorum.Status
	config  *config.State
	waiting int
	log     int64
	snap    int64
	faults  []*store.Error
	domains []member.DomainState
	hosts   []member.HostState
}

func newOwner(h *Host) (*owner, error) {
	o := &owner{
		host:    h,
		waiting: map[quorum.ProposalID]chan<- Answer{},
		seating: newSeating(),
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
	o.jobs, o.busy, o.freezing = nil, false, false
	o.logBytes, o.snapSize = s.LogBytes(), s.SnapshotBytes()
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
	if stored.Snapshot.Meta.Index > 0 {
		if err := o.parts.Restore(stored.Snapshot.Data); err != nil {
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

// firstSnapshot returns the snapshot that a first member of a new group
// starts from, and false for a host that joins a group.
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
	o.disk = make(chan []job)
	o.results = make(chan diskResult, 1)
	o.snapshots = make(chan frozen, 1)
	o.stopped = make(chan struct{})
	go func(s *store.Store, in <-chan []job, out chan<- diskResult, stopped chan<- struct{}) {
		defer close(stopped)
		runDisk(s, in, out)
	}(o.store, o.disk, o.results, o.stopped)
}

// stopDisk waits for the write in progress and closes the store.
func (o *owner) stopDisk() {
	close(o.disk)
	<-o.stopped
	o.freezers.Wait()
	_ = o.store.Close()
}

func (o *owner) run(ctx context.Context) error {
	ticker := time.NewTicker(o.host.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	o.startDisk()
	defer o.stopDisk()
	defer o.answerAll()
	o.step(quorum.Tick{Now: o.host.now()})
	for o.fatal == nil {
		select {
		case <-ctx.Done():
			return o.handOver(ticker.C)
		default:
			o.turn(ctx.Done(), ticker.C)
		}
	}
	return o.fatal
}

// handOver lets another member lead and waits for answers still due, up to
// the election timeout.
func (o *owner) handOver(tick <-chan time.Time) error {
	o.step(quorum.Transfer{Now: o.host.now()})
	wait := 2 * o.host.cfg.ElectionTimeout
	expired := time.After(wait)
	for o.fatal == nil {
		st := o.node.Status(o.host.now())
		if len(o.waiting) == 0 && (st.Role != quorum.Leader || len(st.Peers) == 0) {
			break
		}
		select {
		case <-expired:
			return nil
		default:
			o.turn(nil, tick)
		}
	}
	return o.fatal
}

// turn waits for one input and handles it.
func (o *owner) turn(stop <-chan struct{}, tick <-chan time.Time) {
	var out chan []job
	if len(o.jobs) > 0 && !o.busy && o.fault == nil {
		out = o.disk
	}
	select {
	case <-stop:
	case out <- o.jobs:
		o.jobs, o.busy = nil, true
	case res := <-o.results:
		o.onDisk(res)
	case f := <-o.snapshots:
		o.onFrozen(f)
	case <-tick:
		o.step(quorum.Tick{Now: o.host.now()})
		o.reopen()
		o.followLead()
		o.routine()
		if now := o.host.now(); now >= o.meterAt {
			o.meterAt = now.Add(meterEvery)
			o.host.meters.show(o.view())
		}
	case m := <-o.host.inbox:
		o.step(quorum.Receive{
			Now:     o.host.now(),
			Message: m,
		})
	case r := <-o.host.requests:
		o.take(r)
	case ask := <-o.host.asks:
		ask(o)
	}
}

// take handles a request and all others that wait, so that their commands
// share one record, one sync and one message.
func (o *owner) take(r request) {
	var batch []quorum.Proposal
	for more := true; more; {
		o.lastID++
		o.waiting[o.lastID] = r.answer
		switch {
		case len(o.waiting) > maxWaiting:
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

// inOffice reports whether this member may propose for parts that have a say
// in it, and lets them know when that begins.
func (o *owner) inOffice() bool {
	s := o.node.Status(o.host.now())
	if s.Lease && s.Term != o.office {
		o.office = s.Term
		for _, p := range o.parts.Proposers() {
			p.StartLeading(o.host.now())
		}
	}
	return s.Lease
}

// prepare returns the log entry for a command. If there is none, the command
// is answered.
func (o *owner) prepare(id quorum.ProposalID, c state.Command) ([]byte, bool) {
	part, err := o.parts.Find(c.Part)
	if p, ok := part.(state.Proposer); err == nil && ok {
		if !o.inOffice() {
			// The reducer refuses or accepts; a command without its time must not be accepted.
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

// routine proposes what parts owe without a request.
func (o *owner) routine() {
	if o.fault != nil || !o.inOffice() {
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
	})
}

func (o *owner) answer(id quorum.ProposalID, a Answer) {
	if to, ok := o.waiting[id]; ok {
		to <- a
		delete(o.waiting, id)
	}
}

// answerAll ends what still waits when the owner stops.
func (o *owner) answerAll() {
	for id := range o.waiting {
		o.answer(id, Answer{
			Kind:   config.Unknown,
			Remedy: "this host stops: resend the same id to another member",
		})
	}
}
