// Package gate decides how many searches over shards a host has in progress at once,
// and which of those that wait comes next. A search is admitted as a whole or not at
// all: one whose sub-queries have run at most shards and then fails for the others
// has wasted their work.
//
// The limit follows how upstreams respond. It grows while searches are answered well
// before their targets, and shrinks when the usual shard of a search takes a large
// part of the target, or when upstreams shed calls at more shards than an answer may
// miss. Each host adapts alone. All of them see the same upstreams, grow by the same
// amounts and shrink by the same factors, so that their limits approach each other.
//
// A Gate has no clock and does no I/O; it is not safe for concurrent use. It is
// designed for some hundred searches a second on each host.
package gate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// initialLimit is the limit at the start, in searches. A host that gathers has
	// about 0.1 searches in progress at the usual load, and 0.3 in bursts. Twice as
	// many at each of 18 hosts would fill the queues of all upstreams at once.
	initialLimit = 3.0

	// minLimit is the lowest limit, in searches. Below one, a search is admitted each
	// time that the usual shard takes, divided by the limit.
	minLimit = 0.1

	// maxUnused is how far the limit may exceed the most that was in progress of late,
	// as a factor. A limit that grows without being reached would admit a flood.
	maxUnused = 2.0

	// peakHalfLife is the half-life of that most, and of the largest cost of a search.
	peakHalfLife = 2 * time.Second

	// growth is by how many searches the limit grows during the time of one search, if
	// nothing waits at the upstreams, just after it was lowered. It doubles in growthTime
	// and rises on up to maxGrowth: while upstreams are full, hosts that grow fast make
	// them shed calls; once they are not, the limit must not stay low.
	growth     = 0.25
	growthTime = 200 * time.Millisecond
	maxGrowth  = 2.0

	// maxCut bounds how far one decision lowers the limit, and shedCut is the factor
	// when upstreams shed calls.
	maxCut  = 0.6
	shedCut = 0.7

	// shedLoad is the load below which shed calls do not lower the limit. Upstreams with
	// full queues keep the usual shard waiting; those that shed without are faulty, and
	// admitting less does not help.
	shedLoad = 0.5

	// usualShare is the part of the target that the usual shard of a search may take.
	// The slowest of many shards takes about three times as long.
	usualShare = 0.3

	// waitFactor is how long the usual shard may wait at least, as a multiple of its
	// latency without load, for routes that need most of their target without any.
	waitFactor = 1.5

	// usualWeight is the weight of a new sample in the average of the time that the
	// usual shard takes.
	usualWeight = 0.1

	// recoveredShare is the part of its earlier value at which a low limit counts as
	// recovered; initialLimit is enough, as an unused limit does not grow beyond.
	recoveredShare = 0.75

	// loadWeight is the weight of one search in the average of the signs of load: some
	// searches are slow at any load.
	loadWeight = 0.3

	// routeTime is how long after its last search a route counts as in use.
	routeTime = 2 * time.Second

	// baseRise is the rate, in 1/s, at which the latency without load is taken to
	// rise if all answers take longer. An overload of some seconds hardly moves it.
	baseRise = 0.03

	// maxLevels bounds the ranks that are told apart: two for each priority, of which
	// accounts and routes have a handful.
	maxLevels = 16

	// headroom is how far searches may exceed the limit while others of a higher rank
	// come, as a factor. What they take beyond the limit goes off those, as the limit
	// falls then, while without it a burst of them would be refused.
	headroom = 3.0

	// exceededFactor is by how much earlier the limit falls while accounts ask for more than
	// their fair share, as a factor. At the highest load that upstreams take, the others
	// would have to wait for them.
	exceededFactor = 2.0

	// overShare is the part of the limit that searches beyond the fair shares of their
	// accounts may fill, so that others need not wait for one of them to end.
	overShare = 0.6

	// rankTime is how long after its last search a rank counts as in use.
	rankTime = time.Second

	// maxWaiting bounds the searches that wait. More would not be reached in the time
	// that they may wait.
	maxWaiting = 64

	// lateShare is the part of the admitted work that is for late searches while others
	// wait. If all callers that come back went first, then under overload these would
	// soon be all that are served, and no answer would come in time.
	lateShare = 0.1

	// scarceTime is how long after a search that could be in time was refused others
	// like it are expected to be refused.
	scarceTime = 300 * time.Millisecond
)

