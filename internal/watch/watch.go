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

// MethodAsk is the RPC with which a host polls: Ask, Reply.
const MethodAsk = "/watch/ask"

const (
	// AskWait is how long a poll waits for an update. Since polls serve as
	// heartbeats, it sets the heartbeat interval.
	AskWait = time.Second

	// AskTimeout is how long the polling host waits for a reply before it
	// considers the control host unreachable.
	AskTimeout = AskWait + 700*time.Millisecond

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

// Ask is one poll. It states what the polling host already has.
type Ask struct {
	From Host
	// Version is the version of its document, Digest the digest of its list.
	Version rules.Version
	Digest  uint64
	// Roster is the digest of its roster, 0 to request a full copy.
	Roster uint64
	// Here is the digest of the hosts that poll the polling host itself, and
	// HereHosts lists them unless the last reply confirmed that digest.
	Here      uint64 `cbor:",omitempty"`
	HereHosts []Host `cbor:",omitempty"`
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
	// Here confirms the last Ask.Here that came with its HereHosts.
	Here uint64 `cbor:",omitempty"`
	// Leader is the link address of the leader, empty if unknown.
	Leader string
}

// Board is the state that one control host distributes. It is safe for concurrent
// use.
type Board struct {
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

// NewBoard returns a board without a document, list or roster.
func NewBoard() *Board {
	return &Board{
		changed: make(chan struct{}),
		hosts:   make(map[ident.HostID]liveHost),
		reports: make(map[ident.HostID]hostReport),
	}
}

// Register makes a server answer polls from the board.
func (b *Board) Register(s *link.Server) { link.Handle(s, MethodAsk, b.serve) }

// notify wakes waiting polls. The caller must hold mu.
func (b *Board) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetDocument replaces the document, unless the version is not newer.
func (b *Board) SetDocument(d Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Version > b.document.Version {
		b.document, b.documentReceivedAt = d, time.Now()
		b.notify()
	}
}

// Document returns the newest document, with version 0 if there is none.
func (b *Board) Document() Document {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.document
}

// SetList replaces the list by one that was read age ago, unless the board has
// one that was read later.
func (b *Board) SetList(l List, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Now().Add(-age)
	if !b.listReadAt.IsZero() && at.Before(b.listReadAt) {
		return
	}
	b.listReadAt = at
	if b.list.Digest != l.Digest {
		b.list = l
		b.listHistory.add(l.Digest, l.Upstreams)
		b.notify()
	}
}

// Confirm records that the list with this digest was still current age ago.
func (b *Board) Confirm(digest uint64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := time.Now().Add(-age); digest == b.list.Digest && at.After(b.listReadAt) {
		b.listReadAt = at
	}
}

// List returns the list and the time since it was read.
func (b *Board) List() (List, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list, time.Since(b.listReadAt)
}

// Lead sets whether this host is the leader, and the leader's link address. The
// leader builds its roster from polls; other hosts receive it from the leader.
func (b *Board) Lead(leading bool, leader string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = leading
	if b.leader != leader {
		b.leader = leader
		b.notify()
	}
}

// Leader returns the leader's entry in the roster; it is empty if unknown.
func (b *Board) Leader() Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.roster {
		if h.Link == b.leader {
			return h
		}
	}
	return Host{}
}

// Alive records a heartbeat of a host.
func (b *Board) Alive(h Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[h.ID] = liveHost{
		host:   h,
		seenAt: time.Now(),
	}
}

// Sweep removes hosts that have not polled within livenessTimeout, and rebuilds
// the roster on the leader. It must be called regularly.
func (b *Board) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.hosts {
		if time.Since(s.seenAt) > livenessTimeout {
			delete(b.hosts, id)
		}
	}
	for id, r := range b.reports {
		if time.Since(r.receivedAt) > livenessTimeout {
			delete(b.reports, id)
		}
	}
	if b.leading {
		b.setRoster(b.allHosts())
	}
}

// directHosts lists the hosts that poll this one. The caller must hold mu.
func (b *Board) directHosts() []Host {
	list := make([]Host, 0, len(b.hosts))
	for _, s := range b.hosts {
		list = append(list, s.host)
	}
	sortHosts(list)
	return list
}

// allHosts lists the hosts that poll this one or a host that reports to it. The
// caller must hold mu.
func (b *Board) allHosts() []Host {
	list := b.directHosts()
	for _, r := range b.reports {
		list = append(list, r.hosts...)
	}
	sortHosts(list)
	return slices.CompactFunc(list, func(x, y Host) bool { return x.ID == y.ID })
}

func sortHosts(list []Host) {
	slices.SortFunc(list, func(x, y Host) int { return strings.Compare(string(x.ID), string(y.ID)) })
}

// Here returns the hosts that poll this one directly, and the digest of their
// list.
func (b *Board) Here() ([]Host, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.directHosts()
	return list, rosterDigest(list)
}

// recordRequest records the heartbeat in a poll, and the hosts that poll its
// sender.
func (b *Board) recordRequest(in *Ask) {
	b.Alive(in.From)
	if in.Here == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reports[in.From.ID]
	if len(in.HereHosts) > 0 {
		r.digest, r.hosts = in.Here, in.HereHosts
	}
	r.receivedAt = time.Now()
	b.reports[in.From.ID] = r
}

// SetRoster replaces the roster by the one received from the leader.
func (b *Board) SetRoster(hosts []Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setRoster(hosts)
}

func (b *Board) setRoster(hosts []Host) {
	d := rosterDigest(hosts)
	if d != b.rosterDigest {
		b.roster, b.rosterDigest = hosts, d
		b.hostHistory.add(d, hosts)
		b.notify()
	}
}

// Roster returns the live hosts, sorted by ID, and the digest of that list.
func (b *Board) Roster() ([]Host, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster, b.rosterDigest
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

// serve replies to a poll once there is an update, or after AskWait.
func (b *Board) serve(ctx context.Context, in *Ask) (*Reply, error) {
	b.recordRequest(in)
	wait := time.NewTimer(AskWait)
	defer wait.Stop()
	for {
		r, hasUpdate, changed := b.reply(in)
		if hasUpdate || in.AtOnce {
			return r, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			r, _, _ = b.reply(in)
			return r, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (b *Board) reply(in *Ask) (r *Reply, hasUpdate bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r = &Reply{
		ListAge: -1,
		Roster:  b.rosterDigest,
		Leader:  b.leader,
		Here:    b.reports[in.From.ID].digest,
	}
	if !b.listReadAt.IsZero() {
		r.ListAge = time.Since(b.listReadAt).Milliseconds()
	}
	if b.document.Version > in.Version {
		d := b.document
		switch {
		case !in.Follows:
			r.Document, hasUpdate = &d, true
		case time.Since(b.documentReceivedAt) > followGrace:
			r.Document = &d
		}
	}
	if !b.listReadAt.IsZero() && b.list.Digest != in.Digest {
		hasUpdate = true
		if old, ok := b.listHistory.find(in.Digest); ok {
			r.ListDelta, r.ListDigest = diff(old, b.list.Upstreams, upstreamKey, equalUpstreams), b.list.Digest
		} else {
			l := b.list
			r.List = &l
		}
	}
	if b.rosterDigest != in.Roster {
		hasUpdate = true
		if old, ok := b.hostHistory.find(in.Roster); ok {
			r.HostDelta = diff(old, b.roster, hostKey, equalHosts)
		} else {
			r.Hosts = b.roster
		}
	}
	return r, hasUpdate, b.changed
}
