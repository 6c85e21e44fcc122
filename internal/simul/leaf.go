package simul

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Mode is how a leaf responds to calls and health probes.
type Mode uint8

// The modes of a leaf.
const (
	// Up leaves serve calls and report that they are ready.
	Up Mode = iota
	// Refusing leaves refuse calls and probes.
	Refusing
	// Unresponsive leaves reply to no call or probe.
	Unresponsive
	// Draining leaves reject calls and report that they are draining.
	Draining
	// Misleading leaves fail every call but report that they are ready.
	Misleading
	// Cold leaves serve calls and report that they are cold.
	Cold
)

// Leaf is a fake upstream.
type Leaf struct {
	ID    ident.Upstream
	Mode  Mode
	Slow  float64 // factor on every service time; 0 means 1
	Held  map[ident.Shard][]ident.IndexVersion
	Calls int
	// PerSecond is the limit for all hosts together that answers name; 0 is none.
	PerSecond float64

	d       *Driver
	rate    rateCheck
	domain  ident.Domain
	running int
	waiting []*call
	retired bool // the configuration of all hosts has it as retired
}

// call is an attempt in transit, or queued or running on a leaf.
type call struct {
	engine.Send
	h        *host
	leaf     *Leaf
	resolved bool // the host has received a result; cancelled calls end as Broken
	started  bool
}

func (d *Driver) addLeaf(i, j int) {
	shard := ShardName(i)
	l := &Leaf{
		ID:   ident.Upstream(fmt.Sprintf("u%03d-%d", i, j)),
		Held: map[ident.Shard][]ident.IndexVersion{shard: {1}},
		d:    d,

		domain: domain(j),
	}
	d.Leaves = append(d.Leaves, l)
	d.byID[l.ID] = l
	d.Change(config.AddUpstream{Upstream: config.Upstream{
		ID:        l.ID,
		Address:   "127.0.0.1:1",
		Domain:    domain(j),
		Index:     Index,
		Service:   ident.Service(fmt.Sprintf("s%03d", i)),
		Shards:    []ident.Shard{shard},
		Slots:     leafSlots,
		ConnLimit: connLimit,
	}})
}

// ShardName returns the name of shard i, for i below 200.
func ShardName(i int) ident.Shard { return shardNames[i] }

// shardNames caches the names: formatting them on each use took most of the run
// time of a simulation.
var shardNames = func() (names [maxShards]ident.Shard) {
	for i := range names {
		names[i] = ident.Shard(fmt.Sprintf("%s/%03d", Index, i))
	}
	return names
}()

func (h *host) send(s engine.Send) {
	d := h.d
	l := d.byID[s.Upstream]
	c := &call{
		Send: s,
		h:    h,
		leaf: l,
	}
	h.calls[s.Attempt] = c
	d.checkSend(s, l)
	d.After(s.Remaining, func() { c.fail(engine.TimedOut) })
	d.After(hopDelay, func() { l.receive(c) })
}

func (l *Leaf) receive(c *call) {
	if c.resolved {
		return
	}
	l.Calls++
	l.rate.arrived(l, c.h)
	versions, holds := l.Held[c.Shard]
	switch {
	case l.Mode == Unresponsive:
	case l.Mode == Refusing:
		c.failAfterHop(engine.Refused)
	case l.Mode == Misleading:
		c.failAfterHop(engine.Broken)
	case l.Mode == Draining:
		c.failAfterHop(engine.Draining)
	case !holds:
		c.failAfterHop(engine.WrongShard)
	case !slices.Contains(versions, c.Version):
		c.failAfterHop(engine.VersionGone)
	case l.running < leafSlots:
		l.start(c)
	case len(l.waiting) < leafQueueLimit:
		l.waiting = append(l.waiting, c)
	default:
		c.failAfterHop(engine.Shed)
	}
}

func (l *Leaf) start(c *call) {
	l.running++
	c.started = true
	if c.Terms == crashTerms {
		l.d.After(crashDelay, func() { l.crash(c) })
		return
	}
	took := serviceTime + time.Duration(l.d.Rand.ExpFloat64()*float64(serviceSpread))
	if l.d.Rand.Float64()*100 < l.d.Setup.SlowPercent {
		took = time.Duration(float64(took) * l.d.Setup.SlowFactor)
	}
	if l.Slow > 0 {
		took = time.Duration(float64(took) * l.Slow)
	}
	l.d.After(took, func() {
		if !c.started {
			return // cancelled
		}
		l.finish(c)
		if l.Mode != Unresponsive && l.Mode != Refusing {
			l.d.After(hopDelay, func() { c.deliverAnswer() })
		}
	})
}

