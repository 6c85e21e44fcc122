package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// AccountOwners returns the hosts of a domain that may keep the limit of an account,
// the preferred one first: the gatherers that are not known to be unreachable, in the
// order of a hash of account and host. All hosts agree on it but for the time in which
// some have noticed that a gatherer is lost and others have not.
func (s *Selector) AccountOwners(d ident.Domain, a ident.Account) []Owner {
	var list []Owner
	for i, h := range s.accountOrder(d, a) {
		if s.isSelf(h) || s.mayAnswer(h) {
			list = append(list, Owner{
				Host:   h,
				Self:   s.isSelf(h),
				Before: i,
			})
		}
	}
	return list
}

// LeadsAccount returns how long this host has been the first of the owners of an account
// in its domain that is not known to be unreachable, 0 if it is not the first.
func (s *Selector) LeadsAccount(now ident.Instant, a ident.Account) time.Duration {
	since := s.ownSince
	for _, h := range s.accountOrder(s.domain, a) {
		switch {
		case s.isSelf(h):
			return max(0, now.Sub(since))
		case s.mayAnswer(h):
			return 0
		}
		since = max(since, s.states[h.ID].lostAt)
	}
	return 0
}

// mayAnswer reports whether a host is not known to be unreachable.
func (s *Selector) mayAnswer(h Host) bool { return s.states[h.ID] == nil || s.states[h.ID].answered }

func (s *Selector) accountOrder(d ident.Domain, a ident.Account) []Host {
	list := slices.Clone(s.gatherers[d])
	weight := func(h Host) uint64 { return xxhash.Sum64String(string(a) + "\x00" + string(h.ID)) }
	slices.SortFunc(list, func(x, y Host) int {
		return cmp.Or(cmp.Compare(weight(x), weight(y)), cmp.Compare(x.ID, y.ID))
	})
	return list
}

// ReachesMost reports whether this host is a gatherer and more than half of its domain
// answer its pings, judged by itself, the other gatherers and its helpers. A domain with
// few hosts has a single gatherer, which knows by its helpers that it is cut off.
func (s *Selector) ReachesMost() bool {
	list := slices.Concat(s.gatherers[s.domain], s.helpers)
	reached := 0
	for _, h := range list {
		if s.isSelf(h) || s.states[h.ID] != nil && s.states[h.ID].answered {
			reached++
		}
	}
	return s.isGatherer && 2*reached > len(list)
}

// DomainHosts returns the number of entry hosts in the domain of this host.
func (s *Selector) DomainHosts() int { return s.own }
