// Package gather decides which entry hosts gather for their domain and which of
// those can be used: the ones that answer pings, take queries and keep up. It
// has no clock and does no I/O; use a Crew from one goroutine.
package gather

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// hostsPerGatherer is the number of entry hosts of a domain for which one
	// gathers. Fewer gatherers know more of each upstream's state; the
	// busiest used 0.06 of its 0.27 cores on hanbit-jt scale-2.
	hostsPerGatherer = 8

	// SlowPing is the smoothed round trip above which a gatherer is overloaded.
	// Round trips within a domain take 1 to 8 ms, on a slowed host with its
	// queries 60 ms.
	SlowPing = 25 * time.Millisecond

	// HoldTime is how long an overloaded gatherer gets no queries. Without
	// queries it answers quickly again, however slow its processor is.
	HoldTime = 3 * time.Second

	// AloneTime is how long no other domain must answer until this host counts
	// as cut off: two pings and their timeouts.
	AloneTime = 500 * time.Millisecond

	// domainMemory is how long a domain counts as one of the system's after the
	// last list with a host of it. The list of a host that is cut off together
	// with the control leader soon holds its own domain only.
	domainMemory = 30 * time.Second

	// pingWeight is the weight of a new round trip.
	pingWeight = 0.4
)

// Host is an entry host that is alive.
type Host struct {
	ID     ident.HostID
	Domain ident.Domain
	// Link is where other hosts reach it.
	Link     string
	Draining bool
}

// Ping is the result of one ping.
type Ping struct {
	Now ident.Instant
	// Answered is set if the host answered within Took.
	Answered bool
	Took     time.Duration
	// Open is set if the host takes queries.
	Open bool
	// Alone is set if the host reaches no other domain.
	Alone bool
}

// pace is what pings tell of a gatherer.
type pace struct {
	answers bool
	good    bool
	smooth  time.Duration
	slowTo  ident.Instant
}

// Crew is what one entry host knows of the gatherers.
type Crew struct {
	self   ident.HostID
	domain ident.Domain

	gatherers map[ident.Domain][]Host
	// helpers take shares of the queries of this host while it gathers.
	helpers []Host
	paces   map[ident.HostID]*pace
	gathers bool
	// listed is when each domain was last in the list of hosts.
	listed map[ident.Domain]ident.Instant
	// alone is set since aloneFrom if no other domain is reached, as this host
	// sees it or its gatherer does.
	alone     bool
	aloneFrom ident.Instant
}

// New returns the crew as an entry host sees it that knows no other host.
func New(self ident.HostID, domain ident.Domain) *Crew {
	return &Crew{
		self:   self,
		domain: domain,
		paces:  make(map[ident.HostID]*pace),
		listed: make(map[ident.Domain]ident.Instant),
	}
}

// Set takes the hosts that are alive and chooses the gatherers of each domain:
// those whose ids hash lowest, so that all hosts agree and few change with the
// list. The other hosts of a domain help one of its gatherers each. An empty
// list is ignored.
func (c *Crew) Set(now ident.Instant, hosts []Host) {
	if len(hosts) == 0 {
		return
	}
	// Domains that were known until now are remembered from now on.
	for d := range c.gatherers {
		c.listed[d] = now
	}
	domains := make(map[ident.Domain][]Host)
	for _, h := range hosts {
		domains[h.Domain] = append(domains[h.Domain], h)
	}
	c.helpers = nil
	for d, list := range domains {
		c.listed[d] = now
		wanted := (len(list) + hostsPerGatherer - 1) / hostsPerGatherer
		list = slices.DeleteFunc(list, func(h Host) bool { return h.Draining })
		slices.SortFunc(list, func(x, y Host) int { return cmp.Compare(Hash(string(x.ID)), Hash(string(y.ID))) })
		wanted = min(wanted, len(list))
		domains[d] = list[:wanted]
		if d != c.domain {
			continue
		}
		if own := slices.IndexFunc(domains[d], c.isSelf); own >= 0 {
			for i := wanted + own; i < len(list); i += wanted {
				c.helpers = append(c.helpers, list[i])
			}
		}
	}
	c.gatherers = domains
	c.gathers = slices.ContainsFunc(domains[c.domain], c.isSelf)
}

// Hash orders hosts and spreads requests.
func Hash(id string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}

func (c *Crew) isSelf(h Host) bool { return h.ID == c.self }