// finish frees the slot of c and starts the next queued call that is not
// resolved yet.
func (l *Leaf) finish(c *call) {
	c.started = false
	l.running--
	for len(l.waiting) > 0 && l.running < leafSlots {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		if !next.resolved {
			l.start(next)
		}
	}
}

func (h *host) cancel(id ident.AttemptID) {
	c := h.calls[id]
	if c == nil || c.resolved {
		return
	}
	h.d.After(hopDelay, func() {
		c.leaf.waiting = slices.DeleteFunc(c.leaf.waiting, func(o *call) bool { return o == c })
		if c.started {
			c.leaf.finish(c)
		}
	})
	h.d.After(0, func() { c.fail(engine.Broken) })
}

// resolve removes c from the calls in flight. It returns false if c was
// resolved before.
func (c *call) resolve() bool {
	if c.resolved {
		return false
	}
	c.resolved = true
	delete(c.h.calls, c.Attempt)
	return true
}

func (c *call) fail(kind engine.FailKind) {
	if !c.resolve() {
		return
	}
	c.h.step(engine.AttemptFailed{
		Attempt: c.Attempt,
		Kind:    kind,
		Held:    c.leaf.heldVersions(),
	})
}

func (c *call) failAfterHop(kind engine.FailKind) { c.leaf.d.After(hopDelay, func() { c.fail(kind) }) }

func (c *call) deliverAnswer() {
	d := c.leaf.d
	if !c.resolve() {
		return
	}
	ev := engine.AttemptAnswered{
		Attempt: c.Attempt,
		Answer:  c.newAnswer(),
	}
	if d.Setup.CorruptFraction > 0 && d.Rand.Float64() < d.Setup.CorruptFraction {
		d.corrupt(c, &ev)
	}
	c.h.lastAnswered = c
	c.leaf.rate.told(c.leaf, c.h)
	c.h.step(ev)
}

// corrupt replaces an answer by that of another call, changes one field and the
// documents to match, or delivers the answer a second time.
func (d *Driver) corrupt(c *call, ev *engine.AttemptAnswered) {
	d.Stats.Corrupted++
	switch d.Rand.IntN(6) {
	case 0:
		if c.h.lastAnswered != nil {
			ev.Answer = c.h.lastAnswered.newAnswer()
		}
	case 1:
		ev.Answer.Request = "other"
		ev.Answer.Documents = documents(c.Shard, c.Version, "other")
	case 2:
		ev.Answer.Attempt++
		ev.Answer.Documents = documents(c.Shard, c.Version, "other")
	case 3:
		ev.Answer.Shard = "other/999"
		ev.Answer.Documents = documents("other/999", c.Version, c.Terms)
	case 4:
		ev.Answer.Version++
		ev.Answer.Documents = documents(c.Shard, c.Version+1, c.Terms)
	default:
		duplicate := *ev
		h := c.h
		d.After(time.Duration(d.Rand.IntN(50))*time.Millisecond, func() { h.step(duplicate) })
	}
}

func (c *call) newAnswer() engine.Answer {
	return engine.Answer{
		Request:   c.Request,
		Attempt:   c.Attempt,
		Shard:     c.Shard,
		Version:   c.Version,
		Documents: documents(c.Shard, c.Version, c.Terms),
		Load: engine.Load{
			Running: c.leaf.running,
			Waiting: len(c.leaf.waiting),
		},
		Held:      c.leaf.heldVersions(),
		PerSecond: c.leaf.PerSecond,
	}
}

func (l *Leaf) heldVersions() []engine.Held {
	var held []engine.Held
	for i := range l.d.Setup.Shards {
		if vs, ok := l.Held[ShardName(i)]; ok {
			held = append(held, engine.Held{
				Shard:    ShardName(i),
				Versions: slices.Clone(vs),
			})
		}
	}
	return held
}

func (h *host) probe(id ident.Upstream) {
	l, d := h.d.byID[id], h.d
	d.Stats.Probes++
	switch l.Mode {
	case Unresponsive:
		d.After(probeTimeout, func() { h.step(engine.ProbeFailed{Upstream: id}) })
	case Refusing:
		d.After(2*hopDelay, func() { h.step(engine.ProbeFailed{Upstream: id}) })
	default:
		health := engine.HealthReady
		switch l.Mode {
		case Draining:
			health = engine.HealthDraining
		case Cold:
			health = engine.HealthCold
		default:
		}
		ev := engine.UpstreamReported{
			Upstream: id,
			Health:   health,
			Load:     engine.Load{Running: l.running, Waiting: len(l.waiting)},
			Held:     l.heldVersions(),
		}
		d.After(2*hopDelay, func() { h.step(ev) })
	}
}
