// Package gather decides which entry hosts are gatherers of their failure
// domain, that is, collect the parts of its queries, and which gatherers are
// usable: those that answer pings, accept queries and are not overloaded. It
// has no clock and does no I/O; a Selector is not safe for concurrent use.
package gather

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// hostsPerGatherer is the number of entry hosts of a domain per gatherer.
	// With fewer gatherers, each sees more of the calls to an upstream and
	// knows its state better. Under load the busiest gatherer used 0.06 of its
	// 0.27 cores.
	hostsPerGatherer = 8

	// SlowRoundTrip is the smoothed round trip above which a gatherer counts as
	// overloaded. Round trips within a domain take 1 to 8 ms; to a host with a
	// slow processor, while it handles its queries, they take 60 ms.
	SlowRoundTrip = 25 * time.Millisecond

	// EjectionTime is how long an overloaded gatherer is not used. A fast ping
	// does not end the ejection, since without queries even a host with a slow
	// processor answers pings quickly.
	EjectionTime = 3 * time.Second

	// IsolationDelay is how long all other domains must be unreachable until
	// this host counts as isolated: two pings and their timeouts.
	IsolationDelay = 500 * time.Millisecond

	// domainMemory is how long a domain is remembered after the last host list
	// that contains it. If a domain is cut off together with the control
	// leader, its host list soon contains no other domain; without the memory
	// its hosts would no longer count as isolated.
	domainMemory = 30 * time.Second

	// roundTripWeight is the weight of a new round trip in the moving average.
	roundTripWeight = 0.4
)

// Host is a live entry host.
type Host struct {
	ID     ident.HostID
	Domain ident.Domain
	// Link is the address at which other hosts reach it.
	Link     string
	Draining bool
}

// Ping is the result of one ping.
type Ping struct {
	Now ident.Instant
	// Answered is set if the host answered within the timeout.
	Answered bool
	// Took is the round trip, or the time waited if there was no answer.
	Took time.Duration
	// Open is set if the host accepts queries.
	Open bool
	// Isolated is set if the host reports that it reaches no other domain.
	Isolated bool
}

// hostState is what pings showed of a host.
type hostState struct {
	answered bool
	usable   bool
	// roundTrip is an exponentially weighted moving average.
	roundTrip time.Duration
	// ejectedUntil is when an overloaded host may be used again.
	ejectedUntil ident.Instant
	// lostAt is when the host stopped to answer.
	lostAt ident.Instant
}

// Selector is the view that one entry host has of the gatherers of all domains.
type Selector struct {
	self   ident.HostID
	domain ident.Domain

	gatherers map[ident.Domain][]Host
	// helpers are the hosts to which this host, if it is a gatherer, delegates
	// shards of its queries.
	helpers    []Host
	states     map[ident.HostID]*hostState
	isGatherer bool
	// lastListed is when each domain was last in the host list.
	lastListed map[ident.Domain]ident.Instant
	// isolated is set, since isolatedSince, while no other domain is reachable.
	// A gatherer finds this out itself; any other host learns it from the
	// answers of its domain's gatherers.
	isolated      bool
	isolatedSince ident.Instant
	// own is the number of entry hosts in this domain, ownSince when the gatherers
	// of this domain last changed.
	own      int
	ownSince ident.Instant
}

// New returns a Selector for the given entry host. It knows no other host yet.
func New(self ident.HostID, domain ident.Domain) *Selector {
	return &Selector{
		self:       self,
		domain:     domain,
		states:     make(map[ident.HostID]*hostState),
		lastListed: make(map[ident.Domain]ident.Instant),
	}
}

