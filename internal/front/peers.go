package front

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// peers shares a gather.Selector between goroutines and tracks the queries that
// are in flight at other hosts.
type peers struct {
	mu       sync.Mutex
	selector *gather.Selector
	// delegated holds the queries in flight at each host.
	delegated map[ident.HostID]map[*delegatedQuery]bool
}

// delegatedQuery is a query in flight at another host; cancel ends the call.
type delegatedQuery struct{ cancel context.CancelFunc }

func newPeers(self ident.HostID, domain ident.Domain) *peers {
	return &peers{
		selector:  gather.New(self, domain),
		delegated: make(map[ident.HostID]map[*delegatedQuery]bool),
	}
}

// setRoster replaces the hosts to select from by the entry hosts of a roster.
func (p *peers) setRoster(now ident.Instant, roster []board.Host) {
	hosts := make([]gather.Host, 0, len(roster))
	for _, h := range roster {
		if h.Kind == board.Entry {
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
	p.selector.SetHosts(now, hosts)
}

func (p *peers) choose(d ident.Domain, id ident.RequestID) (gather.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Choose(d, id)
}

func (p *peers) pingTargets() []gather.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.PingTargets()
}

func (p *peers) isolated(now ident.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Isolated(now)
}

// hostCounts returns the numbers of hosts that share the retry budgets and the
// connections to upstreams.
func (p *peers) hostCounts(entries int) relay.Hosts {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := relay.Hosts{Count: entries}
	h.Gatherers, h.Gathers = p.selector.Count()
	return h
}

// gatherers returns the domains and helpers to which shards can be delegated.
func (p *peers) gatherers() relay.Gatherers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return relay.Gatherers{
		Domains: p.selector.OtherDomains(),
		Helpers: p.selector.Helpers(),
	}
}

// owner returns the host that divides the limits of a domain's upstreams.
func (p *peers) owner(d ident.Domain) (gather.Owner, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Owner(d)
}

// accountOwners returns the hosts of a domain that may keep the limit of an account, the
// preferred one first.
func (p *peers) accountOwners(d ident.Domain, a ident.Account) []gather.Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.AccountOwners(d, a)
}

func (p *peers) leadsAccount(now ident.Instant, a ident.Account) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.LeadsAccount(now, a)
}

func (p *peers) reachesMost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.ReachesMost()
}

func (p *peers) domainHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.DomainHosts()
}

func (p *peers) helper(id ident.HostID) (gather.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Helper(id)
}

// recordPing records the result of a ping. Queries at a host that does not
// answer are reclaimed; a host that is draining still finishes those it has.
func (p *peers) recordPing(h gather.Host, ev gather.Ping) (usable, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ev.Answered {
		p.reclaim(h.ID)
	}
	return p.selector.RecordPing(h, ev)
}

// markUnreachable records that a host did not answer a query and reclaims its
// other queries.
func (p *peers) markUnreachable(id ident.HostID) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reclaim(id)
	return p.selector.MarkUnreachable(id)
}

// reclaim cancels the calls in flight at a host, which ends their wait.
func (p *peers) reclaim(id ident.HostID) {
	for h := range p.delegated[id] {
		h.cancel()
	}
}

// track records a query as in flight at a host until untrack is called.
func (p *peers) track(to ident.HostID, cancel context.CancelFunc) (untrack func()) {
	h := &delegatedQuery{cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delegated[to] == nil {
		p.delegated[to] = make(map[*delegatedQuery]bool)
	}
	p.delegated[to][h] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.delegated[to], h)
	}
}

// sharedLag is a relay.Lag that is safe for concurrent use.
type sharedLag struct {
	mu  sync.Mutex
	lag *relay.Lag
}

func (l *sharedLag) margin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag.Margin()
}

func (l *sharedLag) learn(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag.Learn(late)
}
