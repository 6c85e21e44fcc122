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
	// Boot is a random number that the process draws at its start. Attempt
	// numbers start from it, so that a restarted host does not take a grant of
	// its predecessor for its own.
	Boot uint64
	// MaxOpen limits the filings in progress; zero means 10,000.
	MaxOpen int
}

// Reducer executes the filings of one entry host.
type Reducer struct {
	cfg         Config
	random      *rand.Rand
	open        map[ArrivalID]*arrival
	timers      timers
	lastAttempt uint64
	lastCommand uint64
	effects     []Effect
}

type phase int

const (
	// reserving waits for a grant from the ledger.
	reserving phase = iota
	// abandoning has replied, but repeats Reserve to learn whether it was
	// granted, so that the grant can be released.
	abandoning
	// sending waits for the result of the Send.
	sending
	// recording waits for the ledger to acknowledge Complete or Release.
	recording
)

type arrival struct {
	id       ArrivalID
	request  ident.RequestID
	hash     ledger.BodyHash
	deadline ident.Instant

	phase phase
	// attemptStart is when the first Reserve of the attempt was made. The
	// reservation cannot be older, so the send window starts here.
	attemptStart ident.Instant
	attempt      uint64
	fence        uint64
	sends        int

	// command is the CommandID of the ledger command in progress; zero means
	// none.
	command uint64
	backoff time.Duration
	// mayBeReserved is set once a Reserve of the attempt may have been applied
	// although its result did not arrive.
	mayBeReserved bool
	// inFlight is set if another arrival with the same request id has a
	// reservation.
	inFlight bool
	// bodyDiffers is set if the request id was already used with another body.
	bodyDiffers bool

	reply   Reply
	replied bool
	// replyBy is when the reply stops waiting for the ledger to record the
	// outcome.
	replyBy ident.Instant
	// release is set if the outcome is recorded by Release, not by Complete.
	release bool
	// nextCommand is when the ledger command is repeated. due is when the
	// filing is handled next: at nextCommand, or before if a reply is due.
	nextCommand ident.Instant
	due         ident.Instant
}

// New returns a reducer without filings.
func New(cfg Config) *Reducer {
	if cfg.MaxOpen <= 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	return &Reducer{
		cfg:         cfg,
		random:      rand.New(rand.NewPCG(cfg.Boot, 0)),
		open:        make(map[ArrivalID]*arrival),
		lastAttempt: cfg.Boot,
	}
}

// Open returns the number of filings in progress, including those whose caller
// has its reply while the ledger still has to record the outcome.
func (r *Reducer) Open() int { return len(r.open) }

// Step handles one event at the time now and returns the effects that the
// runtime has to carry out. Events about filings that are not in progress are
// ignored.
func (r *Reducer) Step(now ident.Instant, event Event) []Effect {
	r.effects = nil
	switch e := event.(type) {
	case Arrived:
		r.arrived(now, e)
	case ReserveAnswered:
		if a := r.open[e.Arrival]; a != nil && a.command == e.CommandID {
			a.command = 0
			r.reserveAnswered(now, a, e.Result)
		}
	case ReserveFailed:
		if a := r.open[e.Arrival]; a != nil && a.command == e.CommandID {
			a.command = 0
			a.mayBeReserved = a.mayBeReserved || !e.NotRun
			r.scheduleRetry(now, a)
		}
	case SendAnswered:
		if a := r.open[e.Arrival]; a != nil && a.phase == sending && a.fence == e.Fence {
			r.sendAnswered(now, a, e.Receipt)
		}
	case SendFailed:
		if a := r.open[e.Arrival]; a != nil && a.phase == sending && a.fence == e.Fence {
			r.sendFailed(now, a, e.Kind)
		}
	case RecordAnswered:
		if a := r.open[e.Arrival]; a != nil && a.phase == recording && a.command == e.CommandID {
			r.recorded(now, a)
		}
	case RecordFailed:
		if a := r.open[e.Arrival]; a != nil && a.phase == recording && a.command == e.CommandID {
			a.command = 0
			r.scheduleRetry(now, a)
		}
	case Ticked:
		r.ticked(now)
	}
	r.wake(now)
	return r.effects
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

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
	r.startAttempt(now, a)
}

// startAttempt makes a new reservation with its own send window.
func (r *Reducer) startAttempt(now ident.Instant, a *arrival) {
	r.lastAttempt++
	a.phase, a.attempt, a.attemptStart = reserving, r.lastAttempt, now
	a.fence, a.mayBeReserved, a.inFlight = 0, false, false
	a.backoff = minBackoff
	r.issueCommand(now, a)
}

// sendLimit returns the time from which a grant must not be used any more.
func (a *arrival) sendLimit() ident.Instant {
	return min(a.deadline, a.attemptStart.Add(ledger.SendWindow))
}

// issueCommand issues the ledger command of the current phase.
func (r *Reducer) issueCommand(now ident.Instant, a *arrival) {
	r.lastCommand++
	a.command = r.lastCommand
	switch {
	case a.phase == reserving || a.phase == abandoning:
		r.emit(Reserve{
			Arrival:   a.id,
			CommandID: a.command,
			Request:   a.request,
			BodyHash:  a.hash,
			Attempt:   a.attempt,
		})
	case a.release:
		r.emit(Release{
			Arrival:   a.id,
			CommandID: a.command,
			Request:   a.request,
			Fence:     a.fence,
		})
	default:
		r.emit(Complete{
			Arrival:   a.id,
			CommandID: a.command,
			Request:   a.request,
			Fence:     a.fence,
			Receipt:   a.reply.Receipt,
		})
	}
	r.schedule(a, now.Add(commandTimeout))
}

