package swarm

import (
	"fmt"
	"time"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// What upstreams with slots do: a bounded queue, and pauses of all their work.
const (
	queueLength   = 12
	pauseTime     = 100 * time.Millisecond
	pauseInterval = 2400 * time.Millisecond

	// fixedWork is the part of the work that each call takes at least; the rest is
	// exponentially distributed.
	fixedWork = 0.5

	// minRetryTime is the time that must be left for a caller to come again.
	minRetryTime = 50 * time.Millisecond
)

// The routes of flows.
const (
	searchPath = "/search/x"
	urgentPath = "/urgent/x"
	singlePath = "/single/x"
)

// Kind is the route of a flow.
type Kind uint8

// The kinds of flows: a search over all shards, an urgent one, and a request to one
// upstream.
const (
	Search Kind = iota
	Urgent
	Single
)

func (k Kind) path() string { return [...]string{searchPath, urgentPath, singlePath}[k] }

func (k Kind) route() rules.Route {
	return [...]rules.Route{{
		Name:             "usual",
		Target:           120 * time.Millisecond,
		Timeout:          1200 * time.Millisecond,
		MinShardFraction: 0.95,
		Priority:         1,
	}, {
		Name:             "urgent",
		Target:           40 * time.Millisecond,
		Timeout:          600 * time.Millisecond,
		MinShardFraction: 0.85,
	}, {
		Name:     "single",
		Target:   500 * time.Millisecond,
		Timeout:  4 * time.Second,
		Priority: 2,
	}}[k]
}

// Slowness makes upstreams of some shards slower by a factor.
type Slowness struct {
	Shards int
	Factor float64
	Until  time.Duration
}

// Flow is a stream of callers. A caller that is refused comes again once, after the
// time that it is told, if its time limit leaves enough.
type Flow struct {
	Kind Kind
	// Account is that of the callers, empty for none.
	Account ident.Account
	// Work is the mean work of a call at an upstream.
	Work time.Duration
	// PerSecond is the rate of callers from From to Until.
	PerSecond   float64
	From, Until time.Duration
}

// FlowResult counts what became of the callers of a flow.
type FlowResult struct {
	Asked int
	// Timely is the number of callers that were answered within the target, from
	// their first attempt; Late that of others that were answered.
	Timely, Late int
	// Refused is the number of callers whose last attempt was refused as not run,
	// and Failed that of those whose last attempt was not answered otherwise.
	Refused, Failed int
	// Refusals counts refused attempts, SlowRefusals those that took longer than a
	// quarter of the target.
	Refusals, SlowRefusals int
	// Afters are the times that refused callers were told to wait.
	Afters []time.Duration
}

// visit is one caller of a flow.
type visit struct {
	flow    *Flow
	out     *FlowResult
	id      ident.RequestID
	began   ident.Instant
	attempt ident.Instant
	again   bool
}

func (s *Swarm) slots() int {
	if s.setup.Slots > 0 {
		return s.setup.Slots
	}
	return 1000
}

// addLoadRoutes adds the routes of flows to the document.
func (s *Swarm) addLoadRoutes(d *rules.Document) {
	if len(s.setup.Flows) == 0 {
		return
	}
	shards := d.Routes[0].Shards
	d.Routes = nil
	for _, k := range []Kind{Search, Urgent, Single} {
		r := k.route()
		r.Host, r.Prefix = "a.example", k.path()[:len(k.path())-1]
		r.Kind, r.Attempts, r.TopK = rules.Idempotent, 2, 3
		if k == Single {
			r.Backends = []rules.Backend{{
				Service: shards[0],
				Weight:  1,
			}}
		} else {
			r.Shards = shards
		}
		d.Routes = append(d.Routes, r)
	}
	for i := range d.Services {
		d.Services[i].MaxConnections = 400
	}
}

// sendFlows plans the callers of all flows, and the pauses of upstreams.
func (s *Swarm) sendFlows() {
	if len(s.setup.Flows) == 0 {
		return
	}
	for i := range s.setup.Shards {
		for j := range s.replicas() {
			u := s.upstreams[upstreamID(i, j)]
			u.pauseAt = ident.Instant(s.rng.Int64N(int64(pauseInterval)))
			if j < len(s.setup.Slow) && i < s.setup.Slow[j].Shards {
				u.slow, u.slowUntil = s.setup.Slow[j].Factor, ident.Instant(s.setup.Slow[j].Until)
			}
			if j < len(s.setup.Down) && i < s.setup.Down[j] {
				u.downUntil = 1 << 62
			}
		}
	}
	s.out.Flows = make([]FlowResult, len(s.setup.Flows))
	for i := range s.setup.Flows {
		f, out := &s.setup.Flows[i], &s.out.Flows[i]
		for at := f.From; ; {
			at += time.Duration(s.rng.ExpFloat64() / f.PerSecond * float64(time.Second))
			if at > f.Until {
				break
			}
			s.after(at, func() {
				out.Asked++
				v := &visit{
					flow:  f,
					out:   out,
					id:    ident.RequestID(fmt.Sprint("v", s.lastQuery)),
					began: s.now,
				}
				s.hosts[s.rng.IntN(s.gatherers())].serveVisit(v)
			})
		}
	}
}

// serveVisit begins an attempt of a caller.
func (h *host) serveVisit(v *visit) {
	s := h.swarm
	s.lastQuery++
	v.attempt = s.now
	h.visits[s.lastQuery] = v
	r := v.flow.Kind.route()
	h.step(relay.Arrive{
		Now:     s.now,
		Query:   s.lastQuery,
		Host:    "a.example",
		Path:    v.flow.Kind.path(),
		Request: v.id,
		Print:   blame.PrintOf(nil, string(v.id)),
		Account: v.flow.Account,
		Limit:   r.Timeout - s.now.Sub(v.began),
	})
}

// endVisit records the end of a caller's attempt. It returns false for other effects.
func (h *host) endVisit(f relay.Effect) bool {
	s := h.swarm
	switch f := f.(type) {
	case relay.Merge:
		return h.answerVisit(f.Query)
	case relay.Pass:
		return h.answerVisit(f.Query)
	case relay.Refuse:
		v := h.visits[f.Query]
		if v == nil {
			return false
		}
		delete(h.visits, f.Query)
		r := v.flow.Kind.route()
		if f.Status != relay.NotNow {
			v.out.Failed++
			return true
		}
		v.out.Refusals++
		v.out.Afters = append(v.out.Afters, f.After)
		if s.now.Sub(v.attempt) > r.Target/4 {
			v.out.SlowRefusals++
		}
		if v.again || s.now.Add(f.After+minRetryTime) > v.began.Add(r.Timeout) {
			v.out.Refused++
			return true
		}
		v.again = true
		s.after(f.After, func() { s.hosts[s.rng.IntN(s.gatherers())].serveVisit(v) })
		return true
	default:
		return false
	}
}

func (h *host) answerVisit(id ident.QueryID) bool {
	v := h.visits[id]
	if v == nil {
		return false
	}
	delete(h.visits, id)
	if h.swarm.now.Add(hop).Sub(v.began) <= v.flow.Kind.route().Target {
		v.out.Timely++
	} else {
		v.out.Late++
	}
	return true
}

// enqueue runs a call in a slot, or lets it wait, or rejects it.
func (u *upstream) enqueue(work time.Duration, done func(relay.Ended)) {
	s := u.swarm
	run := func() {
		u.running++
		s.after(u.workTime(work), func() {
			u.running--
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				next()
			}
			u.answer(relay.Ended{
				Result: relay.Good,
				Status: 200,
			}, done)
		})
	}
	switch {
	case u.running < s.setup.Slots:
		run()
	case len(u.waiting) < queueLength:
		u.waiting = append(u.waiting, run)
	default:
		s.after(u.pauseLeft(s.now), func() {
			u.answer(relay.Ended{
				Result: relay.Rejected,
				Status: 503,
			}, done)
		})
	}
}

