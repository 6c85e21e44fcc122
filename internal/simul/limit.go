package simul

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

// The bound on what a leaf with a limit may get: from limitGrace after it was
// named, in any limitWindow limitTolerance times the limit, and limitSlack calls,
// counted for hosts that got an answer with it toldBefore or earlier.
const (
	limitGrace     = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	toldBefore     = 500 * time.Millisecond

	heartbeat = time.Second
)

// rateCheck checks that a leaf gets no more calls than the limit that it names.
type rateCheck struct {
	namedAt  ident.Instant
	toldAt   map[*host]ident.Instant
	arrivals []ident.Instant
}

func (r *rateCheck) told(l *Leaf, h *host) {
	if l.PerSecond == 0 {
		*r = rateCheck{}
		return
	}
	if r.toldAt == nil {
		r.namedAt, r.toldAt = l.d.now, make(map[*host]ident.Instant)
	}
	if _, ok := r.toldAt[h]; !ok {
		r.toldAt[h] = l.d.now
	}
}

func (r *rateCheck) arrived(l *Leaf, h *host) {
	now := l.d.now
	at, ok := r.toldAt[h]
	if !ok || now < at.Add(toldBefore) || now < r.namedAt.Add(limitGrace) {
		return
	}
	r.arrivals = append(r.arrivals, now)
	for r.arrivals[0] <= now.Add(-limitWindow) {
		r.arrivals = r.arrivals[1:]
	}
	if n := float64(len(r.arrivals)); n > limitTolerance*l.PerSecond*limitWindow.Seconds()+limitSlack {
		l.d.reportViolation("upstream %s: %.0f calls in %s for a limit of %v a second", l.ID, n, limitWindow, l.PerSecond)
		r.arrivals = nil
	}
}

// report passes a host's demand to the owner with its next heartbeat, and the
// grants back.
func (h *host) report(r engine.Report) {
	d := h.d
	d.After(time.Duration(d.Rand.Int64N(int64(heartbeat))), func() {
		if r.At < h.lastReport {
			return // replaced by a later one
		}
		h.lastReport = r.At
		grants := d.owner.Report(d.now, h.id, quota.Fleet{Hosts: seats}, r.Demands)
		d.After(2*hopDelay, func() {
			h.step(engine.ShareGranted{
				Sent:   r.At,
				Grants: grants,
			})
		})
	})
}

// Limited is the result of LimitRun.
type Limited struct {
	// CallsPerSecond is what the upstreams with a limit got each, on average, from
	// limitGrace after they had named it.
	CallsPerSecond float64
	// Done is the share of the queries of that time with a complete answer.
	Done  float64
	Stats *Stats
}

// LimitRun sends 200 queries/s over 20 shards to the given number of hosts, while
// one upstream of each shard names a limit of perSecond for all hosts together.
func LimitRun(seed uint64, p engine.Policy, hosts int, perSecond float64, span time.Duration) Limited {
	d := New(Setup{
		Seed:     seed,
		Policy:   p,
		Hosts:    hosts,
		Shards:   20,
		Replicas: 2,
	})
	d.Load(200, 2*time.Second, preset.Critical)
	for i := range d.Setup.Shards {
		d.Leaves[i*d.Setup.Replicas].PerSecond = perSecond
	}
	d.Load(200, limitGrace, preset.Critical, preset.Tolerant)
	var out Limited
	queries, done, calls := 0, 0, 0
	start := d.now
	d.OnSend = func(s engine.Send) {
		if d.byID[s.Upstream].PerSecond > 0 {
			calls++
		}
	}
	d.OnReply = func(at ident.Instant, r engine.Reply) {
		if at < start {
			return
		}
		if queries++; r.Outcome == engine.Done {
			done++
		}
	}
	d.Load(200, span, preset.Critical, preset.Tolerant)
	out.Stats = d.Finish()
	out.CallsPerSecond = float64(calls) / span.Seconds() / float64(d.Setup.Shards)
	out.Done = float64(done) / float64(max(1, queries))
	return out
}
