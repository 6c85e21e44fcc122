// Package watch carries what control hosts know to the other hosts: the
// document in force, the list of upstreams and the hosts that are alive. A
// host asks one control host again and again; an ask waits there until there
// is something newer, and also tells that the asking host is alive.
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

// MethodAsk is the call that a host repeats; Ask, Reply.
const MethodAsk = "/watch/ask"

const (
	// AskWait is how long an ask waits for news, so that an ask is also a
	// sign of life about once a second.
	AskWait = time.Second

	// AskTimeout ends an ask to a host that is out of reach.
	AskTimeout = AskWait + 700*time.Millisecond

	// followTime is how long the replicated log takes at most to bring a
	// document to a member that follows it.
	followTime = 400 * time.Millisecond

	// aliveTime is how long a host counts as alive after it has asked.
	aliveTime = 3500 * time.Millisecond
)

// Kind tells what a host does.
type Kind uint8

// The kinds of host.
const (
	Entry Kind = iota + 1
	Control
)

// Host is one process of the system.
type Host struct {
	ID     ident.HostID
	Kind   Kind
	Domain ident.Domain
	// Link is where other hosts reach it, Operator where operators do.
	Link     string
	Operator string `cbor:",omitempty"`
	// Draining is set on an entry host that stops.
	Draining bool `cbor:",omitempty"`
}

// Document is one version of the configuration as the operator sent it.
type Document struct {
	Version rules.Version
	// Packed is the compressed document.
	Packed []byte
}

// List is one reading of the platform's list.
type List struct {
	// Digest tells readings with different contents apart.
	Digest    uint64
	Upstreams []relay.Upstream
}

// Ask tells what the asking host holds.
type Ask struct {
	From    Host
	Version rules.Version
	Digest  uint64
	// Roster is the digest of the hosts known to be alive.
	Roster uint64
	// Here is the digest of the hosts that ask the asking host, and HereHosts
	// lists them unless the last reply has confirmed that digest.
	Here      uint64 `cbor:",omitempty"`
	HereHosts []Host `cbor:",omitempty"`
	// Follows is set by hosts that get documents from the replicated log, if
	// all is well. They get one here only if they still lack it a little later.
	Follows bool `cbor:",omitempty"`
	// AtOnce is set to get an answer without a wait.
	AtOnce bool `cbor:",omitempty"`
}

// Reply has what is newer than the asking host's.
type Reply struct {
	Document *Document `cbor:",omitempty"`
	// List is the whole list; ListDelta is what differs from the asking host's,
	// and ListDigest the digest of the result.
	List       *List          `cbor:",omitempty"`
	ListDelta  *UpstreamDelta `cbor:",omitempty"`
	ListDigest uint64         `cbor:",omitempty"`
	// ListAge is the age of the list held here, in milliseconds; -1 if none.
	ListAge int64
	// Hosts is the whole roster; HostDelta is what differs from the asking
	// host's, and Roster the digest of the result.
	Hosts     []Host     `cbor:",omitempty"`
	HostDelta *HostDelta `cbor:",omitempty"`
	Roster    uint64
	// Here is the digest of the asking host's own askers as known here.
	Here uint64 `cbor:",omitempty"`
	// Leader is the link address of the leader as far as known.
	Leader string
}

// Board is what one control host knows. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	changed  chan struct{}
	document Document
	// documentAt is when the document came.
	documentAt time.Time
	list       List
	readAt     time.Time
	hosts      map[ident.HostID]seen
	reports    map[ident.HostID]report
	roster     []Host
	digest     uint64
	leader     string
	leading    bool

	pastHosts past[Host]
	pastLists past[relay.Upstream]
}

type seen struct {
	host Host
	at   time.Time
}

// report lists the hosts that ask another control host.
type report struct {
	digest uint64
	hosts  []Host
	at     time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		changed: make(chan struct{}),
		hosts:   make(map[ident.HostID]seen),
		reports: make(map[ident.HostID]report),
	}
}

// Register serves asks with the board.
func (b *Board) Register(s *link.Server) { link.Handle(s, MethodAsk, b.serve) }

// notify wakes waiting asks. The caller holds the lock.
func (b *Board) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetDocument takes a newer document; an older one is ignored.
func (b *Board) SetDocument(d Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Version > b.document.Version {
		b.document, b.documentAt = d, time.Now()
		b.notify()
	}
}

// Document returns the newest document known here.
func (b *Board) Document() Document {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.document
}

