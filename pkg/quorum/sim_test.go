package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// electionTimeout is the default of quorum.Config.
const electionTimeout = 800 * time.Millisecond

// sim simulates a group in virtual time and checks the safety invariants after
// each event. Delays, message loss and clock rates are random.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	hosts        []*host
	packets      []packet
	blocked      map[[2]ident.HostID]bool
	lossFraction float64
	syncDelay    time.Duration
	lastToken    int

	leaders        map[quorum.Term]ident.HostID
	appliedEntries map[quorum.Index]quorum.Entry
	indexByToken   map[string]quorum.Index
	refusedTokens  map[string]bool
	ackedIndex     quorum.Index
	violations     []string
}

type packet struct {
	deliverAt time.Duration
	msg       quorum.Message
}

type host struct {
	id        ident.HostID
	node      *quorum.Node
	bootedAt  time.Duration
	clockRate float64
	up        bool
	// pausedUntil is when a paused process goes on. Meanwhile its clock runs, and
	// messages and finished writes wait.
	pausedUntil time.Duration
	stored      quorum.Stored
	writes      []func(*quorum.Stored)
	writeSeqs   []quorum.Seq
	syncAt      time.Duration
	// leaderSeenAt is when this host last got a message of a current leader.
	leaderSeenAt time.Duration
	// state is the replicated state machine: the data of all applied commands.
	state        []string
	appliedIndex quorum.Index
	proposed     map[quorum.ProposalID]string
}

func newSim(seed uint64, size int) *sim {
	s := &sim{
		rng:            rand.New(rand.NewPCG(seed, 1)),
		blocked:        map[[2]ident.HostID]bool{},
		syncDelay:      5 * time.Millisecond,
		leaders:        map[quorum.Term]ident.HostID{},
		appliedEntries: map[quorum.Index]quorum.Entry{},
		indexByToken:   map[string]quorum.Index{},
		refusedTokens:  map[string]bool{},
		ackedIndex:     1,
	}
	var members []quorum.Member
	for range size {
		members = append(members, quorum.Member{
			ID:      s.addHost().id,
			Address: "sim",
		})
	}
	for _, h := range s.hosts {
		h.stored.Snapshot = quorum.Bootstrap(members, nil)
		s.boot(h)
	}
	return s
}

func (s *sim) addHost() *host {
	h := &host{
		id:       ident.HostID(fmt.Sprintf("m%d", len(s.hosts))),
		proposed: map[quorum.ProposalID]string{},
	}
	s.hosts = append(s.hosts, h)
	return h
}

func (s *sim) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%s: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) hostByID(id ident.HostID) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (h *host) clock(now time.Duration) ident.Instant {
	return ident.Instant(float64(now-h.bootedAt) * h.clockRate)
}

func (h *host) paused(now time.Duration) bool { return h.up && now < h.pausedUntil }

func (s *sim) boot(h *host) {
	h.bootedAt, h.clockRate = s.now, 0.97+0.06*s.rng.Float64()
	stored := h.stored
	stored.Entries = slices.Clone(stored.Entries)
	node, err := quorum.New(quorum.Config{
		ID:         h.id,
		Seed:       s.rng.Uint64(),
		ChunkBytes: 16,
		BatchBytes: 64,
	}, stored, 0)
	if err != nil {
		panic(err)
	}
	h.node, h.up, h.pausedUntil = node, true, 0
	h.restore(stored.Snapshot)
}

func (h *host) restore(snap quorum.Snapshot) {
	h.appliedIndex = snap.Meta.Index
	h.state = nil
	for i := 0; i+4 <= len(snap.Data); i += 4 {
		h.state = append(h.state, string(snap.Data[i:i+4]))
	}
}

// crash stops a host. Of its unsynced writes only a random prefix reaches the
// disk.
func (s *sim) crash(h *host) {
	if !h.up {
		return
	}
	for range s.rng.IntN(len(h.writes) + 1) {
		h.writes[0](&h.stored)
		h.writes = h.writes[1:]
	}
	h.up, h.node, h.writes, h.writeSeqs = false, nil, nil, nil
	h.proposed = map[quorum.ProposalID]string{}
}

func (s *sim) step(h *host, ev quorum.Event) {
	for _, e := range h.node.Step(ev) {
		s.effect(h, e)
	}
	st := h.node.Status(h.clock(s.now))
	if st.Role == quorum.Leader {
		if l, ok := s.leaders[st.Term]; ok && l != h.id {
			s.reportViolation("term %d has leaders %s and %s", st.Term, l, h.id)
		}
		s.leaders[st.Term] = h.id
	}
}

