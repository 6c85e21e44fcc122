package front

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// hostsPerGatherer is the number of entry hosts of a domain for which one
// gathers. Fewer gatherers know more of each upstream's state; one spends
// about a quarter of its processor on the queries of 8 hosts.
const hostsPerGatherer = 8

// peers is what this host knows of the gatherers. It is safe for concurrent use.
type peers struct {
	self   ident.HostID
	domain ident.Domain

	mu        sync.Mutex
	gatherers map[ident.Domain][]watch.Host
	good      map[ident.HostID]bool
	pace      map[ident.HostID]*pace
	// handed are the queries in progress at each gatherer.
	handed map[ident.HostID]map[*handed]bool
	// others is set once there are other domains, and aloneFrom since when
	// none of them is reached, as this host sees it or its gatherer does.
	others    bool
	gathers   bool
	aloneFrom time.Time
}

// aloneTime is how long no other domain must be reached until this host
// counts as cut off: two pings and their timeouts.
const aloneTime = 500 * time.Millisecond

// pace tells how quickly a gatherer answers pings.
type pace struct {
	smooth time.Duration
	// slowTo is until when it gets no queries since it was too slow. Without
	// queries it answers quickly again, however slow its processor is.
	slowTo time.Time
}

const (
	// paceSlow is the smoothed round trip above which a gatherer is overloaded.
	// Round trips within a domain take 1 to 2 ms, on a slowed host with its
	// queries 60 ms.
	paceSlow = 10 * time.Millisecond

	// paceHold is how long an overloaded gatherer gets no queries.
	paceHold = 3 * time.Second

	// paceRate is the weight of a new round trip.
	paceRate = 0.4
)

// handed is a query in progress at a gatherer.
type handed struct{ cancel context.CancelFunc }

func newPeers(self ident.HostID, domain ident.Domain) *peers {
	return &peers{
		self:   self,
		domain: domain,
		good:   make(map[ident.HostID]bool),
		pace:   make(map[ident.HostID]*pace),
		handed: make(map[ident.HostID]map[*handed]bool),
	}
}

// set takes a new roster and chooses the gatherers of each domain: those whose
// ids hash lowest, so that all hosts agree and few change with the roster.
func (p *peers) set(hosts []watch.Host) {
	domains := make(map[ident.Domain][]watch.Host)
	for _, h := range hosts {
		if h.Kind == watch.Entry {
			domains[h.Domain] = append(domains[h.Domain], h)
		}
	}
	for d, list := range domains {
		wanted := (len(list) + hostsPerGatherer - 1) / hostsPerGatherer
		list = slices.DeleteFunc(list, func(h watch.Host) bool { return h.Draining })
		slices.SortFunc(list, func(x, y watch.Host) int { return cmp.Compare(hashOf(string(x.ID)), hashOf(string(y.ID))) })
		domains[d] = list[:min(wanted, len(list))]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(domains) == 0 {
		return
	}
	p.others = len(domains) > 1
	p.gatherers = domains
	p.gathers = slices.ContainsFunc(domains[p.domain], func(h watch.Host) bool { return h.ID == p.self })
}

// count returns the number of gatherers and whether this host is one.
func (p *peers) count() (gatherers int, gathers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hosts := range p.gatherers {
		gatherers += len(hosts)
	}
	return gatherers, p.gathers
}

// heard notes what the gatherer of this domain says of its contact to others.
func (p *peers) heard(alone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.gathers {
		p.setAlone(alone)
	}
}

func (p *peers) setAlone(alone bool) {
	switch {
	case !alone:
		p.aloneFrom = time.Time{}
	case p.aloneFrom.IsZero():
		p.aloneFrom = time.Now()
	}
}

// isAlone reports whether this host is cut off from all other domains.
func (p *peers) isAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gathers {
		p.setAlone(p.others && !p.reaches())
	}
	return !p.aloneFrom.IsZero() && time.Since(p.aloneFrom) > aloneTime
}

// reaches reports whether a gatherer of another domain answers.
func (p *peers) reaches() bool {
	for d, hosts := range p.gatherers {
		if d != p.domain && slices.ContainsFunc(hosts, func(h watch.Host) bool { return p.good[h.ID] }) {
			return true
		}
	}
	return false
}

func hashOf(id string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(id))
	return f.Sum64()
}

// choose returns the gatherer of a domain for a request, or false if this
// host serves it itself.
func (p *peers) choose(d ident.Domain, id ident.RequestID) (watch.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.gatherers[d]
	if len(list) == 0 {
		return watch.Host{}, false
	}
	start := int(hashOf(string(id)) % uint64(len(list)))
	for i := range list {
		h := list[(start+i)%len(list)]
		if h.ID == p.self {
			return watch.Host{}, false
		}
		if p.good[h.ID] {
			return h, true
		}
	}
	return watch.Host{}, false
}

// elsewhere lists the other domains with a gatherer that answers.
func (p *peers) elsewhere() []ident.Domain {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ident.Domain
	for d, hosts := range p.gatherers {
		if d != p.domain && slices.ContainsFunc(hosts, func(h watch.Host) bool { return p.good[h.ID] }) {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// begin notes a query that is handed over; end must follow.
func (p *peers) begin(to ident.HostID, cancel context.CancelFunc) (end func()) {
	h := &handed{cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handed[to] == nil {
		p.handed[to] = make(map[*handed]bool)
	}
	p.handed[to][h] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.handed[to], h)
	}
}

// quick takes the round trip of a ping and reports whether the gatherer keeps up.
func (p *peers) quick(id ident.HostID, took time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.pace[id]
	if c == nil {
		c = &pace{smooth: took}
		p.pace[id] = c
	}
	c.smooth += time.Duration(paceRate * float64(took-c.smooth))
	now := time.Now()
	if now.Before(c.slowTo) {
		return false
	}
	if c.smooth > paceSlow {
		c.slowTo = now.Add(paceHold)
		c.smooth = paceSlow / 2
		return false
	}
	return true
}

// mark notes whether a gatherer takes queries.
func (p *peers) mark(id ident.HostID, good bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.good[id] != good
	p.good[id] = good
	return changed
}

// lose notes that a gatherer does not answer, and takes back the queries
// there. One that stops still finishes those that it has.
func (p *peers) lose(id ident.HostID) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.good[id]
	p.good[id] = false
	for h := range p.handed[id] {
		h.cancel()
	}
	return changed
}

// watched lists the hosts that this one has to watch: the gatherers of its
// domain and, if it is one of them, those of the others.
func (p *peers) watched() []watch.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.gatherers[p.domain]
	isSelf := func(h watch.Host) bool { return h.ID == p.self }
	if !slices.ContainsFunc(own, isSelf) {
		return slices.Clone(own)
	}
	var list []watch.Host
	for _, hosts := range p.gatherers {
		list = append(list, hosts...)
	}
	return slices.DeleteFunc(list, isSelf)
}
