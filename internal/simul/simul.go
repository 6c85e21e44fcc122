// Package simul runs the real engine against fake upstreams in virtual time.
// It is not a cluster simulator: entry hosts do not talk to each other, and
// configuration reaches them directly. Each scenario returns a typed result.
package simul

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Index is the one index of a driven deployment.
const Index ident.Index = "review-panel"

// Setup sizes a driven deployment.
type Setup struct {
	Seed     uint64
	Policy   engine.Policy
	Hosts    int
	Shards   int
	Replicas int
	// SlowPercent of the leaf calls take SlowFactor times as long.
	SlowPercent float64
	SlowFactor  float64
	// Wrong is the chance that an answer is crossed, doubled or lies.
	Wrong float64
	// Record, if set, gives the Step that takes the place of a host's own, for
	// example one that records its events.
	Record func(host int, c engine.Config, step Step) Step
}

// Step is the Step of an engine.
type Step func(now ident.Instant, ev engine.Event) []engine.Effect

// Driver holds virtual time, the hosts and the leaves.
type Driver struct {
	Setup  Setup
	Rand   *rand.Rand
	State  *config.State
	Leaves []*Leaf
	Stats  Stats
	// Replied and Sent, if set, see each answer and each call. They serve
	// scenarios that count one period or one shard only.
	Replied func(asked ident.Instant, r engine.Reply)
	Sent    func(s engine.Send)

	now    ident.Instant
	queue  events
	seq    uint64
	hosts  []*host
	byID   map[ident.Upstream]*Leaf
	nextID ident.QueryID
	asked  map[ident.QueryID]*asked
}

// event is a function to call at a time; seq keeps equal times in order.
type event struct {
	at  ident.Instant
	seq uint64
	run func()
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// host is one entry host with its calls in flight.
type host struct {
	d        *Driver
	engine   *engine.Engine
	decide   Step
	domain   ident.Domain
	seat     engine.Seat
	draining bool
	calls    map[ident.AttemptID]*call
	last     *call // last answered call, for crossed answers
}

// New returns a driver with every host configured, seated and informed.
func New(s Setup) *Driver {
	d := &Driver{
		Setup: s,
		Rand:  rand.New(rand.NewPCG(s.Seed, 2)),
		State: config.NewState(),
		byID:  map[ident.Upstream]*Leaf{},
		asked: map[ident.QueryID]*asked{},
		now:   1,
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
			domain: domain(i),
			calls:  map[ident.AttemptID]*call{},
			engine: engine.NewEngine(c),
		}
		h.decide = h.engine.Step
		if s.Record != nil {
			h.decide = s.Record(i, c, h.decide)
		}
		d.hosts = append(d.hosts, h)
		h.step(engine.ConfigApplied{State: d.State})
		d.Seat(i, engine.SeatHeld)
	}
	d.Run(10 * time.Millisecond)
	return d
}

func domain(i int) ident.Domain { return ident.Domain(rune('a' + i%2)) }

// Now returns the virtual time.
func (d *Driver) Now() ident.Instant { return d.now }

// After calls run when wait has passed.
func (d *Driver) After(wait time.Duration, run func()) {
	d.seq++
	heap.Push(&d.queue, event{
		at:  d.now.Add(wait),
		seq: d.seq,
		run: run,
	})
}

// Run lets the given time pass.
func (d *Driver) Run(span time.Duration) {
	end := d.now.Add(span)
	for len(d.queue) > 0 && d.queue[0].at <= end {
		e := heap.Pop(&d.queue).(event)
		d.now = e.at
		e.run()
	}
	d.now = end
}

// Change applies one change of the configuration to all hosts.
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

// Reapply delivers an earlier configuration to a host, late.
func (d *Driver) Reapply(host int, s *config.State) {
	d.hosts[host%len(d.hosts)].step(engine.ConfigApplied{State: s})
}

// Seat changes the seat of a host.
func (d *Driver) Seat(host int, s engine.Seat) {
	h := d.hosts[host%len(d.hosts)]
	h.seat = s
	h.step(engine.SeatChanged{Seat: s})
}

// Drain shuts a host down.
func (d *Driver) Drain(host int) {
	h := d.hosts[host%len(d.hosts)]
	h.draining = true
	h.step(engine.DrainStarted{})
}

// HangUp lets the caller of a query go away, if the query still runs.
func (d *Driver) HangUp(id ident.QueryID) {
	if q := d.asked[id]; q != nil {
		q.host.step(engine.QueryCancelled{Query: id})
	}
}

// Ask sends one query to a host, in turn, and returns its number.
func (d *Driver) Ask(c preset.Class, budget time.Duration) ident.QueryID {
	d.nextID++
	id := d.nextID
	h := d.hosts[int(id)%len(d.hosts)]
	d.expect(h, id, c, budget)
	h.step(engine.QueryArrived{
		Query:   id,
		Request: request(id),
		Index:   Index,
		Class:   c,
		Terms:   string(request(id)),
		Budget:  budget,
	})
	return id
}

// Load asks queries of the given classes, chosen by chance, at rate per
// second with random gaps for the given span.
func (d *Driver) Load(rate float64, span time.Duration, classes ...preset.Class) {
	end := d.now.Add(span)
	var next func()
	next = func() {
		if d.now >= end {
			return
		}
		d.Ask(classes[d.Rand.IntN(len(classes))], 0)
		d.After(time.Duration(d.Rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	d.Run(span)
}

func (h *host) step(ev engine.Event) {
	for _, eff := range h.decide(h.d.now, ev) {
		switch eff := eff.(type) {
		case engine.Send:
			h.send(eff)
		case engine.Cancel:
			h.cancel(eff.Attempt)
		case engine.Reply:
			h.d.check(eff)
		case engine.Probe:
			h.probe(eff.Upstream)
		case engine.Wake:
			h.d.After(eff.At.Sub(h.d.now), func() { h.step(engine.Ticked{}) })
		case engine.Warm:
		}
	}
}

// Retained returns the state of queries that each host holds.
func (d *Driver) Retained() []engine.Retained {
	var all []engine.Retained
	for _, h := range d.hosts {
		all = append(all, h.engine.Retained())
	}
	return all
}
