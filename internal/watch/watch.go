// Package watch serves the board of a control host to the other hosts by long
// polling. Each host polls one control host, which delays its answer until it
// has something newer. A poll also serves as the polling host's heartbeat.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/clock"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// MethodPoll is the RPC with which a host polls: board.Request, board.Reply.
const MethodPoll = "/watch/ask"

// PollTimeout is how long the polling host waits for an answer before it
// considers the control host unreachable.
const PollTimeout = board.PollWait + 700*time.Millisecond

// State is a board.Board with a clock. It is safe for concurrent use.
type State struct {
	start clock.Reading
	mu    sync.Mutex
	board *board.Board
	// changed is closed and replaced on each update that waiting polls report.
	changed chan struct{}
}

// NewState returns a State without a document, list or roster.
func NewState() *State {
	return &State{
		start:   clock.Now(),
		board:   board.New(),
		changed: make(chan struct{}),
	}
}

// Register makes a server answer polls.
func (s *State) Register(server *link.Server) { link.Handle(server, MethodPoll, s.serve) }

// Now returns the time since the state was created, suspensions included.
func (s *State) Now() ident.Instant { return ident.Instant(clock.Now().Sub(s.start)) }

// update runs a change of the board and wakes waiting polls if it returns true.
func (s *State) update(change func(now ident.Instant, b *board.Board) (changed bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.Now(), s.board)
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return changed
}

// SetDocument replaces the document and returns true, unless the version is not
// newer.
func (s *State) SetDocument(d board.Document) (replaced bool) {
	return s.update(func(now ident.Instant, b *board.Board) bool { return b.SetDocument(now, d) })
}

// SetEvacuation replaces the evacuated domains and returns true, unless the revision
// is not newer.
func (s *State) SetEvacuation(set evac.Set) (replaced bool) {
	return s.update(func(now ident.Instant, b *board.Board) bool { return b.SetEvacuation(now, set) })
}

// Evacuation returns the newest set of evacuated domains.
func (s *State) Evacuation() evac.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Evacuation()
}

// StatedEvacuation returns the revision of the evacuated domains that a poll of this host
// states.
func (s *State) StatedEvacuation() evac.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.StatedEvacuation()
}

// ConfirmOwn records that this host, which leads, held the newest document at the given
// time, and that set is the set of evacuated domains in its log.
func (s *State) ConfirmOwn(set evac.Set, at ident.Instant) {
	s.update(func(now ident.Instant, b *board.Board) bool { return b.ConfirmOwn(now, set, at) })
}

// Confirm takes what another host says of the newest version of the document and of the
// evacuated domains. It returns true if the evacuated domains were replaced.
func (s *State) Confirm(v rules.Version, a evac.Answer) (replaced bool) {
	s.update(func(now ident.Instant, b *board.Board) bool {
		before := b.Evacuation().Revision
		changed := b.Confirm(now, v, a)
		replaced = b.Evacuation().Revision != before
		return changed
	})
	return replaced
}

// Document returns the newest document, with version 0 if there is none.
func (s *State) Document() board.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Document()
}

// SetList replaces the list by one that was read at readAt, unless the present
// one was read later.
func (s *State) SetList(l board.List, readAt ident.Instant) {
	s.update(func(_ ident.Instant, b *board.Board) bool { return b.SetList(l, readAt) })
}

// ConfirmList records that the list with this digest was still current at the
// given time.
func (s *State) ConfirmList(digest uint64, at ident.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.ConfirmList(digest, at)
}

// List returns the list and the time since it was read, or false if there is
// none.
func (s *State) List() (list board.List, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.List(s.Now())
}

// SetLeader sets whether this host is the leader, and the leader's link address,
// empty if unknown.
func (s *State) SetLeader(leading bool, leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SetLeader(leading, leader)
}

// Leader returns the leader's entry in the roster; it is empty if unknown.
func (s *State) Leader() board.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Leader()
}

// RecordHeartbeat records a heartbeat of a host.
func (s *State) RecordHeartbeat(h board.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.RecordHeartbeat(s.Now(), h)
}

// Sweep removes hosts that no longer poll and rebuilds the roster on the leader.
// It must be called regularly.
func (s *State) Sweep() {
	s.update(func(now ident.Instant, b *board.Board) bool { return b.Sweep(now) })
}

// DirectHosts returns the hosts that poll this one directly, and the digest of
// their list.
func (s *State) DirectHosts() ([]board.Host, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.DirectHosts()
}

// SetRoster replaces the roster by the one received from the leader.
func (s *State) SetRoster(hosts []board.Host) {
	s.update(func(_ ident.Instant, b *board.Board) bool { return b.SetRoster(hosts) })
}

// Roster returns the live hosts, sorted by ID, and the digest of that list.
func (s *State) Roster() ([]board.Host, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Roster()
}

// serve answers a poll once it is due.
func (s *State) serve(ctx context.Context, in *board.Request) (*board.Reply, error) {
	s.mu.Lock()
	p := s.board.Open(s.Now(), in)
	s.mu.Unlock()
	wait := time.NewTimer(p.Deadline.Sub(s.Now()))
	defer wait.Stop()
	expired := false
	for {
		s.mu.Lock()
		now := s.Now()
		if expired {
			now = max(now, p.Deadline) // the timer and this clock may differ
		}
		r, due := s.board.Answer(now, p)
		changed := s.changed
		s.mu.Unlock()
		if due {
			return r, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
