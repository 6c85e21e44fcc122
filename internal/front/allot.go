package front

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/clock"
	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/gram"
	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
	"github.com/jujubethread/jujubethread/platform"
)

// Kinds of datagrams between hosts that share limits of accounts.
const (
	kindAsk    byte = 16
	kindAnswer byte = 17
	kindReturn byte = 18
	kindBorrow byte = 19
	kindLoan   byte = 20
)

const (
	// A request waits for a grant for a tenth of its target and grantMargin: a datagram
	// takes 2 to 8 ms each way between hosts with slow processors.
	grantMargin = 16 * time.Millisecond

	// The next gatherer is asked after secondAskPercent of that time without an answer.
	secondAskPercent = 60

	// localRetry is the Retry-After of a host that reaches no owner: about when it has
	// noticed, or the owner is replaced.
	localRetry = 500 * time.Millisecond

	// forgetTime is how long questions to other hosts are kept for late answers.
	forgetTime = time.Second

	// calmTime is how long no request of an account must be refused until its refusals
	// count as ended.
	calmTime = 5 * time.Second
)

// askMessage asks the owner of an account for a request.
type askMessage struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Account ident.Account
	Version rules.Version
	Rate    float64
	Burst   float64
	Extra   int
}

type answerMessage struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Requests    int
	Stamp       allot.Stamp
	AfterMicros int64
}

type returnMessage struct {
	_        struct{} `cbor:",toarray"`
	Account  ident.Account
	Stamp    allot.Stamp
	Requests int
}

// borrowMessage asks the owner of an account in another domain for a loan.
type borrowMessage struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Account ident.Account
	Version rules.Version
	Rate    float64
	Burst   float64
	Want    float64
	Have    float64
}

type loanMessage struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Loan float64
}

// accountLimits shares the reducers of account limits between the goroutines of
// requests and that of the socket. Its clock includes suspensions, since grants expire.
type accountLimits struct {
	start clock.Reading

	mu     sync.Mutex
	owner  *allot.Owner
	holder *allot.Holder
	// lastID starts at random, so that answers to an earlier process are ignored.
	lastID   uint64
	asks     map[uint64]*ask
	borrows  map[uint64]*borrowing
	refusing map[ident.Account]*refusals
}

// ask is a question to the owner of an account.
type ask struct {
	token   allot.Token
	attempt int
	waiter  *waiter
}

// waiter is a request that waits for an answer. answers has room for all of them.
type waiter struct {
	answers chan answered
	left    bool
}

type answered struct {
	ask    *ask
	answer allot.Answer
}

// borrowing is a question for loans. Each owner answers it once.
type borrowing struct {
	account ident.Account
	sent    ident.Instant
	lenders map[netip.AddrPort]bool
}

// refusals are those of an account since the time since.
type refusals struct {
	since, last ident.Instant
	count       int
}

func newAccountLimits(cfg allot.Config) *accountLimits {
	if !cfg.Enabled() {
		return nil
	}
	return &accountLimits{
		start:    clock.Now(),
		owner:    allot.NewOwner(cfg, rand.Uint64()),
		holder:   allot.NewHolder(cfg, rand.Uint64()),
		lastID:   rand.Uint64(),
		asks:     make(map[uint64]*ask),
		borrows:  make(map[uint64]*borrowing),
		refusing: make(map[ident.Account]*refusals),
	}
}

func (l *accountLimits) now() ident.Instant { return ident.Instant(clock.Now().Sub(l.start)) }

