package allot_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	pingInterval = 150 * time.Millisecond
	pingTimeout  = 320 * time.Millisecond
	// rosterDelay is how long a host must be out of reach until it is not listed.
	rosterDelay  = 3 * time.Second
	listInterval = 500 * time.Millisecond
)

var settings = allot.Config{
	Window:  5 * time.Second,
	Overage: 0.1,
	Slack:   20,
	Domains: 3,
}

// fleet is entry hosts in three domains, with callers of several accounts, in virtual
// time. A host is paused, cut off or restarted by setting its fields.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	events   queue
	hosts    []*host
	accounts []*customer
	// loss is the fraction of datagrams that are lost.
	loss float64
	// delay returns how long a datagram takes.
	delay func() time.Duration
	// notRun is the fraction of requests that are refused as not run after they were
	// counted.
	notRun float64
	roster []gather.Host
}

type host struct {
	fleet *fleet
	id    ident.HostID
	d     ident.Domain
	// run counts the processes of the host. What belongs to an earlier one is dropped.
	run         int
	down        bool
	pausedUntil time.Duration
	// side is the part of the network that it is on.
	side int
	// heard is when the roster last heard of it.
	heard time.Duration
	// behind is the time until which it has the earlier configuration.
	behind   time.Duration
	selector *gather.Selector
	owner    *allot.Owner
	holder   *allot.Holder
	pinged   map[ident.HostID]time.Duration // the last answer
}

// customer is an account with its callers.
type customer struct {
	limit allot.Limit
	// earlier is the limit at hosts with the earlier configuration.
	earlier allot.Limit
	demand  float64
	// domain is where all its callers are; empty means everywhere.
	domain ident.Domain
	// only, if set, is the host where all callers are.
	only     *host
	sent     []time.Duration
	entitled int
	lost     int
	refused  int
	// tokens is what a single bucket for all hosts would hold at the time at.
	tokens float64
	at     time.Duration
}

type event struct {
	at   time.Duration
	seq  int
	host *host
	run  int
	do   func()
}

type queue struct {
	list []event
	seq  int
}

func (q *queue) Len() int { return len(q.list) }
func (q *queue) Less(i, j int) bool {
	return q.list[i].at < q.list[j].at || q.list[i].at == q.list[j].at && q.list[i].seq < q.list[j].seq
}
func (q *queue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *queue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *queue) Pop() any {
	e := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return e
}

// newFleet returns hosts that have run for some seconds without callers.
func newFleet(seed uint64, hosts int, accounts []*customer) *fleet {
	f := &fleet{
		rng:      rand.New(rand.NewPCG(seed, 3)),
		accounts: accounts,
	}
	f.delay = func() time.Duration {
		return 2*time.Millisecond + time.Duration(f.rng.Int64N(int64(6*time.Millisecond)))
	}
	for i := range hosts {
		d := []ident.Domain{"a", "b", "c"}[i%3]
		f.hosts = append(f.hosts, &host{
			fleet: f,
			id:    ident.HostID(fmt.Sprintf("%s-%d", d, i/3)),
			d:     d,
		})
	}
	f.list()
	for _, h := range f.hosts {
		h.start()
	}
	for _, c := range accounts {
		c.tokens = c.limit.Burst
		f.arrive(c)
	}
	f.run(5 * time.Second)
	for _, c := range accounts {
		c.sent, c.entitled, c.lost, c.refused = nil, 0, 0, 0
	}
	return f
}

// at runs do on a host's process after d, once it is not paused; nil is for the world
// outside of all hosts.
func (f *fleet) at(d time.Duration, h *host, do func()) {
	e := event{
		at:   f.now + d,
		host: h,
		do:   do,
	}
	if h != nil {
		e.run = h.run
	}
	f.push(e)
}

func (f *fleet) push(e event) {
	f.events.seq++
	e.seq = f.events.seq
	heap.Push(&f.events, e)
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for f.events.list[0].at < end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		switch h := e.host; {
		case h == nil:
			e.do()
		case h.down || h.run != e.run:
		case f.now < h.pausedUntil:
			e.at = h.pausedUntil
			f.push(e)
		default:
			e.do()
		}
	}
	f.now = end
}

func (f *fleet) instant() ident.Instant { return ident.Instant(time.Hour + f.now) }

