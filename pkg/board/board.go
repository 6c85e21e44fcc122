// Package board holds the state that a control host distributes to the hosts
// that poll it: the active document, the evacuated domains, the list of upstreams
// and the roster of live hosts. A Board decides what each poll is answered with and when. It has
// no clock and does no I/O; it is not safe for concurrent use.
package board

import (
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// PollWait is how long a poll waits for an update. Since polls serve as
	// heartbeats, it sets the heartbeat interval.
	PollWait = time.Second

	// ControlPollWait is the same for polls of control hosts, which confirm their
	// copies by them.
	ControlPollWait = 500 * time.Millisecond

	// ReadTolerance allows for two hosts that estimate the reading time of the same
	// list differently. Two readings are over 1 s apart.
	ReadTolerance = 100 * time.Millisecond

	// LogGrace is how long the replicated log gets to deliver a document to a
	// member that follows it, before an answer includes the document.
	LogGrace = 400 * time.Millisecond

	// livenessTimeout is how long a host counts as live after its last poll.
	livenessTimeout = 3500 * time.Millisecond
)

// Board is the state of one control host.
type Board struct {
	document Document
	// copy is the age of the document, and of the roster.
	copy follow.Copy[rules.Version]
	// evacuation is the newest set of evacuated domains.
	evacuation evac.Copy
	// wasStale is whether the board was stale at the last Sweep.
	wasStale bool
	// settled tells which documents the members of the replicated log must have.
	settled  follow.Settled[rules.Version]
	list     List
	listRead bool
	// listReadAt is when the list was read from the platform.
	listReadAt   ident.Instant
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
	seenAt ident.Instant
}

// hostReport lists the hosts that poll another control host, as it reported them.
type hostReport struct {
	digest     uint64
	hosts      []Host
	receivedAt ident.Instant
}

// New returns a Board without a document, list or roster.
func New() *Board {
	return &Board{
		settled: follow.Settled[rules.Version]{Grace: LogGrace},
		hosts:   make(map[ident.HostID]liveHost),
		reports: make(map[ident.HostID]hostReport),
	}
}

// SetDocument replaces the document and returns true, unless the version is not
// newer.
func (b *Board) SetDocument(now ident.Instant, d Document) (replaced bool) {
	if d.Version <= b.document.Version {
		return false
	}
	b.document = d
	b.copy.Hold(d.Version)
	b.settled.Add(now, d.Version)
	return true
}

// SetEvacuation replaces the evacuated domains and returns true, unless the revision
// is not newer.
func (b *Board) SetEvacuation(now ident.Instant, s evac.Set) (replaced bool) {
	return b.evacuation.Take(now, s)
}

// Evacuation returns the newest set of evacuated domains.
func (b *Board) Evacuation() evac.Set { return b.evacuation.Set() }

// StatedEvacuation returns the revision of the evacuated domains that a poll of this host
// states.
func (b *Board) StatedEvacuation() evac.Revision { return b.evacuation.StatedRevision() }

// ConfirmOwn records that this host, which leads, held the newest document at the given
// time, and that s is the set of evacuated domains in its log. It returns true if waiting
// polls have something new: the set is not the one on this board, or the age of what this
// host holds was unknown before.
func (b *Board) ConfirmOwn(now ident.Instant, s evac.Set, at ident.Instant) (changed bool) {
	return b.Confirm(now, b.document.Version, evac.Answer{
		Revision:    s.Revision,
		Set:         &s,
		Confirmed:   true,
		ConfirmedAt: at,
	})
}

// Confirm takes what another host says of the newest version of the document and of the
// evacuated domains. It returns true if the evacuated domains have changed, or if the age
// of what this host holds was unknown before and is known now.
func (b *Board) Confirm(now ident.Instant, v rules.Version, a evac.Answer) (changed bool) {
	_, known := b.Age(now)
	if a.Confirmed {
		b.copy.Confirm(v, a.ConfirmedAt)
	}
	changed = b.evacuation.Update(now, a)
	_, knownNow := b.Age(now)
	return changed || knownNow && !known
}

// Age returns the time since the document and the evacuated domains were known to be
// the newest, or false if they never were.
func (b *Board) Age(now ident.Instant) (time.Duration, bool) {
	age, known := b.copy.Age(now)
	evacuationAge, evacuationKnown := b.evacuation.Age(now)
	return max(age, evacuationAge), known && evacuationKnown
}