// Search is a query over shards.
type Search struct {
	Query ident.QueryID
	// Priority ranks the search; 0 is the most urgent.
	Priority int
	Account  ident.Account
	// Cost is the work of the search at the upstreams, in nanoseconds.
	Cost float64
	// Returned is set if the caller was refused before, Late if no answer can be
	// expected before the target.
	Returned bool
	Late     bool
	// Until is when the search must be refused if it was not admitted.
	Until ident.Instant
}

// Verdict is what becomes of a search.
type Verdict uint8

// The verdicts.
const (
	// Admitted searches begin now.
	Admitted Verdict = iota + 1
	// Waiting searches are admitted or refused by Due.
	Waiting
	// Refused searches do not run.
	Refused
)

// Decision is the verdict on one search.
type Decision struct {
	Query   ident.QueryID
	Verdict Verdict
	// After is how long the caller of a refused search should wait.
	After time.Duration
}

// Sample is what an ended search shows.
type Sample struct {
	// Route identifies the kind of search, Target is its target.
	Route  string
	Target time.Duration
	// Usual is the time that the usual shard took, 0 if unknown.
	Usual time.Duration
	// Short is the number of shards at which upstreams shed calls, or none was expected
	// to answer in time, as a multiple of what an answer may miss.
	Short float64
}

// level is what concerns searches of one rank: the cost in progress of those of the
// same or a lower rank, and the time before which none is admitted. Those of higher
// ranks do not count, so that they cannot keep out others; they get what is left of
// the limit.
type level struct {
	rank       int
	inProgress float64
	nextStart  ident.Instant
	// offeredAt is when a search of the rank last came, if offered is set.
	offeredAt ident.Instant
	offered   bool
}

// running is an admitted search.
type running struct {
	rank  int
	began ident.Instant
	cost  float64
	left  float64
}

type waiting struct {
	Search
	arrived ident.Instant
	rank    int
}

// Gate is the state of one host.
type Gate struct {
	rand    *rand.Rand
	now     ident.Instant
	running map[ident.QueryID]*running
	queue   []waiting
	// inProgress is the cost of the running searches, unit the largest cost of a
	// search of late.
	inProgress float64
	unit       float64
	// limit is in searches of the cost unit, peak the most of them in progress of
	// late, and highest the largest limit of late.
	limit, peak, highest float64
	// usual is the time that the usual shard takes, in nanoseconds.
	usual float64
	// levels are the ranks that were seen, in ascending order.
	levels []level
	shares *Shares
	// changed is set if a waiting search may fit that did not before.
	changed bool
	// low is set while the limit is far below lowFrom.
	low     bool
	lowFrom float64
	// cutAt is when the limit was last lowered.
	cutAt ident.Instant
	// load is the moving average of the signs of load.
	load float64
	// base is the latency of the usual shard of each route without load.
	base map[string]*base
	// schedule tells refused callers when to come back, within the share of late ones.
	schedule *Schedule
	// lateCredit is the cost of late searches that may go before others.
	lateCredit float64
	// scarceUntil is how long other searches are expected to need what late ones would
	// get.
	scarceUntil ident.Instant
}

// base is what is known of a route: the latency of the usual shard without load, and
// how long it may wait, both in nanoseconds.
type base struct {
	latency float64
	mayWait float64
	at      ident.Instant
}

// New returns a Gate. The seed spreads the times that callers are told to wait.
func New(seed uint64) *Gate {
	return &Gate{
		rand:    rand.New(rand.NewPCG(seed, 3)),
		running: make(map[ident.QueryID]*running),
		base:    make(map[string]*base),
		shares:  NewShares(SearchTime),

		schedule: NewSchedule(lateShare),
		limit:    initialLimit,
		highest:  initialLimit,
	}
}