func (c *Crew) good(h Host) bool { return c.paces[h.ID] != nil && c.paces[h.ID].good }

func (c *Crew) pace(id ident.HostID) *pace {
	p := c.paces[id]
	if p == nil {
		p = &pace{}
		c.paces[id] = p
	}
	return p
}

// Choose returns the gatherer of a domain for a request, or false if this host
// serves it itself.
func (c *Crew) Choose(d ident.Domain, id ident.RequestID) (Host, bool) {
	list := c.gatherers[d]
	if len(list) == 0 {
		return Host{}, false
	}
	start := int(Hash(string(id)) % uint64(len(list)))
	for i := range list {
		h := list[(start+i)%len(list)]
		if c.isSelf(h) {
			return Host{}, false
		}
		if c.good(h) {
			return h, true
		}
	}
	return Host{}, false
}

// Elsewhere lists the other domains with a gatherer that can be used.
func (c *Crew) Elsewhere() []ident.Domain {
	var list []ident.Domain
	for d, hosts := range c.gatherers {
		if d != c.domain && slices.ContainsFunc(hosts, c.good) {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// Helpers lists the hosts that help this one and can be used.
func (c *Crew) Helpers() []ident.HostID {
	var list []ident.HostID
	for _, h := range c.helpers {
		if c.good(h) {
			list = append(list, h.ID)
		}
	}
	return list
}

// Helper returns one of the hosts that help this one.
func (c *Crew) Helper(id ident.HostID) (Host, bool) {
	i := slices.IndexFunc(c.helpers, func(h Host) bool { return h.ID == id })
	if i < 0 {
		return Host{}, false
	}
	return c.helpers[i], true
}

// Count returns the number of gatherers and whether this host is one.
func (c *Crew) Count() (gatherers int, gathers bool) {
	for _, hosts := range c.gatherers {
		gatherers += len(hosts)
	}
	return gatherers, c.gathers
}

// Watched lists the hosts to ping: the gatherers of this domain and, on one of
// them, those of the others and its helpers.
func (c *Crew) Watched() []Host {
	if !c.gathers {
		return slices.Clone(c.gatherers[c.domain])
	}
	list := slices.Clone(c.helpers)
	for _, hosts := range c.gatherers {
		list = append(list, hosts...)
	}
	return slices.DeleteFunc(list, c.isSelf)
}

// Pinged takes the result of a ping and reports whether the gatherer can be
// used now, and whether that has changed.
func (c *Crew) Pinged(h Host, ev Ping) (good, changed bool) {
	p := c.pace(h.ID)
	p.answers = ev.Answered
	if h.Domain == c.domain && ev.Answered && !c.gathers {
		c.setAlone(ev.Now, ev.Alone)
	}
	if p.smooth == 0 {
		p.smooth = ev.Took
	}
	p.smooth += time.Duration(pingWeight * float64(ev.Took-p.smooth))
	if p.smooth > SlowPing && ev.Now >= p.slowTo {
		p.slowTo, p.smooth = ev.Now.Add(HoldTime), SlowPing/2
	}
	good = ev.Answered && ev.Open && ev.Now >= p.slowTo
	changed, p.good = p.good != good, good
	return good, changed
}

// Lost notes that a gatherer did not answer a query, and reports whether it
// could be used before.
func (c *Crew) Lost(id ident.HostID) (changed bool) {
	p := c.pace(id)
	changed, p.good = p.good, false
	return changed
}

func (c *Crew) setAlone(now ident.Instant, alone bool) {
	if alone && !c.alone {
		c.aloneFrom = now
	}
	c.alone = alone
}

// Alone reports whether this host is cut off from all other domains. A
// gatherer that answers slowly is reached all the same.
func (c *Crew) Alone(now ident.Instant) bool {
	if c.gathers {
		c.setAlone(now, c.othersKnown(now) && !c.reaches())
	}
	return c.alone && now.Sub(c.aloneFrom) > AloneTime
}

// othersKnown reports whether the system has other domains.
func (c *Crew) othersKnown(now ident.Instant) bool {
	for d, at := range c.listed {
		if d != c.domain && (len(c.gatherers[d]) > 0 || now.Sub(at) < domainMemory) {
			return true
		}
	}
	return false
}

func (c *Crew) reaches() bool {
	for d, hosts := range c.gatherers {
		if d != c.domain && slices.ContainsFunc(hosts, func(h Host) bool { return c.pace(h.ID).answers }) {
			return true
		}
	}
	return false
}