// withinLimit reports whether a request is within the limit that its account has under a
// table, and answers it otherwise. It counts the request. account is nil for none.
func (f *Front) withinLimit(ctx context.Context, w http.ResponseWriter, q *request, pm *permit) bool {
	limit, limited := allot.LimitOf(pm.account, pm.table.Version())
	if f.limits == nil || !limited || pm.route == nil {
		return true
	}
	ok, after := f.allow(ctx, q, limit, pm.route.Target)
	if !ok && ctx.Err() != nil {
		f.gauge.Request(gauge.Left, f.now().Sub(q.started))
		closeUnanswered()
	}
	if !ok {
		f.gauge.OverLimit.Inc(1)
		f.countRefusal(limit.Account)
		platform.SetRetryAfter(w.Header(), after)
		w.Header()["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusTooManyRequests)
	}
	return ok
}

// allow counts a request in a limit. If that is used up, it returns when to try again.
func (f *Front) allow(ctx context.Context, q *request, limit allot.Limit, target time.Duration) (ok bool, retryAfter time.Duration) {
	l := f.limits
	l.mu.Lock()
	token, decision, after, extra := l.holder.Take(l.now(), limit.Account)
	l.mu.Unlock()
	switch decision {
	case allot.Allowed:
		q.token = token
		return true, 0
	case allot.Refused:
		return false, after
	case allot.Undecided:
	}
	return f.askOwners(ctx, q, allot.Ask{
		Limit: limit,
		Extra: extra,
	}, target/10+grantMargin)
}

// askOwners asks the owner of an account, and the next gatherer if there is no answer.
// Without an answer within the time wait this host decides.
func (f *Front) askOwners(ctx context.Context, q *request, in allot.Ask, wait time.Duration) (ok bool, retryAfter time.Duration) {
	l := f.limits
	w := &waiter{answers: make(chan answered, 2)}
	defer f.leave(w)
	owners := f.peers.accountOwners(f.cfg.Domain, in.Limit.Account)
	owners = owners[:min(len(owners), cap(w.answers))]
	first := wait
	if len(owners) > 1 {
		first = wait * secondAskPercent / 100
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	if len(owners) > 0 {
		f.ask(owners[0], 0, in, w)
	}
	for second := len(owners) > 1; len(owners) > 0; {
		select {
		case <-ctx.Done():
			return false, localRetry
		case a := <-w.answers:
			switch {
			case a.answer.Requests > 0:
				if l.take(a) {
					f.gauge.GrantsInTime.Inc(1)
					q.token = a.ask.token
					return true, 0
				}
			case a.ask.attempt == 0:
				f.gauge.GrantsInTime.Inc(1)
				l.mu.Lock()
				l.holder.Denied(l.now(), in.Limit.Account, a.answer.After)
				l.mu.Unlock()
				return false, a.answer.After
			}
		case <-timer.C:
			if second {
				second = false
				timer.Reset(wait - first)
				f.ask(owners[1], 1, in, w)
				continue
			}
			return f.decideLocally(q, in.Limit)
		}
	}
	return f.decideLocally(q, in.Limit)
}

func (l *accountLimits) take(a answered) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Granted(l.now(), a.ask.token, a.answer.Requests)
}

// decideLocally decides about a request while no owner answers.
func (f *Front) decideLocally(q *request, limit allot.Limit) (ok bool, retryAfter time.Duration) {
	f.gauge.LocalDecisions.Inc(1)
	l := f.limits
	hosts := f.peers.domainHosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	q.token, ok = l.holder.Local(l.now(), limit, hosts)
	return ok, localRetry
}

// ask asks one owner. Its answer goes to the waiter.
func (f *Front) ask(to gather.Owner, attempt int, in allot.Ask, w *waiter) {
	l := f.limits
	a := &ask{
		token: allot.Token{
			Account: in.Limit.Account,
			Owner:   to.ID,
			Sent:    l.now(),
		},
		attempt: attempt,
		waiter:  w,
	}
	f.gauge.GrantRequests.Inc(1)
	if to.Self {
		answer := f.answerAsk(in)
		a.token.Stamp = answer.Stamp
		w.answers <- answered{
			ask:    a,
			answer: answer,
		}
		return
	}
	address, err := netip.ParseAddrPort(to.Link)
	if err != nil {
		return // logged by the pinger
	}
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.asks[id] = a
	l.mu.Unlock()
	f.sendMessage(kindAsk, askMessage{
		ID:      id,
		Account: in.Limit.Account,
		Version: in.Limit.Version,
		Rate:    in.Limit.Rate,
		Burst:   in.Limit.Burst,
		Extra:   in.Extra,
	}, address)
}

// leave returns the grants that a waiter has not used. Later ones are returned as they
// arrive.
func (f *Front) leave(w *waiter) {
	f.limits.mu.Lock()
	w.left = true
	f.limits.mu.Unlock()
	for {
		select {
		case a := <-w.answers:
			f.giveBack(a.ask.token, a.answer.Requests)
		default:
			return
		}
	}
}

// returnQuota returns the quota of a request that has not been sent to any upstream.
func (f *Front) returnQuota(q *request) {
	if f.limits != nil && q.token.Owner != "" {
		f.giveBack(q.token, 1)
		q.token = allot.Token{}
	}
}

func (f *Front) giveBack(t allot.Token, requests int) {
	l := f.limits
	l.mu.Lock()
	due := requests > 0 && l.holder.Returns(l.now(), t)
	if due && t.Owner == f.cfg.Name {
		l.owner.Return(l.now(), t.Account, t.Stamp, requests)
	}
	l.mu.Unlock()
	if !due || t.Owner == f.cfg.Name {
		return
	}
	for _, o := range f.peers.accountOwners(f.cfg.Domain, t.Account) {
		if to, err := netip.ParseAddrPort(o.Link); err == nil && o.ID == t.Owner {
			f.sendMessage(kindReturn, returnMessage{
				Account:  t.Account,
				Stamp:    t.Stamp,
				Requests: requests,
			}, to)
		}
	}
}

// answerAsk answers a host, or this one, as the owner of an account.
func (f *Front) answerAsk(in allot.Ask) allot.Answer {
	l := f.limits
	leading := f.peers.leadsAccount(f.now(), in.Limit.Account)
	l.mu.Lock()
	now := l.now()
	out := l.owner.Ask(now, leading, in)
	borrow, due := l.owner.Borrow(now, in.Limit.Account)
	l.lastID++
	id := l.lastID
	if due {
		l.borrows[id] = &borrowing{
			account: in.Limit.Account,
			sent:    now,
			lenders: make(map[netip.AddrPort]bool),
		}
	}
	l.mu.Unlock()
	if due {
		f.sendBorrow(id, borrow)
	}
	return out
}

// sendBorrow asks the owners of an account in all domains for loans. That of this domain
// is asked by a host that stands in for it.
func (f *Front) sendBorrow(id uint64, b allot.Borrow) {
	for _, d := range f.cfg.Domains {
		owners := f.peers.accountOwners(d, b.Limit.Account)
		if len(owners) == 0 || owners[0].Self {
			continue
		}
		to, err := netip.ParseAddrPort(owners[0].Link)
		if err != nil {
			continue // logged by the pinger
		}
		f.sendMessage(kindBorrow, borrowMessage{
			ID:      id,
			Account: b.Limit.Account,
			Version: b.Limit.Version,
			Rate:    b.Limit.Rate,
			Burst:   b.Limit.Burst,
			Want:    b.Want,
			Have:    b.Have,
		}, to)
	}
}

// receiveAccount handles a datagram about the limit of an account. It is handled at once,
// not queued for the loop, since a request waits for the answer.
func (f *Front) receiveAccount(b []byte, from netip.AddrPort) {
	if f.limits == nil {
		return
	}
	var err error
	switch b[0] {
	case kindAsk:
		var in askMessage
		if err = gram.Decode(b, &in); err == nil {
			f.receiveAsk(&in, from)
		}
	case kindAnswer:
		var in answerMessage
		if err = gram.Decode(b, &in); err == nil {
			f.receiveAnswer(&in)
		}
	case kindReturn:
		var in returnMessage
		if err = gram.Decode(b, &in); err == nil {
			f.limits.mu.Lock()
			f.limits.owner.Return(f.limits.now(), in.Account, in.Stamp, in.Requests)
			f.limits.mu.Unlock()
		}
	case kindBorrow:
		var in borrowMessage
		if err = gram.Decode(b, &in); err == nil {
			f.receiveBorrow(&in, from)
		}
	case kindLoan:
		var in loanMessage
		if err = gram.Decode(b, &in); err == nil {
			f.receiveLoan(&in, from)
		}
	}
	if err != nil {
		f.log.Debug("datagram is ignored", "From", from.String(), "Error", err.Error())
	}
}

// validLimit reports whether a limit of another host can be kept.
func validLimit(l allot.Limit) bool {
	return l.Rate > 0 && !math.IsInf(l.Rate, 0) && l.Burst >= 0 && !math.IsInf(l.Burst, 0)
}

func (f *Front) receiveAsk(in *askMessage, from netip.AddrPort) {
	a := allot.Ask{
		Limit: allot.Limit{
			Account: in.Account,
			Version: in.Version,
			Rate:    in.Rate,
			Burst:   in.Burst,
		},
		Extra: in.Extra,
	}
	if !validLimit(a.Limit) {
		return
	}
	out := f.answerAsk(a)
	f.sendMessage(kindAnswer, answerMessage{
		ID:          in.ID,
		Requests:    out.Requests,
		Stamp:       out.Stamp,
		AfterMicros: out.After.Microseconds(),
	}, from)
}

func (f *Front) receiveAnswer(in *answerMessage) {
	l := f.limits
	l.mu.Lock()
	a := l.asks[in.ID]
	delete(l.asks, in.ID)
	left := a == nil || a.waiter.left
	if a != nil {
		a.token.Stamp = in.Stamp
	}
	if !left {
		// The channel has room for an answer to each ask, and the ask is removed.
		a.waiter.answers <- answered{
			ask: a,
			answer: allot.Answer{
				Requests: in.Requests,
				Stamp:    in.Stamp,
				After:    time.Duration(in.AfterMicros) * time.Microsecond,
			},
		}
	}
	l.mu.Unlock()
	if a != nil && left {
		f.giveBack(a.token, in.Requests)
	}
}

func (f *Front) receiveBorrow(in *borrowMessage, from netip.AddrPort) {
	b := allot.Borrow{
		Limit: allot.Limit{
			Account: in.Account,
			Version: in.Version,
			Rate:    in.Rate,
			Burst:   in.Burst,
		},
		Want: in.Want,
		Have: in.Have,
	}
	if !validLimit(b.Limit) {
		return
	}
	l := f.limits
	leading := f.peers.leadsAccount(f.now(), in.Account)
	l.mu.Lock()
	loan := l.owner.Lend(l.now(), leading, b)
	l.mu.Unlock()
	if loan > 0 {
		f.gauge.Loans.Inc(1)
		f.sendMessage(kindLoan, loanMessage{
			ID:   in.ID,
			Loan: loan,
		}, from)
	}
}

func (f *Front) receiveLoan(in *loanMessage, from netip.AddrPort) {
	l := f.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.borrows[in.ID]; b != nil && !b.lenders[from] {
		b.lenders[from] = true
		l.owner.Lent(l.now(), b.sent, b.account, in.Loan)
	}
}

// tickAccounts confirms that this host is in touch with its domain, forgets old
// questions, and logs refusals that have ended.
func (f *Front) tickAccounts() {
	l := f.limits
	if l == nil {
		return
	}
	reachesMost := f.peers.reachesMost()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if reachesMost {
		l.owner.Confirm(now)
	}
	for id, a := range l.asks {
		if now.Sub(a.token.Sent) > forgetTime {
			delete(l.asks, id)
		}
	}
	for id, b := range l.borrows {
		if now.Sub(b.sent) > forgetTime {
			delete(l.borrows, id)
		}
	}
	for a, r := range l.refusing {
		if now.Sub(r.last) > calmTime {
			delete(l.refusing, a)
			f.log.Info("requests of an account are no longer refused", "Account", string(a), "Refused", r.count, "ForMillis", r.last.Sub(r.since).Milliseconds())
		}
	}
}

// countRefusal logs when refusals for an account begin.
func (f *Front) countRefusal(a ident.Account) {
	l := f.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	r := l.refusing[a]
	if r == nil {
		r = &refusals{since: now}
		l.refusing[a] = r
		f.log.Info("requests of an account are refused", "Account", string(a))
	}
	r.last = now
	r.count++
}

// notRun reports whether a refusal states that the request has not run.
func notRun(r relay.Refusal) bool {
	return r == relay.NotNow || r == relay.NoVersion || r == relay.NoRoute
}