// advance sets the clock and lets averages decay.
func (g *Gate) advance(now ident.Instant) {
	if now <= g.now {
		return
	}
	keep := math.Exp2(-float64(now.Sub(g.now)) / float64(peakHalfLife))
	g.unit *= keep
	g.peak *= keep
	g.highest = max(g.limit, g.highest*keep)
	g.now = now
}

// Offer decides on a search that has arrived.
func (g *Gate) Offer(now ident.Instant, s Search) Decision {
	g.advance(now)
	g.shares.Asked(now, s.Account, s.Cost)
	w := waiting{
		Search:  s,
		arrived: now,
		rank:    g.rank(s),
	}
	l := g.level(w.rank)
	l.offered, l.offeredAt = true, now
	first := !slices.ContainsFunc(g.queue, func(o waiting) bool { return !g.precedes(&w, &o) })
	if first && g.fits(w.rank, s) {
		g.admit(w.rank, s)
		return Decision{
			Query:   s.Query,
			Verdict: Admitted,
		}
	}
	if now >= s.Until {
		return g.refuse(s)
	}
	g.queue = append(g.queue, w)
	g.changed = true
	return Decision{
		Query:   s.Query,
		Verdict: Waiting,
	}
}

// rank returns the rank of a search: by priority, then those of accounts that have not
// got their fair share.
func (g *Gate) rank(s Search) int {
	if g.now < g.scarceUntil && g.shares.Over(g.now, s.Account) {
		return 2*s.Priority + 1
	}
	return 2 * s.Priority
}

// beyondShare reports whether a rank is that of searches of accounts that have got their
// fair share.
func beyondShare(rank int) bool { return rank&1 == 1 }

// fits reports whether a search can be admitted beside those in progress.
func (g *Gate) fits(rank int, s Search) bool {
	g.unit = max(g.unit, s.Cost)
	if s.Late && g.lateCredit <= 0 && g.now < g.scarceUntil {
		return false
	}
	l := g.level(rank)
	return g.now >= l.nextStart && (l.inProgress <= 0 || l.inProgress+s.Cost <= g.limitOf(l)*g.unit)
}

// limitOf returns the limit for searches of a level, with those of the levels before it.
func (g *Gate) limitOf(l *level) float64 {
	if last := &g.levels[len(g.levels)-1]; l != last && g.lastOffer(l.rank) {
		return headroom * g.limit
	}
	if beyondShare(l.rank) {
		return overShare * g.limit
	}
	return g.limit
}

// lastOffer reports whether searches of a higher rank have come of late.
func (g *Gate) lastOffer(rank int) bool {
	for i := range g.levels {
		if l := &g.levels[i]; l.rank > rank && l.offered && g.now.Sub(l.offeredAt) < rankTime {
			return true
		}
	}
	return false
}

func (g *Gate) admit(rank int, s Search) {
	g.shares.Got(g.now, s.Account, s.Cost)
	g.running[s.Query] = &running{
		rank:  rank,
		began: g.now,
		cost:  s.Cost,
		left:  s.Cost,
	}
	g.inProgress += s.Cost
	g.peak = max(g.peak, g.inProgress/g.unit)
	for i := range g.levels {
		if l := &g.levels[i]; l.rank >= rank {
			l.inProgress += s.Cost
			if limit := g.limitOf(l); limit < 1 {
				l.nextStart = g.now.Add(time.Duration(g.usual * s.Cost / (g.unit * limit)))
			}
		}
	}
	g.schedule.Served(g.now, s.Cost)
	if g.lateCredit += lateShare * s.Cost; s.Late {
		g.lateCredit -= s.Cost
	}
	g.lateCredit = max(-g.unit, min(g.lateCredit, g.unit))
}

