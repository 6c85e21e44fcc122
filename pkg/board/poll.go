package board

import (
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Poll is a poll that waits for an update.
type Poll struct {
	request *Request
	// settled is the document that a host which follows the replicated log must
	// have had when it polled.
	settled rules.Version
	// Deadline is when the poll is answered in any case.
	Deadline ident.Instant
}

// Open records a poll that arrived at now.
func (b *Board) Open(now ident.Instant, in *Request) *Poll {
	b.recordRequest(now, in)
	p := &Poll{
		request:  in,
		settled:  b.settled.Version(now),
		Deadline: now.Add(PollWait),
	}
	if in.AtOnce {
		p.Deadline = now
	}
	return p
}

// Answer returns the answer to a poll, and whether it is due: there is an update
// or the poll has reached its deadline.
func (b *Board) Answer(now ident.Instant, p *Poll) (r *Reply, due bool) {
	in := p.request
	due = now >= p.Deadline
	r = &Reply{
		ListAge:      -1,
		Roster:       b.rosterDigest,
		Leader:       b.leader,
		DirectDigest: b.reports[in.From.ID].digest,
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
	if b.listRead && b.list.Digest != in.Digest {
		due = true
		if old, ok := b.listHistory.find(in.Digest); ok {
			r.ListDelta, r.ListDigest = diff(old, b.list.Upstreams, upstreamKey, equalUpstreams), b.list.Digest
		} else {
			l := b.list
			r.List = &l
		}
	}
	if b.rosterDigest != in.Roster {
		due = true
		if old, ok := b.hostHistory.find(in.Roster); ok {
			r.HostDelta = diff(old, b.roster, hostKey, equalHosts)
		} else {
			r.Hosts = b.roster
		}
	}
	return r, due
}