// stale reports whether what this host holds is older than other hosts accept.
func (b *Board) stale(now ident.Instant) bool {
	return b.copy.Stale(now) || b.evacuation.Stale(now)
}

// Document returns the newest document, with version 0 if there is none.
func (b *Board) Document() Document { return b.document }

// SetList replaces the list by one that was read at readAt, unless the present
// one was read later by more than ReadTolerance. It returns true if the contents
// changed.
func (b *Board) SetList(l List, readAt ident.Instant) (changed bool) {
	if b.listRead && readAt.Add(ReadTolerance).Before(b.listReadAt) {
		return false
	}
	b.listRead, b.listReadAt = true, readAt
	if b.list.Digest == l.Digest {
		return false
	}
	b.list = l
	b.listHistory.add(l.Digest, l.Upstreams)
	return true
}

// ConfirmList records that the list with this digest was still current at the
// given time.
func (b *Board) ConfirmList(digest uint64, at ident.Instant) {
	if b.listRead && digest == b.list.Digest && b.listReadAt.Before(at) {
		b.listReadAt = at
	}
}

// List returns the list and the time since it was read, or false if there is
// none.
func (b *Board) List(now ident.Instant) (list List, age time.Duration, ok bool) {
	return b.list, now.Sub(b.listReadAt), b.listRead
}

// SetLeader sets whether this host is the leader, and the leader's link address,
// empty if unknown. The leader builds its roster from polls; other hosts receive
// it from the leader.
func (b *Board) SetLeader(leading bool, leader string) { b.leading, b.leader = leading, leader }

// Leader returns the leader's entry in the roster; it is empty if unknown.
func (b *Board) Leader() Host {
	for _, h := range b.roster {
		if h.Link == b.leader {
			return h
		}
	}
	return Host{}
}

// RecordHeartbeat records a heartbeat of a host.
func (b *Board) RecordHeartbeat(now ident.Instant, h Host) {
	b.hosts[h.ID] = liveHost{
		host:   h,
		seenAt: now,
	}
}

// Sweep removes hosts that have not polled within livenessTimeout, and rebuilds
// the roster on the leader. It returns true if the roster changed or the board
// became stale. It must be called regularly.
func (b *Board) Sweep(now ident.Instant) (changed bool) {
	for id, h := range b.hosts {
		if now.Sub(h.seenAt) > livenessTimeout {
			delete(b.hosts, id)
		}
	}
	for id, r := range b.reports {
		if now.Sub(r.receivedAt) > livenessTimeout {
			delete(b.reports, id)
		}
	}
	stale := b.stale(now)
	changed = stale && !b.wasStale
	b.wasStale = stale
	return b.leading && b.SetRoster(b.allHosts()) || changed
}

// DirectHosts returns the hosts that poll this one directly, and the digest of
// their list.
func (b *Board) DirectHosts() ([]Host, uint64) {
	list := make([]Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		list = append(list, h.host)
	}
	sortHosts(list)
	return list, rosterDigest(list)
}

// allHosts lists the hosts that poll this one or a host that reports to it.
func (b *Board) allHosts() []Host {
	list, _ := b.DirectHosts()
	for _, r := range b.reports {
		list = append(list, r.hosts...)
	}
	sortHosts(list)
	return slices.CompactFunc(list, func(x, y Host) bool { return x.ID == y.ID })
}

// SetRoster replaces the roster and returns true if it changed.
func (b *Board) SetRoster(hosts []Host) (changed bool) {
	d := rosterDigest(hosts)
	if d == b.rosterDigest {
		return false
	}
	b.roster, b.rosterDigest = hosts, d
	b.hostHistory.add(d, hosts)
	return true
}

// Roster returns the live hosts, sorted by ID, and the digest of that list.
func (b *Board) Roster() ([]Host, uint64) { return b.roster, b.rosterDigest }

// recordRequest records the heartbeat in a poll, and the hosts that poll its
// sender.
func (b *Board) recordRequest(now ident.Instant, in *Request) {
	b.RecordHeartbeat(now, in.From)
	if in.DirectDigest == 0 {
		return
	}
	r := b.reports[in.From.ID]
	if len(in.DirectHosts) > 0 {
		r.digest, r.hosts = in.DirectDigest, in.DirectHosts
	}
	r.receivedAt = now
	b.reports[in.From.ID] = r
}