// list tells hosts on side 0 which hosts are alive: those that were within rosterDelay.
func (f *fleet) list() {
	var roster []gather.Host
	for _, h := range f.hosts {
		if h.side == 0 && !h.down && f.now >= h.pausedUntil {
			h.heard = f.now
		}
		if f.now-h.heard <= rosterDelay {
			roster = append(roster, gather.Host{
				ID:     h.id,
				Domain: h.d,
			})
		}
	}
	f.roster = roster
	for _, h := range f.hosts {
		if h.side == 0 && h.selector != nil {
			f.at(time.Duration(f.rng.Int64N(int64(300*time.Millisecond))), h, func() { h.selector.SetHosts(f.instant(), roster) })
		}
	}
	f.at(listInterval, nil, f.list)
}

// start starts a new process.
func (h *host) start() {
	f := h.fleet
	h.run++
	h.down = false
	h.selector = gather.New(h.id, h.d)
	h.selector.SetHosts(f.instant(), f.roster)
	h.owner = allot.NewOwner(settings, f.rng.Uint64())
	h.holder = allot.NewHolder(settings, f.rng.Uint64())
	h.pinged = make(map[ident.HostID]time.Duration)
	f.at(time.Duration(f.rng.Int64N(int64(pingInterval))), h, h.ping)
}

func (h *host) ping() {
	f := h.fleet
	for _, g := range h.selector.PingTargets() {
		to := f.host(g.ID)
		last, known := h.pinged[g.ID]
		switch {
		case !to.down && f.now >= to.pausedUntil && to.side == h.side:
			h.pinged[g.ID] = f.now
			h.selector.RecordPing(g, gather.Ping{
				Now:      f.instant(),
				Answered: true,
				Open:     true,
				Took:     5 * time.Millisecond,
			})
		case !known:
			h.pinged[g.ID] = f.now
		case f.now-last > pingTimeout:
			h.selector.RecordPing(g, gather.Ping{
				Now:  f.instant(),
				Took: f.now - last,
			})
		}
	}
	if h.selector.ReachesMost() {
		h.owner.Confirm(f.instant())
	}
	f.at(pingInterval, h, h.ping)
}

