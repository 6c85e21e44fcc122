package filing

import (
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// Config are the settings of a reducer.
type Config struct {
	// Boot is a random number of the process. Attempt numbers start from it,
	// so that a restarted host does not take an old grant for its own.
	Boot uint64
	// MaxOpen bounds the filings in progress; zero means 10,000.
	MaxOpen int
}

// Reducer runs the filings of one entry host.
type Reducer struct {
	cfg     Config
	random  *rand.Rand
	open    map[ArrivalID]*arrival
	timers  timers
	attempt uint64
	try     uint64
	out     []Effect
}

type phase int

const (
	// reserving waits for a grant.
	reserving phase = iota
	// abandoning has replied and asks on, to release a grant that it may get.
	abandoning
	// sending waits for the result of the one Send.
	sending
	// recording waits for the acknowledgement of Complete or Release.
	recording
)

type arrival struct {
	id       ArrivalID
	request  ident.RequestID
	hash     ledger.BodyHash
	deadline ident.Instant

	phase phase
	// began is when the first Reserve of the attempt was made. The reservation
	// cannot be older, so the send window is counted from it.
	began   ident.Instant
	attempt uint64
	fence   uint64
	sends   int

	// try numbers the ledger command in progress; zero means none.
	try     uint64
	backoff time.Duration
	// unclear is set once a Reserve may have been applied without an answer.
	unclear  bool
	inFlight bool
	// differs is set when the id was used with another body.
	differs bool

	reply   Reply
	replied bool
	// replyBy is when a reply no longer waits for the recording.
	replyBy ident.Instant
	release bool
	// next is when the ledger command is made again; due is next or an earlier
	// time at which the reply is due.
	next ident.Instant
	due  ident.Instant
}

// New returns a reducer without filings.
func New(cfg Config) *Reducer {
	if cfg.MaxOpen <= 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	return &Reducer{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Boot, 0)),
		open:    make(map[ArrivalID]*arrival),
		attempt: cfg.Boot,
	}
}

// Open returns the number of filings in progress, also those that were
// replied to and are still being recorded.
func (r *Reducer) Open() int { return len(r.open) }

// Step takes one event at the time now and returns what has to be done.
// Events about filings that are not in progress are ignored.
func (r *Reducer) Step(now ident.Instant, event Event) []Effect {
	r.out = nil
	switch e := event.(type) {
	case Arrived:
		r.arrived(now, e)
	case ReserveAnswered:
		if a := r.open[e.Arrival]; a != nil && a.try == e.Try {
			a.try = 0
			r.reserved(now, a, e.Result)
		}
	case ReserveFailed:
		if a := r.open[e.Arrival]; a != nil && a.try == e.Try {
			a.try = 0
			a.unclear = a.unclear || !e.NotRun
			r.retry(now, a)
		}
	case SendAnswered:
		if a := r.open[e.Arrival]; a != nil && a.phase == sending && a.fence == e.Fence {
			r.sent(now, a, e.Receipt)
		}
	case SendFailed:
		if a := r.open[e.Arrival]; a != nil && a.phase == sending && a.fence == e.Fence {
			r.notSent(now, a, e.Kind)
		}
	case RecordAnswered:
		if a := r.open[e.Arrival]; a != nil && a.phase == recording && a.try == e.Try {
			r.recorded(now, a)
		}
	case RecordFailed:
		if a := r.open[e.Arrival]; a != nil && a.phase == recording && a.try == e.Try {
			a.try = 0
			r.retry(now, a)
		}
	case Ticked:
		r.ticked(now)
	}
	r.wake(now)
	return r.out
}

func (r *Reducer) emit(e Effect) { r.out = append(r.out, e) }

func (r *Reducer) arrived(now ident.Instant, e Arrived) {
	remedy := ""
	switch {
	case len(r.open) >= r.cfg.MaxOpen:
		remedy = remedyBusy
	case e.Budget <= 0:
		remedy = remedyResend
	}
	if remedy != "" {
		r.emit(Reply{
			Arrival: e.Arrival,
			Request: e.Request,
			Outcome: engine.NotRun,
			Remedy:  remedy,
		})
		return
	}
	a := &arrival{
		id:       e.Arrival,
		request:  e.Request,
		hash:     e.BodyHash,
		deadline: now.Add(e.Budget),
	}
	r.open[a.id] = a
	r.attemptReserve(now, a)
}

// attemptReserve starts a new attempt with its own send window.
func (r *Reducer) attemptReserve(now ident.Instant, a *arrival) {
	r.attempt++
	a.phase, a.attempt, a.began = reserving, r.attempt, now
	a.fence, a.unclear, a.inFlight = 0, false, false
	a.backoff = minBackoff
	r.ask(now, a)
}

// giveUp is the time after which a grant is not used any more.
func (a *arrival) giveUp() ident.Instant {
	return min(a.deadline, a.began.Add(ledger.SendWindow))
}

// ask makes the ledger command that the phase needs.
func (r *Reducer) ask(now ident.Instant, a *arrival) {
	r.try++
	a.try = r.try
	switch {
	case a.phase == reserving || a.phase == abandoning:
		r.emit(Reserve{
			Arrival:  a.id,
			Try:      a.try,
			Request:  a.request,
			BodyHash: a.hash,
			Attempt:  a.attempt,
		})
	case a.release:
		r.emit(Release{
			Arrival: a.id,
			Try:     a.try,
			Request: a.request,
			Fence:   a.fence,
		})
	default:
		r.emit(Complete{
			Arrival: a.id,
			Try:     a.try,
			Request: a.request,
			Fence:   a.fence,
			Receipt: a.reply.Receipt,
		})
	}
	r.schedule(a, now.Add(askTimeout))
}