// SetHosts replaces the list of live hosts and chooses the gatherers of each
// domain: the hosts whose ids have the lowest hashes, so that all hosts agree
// and a change of the list changes few gatherers. Each of the other hosts of a
// domain helps one of its gatherers. An empty list is ignored.
func (s *Selector) SetHosts(now ident.Instant, hosts []Host) {
	if len(hosts) == 0 {
		return
	}
	// For a domain that is missing from the new list, domainMemory counts from
	// now.
	for d := range s.gatherers {
		s.lastListed[d] = now
	}
	domains := make(map[ident.Domain][]Host)
	for _, h := range hosts {
		domains[h.Domain] = append(domains[h.Domain], h)
	}
	s.helpers = nil
	for d, list := range domains {
		s.lastListed[d] = now
		live := len(list)
		wanted := (live + hostsPerGatherer - 1) / hostsPerGatherer
		list = slices.DeleteFunc(list, func(h Host) bool { return h.Draining })
		slices.SortFunc(list, func(x, y Host) int { return cmp.Compare(Hash(string(x.ID)), Hash(string(y.ID))) })
		wanted = min(wanted, len(list))
		domains[d] = list[:wanted]
		if d != s.domain {
			continue
		}
		s.own = live
		if own := slices.IndexFunc(domains[d], s.isSelf); own >= 0 {
			for i := wanted + own; i < len(list); i += wanted {
				s.helpers = append(s.helpers, list[i])
			}
		}
	}
	if !slices.EqualFunc(s.gatherers[s.domain], domains[s.domain], func(x, y Host) bool { return x.ID == y.ID }) {
		s.ownSince = now
	}
	s.gatherers = domains
	s.isGatherer = slices.ContainsFunc(domains[s.domain], s.isSelf)
}

// Hash returns the FNV-1a hash of an id. It orders the hosts of a domain and
// spreads requests over its gatherers.
func Hash(id string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}

func (s *Selector) isSelf(h Host) bool { return h.ID == s.self }

func (s *Selector) usable(h Host) bool { return s.states[h.ID] != nil && s.states[h.ID].usable }

func (s *Selector) state(id ident.HostID) *hostState {
	st := s.states[id]
	if st == nil {
		st = &hostState{}
		s.states[id] = st
	}
	return st
}

// Choose returns the gatherer of a domain that a request is delegated to. The
// hash of the request id decides in which order the gatherers are considered.
// Choose returns false if this host has to serve the request itself: it comes
// before all usable gatherers in that order, or none is usable.
func (s *Selector) Choose(d ident.Domain, id ident.RequestID) (Host, bool) {
	list := s.gatherers[d]
	if len(list) == 0 {
		return Host{}, false
	}
	start := int(Hash(string(id)) % uint64(len(list)))
	for i := range list {
		h := list[(start+i)%len(list)]
		if s.isSelf(h) {
			return Host{}, false
		}
		if s.usable(h) {
			return h, true
		}
	}
	return Host{}, false
}

