// Package simul runs the real query engine against fake upstreams in virtual
// time and checks every reply. It is not a simulation of a whole cluster: entry
// hosts exchange only what they know of limits and crashes, and configuration
// changes apply to all of them at once. The scenarios (StragglerRun, OverloadRun,
// OutageRun, ReplicaFailureRun, RollRun, LimitRun, CrashRun) return one result
// each.
package simul

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// Index is the only index of a simulation.
const Index ident.Index = "review-panel"

// Setup has the size of a simulation and the faults of its upstreams.
type Setup struct {
	Seed     uint64
	Policy   engine.Policy
	Hosts    int
	Shards   int
	Replicas int
	// SlowPercent is the percentage of leaf calls that take SlowFactor times as
	// long.
	SlowPercent float64
	SlowFactor  float64
	// CorruptFraction is the probability that an upstream answer is corrupted:
	// replaced by that of another call, changed in one field, or delivered
	// twice.
	CorruptFraction float64
	// Record, if set, wraps the Step of each host's engine, for example to
	// record its events.
	Record func(host int, c engine.Config, step Step) Step
}

// Step is the type of engine.Engine.Step.
type Step func(now ident.Instant, ev engine.Event) []engine.Effect

// Driver runs a simulation. It owns the virtual time, the hosts and the leaves,
// and is not safe for concurrent use.
type Driver struct {
	Setup  Setup
	Rand   *rand.Rand
	State  *config.State
	Leaves []*Leaf
	Stats  Stats
	// OnReply, if set, is called with each reply and the arrival time of its
	// query; OnSend, if set, with each call to a leaf. Scenarios use them to
	// count only one period or one shard.
	OnReply func(submitted ident.Instant, r engine.Reply)
	OnSend  func(s engine.Send)

	now     ident.Instant
	queue   eventQueue
	seq     uint64
	hosts   []*host
	byID    map[ident.Upstream]*Leaf
	nextID  ident.QueryID
	pending map[ident.QueryID]*pendingQuery
	// owner divides the limits of the leaves.
	owner *quota.Owner
	// crashes are the times at which leaves crashed under a search for crashTerms.
	crashes []ident.Instant
}

// event is a function to call at a time. seq keeps events of equal times in the
// order in which they were added.
type event struct {
	at  ident.Instant
	seq uint64
	run func()
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }

func (h eventQueue) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventQueue) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// host is one entry host with its calls in flight.
type host struct {
	d            *Driver
	id           ident.HostID
	engine       *engine.Engine
	engineStep   Step
	domain       ident.Domain
	seat         engine.Seat
	draining     bool
	calls        map[ident.AttemptID]*call
	lastReport   ident.Instant
	spreader     *gossip.Spreader
	gossipAt     ident.Instant // of the next run of gossip
	lastAnswered *call         // last answered call; corrupt delivers its answer for another call
}

// New returns a driver whose hosts have the configuration and a seat, and have
// probed their upstreams.
func New(s Setup) *Driver {
	d := &Driver{
		Setup:   s,
		Rand:    rand.New(rand.NewPCG(s.Seed, 2)),
		State:   config.NewState(),
		byID:    map[ident.Upstream]*Leaf{},
		pending: map[ident.QueryID]*pendingQuery{},
		owner:   quota.NewOwner(),
		now:     1,
	}
	d.Change(config.SetSeats{Seats: seats})
	for i := range s.Shards {
		for j := range s.Replicas {
			d.addLeaf(i, j)
		}
	}
	for i := range max(1, s.Hosts) {
		c := engine.Config{
			Host:   ident.HostID(rune('a' + i)),
			Domain: domain(i),
			Seed:   s.Seed + uint64(i),
			Policy: s.Policy,
		}
		h := &host{
			d:      d,
			id:     c.Host,
			domain: domain(i),
			calls:  map[ident.AttemptID]*call{},
			engine: engine.NewEngine(c),
		}
		h.spreader = gossip.New(c.Seed)
		h.engineStep = h.engine.Step
		if s.Record != nil {
			h.engineStep = s.Record(i, c, h.engineStep)
		}
		d.hosts = append(d.hosts, h)
		h.step(engine.ConfigApplied{State: d.State})
		d.SetSeat(i, engine.SeatHeld)
	}
	for _, h := range d.hosts {
		var others []ident.HostID
		for _, o := range d.hosts {
			if o != h {
				others = append(others, o.id)
			}
		}
		h.spreader.SetHosts(d.now, others, nil)
	}
	d.Advance(10 * time.Millisecond)
	return d
}