// refuse tells a caller to come back when those that were refused before it have
// been served, at the present rate.
func (g *Gate) refuse(s Search) Decision {
	if !s.Late {
		g.scarceUntil = g.now.Add(scarceTime)
	}
	return Decision{
		Query:   s.Query,
		Verdict: Refused,
		After:   g.schedule.After(g.now, s.Cost, g.rand.Float64()),
	}
}

// Reduce records that a share of a running search, between 0 and 1, is done.
func (g *Gate) Reduce(id ident.QueryID, share float64) {
	if r := g.running[id]; r != nil {
		g.reduce(r, min(r.left, share*r.cost))
	}
}

func (g *Gate) reduce(r *running, done float64) {
	g.changed = true
	r.left -= done
	g.inProgress -= done
	for i := range g.levels {
		if l := &g.levels[i]; l.rank >= r.rank {
			l.inProgress -= done
		}
	}
}

// level returns the level of a rank. Beyond maxLevels, the highest ones share a level.
func (g *Gate) level(rank int) *level {
	i, found := slices.BinarySearchFunc(g.levels, rank, func(l level, r int) int { return l.rank - r })
	if found || len(g.levels) >= maxLevels && i == len(g.levels) {
		return &g.levels[min(i, len(g.levels)-1)]
	}
	l := level{rank: rank}
	if i > 0 {
		l.inProgress, l.nextStart = g.levels[i-1].inProgress, g.levels[i-1].nextStart
	}
	g.levels = slices.Insert(g.levels, i, l)
	return &g.levels[i]
}

// End removes a search, whether it runs or waits.
func (g *Gate) End(now ident.Instant, id ident.QueryID) {
	g.advance(now)
	if r := g.running[id]; r != nil {
		g.reduce(r, r.left)
		delete(g.running, id)
	}
	if len(g.running) == 0 {
		// Ends what rounding has left.
		g.inProgress = 0
		for i := range g.levels {
			g.levels[i].inProgress = 0
		}
	}
	g.queue = slices.DeleteFunc(g.queue, func(w waiting) bool { return w.Query == id })
}

// Observe adapts the limit to what a running search shows. It is called before End.
func (g *Gate) Observe(now ident.Instant, id ident.QueryID, s Sample) {
	g.advance(now)
	r := g.running[id]
	if r == nil {
		return
	}
	defer g.noteLow()
	load := 0.0
	if s.Usual > 0 {
		load = g.observeUsual(s)
	}
	if g.sharesExceeded() {
		load, s.Short = load*exceededFactor, s.Short*exceededFactor
	}
	if s.Usual > 0 {
		g.load += loadWeight * (load - g.load)
		load = g.load
	}
	switch {
	case s.Short > 1 && (s.Usual == 0 || load > shedLoad):
		g.cut(r, shedCut)
	case load > 1:
		g.cut(r, max(maxCut, 1/load))
	case s.Usual > 0:
		steady := min(maxGrowth, growth*(1+g.now.Sub(g.cutAt).Seconds()/growthTime.Seconds()))
		g.limit += steady * (1 - load) * r.cost / (g.unit * g.limit)
		g.limit = min(g.limit, max(initialLimit, maxUnused*g.peak))
	}
}

// observeUsual returns how long the usual shard waited, as a multiple of how long that
// of any route in use may wait: all wait in the same queues.
func (g *Gate) observeUsual(s Sample) float64 {
	usual := float64(s.Usual)
	g.usual += usualWeight * (usual - g.usual)
	b := g.base[s.Route]
	if b == nil {
		b = &base{latency: usual}
		g.base[s.Route] = b
	}
	b.latency *= 1 + baseRise*min(1, g.now.Sub(b.at).Seconds())
	b.latency = min(b.latency, usual)
	b.at = g.now
	b.mayWait = max(usualShare*float64(s.Target)-b.latency, waitFactor*b.latency)
	mayWait := b.mayWait
	for _, o := range g.base {
		if g.now.Sub(o.at) < routeTime {
			mayWait = min(mayWait, o.mayWait)
		}
	}
	return (usual - b.latency) / mayWait
}

