package relay

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/hedge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// upstream is what this host knows of one upstream.
type upstream struct {
	Upstream
	live []*attempt
	// slow is the latency as a multiple of what is typical for the route.
	slow      float64
	fail      float64
	learnedAt ident.Instant
	coldUntil ident.Instant
	downUntil ident.Instant
	goneUntil ident.Instant
	drainSeen ident.Instant

	// others is the load reported by the upstream beyond this host's own.
	others   int
	loadSeen ident.Instant
}

// routeStats is what this host has learned of one route.
type routeStats struct {
	typical float64 // nanoseconds
	delay   *hedge.Delay
	// firstLimit is the longest time that a caller gave, that of a first try.
	firstLimit time.Duration
	credit     map[ident.Service]float64
}

func newRouteStats(r *rules.Route) *routeStats {
	return &routeStats{
		typical: firstTypical * float64(r.Target),
		delay:   hedge.NewQuantileDelay(hedgeQuantile),
		credit:  make(map[ident.Service]float64),
	}
}

// observe moves the typical latency towards the median, which slow upstreams
// do not shift as long as they are fewer than half.
func (s *routeStats) observe(took float64) {
	if took > s.typical {
		s.typical *= medianStep
	} else {
		s.typical /= medianStep
	}
}

// hedgeDelay is the time after which a call on the route is late, with left
// until the target. A second call is sent only when its answer would otherwise
// come after the target: an answer gains nothing by coming sooner, and most
// calls that are slower than usual still end in time.
func (s *routeStats) hedgeDelay(target, left time.Duration) time.Duration {
	usual := min(max(s.delay.After(), time.Duration(hedgeLeast*float64(target))), time.Duration(hedgeMost*float64(target)))
	return max(usual, left-time.Duration(hedgeTime*float64(usual)))
}

// split chooses the service of a request: each backend in turn gains its
// weight, and the one that is owed most pays for the request.
func (e *Engine) split(r *rules.Route, s *routeStats) ident.Service {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	sum := 0.0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	best := -1
	for i, b := range r.Backends {
		if _, ok := s.credit[b.Service]; !ok {
			s.credit[b.Service] = e.rand.Float64() * b.Weight / sum
		}
		s.credit[b.Service] += b.Weight / sum
		if b.Weight > 0 && (best < 0 || s.credit[b.Service] > s.credit[r.Backends[best].Service]) {
			best = i
		}
	}
	service := r.Backends[best].Service
	s.credit[service]--
	return service
}

// pick returns the upstream of a service with the lowest expected latency
// that was not tried for this part, or nil. busy is set if one exists but all
// its connections are in use.
func (e *Engine) pick(q *query, p *part) (best *upstream, busy bool) {
	var bestCost float64
	ups := e.services[p.service]
	if len(ups) == 0 {
		return nil, false
	}
	start := e.rand.IntN(len(ups))
	for i := range ups {
		u := ups[(start+i)%len(ups)]
		if p.triedOn(u) || e.now < u.goneUntil || u.Draining && e.now >= u.drainSeen.Add(drainUse) {
			continue
		}
		if len(u.live) >= e.connections(q, u) {
			busy = true
			continue
		}
		c := e.cost(q, u)
		if best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best, busy
}

// expect returns the expected latency of one more call to an upstream of
// average speed, in nanoseconds, and how many calls wait there before it.
func (e *Engine) expect(s *routeStats, u *upstream) (latency float64, queue int) {
	load := len(u.live)
	if age := e.now.Sub(u.loadSeen); age < loadLife {
		load += int(math.Round(float64(u.others) * (1 - float64(age)/float64(loadLife))))
	}
	if n := len(e.services[u.Service]); n > 0 {
		load += e.waiting[u.Service] / n
	}
	if queue = max(0, load+1-u.Slots); queue == 0 {
		return s.typical, 0
	}
	each := s.typical
	if n := len(u.live); n > 0 {
		each = 0
		for _, a := range u.live {
			each += a.query.stats.typical / float64(n)
		}
	}
	return s.typical + each*float64(queue)/float64(u.Slots), queue
}

// cost is the expected latency of one more call, in nanoseconds, with
// surcharges for what the latency does not show.
func (e *Engine) cost(q *query, u *upstream) float64 {
	e.forget(u)
	c, _ := e.expect(q.stats, u)
	c *= u.slow
	if e.now < u.coldUntil {
		c *= coldFactor
	}
	for _, a := range u.live {
		if age := float64(e.now.Sub(a.at)); age > stallFactor*a.unit*u.slow+float64(stallLeast) {
			c += age
			break
		}
	}
	c += u.fail * float64(failCost)
	if u.Domain != e.cfg.Domain {
		c += max(float64(crossLeast), crossFactor*q.stats.typical)
	}
	if e.now < u.downUntil {
		c += float64(downCost)
	}
	if u.Draining {
		c += float64(drainCost)
	}
	return c
}

// forget moves what was learned of an upstream towards the average while it
// is not used, so that it is tried again.
func (e *Engine) forget(u *upstream) {
	idle := e.now.Sub(u.learnedAt)
	if idle < forgetTime/4 {
		return
	}
	keep := math.Exp2(-float64(idle) / float64(forgetTime))
	u.slow = 1 + (u.slow-1)*keep
	u.fail *= keep
	u.learnedAt = e.now
}

// learn notes the end of a call.
func (e *Engine) learn(a *attempt, ev Ended) {
	u, s := a.up, a.query.stats
	took := e.now.Sub(a.at)
	e.forget(u)
	u.learnedAt = e.now
	failed := 1.0
	switch ev.Result {
	case Good:
		failed = 0
		u.slow += learnRate * (min(slowest, max(fastest, float64(took)/a.unit)) - u.slow)
		if a.queue == 0 {
			s.observe(float64(took))
		}
		s.delay.Observe(took)
		u.downUntil = 0
	case Unsent:
		if e.now >= u.downUntil {
			e.shun(u, downTime, "no connection could be made")
		}
		u.downUntil = e.after(downTime)
	case Rejected:
		if ev.Moved {
			u.goneUntil = e.after(goneTime)
			e.shun(u, goneTime, "another upstream answers at its address")
		}
	case Bad, Lost:
	}
	u.fail += learnRate * (failed - u.fail)
	if ev.Load.Known {
		u.others = max(0, ev.Load.Running+ev.Load.Waiting-len(u.live))
		u.loadSeen = e.now
	}
}

func (e *Engine) shun(u *upstream, d time.Duration, reason string) {
	e.emit(Shun{
		Upstream: u.ID,
		Service:  u.Service,
		For:      d,
		Reason:   reason,
	})
}