// OtherDomains returns the other domains that have a usable gatherer, sorted.
func (s *Selector) OtherDomains() []ident.Domain {
	var list []ident.Domain
	for d, hosts := range s.gatherers {
		if d != s.domain && slices.ContainsFunc(hosts, s.usable) {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// Helpers returns the usable hosts that help this one.
func (s *Selector) Helpers() []ident.HostID {
	var list []ident.HostID
	for _, h := range s.helpers {
		if s.usable(h) {
			list = append(list, h.ID)
		}
	}
	return list
}

// Owner is the host that divides the limits of the upstreams in a domain.
type Owner struct {
	Host
	// Self is set if it is this host.
	Self bool
	// Before is the number of gatherers before it that do not answer pings.
	Before int
}

// Owner returns the host that divides the limits of the upstreams in a domain
// among all hosts: the first gatherer there that is not known to be unreachable.
// For a domain without gatherers it is that of the first domain that has some.
func (s *Selector) Owner(d ident.Domain) (Owner, bool) {
	if len(s.gatherers[d]) == 0 {
		found := false
		for other, hosts := range s.gatherers {
			if len(hosts) > 0 && (!found || other < d) {
				d, found = other, true
			}
		}
	}
	for i, h := range s.gatherers[d] {
		st := s.states[h.ID]
		if self := s.isSelf(h); self || st == nil || st.answered {
			return Owner{
				Host:   h,
				Self:   self,
				Before: i,
			}, true
		}
	}
	return Owner{}, false
}

// Helper returns the helper of this host with the given id, or false if it has
// no such helper.
func (s *Selector) Helper(id ident.HostID) (Host, bool) {
	i := slices.IndexFunc(s.helpers, func(h Host) bool { return h.ID == id })
	if i < 0 {
		return Host{}, false
	}
	return s.helpers[i], true
}

// Count returns the number of gatherers of all domains and whether this host is
// one of them.
func (s *Selector) Count() (gatherers int, isGatherer bool) {
	for _, hosts := range s.gatherers {
		gatherers += len(hosts)
	}
	return gatherers, s.isGatherer
}

// PingTargets returns the hosts that this host has to ping: the gatherers of its
// domain and, if it is a gatherer itself, also those of the other domains and
// its helpers.
func (s *Selector) PingTargets() []Host {
	if !s.isGatherer {
		return slices.Clone(s.gatherers[s.domain])
	}
	list := slices.Clone(s.helpers)
	for _, hosts := range s.gatherers {
		list = append(list, hosts...)
	}
	return slices.DeleteFunc(list, s.isSelf)
}

// RecordPing records the result of a ping and reports whether the host is usable
// now, and whether that has changed.
func (s *Selector) RecordPing(h Host, ev Ping) (usable, changed bool) {
	st := s.state(h.ID)
	if st.answered && !ev.Answered {
		st.lostAt = ev.Now
	}
	st.answered = ev.Answered
	if h.Domain == s.domain && ev.Answered && !s.isGatherer {
		s.setIsolated(ev.Now, ev.Isolated)
	}
	if st.roundTrip == 0 {
		st.roundTrip = ev.Took
	}
	st.roundTrip += time.Duration(roundTripWeight * float64(ev.Took-st.roundTrip))
	if st.roundTrip > SlowRoundTrip && ev.Now >= st.ejectedUntil {
		st.ejectedUntil, st.roundTrip = ev.Now.Add(EjectionTime), SlowRoundTrip/2
	}
	usable = ev.Answered && ev.Open && ev.Now >= st.ejectedUntil
	changed, st.usable = st.usable != usable, usable
	return usable, changed
}

// MarkUnreachable marks a host that did not answer a query as unusable until it
// answers a ping, and reports whether it was usable before.
func (s *Selector) MarkUnreachable(id ident.HostID) (changed bool) {
	st := s.state(id)
	changed, st.usable = st.usable, false
	return changed
}

func (s *Selector) setIsolated(now ident.Instant, isolated bool) {
	if isolated && !s.isolated {
		s.isolatedSince = now
	}
	s.isolated = isolated
}

// Isolated reports whether this host has been isolated from all other domains
// for longer than IsolationDelay. A gatherer that answers slowly counts as
// reachable.
func (s *Selector) Isolated(now ident.Instant) bool {
	if s.isGatherer {
		s.setIsolated(now, s.knowsOtherDomains(now) && !s.reachesOtherDomain())
	}
	return s.isolated && now.Sub(s.isolatedSince) > IsolationDelay
}

// knowsOtherDomains reports whether other domains have gatherers or were listed
// recently.
func (s *Selector) knowsOtherDomains(now ident.Instant) bool {
	for d, at := range s.lastListed {
		if d != s.domain && (len(s.gatherers[d]) > 0 || now.Sub(at) < domainMemory) {
			return true
		}
	}
	return false
}

func (s *Selector) reachesOtherDomain() bool {
	for d, hosts := range s.gatherers {
		if d != s.domain && slices.ContainsFunc(hosts, func(h Host) bool { return s.state(h.ID).answered }) {
			return true
		}
	}
	return false
}
