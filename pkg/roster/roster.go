// Package roster plans the membership changes of the control group, one at a
// time: which host joins, which replaces a failed member and which is removed.
// It does no I/O and has no clock; decisions depend on the leader's views only.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

const (
	// UnreachableTimeout is how long a member must be unreachable before another
	// host replaces it. Frozen or restarted hosts often return sooner.
	UnreachableTimeout = 2 * time.Second

	// SettleTime is how long a new leader waits before its first change, until
	// the other hosts have reported to it.
	SettleTime = 1500 * time.Millisecond
)

// Host is a live control host, whether a member or not.
type Host struct {
	ID      ident.HostID
	Address string
	Domain  ident.Domain
}

// View is the state of the group as the leader knows it.
type View struct {
	Now ident.Instant
	// Self is the leader itself, which counts as reachable.
	Self    ident.HostID
	Members []quorum.Member
	// Reached is true for the members that answer the leader.
	Reached map[ident.HostID]bool
	// Alive lists the control hosts that currently report to the leader.
	Alive []Host
	// Voters is the target number of voters.
	Voters int
}

// Planner chooses the next membership change. It records since when this host
// has been the leader, and since when each member has been unreachable. Use it
// from one goroutine.
type Planner struct {
	leadsSince       ident.Instant
	leading          bool
	unreachableSince map[ident.HostID]ident.Instant
}

// NewPlanner returns the Planner of a host that does not lead yet.
func NewPlanner() *Planner { return &Planner{unreachableSince: make(map[ident.HostID]ident.Instant)} }

// Reset clears all recorded times. Call it when this host does not lead or the
// outcome of a change is unknown; the next call of Next starts a new SettleTime.
func (p *Planner) Reset() {
	p.leading = false
	clear(p.unreachableSince)
}

// Change is one membership change. Either Join, at Address, is added and
// replaces Old if that is set, or Remove is removed.
type Change struct {
	Remove  ident.HostID
	Join    ident.HostID
	Address string
	Old     ident.HostID
	// Reason is the cause, for the log.
	Reason string
}

// Next returns the change that is due now, or false. It returns no new one while
// an earlier change is incomplete, except to remove an unreachable learner.
func (p *Planner) Next(v View) (Change, bool) {
	if !p.leading {
		p.leading, p.leadsSince = true, v.Now
	}
	for _, m := range v.Members {
		if _, tracked := p.unreachableSince[m.ID]; m.ID == v.Self || v.Reached[m.ID] {
			delete(p.unreachableSince, m.ID)
		} else if !tracked {
			p.unreachableSince[m.ID] = v.Now
		}
	}
	if v.Now.Before(p.leadsSince.Add(SettleTime)) {
		return Change{}, false
	}
	if changePending(v.Members) {
		return p.removeUnreachableLearner(v)
	}
	spares := findSpares(v)
	if c, ok := replaceWiped(v, spares); ok {
		return c, true
	}
	if len(v.Members) < v.Voters && len(spares) > 0 {
		s := bestSpare(v, spares, "")
		return Change{
			Join:    s.ID,
			Address: s.Address,
			Reason:  "the group has too few voters",
		}, true
	}
	return p.replaceUnreachable(v, spares)
}

// changePending reports whether an earlier change is incomplete: a learner has
// no vote yet, or a replaced member is still to be removed.
func changePending(members []quorum.Member) bool {
	return slices.ContainsFunc(members, func(m quorum.Member) bool { return !m.Voter || m.Replaces != "" })
}

// removeUnreachableLearner removes a learner that failed before it could vote,
// since it would block all later changes.
func (p *Planner) removeUnreachableLearner(v View) (Change, bool) {
	for _, m := range v.Members {
		if since, unreachable := p.unreachableSince[m.ID]; unreachable && !m.Voter && !v.Now.Before(since.Add(UnreachableTimeout)) {
			return Change{
				Remove: m.ID,
				Reason: "a new member became unreachable before it could vote",
			}, true
		}
	}
	return Change{}, false
}

// findSpares returns the live hosts that are not members, sorted by ID.
func findSpares(v View) []Host {
	var list []Host
	for _, h := range v.Alive {
		if !slices.ContainsFunc(v.Members, func(m quorum.Member) bool { return m.ID == h.ID }) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// replaceWiped replaces a member by a host that restarted at its address with an
// empty disk, and so has a new ID. The old member cannot return, so there is no
// reason to wait.
func replaceWiped(v View, spares []Host) (Change, bool) {
	for _, s := range spares {
		for _, m := range v.Members {
			if m.Address == s.Address && !v.Reached[m.ID] && m.ID != v.Self {
				return Change{
					Join:    s.ID,
					Address: s.Address,
					Old:     m.ID,
					Reason:  "a member came back with an empty disk",
				}, true
			}
		}
	}
	return Change{}, false
}

// replaceUnreachable replaces a member that has been unreachable for
// UnreachableTimeout.
func (p *Planner) replaceUnreachable(v View, spares []Host) (Change, bool) {
	if len(spares) == 0 {
		return Change{}, false
	}
	for _, m := range v.Members {
		since, unreachable := p.unreachableSince[m.ID]
		if !unreachable || v.Now.Before(since.Add(UnreachableTimeout)) {
			continue
		}
		s := bestSpare(v, spares, m.ID)
		return Change{
			Join:    s.ID,
			Address: s.Address,
			Old:     m.ID,
			Reason:  "a member is unreachable",
		}, true
	}
	return Change{}, false
}

// bestSpare returns the spare in the failure domain with the fewest members, not
// counting the replaced one, so that a domain failure takes out as few voters as
// possible.
func bestSpare(v View, spares []Host, replaced ident.HostID) Host {
	domainByAddress := make(map[string]ident.Domain, len(v.Alive))
	for _, h := range v.Alive {
		domainByAddress[h.Address] = h.Domain
	}
	membersByDomain := make(map[ident.Domain]int)
	for _, m := range v.Members {
		if m.ID != replaced {
			membersByDomain[domainByAddress[m.Address]]++
		}
	}
	return slices.MinFunc(spares, func(a, b Host) int { return membersByDomain[a.Domain] - membersByDomain[b.Domain] })
}
