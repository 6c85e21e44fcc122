package simul

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Mode is how a leaf meets calls.
type Mode uint8

// The modes of a leaf.
const (
	Up Mode = iota
	Refusing
	Silent
	Draining
	// Misleading leaves report well but break every call.
	Misleading
	// Cold leaves serve and report that they are cold.
	Cold
)

// Leaf is a fake upstream.
type Leaf struct {
	ID    ident.Upstream
	Mode  Mode
	Slow  float64 // factor on every service time; 0 is 1
	Held  map[ident.Shard][]ident.IndexVersion
	Calls int

	d       *Driver
	domain  ident.Domain
	running int
	waiting []*call
	retired bool // all hosts know
}

// call is one attempt on its way or in a leaf.
type call struct {
	engine.Send
	h       *host
	leaf    *Leaf
	ended   bool // the host got a result
	started bool
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
		Slots:     slots,
		ConnLimit: connLimit,
	}})
}

// ShardName returns the name of the numbered shard.
func ShardName(i int) ident.Shard { return shardNames[i] }

// shardNames holds all names, since formatting them took most of a run.
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
	d.sent(s, l)
	d.After(s.Remaining, func() { c.fail(engine.TimedOut) })
	d.After(hop, func() { l.receive(c) })
}

func (l *Leaf) receive(c *call) {
	if c.ended {
		return
	}
	l.Calls++
	versions, holds := l.Held[c.Shard]
	switch {
	case l.Mode == Silent:
	case l.Mode == Refusing:
		c.failLater(engine.Refused)
	case l.Mode == Misleading:
		c.failLater(engine.Broken)
	case l.Mode == Draining:
		c.failLater(engine.Draining)
	case !holds:
		c.failLater(engine.WrongShard)
	case !slices.Contains(versions, c.Version):
		c.failLater(engine.VersionGone)
	case l.running < slots:
		l.start(c)
	case len(l.waiting) < queueBound:
		l.waiting = append(l.waiting, c)
	default:
		c.failLater(engine.Shed)
	}
}

func (l *Leaf) start(c *call) {
	l.running++
	c.started = true
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
		l.stop(c)
		if l.Mode != Silent && l.Mode != Refusing {
			l.d.After(hop, func() { c.answer() })
		}
	})
}

// stop frees the slot of c and starts the next call that still matters.
func (l *Leaf) stop(c *call) {
	c.started = false
	l.running--
	for len(l.waiting) > 0 && l.running < slots {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		if !next.ended {
			l.start(next)
		}
	}
}

func (h *host) cancel(id ident.AttemptID) {
	c := h.calls[id]
	if c == nil || c.ended {
		return
	}
	h.d.After(hop, func() {
		c.leaf.waiting = slices.DeleteFunc(c.leaf.waiting, func(o *call) bool { return o == c })
		if c.started {
			c.leaf.stop(c)
		}
	})
	h.d.After(0, func() { c.fail(engine.Broken) })
}

// end takes c out of the calls in flight and reports whether it was there.
func (c *call) end() bool {
	if c.ended {
		return false
	}
	c.ended = true
	delete(c.h.calls, c.Attempt)
	return true
}

func (c *call) fail(kind engine.FailKind) {
	if !c.end() {
		return
	}
	c.h.step(engine.AttemptFailed{
		Attempt: c.Attempt,
		Kind:    kind,
		Held:    c.leaf.held(),
	})
}

func (c *call) failLater(kind engine.FailKind) { c.leaf.d.After(hop, func() { c.fail(kind) }) }

func (c *call) answer() {
	d := c.leaf.d
	if !c.end() {
		return
	}
	ev := engine.AttemptAnswered{
		Attempt: c.Attempt,
		Answer:  c.body(),
	}
	if d.Setup.Wrong > 0 && d.Rand.Float64() < d.Setup.Wrong {
		d.distort(c, &ev)
	}
	c.h.last = c
	c.h.step(ev)
}

// distort makes an answer crossed, foreign in one field with the documents
// that belong to it, or doubled.
func (d *Driver) distort(c *call, ev *engine.AttemptAnswered) {
	d.Stats.Distorted++
	switch d.Rand.IntN(6) {
	case 0:
		if c.h.last != nil {
			ev.Answer = c.h.last.body()
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
		again := *ev
		h := c.h
		d.After(time.Duration(d.Rand.IntN(50))*time.Millisecond, func() { h.step(again) })
	}
}

func (c *call) body() engine.Answer {
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
		Held: c.leaf.held(),
	}
}

func (l *Leaf) held() []engine.Held {
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
	case Silent:
		d.After(probeTimeout, func() { h.step(engine.ProbeFailed{Upstream: id}) })
	case Refusing:
		d.After(2*hop, func() { h.step(engine.ProbeFailed{Upstream: id}) })
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
			Held:     l.held(),
		}
		d.After(2*hop, func() { h.step(ev) })
	}
}