// SetList takes a list that was read age ago, unless a later one is held.
func (b *Board) SetList(l List, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Now().Add(-age)
	if !b.readAt.IsZero() && at.Before(b.readAt) {
		return
	}
	b.readAt = at
	if b.list.Digest != l.Digest {
		b.list = l
		b.pastLists.add(l.Digest, l.Upstreams)
		b.notify()
	}
}

// Confirm notes that the list held is as of age ago.
func (b *Board) Confirm(digest uint64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := time.Now().Add(-age); digest == b.list.Digest && at.After(b.readAt) {
		b.readAt = at
	}
}

// List returns the list and its age.
func (b *Board) List() (List, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list, time.Since(b.readAt)
}

// Lead tells the board whether this host leads, and who does. A leader's
// roster comes from asks, that of others from the leader.
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

// Alive notes that a host is alive.
func (b *Board) Alive(h Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[h.ID] = seen{
		host: h,
		at:   time.Now(),
	}
}

// Sweep forgets hosts that have been silent and updates the leader's roster.
func (b *Board) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.hosts {
		if time.Since(s.at) > aliveTime {
			delete(b.hosts, id)
		}
	}
	for id, r := range b.reports {
		if time.Since(r.at) > aliveTime {
			delete(b.reports, id)
		}
	}
	if b.leading {
		b.setRoster(b.everywhere())
	}
}

// here lists the hosts that ask this one.
func (b *Board) here() []Host {
	list := make([]Host, 0, len(b.hosts))
	for _, s := range b.hosts {
		list = append(list, s.host)
	}
	sortHosts(list)
	return list
}

// everywhere lists the hosts that ask this one or one that reports to it.
func (b *Board) everywhere() []Host {
	list := b.here()
	for _, r := range b.reports {
		list = append(list, r.hosts...)
	}
	sortHosts(list)
	return slices.CompactFunc(list, func(x, y Host) bool { return x.ID == y.ID })
}

func sortHosts(list []Host) {
	slices.SortFunc(list, func(x, y Host) int { return strings.Compare(string(x.ID), string(y.ID)) })
}

// Here returns the hosts that ask this one, and the digest of the list.
func (b *Board) Here() ([]Host, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.here()
	return list, rosterDigest(list)
}

// hear notes that a host is alive, and which hosts it has heard from.
func (b *Board) hear(in *Ask) {
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
	r.at = time.Now()
	b.reports[in.From.ID] = r
}

// SetRoster takes the leader's roster.
func (b *Board) SetRoster(hosts []Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setRoster(hosts)
}

func (b *Board) setRoster(hosts []Host) {
	d := rosterDigest(hosts)
	if d != b.digest {
		b.roster, b.digest = hosts, d
		b.pastHosts.add(d, hosts)
		b.notify()
	}
}

// Roster returns the hosts known to be alive and the digest of the list.
func (b *Board) Roster() ([]Host, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster, b.digest
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

// ListDigest returns the digest of a list. How long an upstream stays cold is
// left out, since it changes with each reading.
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

// serve answers an ask once there is something newer, or after AskWait.
func (b *Board) serve(ctx context.Context, in *Ask) (*Reply, error) {
	b.hear(in)
	wait := time.NewTimer(AskWait)
	defer wait.Stop()
	for {
		r, news, changed := b.reply(in)
		if news || in.AtOnce {
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

func (b *Board) reply(in *Ask) (r *Reply, news bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r = &Reply{
		ListAge: -1,
		Roster:  b.digest,
		Leader:  b.leader,
		Here:    b.reports[in.From.ID].digest,
	}
	if !b.readAt.IsZero() {
		r.ListAge = time.Since(b.readAt).Milliseconds()
	}
	if b.document.Version > in.Version {
		d := b.document
		switch {
		case !in.Follows:
			r.Document, news = &d, true
		case time.Since(b.documentAt) > followTime:
			r.Document = &d
		}
	}
	if !b.readAt.IsZero() && b.list.Digest != in.Digest {
		news = true
		if old, ok := b.pastLists.find(in.Digest); ok {
			r.ListDelta, r.ListDigest = diff(old, b.list.Upstreams, upstreamKey, sameUpstream), b.list.Digest
		} else {
			l := b.list
			r.List = &l
		}
	}
	if b.digest != in.Roster {
		news = true
		if old, ok := b.pastHosts.find(in.Roster); ok {
			r.HostDelta = diff(old, b.roster, hostKey, sameHost)
		} else {
			r.Hosts = b.roster
		}
	}
	return r, news, b.changed
}
