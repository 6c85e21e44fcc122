// Package watch distributes the state of control hosts to the other hosts by
// long polling: the active document, the list of upstreams and the roster of
// live hosts. Each host polls one control host, which delays its reply until it
// has something newer. A poll also serves as the polling host's heartbeat.
package watch

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// MethodPoll is the RPC with which a host polls: Request, Reply.
const MethodPoll = "/watch/ask"

const (
	// PollWait is how long a poll waits for an update. Since polls serve as
	// heartbeats, it sets the heartbeat interval.
	PollWait = time.Second

	// PollTimeout is how long the polling host waits for a reply before it
	// considers the control host unreachable.
	PollTimeout = PollWait + 700*time.Millisecond

	// followGrace is how long the replicated log gets to deliver a document to a
	// member that follows it, before a reply includes the document.
	followGrace = 400 * time.Millisecond

	// livenessTimeout is how long a host counts as live after its last poll.
	livenessTimeout = 3500 * time.Millisecond
)

// Kind is the role of a host.
type Kind uint8

// Entry hosts serve callers; Control hosts replicate and distribute the state.
const (
	Entry Kind = iota + 1
	Control
)

// Host is one process of the system.
type Host struct {
	ID     ident.HostID
	Kind   Kind
	Domain ident.Domain
	// Link is the address for other hosts, Operator the one for operators.
	Link     string
	Operator string `cbor:",omitempty"`
	// Draining is set on an entry host that is stopping.
	Draining bool `cbor:",omitempty"`
}

// Document is one version of the configuration as the operator sent it.
type Document struct {
	Version rules.Version
	// Packed is the compressed document.
	Packed []byte
}

// List is one reading of the platform's list of upstreams.
type List struct {
	// Digest is equal for readings with equal contents; see ListDigest.
	Digest    uint64
	Upstreams []relay.Upstream
}

// Request is one poll. It states what the polling host already has.
type Request struct {
	From Host
	// Version is the version of its document, Digest the digest of its list.
	Version rules.Version
	Digest  uint64
	// Roster is the digest of its roster, 0 to request a full copy.
	Roster uint64
	// DirectDigest is the digest of the hosts that poll the polling host itself,
	// and DirectHosts lists them unless the last reply confirmed that digest.
	DirectDigest uint64 `cbor:"Here,omitempty"`
	DirectHosts  []Host `cbor:"HereHosts,omitempty"`
	// Follows is set by hosts that normally receive documents through the
	// replicated log. A reply includes a document only if they still lack it after
	// followGrace.
	Follows bool `cbor:",omitempty"`
	// AtOnce requests a reply without waiting for an update.
	AtOnce bool `cbor:",omitempty"`
}

// Reply holds what is newer than the polling host's state.
type Reply struct {
	Document *Document `cbor:",omitempty"`
	// List is the full list. Otherwise ListDelta is the difference from the
	// polling host's list, and ListDigest the digest of the resulting one.
	List       *List          `cbor:",omitempty"`
	ListDelta  *UpstreamDelta `cbor:",omitempty"`
	ListDigest uint64         `cbor:",omitempty"`
	// ListAge is the age of the control host's list in milliseconds, -1 if it has
	// none.
	ListAge int64
	// Hosts is the full roster, or HostDelta the difference from the polling
	// host's. Roster is the digest of the resulting one.
	Hosts     []Host     `cbor:",omitempty"`
	HostDelta *HostDelta `cbor:",omitempty"`
	Roster    uint64
	// DirectDigest confirms the last Request.DirectDigest that came with its
	// DirectHosts.
	DirectDigest uint64 `cbor:"Here,omitempty"`
	// Leader is the link address of the leader, empty if unknown.
	Leader string
}

