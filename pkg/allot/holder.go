package allot

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// demandTime is the time constant of the estimated demand.
	demandTime = time.Second

	// extraTime is the demand that a host asks for in advance: half of what it may use
	// before the grant ends. Below 16 requests a second that is none.
	extraTime = 62 * time.Millisecond

	// maxExtra bounds what a host asks for in advance.
	maxExtra = 64

	// maxDenied is how long a host at most refuses requests itself after its owner has
	// refused one. It is short, as the owner may get a loan.
	maxDenied = 100 * time.Millisecond

	// localGap is how much time a host without an owner is credited with between two
	// requests at most, so that hosts that have long been idle do not all send at once.
	localGap = time.Second

	// maxHeld bounds the accounts of one host.
	maxHeld = 4096
)

// Token is a request that counts in a limit.
type Token struct {
	Account ident.Account
	// Owner is the host that granted it, empty if none did.
	Owner ident.HostID
	Stamp Stamp
	// Sent is when the grant request was sent.
	Sent ident.Instant
}

// Decision is what a host decides about a request on its own.
type Decision int

// The decisions.
const (
	// Undecided means that the owner has to be asked.
	Undecided Decision = iota
	Allowed
	Refused
)

// Holder holds the requests that one host was granted in advance.
type Holder struct {
	cfg      Config
	rng      *rand.Rand
	accounts map[ident.Account]*held
}

type held struct {
	stock []stock
	// demand is the estimated number of requests a second at the time at.
	demand float64
	at     ident.Instant
	// deniedUntil is the time until which requests are refused without a question.
	deniedUntil ident.Instant
	// credit is the part of the local share that has been saved at the time creditAt.
	credit   float64
	creditAt ident.Instant
}

// stock is what is left of a grant.
type stock struct {
	token    Token
	requests int
}

// NewHolder returns a Holder that holds nothing.
func NewHolder(cfg Config, seed uint64) *Holder {
	return &Holder{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		accounts: make(map[ident.Account]*held),
	}
}

// Take decides about a request. If Refused, it states when to try again. If Undecided,
// the owner is to be asked for extra requests in advance as well.
func (h *Holder) Take(now ident.Instant, a ident.Account) (t Token, d Decision, after time.Duration, extra int) {
	e := h.account(now, a)
	e.demand = e.demandAt(now) + 1/demandTime.Seconds()
	e.at = max(e.at, now)
	h.dropExpired(now, e)
	if len(e.stock) > 0 {
		s := &e.stock[0]
		t = s.token
		if s.requests--; s.requests == 0 {
			e.stock = e.stock[1:]
		}
		return t, Allowed, 0, 0
	}
	if now < e.deniedUntil {
		return Token{}, Refused, e.deniedUntil.Sub(now), 0
	}
	return Token{}, Undecided, 0, min(maxExtra, int(e.demand*extraTime.Seconds()))
}

func (e *held) demandAt(now ident.Instant) float64 {
	return e.demand * math.Exp(-now.Sub(e.at).Seconds()/demandTime.Seconds())
}

// Granted records an answer with at least one request, which goes to the request that
// the owner was asked for, or is returned if that one no longer waits. It reports
// whether the answer came in time to be used.
func (h *Holder) Granted(now ident.Instant, t Token, requests int) bool {
	if !h.usable(now, t) {
		return false
	}
	if requests > 1 {
		e := h.account(now, t.Account)
		e.stock = append(e.stock, stock{
			token:    t,
			requests: min(requests-1, maxExtra),
		})
	}
	return true
}

// Denied records a refusal of the owner.
func (h *Holder) Denied(now ident.Instant, a ident.Account, after time.Duration) {
	e := h.account(now, a)
	e.deniedUntil = now.Add(min(max(0, after), maxDenied))
}

// Returns reports whether a request that was counted and has not been sent to any
// upstream may still be returned to its owner.
func (h *Holder) Returns(now ident.Instant, t Token) bool {
	return t.Owner != "" && now >= t.Sent && now.Sub(t.Sent) <= h.cfg.hold()
}

// Local decides about a request without an owner: from a share that is divided among
// the given number of hosts. A host begins with a random part of one request, so that
// all hosts together use the share also if each has far less than one request.
func (h *Holder) Local(now ident.Instant, l Limit, hosts int) (Token, bool) {
	e := h.account(now, l.Account)
	gap := min(max(0, now.Sub(e.creditAt)), localGap)
	e.creditAt = max(e.creditAt, now)
	e.credit = min(1, e.credit+gap.Seconds()*h.cfg.part(l).localRate/float64(max(1, hosts)))
	if e.credit < 1 {
		return Token{}, false
	}
	e.credit = 0
	return Token{Account: l.Account}, true
}

func (h *Holder) usable(now ident.Instant, t Token) bool {
	return now >= t.Sent && now.Sub(t.Sent) <= h.cfg.Validity()
}

func (h *Holder) dropExpired(now ident.Instant, e *held) {
	for len(e.stock) > 0 && !h.usable(now, e.stock[0].token) {
		e.stock = e.stock[1:]
	}
}

func (h *Holder) account(now ident.Instant, a ident.Account) *held {
	e := h.accounts[a]
	if e == nil {
		if len(h.accounts) >= maxHeld {
			h.removeOldest()
		}
		e = &held{
			at:       now,
			credit:   h.rng.Float64(),
			creditAt: now,
		}
		h.accounts[a] = e
	}
	return e
}

// removeOldest removes the account that sent least recently.
func (h *Holder) removeOldest() {
	var oldest ident.Account
	at := ident.Instant(math.MaxInt64)
	for a, e := range h.accounts {
		if e.at < at || e.at == at && a < oldest {
			oldest, at = a, e.at
		}
	}
	delete(h.accounts, oldest)
}
