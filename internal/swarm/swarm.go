// Package swarm runs many entry hosts of the platform path in virtual time: their
// reducers for forwarding, for the limits of upstreams and for what they tell each
// other, against emulated upstreams that name limits, crash under one request,
// leave, and ask for pauses. Hosts are cut off from each other and restart. It
// checks the rules on that: an upstream gets no more than its limit tolerates, a
// request that has crashed three upstreams is sent to no other one, and an upstream
// is not called by a host that it has told that it leaves or wants a pause.
package swarm

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// touchTime is how long a host must have had no fault for its calls to count.
	touchTime = 4 * time.Second

	hop       = time.Millisecond
	workTime  = 15 * time.Millisecond
	crashTime = 3 * time.Second
	retryTime = 300 * time.Millisecond
	deadline  = time.Second
)

// Setup is the size of a run and its troubles.
type Setup struct {
	Seed   uint64
	Hosts  int
	Shards int
	// PerSecond is the rate of searches over all hosts.
	PerSecond float64
	// Popular is the share of the searches that ask one of three things.
	Popular float64
	// Limit is what one upstream of each of LimitedShards shards names, in calls
	// per second for all hosts together.
	Limit         float64
	LimitedShards int
	// LeavingShards is the number of shards of which one upstream leaves, at some
	// time. The list goes on showing it as ready.
	LeavingShards int
	// PausingShards is the number of shards whose upstreams turn away most calls, and
	// ask for pauses, for half of the run.
	PausingShards int
	// CrashersPerSecond is the rate of the request that crashes upstreams.
	CrashersPerSecond float64
	// Loss is the share of lost datagrams.
	Loss float64
	// Faults is the number of cuts and restarts.
	Faults int
	// Replicas and Domains are the number of upstreams for each shard, and of
	// failure domains; 0 for two.
	Replicas int
	Domains  int
	// Slots, if set, is how many calls an upstream runs at once. Further ones wait
	// in a queue of queueLength, and it rejects those beyond that.
	Slots int
	// MinShards is the share of the shards that an answer must have, 0 for 0.75.
	MinShards float64
	// Down is, for each replica, the number of shards whose upstream of that number is
	// down for the whole run, and Slow the same for upstreams that are slow.
	Down []int
	Slow []Slowness
	// Helpers is the number of helpers of each gatherer, 0 if no host delegates
	// queries. Hosts counts both. The first ones gather.
	Helpers int
	// HostDelay is the mean time after which a host handles an answer, exponentially
	// distributed: hosts have a part of a processor.
	HostDelay time.Duration
	// Flows are callers that come in addition to PerSecond.
	Flows []Flow
	// Deaf hosts do not see limits and hear nothing of other hosts, which breaks
	// both rules.
	Deaf bool
}

// Result counts what happened.
type Result struct {
	// Answered and Asked count the requests that crash no upstream; Blamed counts
	// those of them that were refused as if they did, and again when they came
	// again after retryTime.
	Answered, Asked, Blamed int
	Crashes                 int
	// Refused counts requests that were refused as not run, and Failed the others
	// that got no answer.
	Refused, Failed int
	// Untold counts the calls to leaving upstreams, from drainTime after they first
	// said so, by hosts that they had not told.
	Untold int
	// Calls counts the calls to upstreams with a limit, from touchTime after it was
	// named.
	Calls int
	// Flows are the results of Setup.Flows.
	Flows []FlowResult
	// Violations describes the first broken rules.
	Violations []string
}

// Swarm is one run.
type Swarm struct {
	setup     Setup
	rng       *rand.Rand
	now       ident.Instant
	queue     events
	seq       int
	hosts     []*host
	upstreams map[ident.Upstream]*upstream
	lastQuery ident.QueryID
	// retried are the requests that came again.
	retried map[blame.Print]bool
	crashes []ident.Instant
	// repeats counts calls for the crasher that reached upstreams too late.
	repeats int
	out     Result
}

type event struct {
	at  ident.Instant
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (s *Swarm) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{
		at:  s.now.Add(d),
		seq: s.seq,
		run: run,
	})
}