// sharesExceeded reports whether accounts ask for more than their fair share.
func (g *Gate) sharesExceeded() bool {
	for i := range g.levels {
		if l := &g.levels[i]; beyondShare(l.rank) && l.offered && g.now.Sub(l.offeredAt) < rankTime {
			return true
		}
	}
	return false
}

// cut lowers the limit, once for all searches that began before it was last lowered.
func (g *Gate) cut(r *running, factor float64) {
	if r.began < g.cutAt || g.now < g.cutAt.Add(time.Duration(g.usual)) {
		return
	}
	// A limit that is not reached admits as much as before if it is lowered a little.
	g.limit = max(minLimit, factor*min(g.limit, max(minLimit, g.peak)))
	g.cutAt = g.now
}

// Next returns when Due has to be called at the latest, and false if nothing waits.
func (g *Gate) Next() (next ident.Instant, found bool) {
	for _, w := range g.queue {
		if !found || w.Until < next {
			next, found = w.Until, true
		}
	}
	for _, l := range g.levels {
		if found && l.nextStart > g.now {
			next = min(next, l.nextStart)
		}
	}
	return next, found
}

// Due returns the decision on one waiting search, and false if there is none to make.
func (g *Gate) Due(now ident.Instant) (Decision, bool) {
	if len(g.queue) == 0 {
		return Decision{}, false
	}
	g.advance(now)
	if next, _ := g.Next(); !g.changed && now < next {
		return Decision{}, false
	}
	g.changed = false
	best := 0
	for i := range g.queue {
		w := &g.queue[i]
		if w.rank = g.rank(w.Search); g.precedes(w, &g.queue[best]) {
			best = i
		}
	}
	if w := g.queue[best]; g.fits(w.rank, w.Search) {
		s := w.Search
		g.queue = slices.Delete(g.queue, best, best+1)
		g.admit(w.rank, s)
		g.changed = true
		return Decision{
			Query:   s.Query,
			Verdict: Admitted,
		}, true
	}
	for i := range g.queue {
		if s := g.queue[i].Search; now >= s.Until {
			g.queue = slices.Delete(g.queue, i, i+1)
			g.changed = true
			return g.refuse(s), true
		}
	}
	if len(g.queue) > maxWaiting {
		last := 0
		for i := range g.queue {
			if g.precedes(&g.queue[last], &g.queue[i]) {
				last = i
			}
		}
		s := g.queue[last].Search
		g.queue = slices.Delete(g.queue, last, last+1)
		g.changed = true
		return g.refuse(s), true
	}
	return Decision{}, false
}

// precedes orders waiting searches: by rank, then those that can be in time, then those
// whose callers were refused before, then by arrival.
func (g *Gate) precedes(a, b *waiting) bool {
	switch {
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.Late != b.Late:
		return b.Late != (g.lateCredit > 0)
	case a.Returned != b.Returned:
		return a.Returned
	}
	return a.arrived < b.arrived
}

// noteLow records whether the limit has fallen far, and whether it has recovered.
func (g *Gate) noteLow() {
	switch {
	case !g.low && g.limit < g.highest/2:
		g.low, g.lowFrom = true, g.highest
	case g.low && g.limit >= min(recoveredShare*g.lowFrom, initialLimit):
		g.low, g.highest = false, g.limit
	}
}

// Status is the state of a Gate for logs and metrics.
type Status struct {
	// Low is set once the limit has fallen below half of its highest value of late,
	// until it has recovered.
	Low bool
	// Limit is in searches of the largest cost, Highest its largest value of late.
	Limit, Highest float64
	// Running is the number of searches in progress, Waiting of those that wait.
	Running, Waiting int
}

// Status returns the present state.
func (g *Gate) Status() Status {
	return Status{
		Low:     g.low,
		Limit:   g.limit,
		Highest: g.highest,
		Running: len(g.running),
		Waiting: len(g.queue),
	}
}
