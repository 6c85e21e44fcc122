package board

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Poll is a poll that waits for an update.
type Poll struct {
	request *Request
	// settled is the document that a host which follows the replicated log must
	// have had when it polled.
	settled rules.Version
	// openedAt is when the poll arrived. stale is set if the board was stale, and
	// unconfirmed if its age was unknown.
	openedAt    ident.Instant
	stale       bool
	unconfirmed bool
	// Deadline is when the poll is answered in any case.
	Deadline ident.Instant
}

// Open records a poll that arrived at now.
func (b *Board) Open(now ident.Instant, in *Request) *Poll {
	b.recordRequest(now, in)
	_, known := b.Age(now)
	p := &Poll{
		request:     in,
		settled:     b.settled.Version(now),
		openedAt:    now,
		stale:       b.stale(now),
		unconfirmed: !known,
		Deadline:    now.Add(PollWait),
	}
	switch {
	case in.AtOnce:
		p.Deadline = now
	case in.From.Kind == Control:
		p.Deadline = now.Add(ControlPollWait)
	}
	return p
}

// Answer returns the answer to a poll, and whether it is due: there is an
// update, the board has become stale or was confirmed for the first time, or the
// poll has reached its deadline.
func (b *Board) Answer(now ident.Instant, p *Poll) (r *Reply, due bool) {
	in := p.request
	stale := b.stale(now)
	age, known := b.Age(now)
	due = now >= p.Deadline || stale && !p.stale || known && p.unconfirmed
	r = &Reply{
		Version:      b.document.Version,
		Age:          -1,
		Waited:       now.Sub(p.openedAt).Milliseconds(),
		ListAge:      -1,
		Leader:       b.leader,
		DirectDigest: b.reports[in.From.ID].digest,

		EvacuationRevision: b.evacuation.Set().Revision,
	}
	if known {
		r.Age = age.Milliseconds()
	}
	// A set is small: a host that follows the log gets it here as well.
	if s := b.evacuation.Set(); s.Revision > in.Evacuation {
		r.Evacuated, due = &s, true
	}
	if b.listRead {
		r.ListAge = now.Sub(b.listReadAt).Milliseconds()
	}
	// A host that follows the log states its version at each poll; what it lacks
	// of newer documents is on its way.
	if b.document.Version > in.Version && (!in.Follows || p.settled > in.Version) {
		d := b.document
		r.Document, due = &d, true
	}
	haveReadAt := p.openedAt.Add(-time.Duration(in.ListAge) * time.Millisecond)
	if b.listRead && b.list.Digest != in.Digest && (in.Digest == 0 || haveReadAt.Before(b.listReadAt)) {
		due = true
		if old, ok := b.listHistory.find(in.Digest); ok {
			r.ListDelta, r.ListDigest = diff(old, b.list.Upstreams, upstreamKey, equalUpstreams), b.list.Digest
		} else {
			l := b.list
			r.List = &l
		}
	}
	// The roster has no version: one of a stale board may be older than that of
	// the polling host.
	if !stale || in.Roster == 0 {
		r.Roster = b.rosterDigest
	}
	if r.Roster != 0 && r.Roster != in.Roster {
		due = true
		if old, ok := b.hostHistory.find(in.Roster); ok {
			r.HostDelta = diff(old, b.roster, hostKey, equalHosts)
		} else {
			r.Hosts = b.roster
		}
	}
	return r, due
}