func domain(i int) ident.Domain { return ident.Domain(rune('a' + i%2)) }

// Now returns the virtual time.
func (d *Driver) Now() ident.Instant { return d.now }

// After calls run when the virtual time has advanced by wait.
func (d *Driver) After(wait time.Duration, run func()) {
	d.seq++
	heap.Push(&d.queue, event{
		at:  d.now.Add(wait),
		seq: d.seq,
		run: run,
	})
}

// Advance moves the virtual time forward by span and runs all events that are
// due.
func (d *Driver) Advance(span time.Duration) {
	end := d.now.Add(span)
	for len(d.queue) > 0 && d.queue[0].at <= end {
		e := heap.Pop(&d.queue).(event)
		d.now = e.at
		e.run()
	}
	d.now = end
}

// Change applies a configuration change to all hosts. It panics if the change
// is not possible.
func (d *Driver) Change(c config.Change) {
	next, err := d.State.Apply(c)
	if err != nil {
		panic("scenario makes an impossible change: " + err.Error())
	}
	d.State = next
	for _, h := range d.hosts {
		h.step(engine.ConfigApplied{State: next})
	}
}

// Reapply delivers s, an earlier configuration, to a host once more.
func (d *Driver) Reapply(host int, s *config.State) {
	d.hosts[host%len(d.hosts)].step(engine.ConfigApplied{State: s})
}

// SetSeat changes the seat of a host.
func (d *Driver) SetSeat(host int, s engine.Seat) {
	h := d.hosts[host%len(d.hosts)]
	h.seat = s
	h.step(engine.SeatChanged{Seat: s})
}

// Drain starts the graceful shutdown of a host.
func (d *Driver) Drain(host int) {
	h := d.hosts[host%len(d.hosts)]
	h.draining = true
	h.step(engine.DrainStarted{})
}

// CancelQuery reports to the host of a query that the caller has disconnected.
// It does nothing if the query has its reply.
func (d *Driver) CancelQuery(id ident.QueryID) {
	if q := d.pending[id]; q != nil {
		q.host.step(engine.QueryCancelled{Query: id})
	}
}

// Submit sends one query to the next host in turn and returns its ID. A budget
// of 0 means the deadline of the class.
func (d *Driver) Submit(c preset.Class, budget time.Duration) ident.QueryID {
	return d.submit(c, budget, string(requestID(d.nextID+1)))
}

func (d *Driver) submit(c preset.Class, budget time.Duration, terms string) ident.QueryID {
	d.nextID++
	id := d.nextID
	h := d.hosts[int(id)%len(d.hosts)]
	d.trackQuery(h, id, c, budget)
	h.step(engine.QueryArrived{
		Query:   id,
		Request: requestID(id),
		Index:   Index,
		Class:   c,
		Terms:   terms,
		Budget:  budget,
	})
	return id
}

// Load sends queries of randomly chosen classes at rate per second for the
// given span, with exponentially distributed gaps.
func (d *Driver) Load(rate float64, span time.Duration, classes ...preset.Class) {
	end := d.now.Add(span)
	var next func()
	next = func() {
		if d.now >= end {
			return
		}
		d.Submit(classes[d.Rand.IntN(len(classes))], 0)
		d.After(time.Duration(d.Rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	d.Advance(span)
}

func (h *host) step(ev engine.Event) {
	for _, eff := range h.engineStep(h.d.now, ev) {
		switch eff := eff.(type) {
		case engine.Send:
			h.send(eff)
		case engine.Cancel:
			h.cancel(eff.Attempt)
		case engine.Reply:
			h.d.checkReply(eff)
		case engine.Probe:
			h.probe(eff.Upstream)
		case engine.Wake:
			h.d.After(eff.At.Sub(h.d.now), func() { h.step(engine.Ticked{}) })
		case engine.Report:
			h.report(eff)
		case engine.Tell:
			h.spread(eff.Fact)
		case engine.Warm:
		}
	}
}

// Retained returns, for each host, the query state that its engine still holds.
func (d *Driver) Retained() []engine.Retained {
	var all []engine.Retained
	for _, h := range d.hosts {
		all = append(all, h.engine.Retained())
	}
	return all
}