// answer sends an answer with the present load.
func (u *upstream) answer(ev relay.Ended, done func(relay.Ended)) {
	ev.Load = relay.Load{
		Known:   true,
		Running: u.running,
		Waiting: len(u.waiting),
		Slots:   u.swarm.setup.Slots,
	}
	u.swarm.after(hop, func() { done(ev) })
}

// workTime returns how long a call takes that begins now, pauses included.
func (u *upstream) workTime(mean time.Duration) time.Duration {
	s := u.swarm
	work := float64(mean) * (fixedWork + (1-fixedWork)*s.rng.ExpFloat64())
	if u.slow > 0 && s.now < u.slowUntil {
		work *= u.slow
	}
	took := u.pauseLeft(s.now) + time.Duration(work)
	if end := s.now.Add(took); u.pauseLeft(end) > 0 {
		took += pauseTime
	}
	return took
}

// pauseLeft returns how much is left at a time of the pause that the upstream is in.
func (u *upstream) pauseLeft(at ident.Instant) time.Duration {
	since := at.Sub(u.pauseAt) % pauseInterval
	if at < u.pauseAt || since >= pauseTime {
		return 0
	}
	return pauseTime - since
}

// atHost runs what a host does with an answer, after HostDelay.
func (s *Swarm) atHost(run func()) {
	if s.setup.HostDelay == 0 {
		run()
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()*float64(s.setup.HostDelay)), run)
}