func (f *fleet) host(id ident.HostID) *host {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// send sends a datagram.
func (f *fleet) send(from, to *host, do func()) {
	if from.side == to.side && f.rng.Float64() >= f.loss {
		e := event{
			at:   f.now + f.delay(),
			host: to,
			run:  to.run,
			do:   do,
		}
		f.push(e)
	}
}

// arrive sends the next request of an account.
func (f *fleet) arrive(c *customer) {
	gap := 100 * time.Millisecond
	if c.demand > 0 {
		gap = time.Duration(f.rng.ExpFloat64() / c.demand * float64(time.Second))
	}
	f.at(min(gap, 24*time.Hour), nil, func() {
		f.arrive(c)
		if c.demand == 0 {
			return
		}
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		if c.only != nil {
			h = c.only
		}
		for c.only == nil && (h.down || c.domain != "" && h.d != c.domain) {
			h = f.hosts[f.rng.IntN(len(f.hosts))]
		}
		c.tokens = min(c.limit.Burst, c.tokens+(f.now-c.at).Seconds()*c.limit.Rate)
		c.at = f.now
		entitled := c.tokens >= 1
		if entitled {
			c.tokens--
			c.entitled++
		}
		f.at(0, h, func() {
			h.request(c, func(allowed bool, t allot.Token) {
				switch {
				case allowed:
					h.forward(c, t)
				case entitled:
					c.lost++
				default:
					c.refused++
				}
			})
		})
	})
}

// forward sends a request to an upstream, or returns it.
func (h *host) forward(c *customer, t allot.Token) {
	f := h.fleet
	if f.rng.Float64() >= f.notRun {
		f.at(time.Duration(f.rng.Int64N(int64(5*time.Millisecond))), h, func() { c.sent = append(c.sent, f.now) })
		return
	}
	f.at(time.Duration(f.rng.Int64N(int64(100*time.Millisecond))), h, func() {
		if to := f.host(t.Owner); h.holder.Returns(f.instant(), t) {
			f.send(h, to, func() { to.owner.Return(f.instant(), t.Account, t.Stamp, 1) })
		}
	})
}

// request decides about a request as front.allow does.
func (h *host) request(c *customer, done func(bool, allot.Token)) {
	f := h.fleet
	l := c.limit
	if f.now < h.behind {
		l = c.earlier
	}
	t, d, _, extra := h.holder.Take(f.instant(), l.Account)
	if d != allot.Undecided {
		done(d == allot.Allowed, t)
		return
	}
	wait := []time.Duration{20, 28, 66}[f.rng.IntN(3)] * time.Millisecond
	ended := false
	end := func(allowed bool, t allot.Token) {
		ended = true
		done(allowed, t)
	}
	owners := h.selector.AccountOwners(h.d, l.Account)
	ask := func(attempt int) {
		if ended || attempt >= len(owners) {
			return
		}
		to := f.host(owners[attempt].ID)
		sent := f.instant()
		take := func(a allot.Answer) {
			t := allot.Token{
				Account: l.Account,
				Owner:   to.id,
				Stamp:   a.Stamp,
				Sent:    sent,
			}
			switch {
			case a.Requests == 0 && !ended && attempt == 0:
				h.holder.Denied(f.instant(), l.Account, a.After)
				end(false, t)
			case a.Requests == 0:
			case ended:
				if h.holder.Returns(f.instant(), t) {
					f.send(h, to, func() { to.owner.Return(f.instant(), l.Account, a.Stamp, a.Requests) })
				}
			case h.holder.Granted(f.instant(), t, a.Requests):
				end(true, t)
			}
		}
		if to == h {
			take(h.answer(allot.Ask{
				Limit: l,
				Extra: extra,
			}))
			return
		}
		f.send(h, to, func() {
			a := to.answer(allot.Ask{
				Limit: l,
				Extra: extra,
			})
			run := h.run
			f.send(to, h, func() {
				if h.run == run {
					take(a)
				}
			})
		})
	}
	ask(0)
	f.at(wait*6/10, h, func() { ask(1) })
	f.at(wait, h, func() {
		if !ended {
			t, ok := h.holder.Local(f.instant(), l, h.selector.DomainHosts())
			end(ok, t)
		}
	})
}

// answer answers a host as the owner, and asks the owners of other domains for loans.
func (h *host) answer(a allot.Ask) allot.Answer {
	f := h.fleet
	account := a.Limit.Account
	out := h.owner.Ask(f.instant(), h.selector.LeadsAccount(f.instant(), account), a)
	b, ok := h.owner.Borrow(f.instant(), account)
	if !ok {
		return out
	}
	sent := f.instant()
	for _, d := range []ident.Domain{"a", "b", "c"} {
		owners := h.selector.AccountOwners(d, account)
		if len(owners) == 0 || owners[0].Self {
			continue
		}
		to := f.host(owners[0].ID)
		f.send(h, to, func() {
			loan := to.owner.Lend(f.instant(), to.selector.LeadsAccount(f.instant(), account), b)
			if loan > 0 {
				f.send(to, h, func() { h.owner.Lent(f.instant(), sent, account, loan) })
			}
		})
	}
	return out
}

// over returns by how much the fullest window of an account exceeds the bound; it is
// negative within it. Windows that begin before the time from do not count.
func (c *customer) over(from time.Duration) float64 {
	sort.Slice(c.sent, func(i, j int) bool { return c.sent[i] < c.sent[j] })
	most, first := 0, 0
	for i, t := range c.sent {
		for c.sent[first] <= t-settings.Window || c.sent[first] < from && first < i {
			first++
		}
		if t >= from {
			most = max(most, i-first+1)
		}
	}
	l := c.limit
	return float64(most) - ((l.Rate*settings.Window.Seconds()+l.Burst)*(1+settings.Overage) + settings.Slack)
}

// customers returns accounts with a Zipf distribution of demand, and limits of 1.6
// times that.
func customers(n int, total float64) []*customer {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var list []*customer
	for i := range n {
		demand := total * math.Pow(float64(i+1), -1.2) / sum
		list = append(list, &customer{
			demand: demand,
			limit: allot.Limit{
				Account: ident.Account(fmt.Sprint("account-", i)),
				Version: 1,
				Rate:    1.6 * demand,
				Burst:   max(1, 1.6*demand),
			},
		})
	}
	return list
}
