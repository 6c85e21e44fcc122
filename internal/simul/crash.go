package simul

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

const (
	// crashTerms are the terms of a search that crashes each leaf that begins to
	// run it, after crashDelay. The leaf is back after crashTime.
	crashTerms = "crash"
	crashDelay = 2 * time.Millisecond
	crashTime  = 3 * time.Second

	// maxCrashes is the number of crashes under one search after which no host may
	// send it, crashGrace later.
	maxCrashes = 3
	crashGrace = 4 * time.Second
)

// crash ends a leaf, and with it all its calls.
func (l *Leaf) crash(c *call) {
	d := l.d
	if !c.started || l.Mode != Up {
		return
	}
	if n := len(d.crashes); n >= maxCrashes && d.now > d.crashes[maxCrashes-1].Add(crashGrace) {
		d.reportViolation("upstream %s: crash %d under the same search", l.ID, n+1)
	}
	d.crashes = append(d.crashes, d.now)
	l.Mode = Refusing
	d.After(crashTime, func() { l.Mode = Up })
	for _, h := range d.hosts {
		for _, lost := range h.callsAt(l) {
			lost.started = false
			lost.failAfterHop(engine.Crashed)
		}
	}
	l.running, l.waiting = 0, nil
}

// callsAt returns the calls that are in transit to, queued or running at a leaf,
// by attempt.
func (h *host) callsAt(l *Leaf) (list []*call) {
	for _, c := range h.calls {
		if c.leaf == l && !c.resolved {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return list
}

// spread passes a fact on to the other hosts.
func (h *host) spread(f gossip.Fact) {
	h.spreader.Spread(h.d.now, f)
	h.gossip()
}

// gossip sends the facts that are due to other hosts, and again when the next are.
func (h *host) gossip() {
	d := h.d
	for _, m := range h.spreader.Due(d.now) {
		i := slices.IndexFunc(d.hosts, func(o *host) bool { return o.id == m.To })
		if len(m.Facts) > 0 {
			d.After(hopDelay, func() { d.hosts[i].step(engine.Told{Facts: m.Facts}) })
		}
	}
	next, ok := h.spreader.Next()
	if ok && (h.gossipAt <= d.now || next < h.gossipAt) {
		h.gossipAt = next
		d.After(next.Sub(d.now), h.gossip)
	}
}

// Crashed is the result of CrashRun.
type Crashed struct {
	// Crashes counts the leaves that crashed.
	Crashes int
	// Done is the share of the other queries with a complete answer.
	Done  float64
	Stats *Stats
}

// CrashRun sends 100 queries/s over 20 shards to the given number of hosts, and
// twice a second a search that crashes the upstreams that run it.
func CrashRun(seed uint64, p engine.Policy, hosts int, span time.Duration) Crashed {
	d := New(Setup{
		Seed:     seed,
		Policy:   p,
		Hosts:    hosts,
		Shards:   20,
		Replicas: 2,
	})
	d.Load(100, 2*time.Second, preset.Critical)
	var out Crashed
	others, done := 0, 0
	deadly := make(map[ident.QueryID]bool)
	d.OnReply = func(_ ident.Instant, r engine.Reply) {
		if deadly[r.Query] {
			return
		}
		if others++; r.Outcome == engine.Done {
			done++
		}
	}
	for at := time.Duration(0); at < span; at += 500 * time.Millisecond {
		d.After(at, func() { deadly[d.submit(preset.Critical, 0, crashTerms)] = true })
	}
	d.Load(100, span, preset.Critical, preset.Tolerant)
	out.Stats = d.Finish()
	out.Crashes = len(d.crashes)
	out.Done = float64(done) / float64(max(1, others))
	return out
}
