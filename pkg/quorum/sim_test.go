package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// sim runs a group in virtual time and checks the invariants after each
// event. Delays, loss and clock rates come from rng.
type sim struct {
	rng   *rand.Rand
	now   time.Duration
	hosts []*host
	net   []packet
	cut   map[[2]ident.HostID]bool
	loss  float64
	disk  time.Duration
	token int

	leaders map[quorum.Term]ident.HostID
	log     map[quorum.Index]quorum.Entry
	byToken map[string]quorum.Index
	refused map[string]bool
	acked   quorum.Index
	faults  []string
}

type packet struct {
	at  time.Duration
	msg quorum.Message
}

type host struct {
	id     ident.HostID
	node   *quorum.Node
	start  time.Duration
	rate   float64
	up     bool
	stored quorum.Stored
	writes []func(*quorum.Stored)
	seqs   []quorum.Seq
	syncAt time.Duration
	// state is what the state machine holds: the data of all commands.
	state    []string
	index    quorum.Index
	proposed map[quorum.ProposalID]string
}

func newSim(seed uint64, size int) *sim {
	s := &sim{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		cut:     map[[2]ident.HostID]bool{},
		disk:    5 * time.Millisecond,
		leaders: map[quorum.Term]ident.HostID{},
		log:     map[quorum.Index]quorum.Entry{},
		byToken: map[string]quorum.Index{},
		refused: map[string]bool{},
		acked:   1,
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

func (s *sim) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%s: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) find(id ident.HostID) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (h *host) clock(now time.Duration) ident.Instant {
	return ident.Instant(float64(now-h.start) * h.rate)
}

func (s *sim) boot(h *host) {
	h.start, h.rate = s.now, 0.97+0.06*s.rng.Float64()
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
	h.node, h.up = node, true
	h.restore(stored.Snapshot)
}

func (h *host) restore(snap quorum.Snapshot) {
	h.index = snap.Meta.Index
	h.state = nil
	for i := 0; i+4 <= len(snap.Data); i += 4 {
		h.state = append(h.state, string(snap.Data[i:i+4]))
	}
}

// crash loses all writes that are not synced, except for some of the first.
func (s *sim) crash(h *host) {
	if !h.up {
		return
	}
	for range s.rng.IntN(len(h.writes) + 1) {
		h.writes[0](&h.stored)
		h.writes = h.writes[1:]
	}
	h.up, h.node, h.writes, h.seqs = false, nil, nil, nil
	h.proposed = map[quorum.ProposalID]string{}
}

func (s *sim) step(h *host, ev quorum.Event) {
	for _, e := range h.node.Step(ev) {
		s.effect(h, e)
	}
	st := h.node.Status(h.clock(s.now))
	if st.Role == quorum.Leader {
		if l, ok := s.leaders[st.Term]; ok && l != h.id {
			s.fault("term %d has leaders %s and %s", st.Term, l, h.id)
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
				keep := int(entry.Index - d.Snapshot.Meta.Index - 1)
				d.Entries = append(d.Entries[:keep:keep], entry)
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
			s.refused[token] = true
			if _, ok := s.byToken[token]; ok {
				s.fault("command %q ran although it was refused", token)
			}
		}
	}
}

func (s *sim) write(h *host, seq quorum.Seq, change func(*quorum.Stored)) {
	if len(h.writes) == 0 {
		h.syncAt = s.now + s.disk/2 + time.Duration(s.rng.Int64N(int64(s.disk)))
	}
	h.writes = append(h.writes, change)
	h.seqs = append(h.seqs, seq)
}

func (s *sim) send(m quorum.Message) {
	if s.cut[[2]ident.HostID{m.From, m.To}] || s.rng.Float64() < s.loss {
		return
	}
	for copies := 1 + s.rng.IntN(20)/19; copies > 0; copies-- {
		d := time.Millisecond + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
		if s.rng.IntN(30) == 0 {
			d += time.Duration(s.rng.Int64N(int64(time.Second)))
		}
		s.net = append(s.net, packet{
			at:  s.now + d,
			msg: m,
		})
	}
}

func (s *sim) apply(h *host, a quorum.Apply) {
	e := a.Entry
	if e.Index != h.index+1 {
		s.fault("%s applied %d after %d", h.id, e.Index, h.index)
	}
	h.index = e.Index
	if first, ok := s.log[e.Index]; !ok {
		s.log[e.Index] = e
	} else if first.Term != e.Term || string(first.Data) != string(e.Data) || first.Kind != e.Kind {
		s.fault("%s applied %v where %v was applied first", h.id, e, first)
	}
	if e.Kind == quorum.Command {
		token := string(e.Data)
		if i, ok := s.byToken[token]; ok && i != e.Index {
			s.fault("command %q is at %d and %d", token, i, e.Index)
		}
		s.byToken[token] = e.Index
		if s.refused[token] {
			s.fault("command %q ran although it was refused", token)
		}
		h.state = append(h.state, token)
	}
	if a.Proposal != 0 {
		if e.Kind == quorum.Command && h.proposed[a.Proposal] != string(e.Data) {
			s.fault("proposal %q was answered with entry %q", h.proposed[a.Proposal], e.Data)
		}
		s.acked = max(s.acked, e.Index)
	}
}

// run advances the time by d in steps of 5 ms.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 5 * time.Millisecond
		due := s.net
		s.net = nil
		for _, p := range due {
			if p.at > s.now {
				s.net = append(s.net, p)
			} else if h := s.find(p.msg.To); h != nil && h.up {
				s.step(h, quorum.Receive{
					Now:     h.clock(s.now),
					Message: p.msg,
				})
			}
		}
		for _, h := range s.hosts {
			if h.up {
				s.sync(h)
				s.step(h, quorum.Tick{Now: h.clock(s.now)})
			}
		}
		s.checkLeases()
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
	seq := h.seqs[done-1]
	h.writes, h.seqs = h.writes[done:], h.seqs[done:]
	h.syncAt = s.now + time.Duration(s.rng.Int64N(int64(s.disk)))
	s.step(h, quorum.Synced{
		Now: h.clock(s.now),
		Seq: seq,
	})
}