func (s *sim) effect(h *host, e quorum.Effect) {
	switch e := e.(type) {
	case quorum.Send:
		s.send(e.Message)
	case quorum.Append:
		s.write(h, e.Seq, func(d *quorum.Stored) {
			d.Hard = e.Hard
			for _, entry := range e.Entries {
				keepCount := int(entry.Index - d.Snapshot.Meta.Index - 1)
				d.Entries = append(d.Entries[:keepCount:keepCount], entry)
			}
		})
	case quorum.SaveSnapshot:
		s.write(h, e.Seq, func(d *quorum.Stored) {
			*d = quorum.Stored{
				Hard:     e.Hard,
				Snapshot: e.Snapshot,
			}
		})
	case quorum.Restore:
		h.restore(e.Snapshot)
	case quorum.Apply:
		s.apply(h, e)
	case quorum.Reply:
		if e.Kind == quorum.NotRun {
			token := h.proposed[e.Proposal]
			s.refusedTokens[token] = true
			if _, ok := s.indexByToken[token]; ok {
				s.reportViolation("command %q ran although it was refused", token)
			}
		}
	}
}

func (s *sim) write(h *host, seq quorum.Seq, change func(*quorum.Stored)) {
	if len(h.writes) == 0 {
		h.syncAt = s.now + s.syncDelay/2 + time.Duration(s.rng.Int64N(int64(s.syncDelay)))
	}
	h.writes = append(h.writes, change)
	h.writeSeqs = append(h.writeSeqs, seq)
}

func (s *sim) send(m quorum.Message) {
	if s.blocked[[2]ident.HostID{m.From, m.To}] || s.rng.Float64() < s.lossFraction {
		return
	}
	for copies := 1 + s.rng.IntN(20)/19; copies > 0; copies-- {
		d := time.Millisecond + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
		if s.rng.IntN(30) == 0 {
			d += time.Duration(s.rng.Int64N(int64(time.Second)))
		}
		s.packets = append(s.packets, packet{
			deliverAt: s.now + d,
			msg:       m,
		})
	}
}

func (s *sim) apply(h *host, a quorum.Apply) {
	e := a.Entry
	if e.Index != h.appliedIndex+1 {
		s.reportViolation("%s applied %d after %d", h.id, e.Index, h.appliedIndex)
	}
	h.appliedIndex = e.Index
	if first, ok := s.appliedEntries[e.Index]; !ok {
		s.appliedEntries[e.Index] = e
	} else if first.Term != e.Term || string(first.Data) != string(e.Data) || first.Kind != e.Kind {
		s.reportViolation("%s applied %v where %v was applied first", h.id, e, first)
	}
	if e.Kind == quorum.Command {
		token := string(e.Data)
		if i, ok := s.indexByToken[token]; ok && i != e.Index {
			s.reportViolation("command %q is at %d and %d", token, i, e.Index)
		}
		s.indexByToken[token] = e.Index
		if s.refusedTokens[token] {
			s.reportViolation("command %q ran although it was refused", token)
		}
		h.state = append(h.state, token)
	}
	if a.Proposal != 0 {
		if e.Kind == quorum.Command && h.proposed[a.Proposal] != string(e.Data) {
			s.reportViolation("proposal %q was answered with entry %q", h.proposed[a.Proposal], e.Data)
		}
		s.ackedIndex = max(s.ackedIndex, e.Index)
	}
}

// run advances virtual time by d in steps of 5 ms.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 5 * time.Millisecond
		due := s.packets
		s.packets = nil
		for _, p := range due {
			h := s.hostByID(p.msg.To)
			if p.deliverAt > s.now || h != nil && h.paused(s.now) {
				s.packets = append(s.packets, p)
			} else if h != nil && h.up {
				h.noteLeader(s.now, p.msg)
				s.step(h, quorum.Receive{
					Now:     h.clock(s.now),
					Message: p.msg,
				})
			}
		}
		for _, h := range s.hosts {
			if h.up && !h.paused(s.now) {
				s.sync(h)
				s.step(h, quorum.Tick{Now: h.clock(s.now)})
			}
		}
		s.checkLeases()
		s.checkLeaders()
	}
}

