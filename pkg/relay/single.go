package relay

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Requests to one upstream do not pass the gate: a host sends about one in some
// seconds, which is too few to learn a limit from. Their calls wait in this host for a
// connection, or upstreams shed them.

const (
	// shedStep is the part by which a shed call brings the share of the requests that a
	// host refuses, of accounts beyond their fair share, towards all; answeredStep is by
	// how much an answer lowers it. At equilibrium an eighth of the calls is shed.
	shedStep     = 0.25
	answeredStep = 0.03

	// minRefusing is the refused share below which a service does not count as having
	// too little capacity: a call that is shed now and then must not hold back anyone.
	minRefusing = 0.3

	// singleWait is the part of the target that a refused caller waits at most, so that
	// it can still be answered in time.
	singleWait = 0.5

	// singleShare is the part of the rate of answers that callers who come back after a
	// refusal are planned to get.
	singleShare = 0.5
)

// serviceLoad is what this host has seen of the requests to one upstream of a service.
type serviceLoad struct {
	// refusing is the share of the requests that are refused of accounts beyond their
	// fair share.
	refusing float64
	shares   *gate.Shares
	schedule *gate.Schedule
}

func (e *Engine) loadOf(s ident.Service) *serviceLoad {
	l := e.loads[s]
	if l == nil {
		l = &serviceLoad{
			shares:   gate.NewShares(gate.SingleTime),
			schedule: gate.NewSchedule(singleShare),
		}
		e.loads[s] = l
	}
	return l
}

// recordSingle records that an upstream has answered a request, or shed a call for it.
func (e *Engine) recordSingle(q *query, p *part, shed bool) {
	if q.route.Gathers() {
		return
	}
	l := e.loadOf(p.service)
	if shed {
		l.refusing += shedStep * (1 - l.refusing)
		return
	}
	l.refusing = max(0, l.refusing-answeredStep)
	l.shares.Got(e.now, q.account, 1)
	l.schedule.Served(e.now, 1)
}

// overShare reports whether a request to one upstream belongs to an account that has
// got its fair share there, while there is too little for all.
func (e *Engine) overShare(q *query) bool {
	if q.route.Gathers() || q.account == "" {
		return false
	}
	l := e.loads[q.parts[0].service]
	return l != nil && l.refusing >= minRefusing && l.shares.Over(e.now, q.account)
}

// refuseOverShare refuses a request to one upstream for an account that takes the capacity of the
// others. It returns false if the request may be sent.
func (e *Engine) refuseOverShare(q *query) bool {
	if q.mayHaveRun || !e.overShare(q) || e.rand.Float64() >= e.loads[q.parts[0].service].refusing {
		return false
	}
	e.refuseEarly(q, Refuse{
		After:  e.comeBack(q, q.parts[0]),
		Reason: "the account has its share of what the upstreams take",
		Cause:  CauseShare,
	})
	return true
}

// comeBack returns when the caller of a request to one upstream should come back that
// upstreams had no room for.
func (e *Engine) comeBack(q *query, p *part) time.Duration {
	after := e.loadOf(p.service).schedule.After(e.now, 1, e.rand.Float64())
	return max(retryAfter, min(after, time.Duration((1-singleWait*e.rand.Float64())*singleWait*float64(q.route.Target))))
}

// overfull gives up a request to one upstream that has to wait for a connection, if no
// answer is expected before its deadline: its caller can still try again now.
func (e *Engine) overfull(q *query, p *part) bool {
	if !e.admits() || q.route.Gathers() || p.waitJudged || len(p.attempts) > 0 || p.arrivals > 0 {
		return false
	}
	p.waitJudged = true
	if e.now.Add(e.expectedWait(q, p)+q.stats.mean) < q.deadline {
		return false
	}
	p.exhausted, p.overfull = true, true
	return true
}