// State is what one control host distributes: document, list of upstreams and
// roster. It is safe for concurrent use.
type State struct {
	mu sync.Mutex
	// changed is closed and replaced on each update that waiting polls report.
	changed            chan struct{}
	document           Document
	documentReceivedAt time.Time
	list               List
	// listReadAt is when the list was read from the platform.
	listReadAt   time.Time
	hosts        map[ident.HostID]liveHost
	reports      map[ident.HostID]hostReport
	roster       []Host
	rosterDigest uint64
	leader       string
	leading      bool

	hostHistory history[Host]
	listHistory history[relay.Upstream]
}

type liveHost struct {
	host   Host
	seenAt time.Time
}

// hostReport lists the hosts that poll another control host, as it reported them.
type hostReport struct {
	digest     uint64
	hosts      []Host
	receivedAt time.Time
}

// NewState returns a State without a document, list or roster.
func NewState() *State {
	return &State{
		changed: make(chan struct{}),
		hosts:   make(map[ident.HostID]liveHost),
		reports: make(map[ident.HostID]hostReport),
	}
}

// Register makes a server answer polls.
func (s *State) Register(server *link.Server) { link.Handle(server, MethodPoll, s.serve) }

// notify wakes waiting polls. The caller must hold mu.
func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDocument replaces the document and returns true, unless the version is not
// newer.
func (s *State) SetDocument(d Document) (replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Version <= s.document.Version {
		return false
	}
	s.document, s.documentReceivedAt = d, time.Now()
	s.notify()
	return true
}

// Document returns the newest document, with version 0 if there is none.
func (s *State) Document() Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// SetList replaces the list by one that was read age ago, unless the present one
// was read later.
func (s *State) SetList(l List, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	if !s.listReadAt.IsZero() && at.Before(s.listReadAt) {
		return
	}
	s.listReadAt = at
	if s.list.Digest != l.Digest {
		s.list = l
		s.listHistory.add(l.Digest, l.Upstreams)
		s.notify()
	}
}

// ConfirmList records that the list with this digest was still current age ago.
func (s *State) ConfirmList(digest uint64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := time.Now().Add(-age); digest == s.list.Digest && at.After(s.listReadAt) {
		s.listReadAt = at
	}
}

// List returns the list and the time since it was read.
func (s *State) List() (List, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, time.Since(s.listReadAt)
}

// SetLeader sets whether this host is the leader, and the leader's link address.
// The leader builds its roster from polls; other hosts receive it from the
// leader.
func (s *State) SetLeader(leading bool, leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = leading
	if s.leader != leader {
		s.leader = leader
		s.notify()
	}
}

// Leader returns the leader's entry in the roster; it is empty if unknown.
func (s *State) Leader() Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.roster {
		if h.Link == s.leader {
			return h
		}
	}
	return Host{}
}

// RecordHeartbeat records a heartbeat of a host.
func (s *State) RecordHeartbeat(h Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[h.ID] = liveHost{
		host:   h,
		seenAt: time.Now(),
	}
}

// Sweep removes hosts that have not polled within livenessTimeout, and rebuilds
// the roster on the leader. It must be called regularly.
func (s *State) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.hosts {
		if time.Since(h.seenAt) > livenessTimeout {
			delete(s.hosts, id)
		}
	}
	for id, r := range s.reports {
		if time.Since(r.receivedAt) > livenessTimeout {
			delete(s.reports, id)
		}
	}
	if s.leading {
		s.setRoster(s.allHosts())
	}
}

// directHosts lists the hosts that poll this one. The caller must hold mu.
func (s *State) directHosts() []Host {
	list := make([]Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		list = append(list, h.host)
	}
	sortHosts(list)
	return list
}

// allHosts lists the hosts that poll this one or a host that reports to it. The
// caller must hold mu.
func (s *State) allHosts() []Host {
	list := s.directHosts()
	for _, r := range s.reports {
		list = append(list, r.hosts...)
	}
	sortHosts(list)
	return slices.CompactFunc(list, func(x, y Host) bool { return x.ID == y.ID })
}

func sortHosts(list []Host) {
	slices.SortFunc(list, func(x, y Host) int { return strings.Compare(string(x.ID), string(y.ID)) })
}