func (h *host) noteLeader(now time.Duration, m quorum.Message) {
	if m.Term < h.node.Status(h.clock(now)).Term {
		return
	}
	switch m.Body.(type) {
	case quorum.AppendRequest, quorum.SnapshotRequest:
		h.leaderSeenAt = now
	}
}

// checkLeaders checks that a host names another one as the leader only if that
// has sent something within the longest election timeout.
func (s *sim) checkLeaders() {
	const limit = 2 * electionTimeout * 11 / 10 // clocks differ by up to 3%
	for _, h := range s.hosts {
		if !h.up || h.paused(s.now) {
			continue
		}
		l := h.node.Status(h.clock(s.now)).Leader
		if silent := s.now - h.leaderSeenAt; l != "" && l != h.id && silent > limit && len(s.violations) == 0 {
			s.reportViolation("%s names the leader %s, silent for %s", h.id, l, silent)
		}
	}
}

func (s *sim) sync(h *host) {
	if len(h.writes) == 0 || s.now < h.syncAt {
		return
	}
	done := 1 + s.rng.IntN(len(h.writes))
	for _, w := range h.writes[:done] {
		w(&h.stored)
	}
	seq := h.writeSeqs[done-1]
	h.writes, h.writeSeqs = h.writes[done:], h.writeSeqs[done:]
	h.syncAt = s.now + time.Duration(s.rng.Int64N(int64(s.syncDelay)))
	s.step(h, quorum.Synced{
		Now: h.clock(s.now),
		Seq: seq,
	})
}

// checkLeases checks that at most one member has the lease, and that it has
// applied every entry that was acknowledged to any proposer.
func (s *sim) checkLeases() {
	var holder *host
	for _, h := range s.hosts {
		if !h.up || !h.node.Lease(h.clock(s.now)) {
			continue
		}
		if holder != nil {
			s.reportViolation("%s and %s hold the lease", holder.id, h.id)
		}
		holder = h
		if h.appliedIndex < s.ackedIndex {
			s.reportViolation("%s holds the lease at %d but %d was acknowledged", h.id, h.appliedIndex, s.ackedIndex)
		}
	}
}

func (s *sim) propose(h *host) {
	if !h.up {
		return
	}
	s.lastToken++
	token, id := fmt.Sprintf("%04d", s.lastToken), quorum.ProposalID(s.lastToken)
	h.proposed[id] = token
	s.step(h, quorum.Propose{
		Now: h.clock(s.now),
		Proposals: []quorum.Proposal{{
			ID:   id,
			Data: []byte(token),
		}},
	})
}

func (s *sim) change(h *host, c quorum.MemberChange) {
	if !h.up {
		return
	}
	s.lastToken++
	s.step(h, quorum.ChangeMember{
		Now:    h.clock(s.now),
		ID:     quorum.ProposalID(s.lastToken),
		Change: c,
	})
}

// compact stores a snapshot of the applied state. It does nothing while writes
// are unsynced.
func (s *sim) compact(h *host) {
	if !h.up || len(h.writes) > 0 || h.appliedIndex <= h.stored.Snapshot.Meta.Index {
		return
	}
	meta := h.node.Meta()
	snap := quorum.Snapshot{Meta: meta}
	for _, token := range h.state {
		snap.Data = append(snap.Data, token...)
	}
	h.stored.Entries = slices.Clone(h.stored.Entries[meta.Index-h.stored.Snapshot.Meta.Index:])
	h.stored.Snapshot = snap
	s.step(h, quorum.Compacted{
		Now:      h.clock(s.now),
		Snapshot: snap,
	})
}

func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.up && h.node.Status(h.clock(s.now)).Lease {
			return h
		}
	}
	return nil
}

// runUntil runs until the condition holds and returns how long that took, or
// false if it does not hold within limit.
func (s *sim) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	start := s.now
	for !cond() {
		if s.now-start >= limit {
			return 0, false
		}
		s.run(5 * time.Millisecond)
	}
	return s.now - start, true
}

// isolate blocks all messages from and to a host, or reconnects it.
func (s *sim) isolate(h *host, cut bool) {
	for _, o := range s.hosts {
		s.blocked[[2]ident.HostID{h.id, o.id}] = cut
		s.blocked[[2]ident.HostID{o.id, h.id}] = cut
	}
}

func (s *sim) heal() {
	clear(s.blocked)
	s.lossFraction = 0
	for _, h := range s.hosts {
		h.pausedUntil = 0
		if h.up && h.node.Status(0).Failed {
			s.crash(h)
		}
		if !h.up {
			s.boot(h)
		}
	}
}