// Run plays a setup for a time.
func Run(setup Setup, total time.Duration) Result {
	s := &Swarm{
		setup:     setup,
		rng:       rand.New(rand.NewPCG(setup.Seed, 11)),
		upstreams: make(map[ident.Upstream]*upstream),
		retried:   make(map[blame.Print]bool),
	}
	table := s.document()
	for i := range setup.Hosts {
		h := &host{
			swarm: s,
			index: i,
			table: table,
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.planNotices(total)
	s.send(setup.PerSecond, blame.Print{}, total)
	s.send(setup.CrashersPerSecond, crasher, total)
	s.sendFlows()

	for range setup.Faults {
		s.after(time.Duration(s.rng.Int64N(int64(total))), s.fault)
	}
	for end := s.now.Add(total + deadline); len(s.queue) > 0 && s.queue[0].at < end; {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.out.Crashes = len(s.crashes)
	if s.repeats > 3*setup.Shards {
		s.violate("the crasher reached upstreams %d times more, %s after the third crash", s.repeats, touchTime)
	}
	return s.out
}

// crasher identifies the request that crashes upstreams.
var crasher = blame.PrintOf(nil, "crasher")

// send plans requests at a rate.
func (s *Swarm) send(perSecond float64, print blame.Print, total time.Duration) {
	if perSecond == 0 {
		return
	}
	for at := time.Duration(0); ; {
		at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > total {
			return
		}
		s.after(at, func() { s.hosts[s.rng.IntN(len(s.hosts))].arrive(print) })
	}
}

// retry sends a request again that was refused as if it crashed upstreams.
func (s *Swarm) retry(p blame.Print) {
	if s.retried[p] {
		s.out.Blamed++
		return
	}
	s.retried[p] = true
	s.after(retryTime, func() { s.hosts[s.rng.IntN(len(s.hosts))].arrive(p) })
}

// fault restarts a host, or cuts some hosts off from the others for a time.
func (s *Swarm) fault() {
	if s.rng.IntN(2) == 0 {
		s.hosts[s.rng.IntN(len(s.hosts))].start()
		return
	}
	span := time.Duration(1+s.rng.IntN(5)) * time.Second
	for _, h := range s.hosts {
		if s.rng.IntN(4) == 0 && !h.cut {
			h.cut = true
			s.after(span, func() { h.cut, h.faultAt = false, s.now })
		}
	}
}

func (s *Swarm) violate(format string, args ...any) {
	if len(s.out.Violations) < 10 {
		s.out.Violations = append(s.out.Violations, fmt.Sprintf("%s: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
	}
}

func (s *Swarm) document() *rules.Table {
	d := &rules.Document{
		Version:     1,
		RequiresKey: s.setup.Slots > 0, // controls admission
	}
	route := rules.Route{
		Name:             "search",
		Host:             "a.example",
		Prefix:           "/search/",
		Kind:             rules.Idempotent,
		Timeout:          deadline,
		Target:           100 * time.Millisecond,
		Attempts:         2,
		TopK:             3,
		MinShardFraction: 0.75,
	}
	for i := range s.setup.Shards {
		name := ident.Service(fmt.Sprintf("shard-%d", i))
		route.Shards = append(route.Shards, name)
		d.Services = append(d.Services, rules.Service{
			Name:           name,
			MaxConnections: 4000,
		})
		for j := range s.replicas() {
			u := &upstream{
				swarm:  s,
				toldAt: make(map[*host]ident.Instant),
				told:   make(map[*host]told),
				entry: relay.Upstream{
					ID:      upstreamID(i, j),
					Service: name,
					Address: fmt.Sprintf("%s-%d:1", name, j),
					Domain:  s.domainOf(j),
					Slots:   s.slots(),
				},
			}
			if i < s.setup.LimitedShards && j == 0 {
				u.limit = s.setup.Limit
			}
			s.upstreams[u.entry.ID] = u
		}
	}
	d.Routes = []rules.Route{route}
	s.addLoadRoutes(d)
	return rules.NewTable(d)
}

func upstreamID(shard, replica int) ident.Upstream {
	return ident.Upstream(fmt.Sprintf("shard-%d-%d", shard, replica))
}

func (s *Swarm) domainOf(i int) ident.Domain {
	return ident.Domain(rune('a' + i%max(2, s.setup.Domains)))
}

func (s *Swarm) replicas() int { return max(2, s.setup.Replicas) }

func (s *Swarm) extra() budget.Config {
	return budget.Config{
		Ratio:  0.2,
		Slack:  100,
		Window: 10 * time.Second,
	}
}

// owner is the host that divides the limits of a domain: the first one there.
func (s *Swarm) owner(d ident.Domain) *host {
	for _, h := range s.hosts {
		if h.domain() == d {
			return h
		}
	}
	return s.hosts[0]
}

func (s *Swarm) lost(from, to *host) bool {
	return from.cut != to.cut || s.rng.Float64() < s.setup.Loss
}

// host is one entry host.
type host struct {
	swarm  *Swarm
	index  int
	table  *rules.Table
	engine *relay.Engine
	owner  *quota.Owner
	gossip *gossip.Spreader
	// life counts the starts; what belongs to an earlier one is dropped.
	life    int
	cut     bool
	faultAt ident.Instant
	wakeAt  ident.Instant
	gossips ident.Instant
	prints  map[ident.QueryID]blame.Print
	// visits are the queries of Setup.Flows in progress here.
	visits map[ident.QueryID]*visit
	// subs are the queries in progress here that other hosts have delegated.
	subs map[ident.QueryID]*sub
}

func (h *host) domain() ident.Domain { return h.swarm.domainOf(h.index) }

func (h *host) id() ident.HostID { return ident.HostID(fmt.Sprint(h.index)) }

// start starts the host, or restarts it without what it knew.
func (h *host) start() {
	s := h.swarm
	h.life++
	h.faultAt, h.wakeAt, h.gossips = s.now, 0, 0
	h.prints = make(map[ident.QueryID]blame.Print)
	h.visits = make(map[ident.QueryID]*visit)
	h.subs = make(map[ident.QueryID]*sub)
	h.engine = relay.New(relay.Config{
		Domain: h.domain(),
		Hosts:  s.setup.Hosts,
		Extra:  s.extra(),
		Seed:   s.rng.Uint64(),
	})
	h.owner, h.gossip = quota.NewOwner(), gossip.New(s.rng.Uint64())
	var others []ident.HostID
	for i := range s.setup.Hosts {
		if i != h.index {
			others = append(others, ident.HostID(fmt.Sprint(i)))
		}
	}
	h.gossip.SetHosts(s.now, others, nil)
	h.step(relay.Install{
		Now:   s.now,
		Table: h.table,
	})
	var list []relay.Upstream
	for i := range s.setup.Shards {
		for j := range s.replicas() {
			list = append(list, s.upstreams[upstreamID(i, j)].entry)
		}
	}
	h.step(relay.Listed{
		Now:       s.now,
		Upstreams: list,
	})
	h.step(relay.Hosts{
		Now:       s.now,
		Count:     s.setup.Hosts,
		Gatherers: s.gatherers(),
		Gathers:   h.index < s.gatherers(),
	})
	h.meetOthers()
	h.sendGossip()
}

// inTouch reports whether the calls of the host count.
func (h *host) inTouch() bool { return !h.cut && h.swarm.now.Sub(h.faultAt) >= touchTime }

func (h *host) arrive(print blame.Print) {
	s := h.swarm
	s.lastQuery++
	if print == (blame.Print{}) {
		s.out.Asked++
		asks := fmt.Sprint(s.lastQuery)
		if s.rng.Float64() < s.setup.Popular {
			asks = fmt.Sprint("popular", s.rng.IntN(3))
		}
		print = blame.PrintOf(nil, asks)
	}
	h.prints[s.lastQuery] = print
	h.step(relay.Arrive{
		Now:     s.now,
		Query:   s.lastQuery,
		Host:    "a.example",
		Path:    "/search/x",
		Request: ident.RequestID(fmt.Sprint(s.lastQuery)),
		Print:   print,
		Limit:   deadline,
	})
}

// step passes an event to the engine and carries out the effects.
func (h *host) step(ev relay.Event) {
	s := h.swarm
	for _, f := range h.engine.Step(ev) {
		if h.endVisit(f) || h.endSub(f) {
			continue
		}
		switch f := f.(type) {
		case relay.Call:
			h.call(f)
		case relay.Merge:
			if h.prints[f.Query] != crasher {
				s.out.Answered++
			}
			delete(h.prints, f.Query)
		case relay.Refuse:
			if p := h.prints[f.Query]; p != crasher && f.Reason == relay.CrasherReason {
				s.retry(p)
			} else if p != crasher && f.Status == relay.NotNow {
				s.out.Refused++
			} else if p != crasher {
				s.out.Failed++
			}
			delete(h.prints, f.Query)
		case relay.Report:
			h.report(f)
		case relay.Broadcast:
			h.gossip.Spread(s.now, f.Fact)
			h.sendGossip()
		case relay.Pass, relay.Stop, relay.Delegate, relay.Abandon, relay.Keep, relay.Drop, relay.Eject, relay.Limit, relay.Departure, relay.Pause, relay.Paced, relay.Withheld, relay.Suspicion:
		}
	}
	if next, ok := h.engine.Next(); ok && (h.wakeAt <= s.now || next < h.wakeAt) {
		h.wakeAt = max(next, s.now.Add(time.Millisecond))
		h.later(h.wakeAt.Sub(s.now), func() { h.step(relay.Tick{Now: s.now}) })
	}
}

// later runs a function after a time, unless the host has restarted by then.
func (h *host) later(d time.Duration, run func()) {
	life := h.life
	h.swarm.after(d, func() {
		if life == h.life {
			run()
		}
	})
}

func (h *host) call(c relay.Call) {
	s := h.swarm
	life, print, work := h.life, h.prints[c.Query], workTime
	if f := h.flowOf(c.Query); f != nil {
		work = f.Work
	}
	s.after(hop, func() {
		s.upstreams[c.Upstream.ID].serve(h, print, work, func(ev relay.Ended) {
			s.atHost(func() {
				if life == h.life {
					ev.Now, ev.Attempt = s.now, c.Attempt
					h.step(ev)
				}
			})
		})
	})
}

// report sends a demand to the owner of the limits, and the grants back.
func (h *host) report(r relay.Report) {
	s := h.swarm
	to, sentAt := s.owner(r.Domain), s.now
	if to != h && s.lost(h, to) {
		return
	}
	h.later(hop, func() {
		grants := to.owner.Report(s.now, h.id(), quota.Fleet{Hosts: s.setup.Hosts}, r.Demands)
		if to != h && s.lost(to, h) {
			return
		}
		h.later(hop, func() {
			h.step(relay.Granted{
				Now:    s.now,
				Sent:   sentAt,
				Domain: r.Domain,
				Grants: grants,
			})
		})
	})
}

// sendGossip sends the messages that are due, and again when the next are.
func (h *host) sendGossip() {
	s := h.swarm
	for _, m := range h.gossip.Due(s.now) {
		h.send(m)
	}
	if next, ok := h.gossip.Next(); ok && (h.gossips <= s.now || next < h.gossips) {
		h.gossips = next
		h.later(next.Sub(s.now), h.sendGossip)
	}
}

func (h *host) send(m gossip.Message) {
	s := h.swarm
	var to int
	if _, err := fmt.Sscan(string(m.To), &to); err != nil || s.setup.Deaf || s.lost(h, s.hosts[to]) {
		return
	}
	other := s.hosts[to]
	other.later(hop, func() {
		other.step(relay.FactsReceived{
			Now:   s.now,
			Facts: m.Facts,
		})
		if m.Pull {
			other.send(gossip.Message{
				To:    h.id(),
				Facts: other.gossip.Facts(),
			})
		}
	})
}