// DirectHosts returns the hosts that poll this one directly, and the digest of
// their list.
func (s *State) DirectHosts() ([]Host, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.directHosts()
	return list, rosterDigest(list)
}

// recordRequest records the heartbeat in a poll, and the hosts that poll its
// sender.
func (s *State) recordRequest(in *Request) {
	s.RecordHeartbeat(in.From)
	if in.DirectDigest == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.reports[in.From.ID]
	if len(in.DirectHosts) > 0 {
		r.digest, r.hosts = in.DirectDigest, in.DirectHosts
	}
	r.receivedAt = time.Now()
	s.reports[in.From.ID] = r
}

// SetRoster replaces the roster by the one received from the leader.
func (s *State) SetRoster(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRoster(hosts)
}

func (s *State) setRoster(hosts []Host) {
	d := rosterDigest(hosts)
	if d != s.rosterDigest {
		s.roster, s.rosterDigest = hosts, d
		s.hostHistory.add(d, hosts)
		s.notify()
	}
}

// Roster returns the live hosts, sorted by ID, and the digest of that list.
func (s *State) Roster() ([]Host, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster, s.rosterDigest
}

func rosterDigest(hosts []Host) uint64 {
	f := fnv.New64a()
	for _, h := range hosts {
		_, _ = f.Write([]byte(string(h.ID) + "|" + h.Link + "|" + string(h.Domain)))
		if h.Draining {
			_, _ = f.Write([]byte("|draining"))
		}
		_, _ = f.Write([]byte("\n"))
	}
	return f.Sum64()
}

// ListDigest returns the digest of a list of upstreams. It ignores Cold, the
// remaining warm-up time, since that changes with each reading.
func ListDigest(ups []relay.Upstream) uint64 {
	f := fnv.New64a()
	for _, u := range ups {
		_, _ = f.Write([]byte(string(u.ID) + "|" + string(u.Service) + "|" + u.Address + "|" + string(u.Domain)))
		state := byte(0)
		if u.Draining {
			state = 1
		}
		_, _ = f.Write([]byte{state, byte(u.Born), byte(u.Born >> 8), byte(u.Born >> 16), byte(u.Born >> 24)})
	}
	return f.Sum64()
}

// serve replies to a poll once there is an update, or after PollWait.
func (s *State) serve(ctx context.Context, in *Request) (*Reply, error) {
	s.recordRequest(in)
	wait := time.NewTimer(PollWait)
	defer wait.Stop()
	for {
		r, hasUpdate, changed := s.reply(in)
		if hasUpdate || in.AtOnce {
			return r, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			r, _, _ = s.reply(in)
			return r, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *State) reply(in *Request) (r *Reply, hasUpdate bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r = &Reply{
		ListAge:      -1,
		Roster:       s.rosterDigest,
		Leader:       s.leader,
		DirectDigest: s.reports[in.From.ID].digest,
	}
	if !s.listReadAt.IsZero() {
		r.ListAge = time.Since(s.listReadAt).Milliseconds()
	}
	if s.document.Version > in.Version {
		d := s.document
		switch {
		case !in.Follows:
			r.Document, hasUpdate = &d, true
		case time.Since(s.documentReceivedAt) > followGrace:
			r.Document = &d
		}
	}
	if !s.listReadAt.IsZero() && s.list.Digest != in.Digest {
		hasUpdate = true
		if old, ok := s.listHistory.find(in.Digest); ok {
			r.ListDelta, r.ListDigest = diff(old, s.list.Upstreams, upstreamKey, equalUpstreams), s.list.Digest
		} else {
			l := s.list
			r.List = &l
		}
	}
	if s.rosterDigest != in.Roster {
		hasUpdate = true
		if old, ok := s.hostHistory.find(in.Roster); ok {
			r.HostDelta = diff(old, s.roster, hostKey, equalHosts)
		} else {
			r.Hosts = s.roster
		}
	}
	return r, hasUpdate, s.changed
}
