// Package roster decides how the control group changes its own membership:
// which hosts join, which take the place of a lost member and which are not
// needed. It is a pure function of what the leader sees, one step at a time.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

const (
	// LostTime is how long a member must be out of reach before another host
	// takes its place. Frozen or restarted hosts are often back sooner.
	LostTime = 2 * time.Second

	// SettleTime is the wait of a new leader before its first change, in which
	// the other hosts report to it.
	SettleTime = 1500 * time.Millisecond
)

// Host is a control host that is alive.
type Host struct {
	ID      ident.HostID
	Address string
	Domain  ident.Domain
}

// View is what the leader sees.
type View struct {
	Now ident.Instant
	// Self is the leader.
	Self    ident.HostID
	Members []quorum.Member
	// Reached lists the members that answer.
	Reached map[ident.HostID]bool
	// Alive lists the control hosts that report to the leader.
	Alive []Host
	// Voters is the wanted number of voters.
	Voters int
}

// Keeper remembers since when members have been out of reach. Use it from one
// goroutine.
type Keeper struct {
	leadsFrom ident.Instant
	leads     bool
	lostFrom  map[ident.HostID]ident.Instant
}

// NewKeeper returns the keeper of a host that does not lead.
func NewKeeper() *Keeper { return &Keeper{lostFrom: make(map[ident.HostID]ident.Instant)} }

// Follow tells that this host does not lead.
func (k *Keeper) Follow() {
	k.leads = false
	clear(k.lostFrom)
}

// Change is one step: Join enters the group, in the place of Old if that is
// set; or Remove leaves it.
type Change struct {
	Remove  ident.HostID
	Join    ident.HostID
	Address string
	Old     ident.HostID
	// Reason is for the log.
	Reason string
}

// Next returns the step that is due, or false.
func (k *Keeper) Next(v View) (Change, bool) {
	if !k.leads {
		k.leads, k.leadsFrom = true, v.Now
	}
	for _, m := range v.Members {
		if _, lost := k.lostFrom[m.ID]; m.ID == v.Self || v.Reached[m.ID] {
			delete(k.lostFrom, m.ID)
		} else if !lost {
			k.lostFrom[m.ID] = v.Now
		}
	}
	if v.Now.Before(k.leadsFrom.Add(SettleTime)) {
		return Change{}, false
	}
	if pending(v.Members) {
		return k.abandon(v)
	}
	spares := spares(v)
	if c, ok := wiped(v, spares); ok {
		return c, true
	}
	if len(v.Members) < v.Voters && len(spares) > 0 {
		s := best(v, spares, "")
		return Change{
			Join:    s.ID,
			Address: s.Address,
			Reason:  "the group has too few voters",
		}, true
	}
	return k.lost(v, spares)
}

// pending reports whether an earlier step is not complete.
func pending(members []quorum.Member) bool {
	return slices.ContainsFunc(members, func(m quorum.Member) bool { return !m.Voter || m.Replaces != "" })
}

// abandon removes a learner that was lost before it could vote, since it would
// hold up all later steps.
func (k *Keeper) abandon(v View) (Change, bool) {
	for _, m := range v.Members {
		if from, lost := k.lostFrom[m.ID]; lost && !m.Voter && !v.Now.Before(from.Add(LostTime)) {
			return Change{
				Remove: m.ID,
				Reason: "a new member was lost before it could vote",
			}, true
		}
	}
	return Change{}, false
}

// spares returns the hosts that are alive and not members.
func spares(v View) []Host {
	var list []Host
	for _, h := range v.Alive {
		if !slices.ContainsFunc(v.Members, func(m quorum.Member) bool { return m.ID == h.ID }) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// wiped finds a host that came back at a member's address with an empty disk.
// The old member cannot come back.
func wiped(v View, spares []Host) (Change, bool) {
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

// lost finds a member that has been out of reach for long.
func (k *Keeper) lost(v View, spares []Host) (Change, bool) {
	if len(spares) == 0 {
		return Change{}, false
	}
	for _, m := range v.Members {
		from, lost := k.lostFrom[m.ID]
		if !lost || v.Now.Before(from.Add(LostTime)) {
			continue
		}
		s := best(v, spares, m.ID)
		return Change{
			Join:    s.ID,
			Address: s.Address,
			Old:     m.ID,
			Reason:  "a member is out of reach",
		}, true
	}
	return Change{}, false
}

// best returns the spare in the domain with the fewest members, so that the
// loss of a domain takes as few voters as possible.
func best(v View, spares []Host, old ident.HostID) Host {
	domains := make(map[string]ident.Domain, len(v.Alive))
	for _, h := range v.Alive {
		domains[h.Address] = h.Domain
	}
	count := make(map[ident.Domain]int)
	for _, m := range v.Members {
		if m.ID != old {
			count[domains[m.Address]]++
		}
	}
	return slices.MinFunc(spares, func(a, b Host) int { return count[a.Domain] - count[b.Domain] })
}