// checkLeases checks that at most one member may serve local reads, and that
// it has applied everything that was acknowledged anywhere.
func (s *sim) checkLeases() {
	var holder *host
	for _, h := range s.hosts {
		if !h.up || !h.node.Lease(h.clock(s.now)) {
			continue
		}
		if holder != nil {
			s.fault("%s and %s hold the lease", holder.id, h.id)
		}
		holder = h
		if h.index < s.acked {
			s.fault("%s holds the lease at %d but %d was acknowledged", h.id, h.index, s.acked)
		}
	}
}

func (s *sim) propose(h *host) {
	if !h.up {
		return
	}
	s.token++
	token, id := fmt.Sprintf("%04d", s.token), quorum.ProposalID(s.token)
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
	s.token++
	s.step(h, quorum.ChangeMember{
		Now:    h.clock(s.now),
		ID:     quorum.ProposalID(s.token),
		Change: c,
	})
}

// compact stores a snapshot of the applied state, as after a sync.
func (s *sim) compact(h *host) {
	if !h.up || len(h.writes) > 0 || h.index <= h.stored.Snapshot.Meta.Index {
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

// await runs until the condition holds and returns how long it took, or
// false if it took longer than limit.
func (s *sim) await(limit time.Duration, cond func() bool) (time.Duration, bool) {
	start := s.now
	for !cond() {
		if s.now-start >= limit {
			return 0, false
		}
		s.run(5 * time.Millisecond)
	}
	return s.now - start, true
}

// isolate cuts a host off in both directions, or reconnects it.
func (s *sim) isolate(h *host, cut bool) {
	for _, o := range s.hosts {
		s.cut[[2]ident.HostID{h.id, o.id}] = cut
		s.cut[[2]ident.HostID{o.id, h.id}] = cut
	}
}

func (s *sim) heal() {
	clear(s.cut)
	s.loss = 0
	for _, h := range s.hosts {
		if h.up && h.node.Status(0).Failed {
			s.crash(h)
		}
		if !h.up {
			s.boot(h)
		}
	}
}