// retry repeats the ledger command after a growing wait.
func (r *Reducer) retry(now ident.Instant, a *arrival) {
	wait := a.backoff + time.Duration(r.random.Int64N(int64(a.backoff)/2)) - a.backoff/4
	a.backoff = min(2*a.backoff, maxBackoff)
	r.schedule(a, now.Add(wait))
}

func (r *Reducer) reserved(now ident.Instant, a *arrival, res ledger.Result) {
	switch res.Kind {
	case ledger.Granted:
		r.granted(now, a, res.Fence)
	case ledger.InFlight:
		// An abandoned attempt asks on too: an earlier Reserve of it may still
		// be applied after the other arrival has released the filing.
		a.inFlight = true
		r.retry(now, a)
	case ledger.Recorded:
		if res.Status == ledger.Unknown && res.Fence != 0 {
			// The reservation of this attempt expired before its answer came.
			// Nothing was sent under it, so it is released.
			a.fence = res.Fence
			r.record(now, a, engine.NotRun, "", remedyNoLedger)
			return
		}
		r.replyAs(a, outcomeOf(res.Status), res.Receipt, res.Remedy)
		r.drop(a)
	default:
		a.differs = res.Kind == ledger.BodyDiffers
		r.replyAs(a, engine.NotRun, "", res.Remedy)
		r.drop(a)
	}
}

func outcomeOf(s ledger.Status) engine.Outcome {
	switch s {
	case ledger.Done:
		return engine.Done
	case ledger.NotRun:
		return engine.NotRun
	default:
		return engine.Unknown
	}
}

func (r *Reducer) granted(now ident.Instant, a *arrival, fence uint64) {
	a.fence = fence
	if a.phase == abandoning || now >= a.giveUp() {
		r.record(now, a, engine.NotRun, "", remedyNoLedger)
		return
	}
	a.phase = sending
	r.emit(Send{
		Arrival:  a.id,
		Request:  a.request,
		Fence:    fence,
		Until:    a.giveUp(),
		Deadline: a.deadline,
		Earlier:  a.sends,
	})
	a.sends++
	r.schedule(a, a.deadline)
}

func (r *Reducer) sent(now ident.Instant, a *arrival, receipt string) {
	r.record(now, a, engine.Done, receipt, "")
}

func (r *Reducer) notSent(now ident.Instant, a *arrival, kind engine.FailKind) {
	if provablyNotRun(kind) {
		r.record(now, a, engine.NotRun, "", remedyResend)
		return
	}
	// The reservation stays without an outcome and becomes Unknown.
	r.replyAs(a, engine.Unknown, "", remedyUnknown)
	r.drop(a)
}

func provablyNotRun(kind engine.FailKind) bool {
	switch kind {
	case engine.Shed, engine.Draining, engine.Refused, engine.VersionGone, engine.WrongShard:
		return true
	}
	return false
}

// record repeats Complete or Release until the ledger acknowledges it. The
// reply waits for that for a short time.
func (r *Reducer) record(now ident.Instant, a *arrival, outcome engine.Outcome, receipt, remedy string) {
	a.phase = recording
	a.release = outcome == engine.NotRun
	a.reply = Reply{
		Arrival: a.id,
		Request: a.request,
		Outcome: outcome,
		Receipt: receipt,
		Remedy:  remedy,
	}
	a.replyBy = min(a.deadline, now.Add(recordWait))
	a.backoff = minBackoff
	r.ask(now, a)
}

func (r *Reducer) recorded(now ident.Instant, a *arrival) {
	a.try = 0
	again := a.release && !a.replied && a.sends > 0 && a.sends < maxSends && now < a.deadline
	if again {
		r.attemptReserve(now, a)
		return
	}
	r.replyAs(a, a.reply.Outcome, a.reply.Receipt, a.reply.Remedy)
	r.drop(a)
}

func (r *Reducer) replyAs(a *arrival, outcome engine.Outcome, receipt, remedy string) {
	if a.replied {
		return
	}
	a.replied = true
	if outcome == engine.Done {
		remedy = ""
	}
	r.emit(Reply{
		Arrival:     a.id,
		Request:     a.request,
		Outcome:     outcome,
		Receipt:     receipt,
		BodyDiffers: a.differs,
		Remedy:      remedy,
	})
}

func (r *Reducer) drop(a *arrival) { delete(r.open, a.id) }

// expire handles the time a.due of one filing.
func (r *Reducer) expire(now ident.Instant, a *arrival) {
	switch a.phase {
	case reserving:
		r.expireReserving(now, a)
	case abandoning:
		r.ask(now, a)
	case sending:
		// The late result is still recorded when it comes.
		r.replyAs(a, engine.Unknown, "", remedyUnknown)
	case recording:
		if now >= a.replyBy {
			r.replyAs(a, a.reply.Outcome, a.reply.Receipt, a.reply.Remedy)
		}
		if now < a.next {
			r.schedule(a, a.next)
			return
		}
		r.ask(now, a)
	}
}

func (r *Reducer) expireReserving(now ident.Instant, a *arrival) {
	a.unclear = a.unclear || a.try != 0
	if now < a.giveUp() {
		r.ask(now, a)
		return
	}
	if a.inFlight {
		r.replyAs(a, engine.Unknown, "", remedyInFlight)
	} else {
		r.replyAs(a, engine.NotRun, "", remedyNoLedger)
	}
	if !a.unclear {
		r.drop(a)
		return
	}
	a.phase = abandoning
	r.ask(now, a)
}
