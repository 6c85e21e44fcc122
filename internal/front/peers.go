package front

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// peers shares a crew between goroutines and knows the queries that other
// hosts have in hand.
type peers struct {
	mu   sync.Mutex
	crew *gather.Selector
	// handed are the queries in progress at each gatherer.
	handed map[ident.HostID]map[*handed]bool
}

// handed is a query in progress at a gatherer.
type handed struct{ cancel context.CancelFunc }

func newPeers(self ident.HostID, domain ident.Domain) *peers {
	return &peers{
		crew:   gather.New(self, domain),
		handed: make(map[ident.HostID]map[*handed]bool),
	}
}

// set takes a new roster.
func (p *peers) set(now ident.Instant, roster []watch.Host) {
	hosts := make([]gather.Host, 0, len(roster))
	for _, h := range roster {
		if h.Kind == watch.Entry {
			hosts = append(hosts, gather.Host{
				ID:       h.ID,
				Domain:   h.Domain,
				Link:     h.Link,
				Draining: h.Draining,
			})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crew.SetHosts(now, hosts)
}

func (p *peers) choose(d ident.Domain, id ident.RequestID) (gather.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crew.Choose(d, id)
}

func (p *peers) watched() []gather.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crew.PingTargets()
}

func (p *peers) alone(now ident.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crew.Isolated(now)
}

// counts returns the hosts that share budgets and connections.
func (p *peers) counts(entries int) relay.Hosts {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := relay.Hosts{Count: entries}
	h.Gatherers, h.Gathers = p.crew.Count()
	return h
}

// gatherers returns where shards of a query can be handed.
func (p *peers) gatherers() relay.Gatherers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return relay.Gatherers{
		Domains: p.crew.OtherDomains(),
		Helpers: p.crew.Helpers(),
	}
}

func (p *peers) helper(id ident.HostID) (gather.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crew.Helper(id)
}

// pinged takes the result of a ping. The queries at a gatherer that does not
// answer are taken back; one that only stops still finishes those it has.
func (p *peers) pinged(h gather.Host, ev gather.Ping) (good, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ev.Answered {
		p.takeBack(h.ID)
	}
	return p.crew.RecordPing(h, ev)
}

// lose notes a gatherer that did not answer a query.
func (p *peers) lose(id ident.HostID) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeBack(id)
	return p.crew.MarkUnreachable(id)
}

func (p *peers) takeBack(id ident.HostID) {
	for h := range p.handed[id] {
		h.cancel()
	}
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

// lag shares a relay.Lag between goroutines.
type lag struct {
	mu  sync.Mutex
	lag *relay.Lag
}

func (l *lag) margin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag.Margin()
}

func (l *lag) learn(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag.Learn(late)
}
