package relay

import (
	"math"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/hedge"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/pace"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// upstream is what this host has learned of one upstream.
type upstream struct {
	Upstream
	key      quota.Key
	inFlight []*attempt
	// slowdown is the EWMA of the latency, as a multiple of what is typical for
	// the route, and failRate that of failed calls.
	slowdown  float64
	failRate  float64
	updatedAt ident.Instant
	coldUntil ident.Instant
	downUntil ident.Instant
	// refused is set if the last call could not be sent.
	refused bool
	// excludedUntil is when the upstream may be chosen again.
	excludedUntil ident.Instant
	// drainingSince is when the list began to show the upstream as draining.
	drainingSince ident.Instant
	// leaving is set if the list or the upstream says that it leaves, since
	// leavingSince.
	leaving      bool
	leavingSince ident.Instant
	// pausedUntil is when the upstream may be called again after it asked for a
	// pause.
	pausedUntil ident.Instant

	// otherLoad is the number of calls of other hosts there, running or queued,
	// as reported at loadAt.
	otherLoad int
	loadAt    ident.Instant

	// effort is how long work took on the upstream's machine at effortAt, as a multiple
	// of the usual; 0 if it never said.
	effort   float64
	effortAt ident.Instant
	// pace limits the calls after a start or a recovery, if the service asks for that.
	pace pace.Window
	// coldLimited is set while the rate that the service states for cold upstreams
	// limits the calls.
	coldLimited bool
}

// routeStats is what this host has learned of one route.
type routeStats struct {
	typical float64 // nanoseconds
	delay   *hedge.Delay
	// firstLimit is the longest time limit of any caller, taken to be that of a
	// first attempt.
	firstLimit time.Duration
	credit     map[ident.Service]float64
	// mean is the EWMA of the time to a good answer, longest the longest such time
	// of late; both are 0 before the first answer.
	mean    time.Duration
	longest time.Duration
}

func newRouteStats(r *rules.Route) *routeStats {
	return &routeStats{
		typical: initialTypicalShare * float64(r.Target),
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

// observeAnswer records the time to a good answer, queueing included.
func (s *routeStats) observeAnswer(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += time.Duration(ewmaWeight * float64(took-s.mean))
	s.longest = max(took, time.Duration(longestDecay*float64(s.longest)))
}

// hedgeDelay returns how long after a call a hedge is sent, given the time
// remaining until the target. It is sent only when the answer would otherwise
// come after the target: there is no benefit in an earlier answer, and most
// calls that are slower than usual still end in time.
func (s *routeStats) hedgeDelay(target, remaining time.Duration) time.Duration {
	usual := min(max(s.delay.After(), time.Duration(minHedgeShare*float64(target))), time.Duration(maxHedgeShare*float64(target)))
	return max(usual, remaining-time.Duration(hedgeLeadFactor*float64(usual)))
}

// split chooses the service of a request by smooth weighted round robin: each
// backend gains credit in proportion to its weight, and the one with the most
// credit gets the request and pays 1.
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

// pick returns the upstream with the lowest cost that was not tried for this
// part and is not in without, or nil. One whose pace allows no call now is only
// picked if there is no other. busy is set if an upstream was passed over only
// because all of its connections are in use.
func (e *Engine) pick(q *query, p *part, without []*upstream) (best *upstream, busy bool) {
	var bestCost float64
	bestReady := false
	ups := e.services[p.service]
	if len(ups) == 0 {
		return nil, false
	}
	start := e.rand.IntN(len(ups))
	for i := range ups {
		u := ups[(start+i)%len(ups)]
		if slices.Contains(without, u) {
			continue
		}
		if o := e.obstacle(q, p, u); o != none {
			busy = busy || o.passes()
			continue
		}
		ready := e.paceAllows(q, p, u)
		if best != nil && bestReady && !ready {
			continue
		}
		if c := e.cost(q, u); best == nil || ready && !bestReady || c < bestCost {
			best, bestCost, bestReady = u, c, ready
		}
	}
	return best, busy
}

// obstacle is why an upstream may not be called for a part now.
type obstacle string

const (
	none         obstacle = ""
	tried        obstacle = "it was called for this part"
	evacuated    obstacle = "its domain is evacuated"
	excluded     obstacle = "it is ejected"
	leaving      obstacle = "it leaves"
	pausing      obstacle = "it wants no calls for a while"
	inUse        obstacle = "this host's connections to it are in use"
	returning    obstacle = "it has just ended a pause and has a call in flight"
	suspectThere obstacle = "it runs a request that may crash it"
)

// passes reports whether the obstacle ends with a call in flight, so that a part may
// wait for it.
func (o obstacle) passes() bool { return o == inUse || o == returning || o == suspectThere }

// obstacle returns why an upstream may not be called for a part now, or none.
func (e *Engine) obstacle(q *query, p *part, u *upstream) obstacle {
	switch {
	case p.triedOn(u):
		return tried
	case e.evacuated[u.Domain]:
		return evacuated
	case e.now < u.excludedUntil:
		return excluded
	case !e.callable(u):
		return leaving
	case e.now < u.pausedUntil:
		return pausing
	case len(u.inFlight) >= e.connections(q, u):
		return inUse
	case len(u.inFlight) > 0 && e.pauses.Returning(e.now, u.key):
		return returning
	case q.suspect && u.suspectAt(q):
		// The crash of one could not be told from that of the other.
		return suspectThere
	}
	return none
}

// expect returns the expected latency of one more call to an upstream, in
// nanoseconds, if its speed is average, and how many calls are queued there
// before it.
func (e *Engine) expect(s *routeStats, u *upstream) (latency float64, queue int) {
	load := len(u.inFlight)
	if age := e.now.Sub(u.loadAt); age < loadTTL {
		load += int(math.Round(float64(u.otherLoad) * (1 - float64(age)/float64(loadTTL))))
	}
	if n := len(e.services[u.Service]); n > 0 {
		load += e.waiting[u.Service] / n
	}
	if queue = max(0, load+1-u.Slots); queue == 0 {
		return s.typical, 0
	}
	each := s.typical
	if n := len(u.inFlight); n > 0 {
		each = 0
		for _, a := range u.inFlight {
			each += a.query.stats.typical / float64(n)
		}
	}
	return s.typical + each*float64(queue)/float64(u.Slots), queue
}

// cost returns the expected latency of one more call, in nanoseconds, with
// surcharges for failures, cold starts, stalls, drains and other domains.
func (e *Engine) cost(q *query, u *upstream) float64 {
	e.decay(u)
	c, _ := e.expect(q.stats, u)
	c *= u.slowdown * e.effort(u)
	if e.now < u.coldUntil {
		c *= coldFactor
	}
	for _, a := range u.inFlight {
		if age := float64(e.now.Sub(a.sentAt)); age > stallFactor*a.baseLatency*u.slowdown+float64(minStallTime) {
			c += age
			break
		}
	}
	if !u.pace.Down() {
		// A call to an upstream that is down is a trial, made when its pace allows it.
		c += u.failRate * float64(failCost)
	}
	if u.Domain != e.cfg.Domain {
		c += max(float64(minCrossDomainCost), crossDomainFactor*q.stats.typical)
	}
	if e.now < u.downUntil {
		c += float64(downCost)
	}
	if u.leaving {
		c += float64(drainCost)
	}
	if u.suspectAt(q) {
		c += float64(failCost)
	}
	return c
}

// decay moves the estimates of an unused upstream towards the average, so that
// it is tried again.
func (e *Engine) decay(u *upstream) {
	idle := e.now.Sub(u.updatedAt)
	if idle < forgetHalfLife/4 {
		return
	}
	keep := math.Exp2(-float64(idle) / float64(forgetHalfLife))
	u.slowdown = 1 + (u.slowdown-1)*keep
	u.failRate *= keep
	u.updatedAt = e.now
}

// recordResult updates the estimates of an upstream and a route by an ended
// call.
func (e *Engine) recordResult(a *attempt, ev Ended) {
	u, s := a.upstream, a.query.stats
	took := e.now.Sub(a.sentAt)
	e.decay(u)
	u.updatedAt = e.now
	u.refused = ev.Result == Unsent
	failed := 1.0
	switch ev.Result {
	case Good:
		failed = 0
		e.pauses.Succeeded(e.now, u.key)
		u.slowdown += ewmaWeight * (min(maxSlowdown, max(minSlowdown, float64(took)/(a.baseLatency*a.effort))) - u.slowdown)
		if a.queue == 0 {
			s.observe(float64(took))
		}
		s.delay.Observe(took)
		s.observeAnswer(took)
		u.downUntil = 0
	case Unsent:
		if e.now >= u.downUntil {
			e.eject(u, downTime, "no connection could be made")
		}
		u.downUntil = e.after(downTime)
	case Rejected:
		if ev.Moved {
			u.excludedUntil = e.after(movedTime)
			e.eject(u, movedTime, "another upstream answers at its address")
		}
	case Bad, Lost:
		if ev.Endless {
			u.excludedUntil = e.after(endlessTime)
			e.eject(u, endlessTime, "its answer does not end")
		}
	}
	u.failRate += ewmaWeight * (failed - u.failRate)
	e.recordPace(a, ev)
	if ev.Load.Known && ev.Load.Effort > 0 {
		u.effort, u.effortAt = ev.Load.Effort, e.now
		e.sharedMachines = true
	}
	if ev.Load.Known {
		u.otherLoad = max(0, ev.Load.Running+ev.Load.Waiting-len(u.inFlight))
		u.loadAt = e.now
	}
}

func (e *Engine) eject(u *upstream, d time.Duration, reason string) {
	e.emit(Eject{
		Upstream: u.ID,
		Service:  u.Service,
		For:      d,
		Reason:   reason,
	})
}