// scheduleRetry repeats the ledger command after the backoff.
func (r *Reducer) scheduleRetry(now ident.Instant, a *arrival) {
	wait := a.backoff + time.Duration(r.random.Int64N(int64(a.backoff)/2)) - a.backoff/4
	a.backoff = min(2*a.backoff, maxBackoff)
	r.schedule(a, now.Add(wait))
}

func (r *Reducer) reserveAnswered(now ident.Instant, a *arrival, res ledger.Result) {
	switch res.Kind {
	case ledger.Granted:
		r.granted(now, a, res.Fence)
	case ledger.InFlight:
		// An abandoned attempt is repeated too: an earlier Reserve of it may
		// still be applied after the other arrival has released the filing.
		a.inFlight = true
		r.scheduleRetry(now, a)
	case ledger.Recorded:
		if res.Status == ledger.Unknown && res.Fence != 0 {
			// The reservation of this attempt expired before its grant
			// arrived. Nothing was sent under it, so it can be released.
			a.fence = res.Fence
			r.record(now, a, engine.NotRun, "", remedyNoLedger)
			return
		}
		r.replyOnce(a, outcomeOf(res.Status), res.Receipt, res.Remedy)
		r.remove(a)
	default:
		a.bodyDiffers = res.Kind == ledger.BodyDiffers
		r.replyOnce(a, engine.NotRun, "", res.Remedy)
		r.remove(a)
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
	if a.phase == abandoning || now >= a.sendLimit() {
		r.record(now, a, engine.NotRun, "", remedyNoLedger)
		return
	}
	a.phase = sending
	r.emit(Send{
		Arrival:  a.id,
		Request:  a.request,
		Fence:    fence,
		Until:    a.sendLimit(),
		Deadline: a.deadline,
		Earlier:  a.sends,
	})
	a.sends++
	r.schedule(a, a.deadline)
}

func (r *Reducer) sendAnswered(now ident.Instant, a *arrival, receipt string) {
	r.record(now, a, engine.Done, receipt, "")
}

func (r *Reducer) sendFailed(now ident.Instant, a *arrival, kind engine.FailKind) {
	if provablyNotRun(kind) {
		r.record(now, a, engine.NotRun, "", remedyResend)
		return
	}
	// The filing may have run. Nothing is recorded, so the ledger turns the
	// reservation to Unknown when it expires.
	r.replyOnce(a, engine.Unknown, "", remedyUnknown)
	r.remove(a)
}

func provablyNotRun(kind engine.FailKind) bool {
	switch kind {
	case engine.Shed, engine.Draining, engine.Refused, engine.VersionGone, engine.WrongShard:
		return true
	}
	return false
}

// record starts to record the outcome: Complete or Release is repeated until the
// ledger acknowledges it. The reply waits for that, at most recordTimeout.
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
	a.replyBy = min(a.deadline, now.Add(recordTimeout))
	a.backoff = minBackoff
	r.issueCommand(now, a)
}

func (r *Reducer) recorded(now ident.Instant, a *arrival) {
	a.command = 0
	resend := a.release && !a.replied && a.sends > 0 && a.sends < maxSends && now < a.deadline
	if resend {
		r.startAttempt(now, a)
		return
	}
	r.replyOnce(a, a.reply.Outcome, a.reply.Receipt, a.reply.Remedy)
	r.remove(a)
}

// replyOnce answers the caller unless that was done before.
func (r *Reducer) replyOnce(a *arrival, outcome engine.Outcome, receipt, remedy string) {
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
		BodyDiffers: a.bodyDiffers,
		Remedy:      remedy,
	})
}

func (r *Reducer) remove(a *arrival) { delete(r.open, a.id) }

// handleDue acts on a filing whose time a.due has come.
func (r *Reducer) handleDue(now ident.Instant, a *arrival) {
	switch a.phase {
	case reserving:
		r.handleReservingDue(now, a)
	case abandoning:
		r.issueCommand(now, a)
	case sending:
		// The caller's deadline is exceeded. A late result is still recorded.
		r.replyOnce(a, engine.Unknown, "", remedyUnknown)
	case recording:
		if now >= a.replyBy {
			r.replyOnce(a, a.reply.Outcome, a.reply.Receipt, a.reply.Remedy)
		}
		if now < a.nextCommand {
			r.schedule(a, a.nextCommand)
			return
		}
		r.issueCommand(now, a)
	}
}

// handleReservingDue repeats Reserve while there is still time to use a grant.
// After that it replies to the caller, and continues only if a reservation may
// exist that has to be released.
func (r *Reducer) handleReservingDue(now ident.Instant, a *arrival) {
	a.mayBeReserved = a.mayBeReserved || a.command != 0
	if now < a.sendLimit() {
		r.issueCommand(now, a)
		return
	}
	if a.inFlight {
		r.replyOnce(a, engine.Unknown, "", remedyInFlight)
	} else {
		r.replyOnce(a, engine.NotRun, "", remedyNoLedger)
	}
	if !a.mayBeReserved {
		r.remove(a)
		return
	}
	a.phase = abandoning
	r.issueCommand(now, a)
}
