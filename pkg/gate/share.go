package gate

import (
	"math"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// SearchTime is the time over which the use of an account counts for searches, of
	// which a host that gathers gets some each second.
	SearchTime = 2 * time.Second

	// SingleTime is the same for requests to one upstream, of which a host gets one in
	// some seconds.
	SingleTime = 10 * time.Second

	// shareInterval is the time between two computations of the fair share, which take
	// some microseconds for a hundred accounts.
	shareInterval = 100 * time.Millisecond

	// maxAccounts bounds the accounts that are told apart; a configuration has about a
	// hundred.
	maxAccounts = 1024

	// forgottenShare is the part of one average request below which an account is
	// forgotten.
	forgottenShare = 0.01
)

// Shares divides capacity among accounts: each gets what it asks for up to the same
// bound, so that the sum is what can be had. What an account uses beyond that bound is
// granted only if nobody else asks.
type Shares struct {
	memory   time.Duration
	accounts map[ident.Account]*account
	// bound is the fair share as of boundAt, infinite if all accounts get what they
	// ask for.
	bound   float64
	boundAt ident.Instant
	// usual is a moving average of the cost of a request.
	usual float64
}

// account holds what an account has asked for and what it got, in cost, decaying over
// the time that counts.
type account struct {
	asked, got float64
	at         ident.Instant
}

// NewShares returns Shares without any accounts, in which use counts over a time.
func NewShares(memory time.Duration) *Shares {
	return &Shares{
		memory:   memory,
		accounts: make(map[ident.Account]*account),
		bound:    math.Inf(1),
	}
}

func (a *account) decay(now ident.Instant, memory time.Duration) {
	if now > a.at {
		keep := math.Exp(-float64(now.Sub(a.at)) / float64(memory))
		a.asked *= keep
		a.got *= keep
		a.at = now
	}
}

// of returns an account, or nil if there are too many.
func (s *Shares) of(now ident.Instant, name ident.Account) *account {
	a := s.accounts[name]
	if a == nil && len(s.accounts) < maxAccounts {
		a = &account{at: now}
		s.accounts[name] = a
	}
	if a != nil {
		a.decay(now, s.memory)
	}
	return a
}

// Asked records a request of an account.
func (s *Shares) Asked(now ident.Instant, name ident.Account, cost float64) {
	s.usual += usualWeight * (cost - s.usual)
	if a := s.of(now, name); a != nil {
		a.asked += cost
	}
}

// Got records that a request of an account is served.
func (s *Shares) Got(now ident.Instant, name ident.Account, cost float64) {
	if a := s.of(now, name); a != nil {
		a.got += cost
	}
}

// Over reports whether an account has got its fair share or more. It is false if there
// is only one account.
func (s *Shares) Over(now ident.Instant, name ident.Account) bool {
	if len(s.accounts) < 2 {
		return false
	}
	if now.Sub(s.boundAt) >= shareInterval {
		s.computeBound(now)
	}
	a := s.accounts[name]
	if a == nil {
		return false
	}
	a.decay(now, s.memory)
	return a.got >= s.bound
}

// computeBound sets the bound so that the accounts together get what they have got of
// late.
func (s *Shares) computeBound(now ident.Instant) {
	s.boundAt = now
	asked, got := make([]float64, 0, len(s.accounts)), make([]float64, 0, len(s.accounts))
	for name, a := range s.accounts {
		a.decay(now, s.memory)
		if a.asked < forgottenShare*s.usual {
			delete(s.accounts, name)
			continue
		}
		asked = append(asked, a.asked)
		got = append(got, min(a.got, a.asked))
	}
	slices.Sort(asked)
	// Sums of floats depend on their order, which must not be that of the map.
	slices.Sort(got)
	left := 0.0
	for _, v := range got {
		left += v
	}
	s.bound = math.Inf(1)
	for i, d := range asked {
		fair := left / float64(len(asked)-i)
		if d > fair {
			s.bound = fair
			return
		}
		left -= d
	}
}
