package allot

import (
	"math"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// confirmTime is how long an owner goes on to earn after it last reached most of
	// its domain. It covers a ping that times out after 320 ms and the
	// interval of 150 ms.
	confirmTime = 500 * time.Millisecond

	// settleTime is how long an owner that reaches them again waits, since the host
	// that stood in for it stops only with the next pings.
	settleTime = 500 * time.Millisecond

	// handoverTime is how long the owners before it must have been unreachable until
	// a host earns in their place. It exceeds confirmTime.
	handoverTime = time.Second

	// loanInterval is the time between two requests for loans of an account, and
	// dryInterval that after one without a loan.
	loanInterval = 25 * time.Millisecond
	dryInterval  = 200 * time.Millisecond

	// lowShare is the fraction of a full bucket below which an owner asks for loans.
	lowShare = 0.4

	// minLoan is the smallest loan worth a message.
	minLoan = 0.05

	// extraShare is the fraction of a bucket that one host gets in advance at most.
	extraShare = 0.25

	// minAfter is the shortest time after which a refused host is told to ask again.
	minAfter = 10 * time.Millisecond

	// maxBuckets bounds the accounts of one owner.
	maxBuckets = 4096
)

// Stamp identifies a grant at its owner.
type Stamp uint64

// Ask asks the owner of an account for one request, and Extra in advance.
type Ask struct {
	Limit Limit
	Extra int
}

// Answer is the answer to an Ask. Requests is 0 if the limit is used up.
type Answer struct {
	Requests int
	Stamp    Stamp
	// After is when to ask again after a refusal.
	After time.Duration
}

// Borrow asks the owner of an account in another domain for a loan.
type Borrow struct {
	Limit Limit
	// Want is the number of requests, Have what is left in the borrower's bucket.
	Want float64
	Have float64
}

// Owner keeps the buckets of the accounts that this host is the owner of, or stands in
// for the owner of.
type Owner struct {
	cfg     Config
	buckets map[ident.Account]*bucket
	last    Stamp
	// earnsFrom and earnsUntil are the time in which this host has reached, without
	// interruption, most of its domain.
	earnsFrom, earnsUntil ident.Instant
}

// bucket is the domain's part of one account's limit.
type bucket struct {
	limit Limit
	part  part
	level float64
	at    ident.Instant
	// grants are those that may not have reached an upstream yet, oldest first.
	grants []grant
	// nextLoan is when the next loan may be asked for.
	nextLoan ident.Instant
}

// grant is what a bucket gave to a host, or lent, at the time at.
type grant struct {
	stamp  Stamp
	amount float64
	at     ident.Instant
}

// NewOwner returns an Owner without any bucket. The seed makes the stamps differ from
// those of earlier runs of the same host.
func NewOwner(cfg Config, seed uint64) *Owner {
	return &Owner{
		cfg:     cfg,
		buckets: make(map[ident.Account]*bucket),
		last:    Stamp(seed),
	}
}

// Confirm records that this host reaches most of its domain.
func (o *Owner) Confirm(now ident.Instant) {
	if o.earnsUntil < now {
		o.earnsFrom = now.Add(settleTime)
	}
	o.earnsUntil = now.Add(confirmTime)
}

// Buckets returns the number of accounts.
func (o *Owner) Buckets() int { return len(o.buckets) }

// Ask answers a host. leading is how long this host has been the first usable owner of
// the account, 0 if it is not.
func (o *Owner) Ask(now ident.Instant, leading time.Duration, a Ask) Answer {
	b := o.bucket(now, leading, a.Limit)
	if b.level < 1 {
		return Answer{After: min(max(seconds((1-b.level)/b.part.rate), minAfter), o.cfg.Window)}
	}
	n := 1 + min(max(0, a.Extra), int((b.level-1)*extraShare))
	return Answer{
		Requests: n,
		Stamp:    b.take(now, float64(n), o),
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWindow.Seconds()) * float64(time.Second))
}

// Borrow returns the request for loans that is due for an account, to be sent to the
// owners in all other domains.
func (o *Owner) Borrow(now ident.Instant, a ident.Account) (Borrow, bool) {
	b := o.buckets[a]
	if b == nil || now < b.nextLoan || b.level >= max(1, b.part.capacity*lowShare) {
		return Borrow{}, false
	}
	b.nextLoan = now.Add(dryInterval)
	return Borrow{
		Limit: b.limit,
		Want:  max((b.part.capacity-b.level)/float64(max(1, o.cfg.Domains-1)), 1-b.level),
		Have:  b.level,
	}, true
}

// Lend returns the loan for an owner in another domain: what makes both buckets equal,
// or one request if the borrower has none. leading is as for Ask.
func (o *Owner) Lend(now ident.Instant, leading time.Duration, in Borrow) float64 {
	if o.buckets[in.Limit.Account] == nil && leading <= 0 {
		return 0
	}
	b := o.bucket(now, leading, in.Limit)
	have := finite(in.Have)
	loan := (b.level - have) / 2
	if have < 1 {
		loan = max(loan, min(b.level, 1-have))
	}
	if loan = min(loan, finite(in.Want)); loan < minLoan {
		return 0
	}
	b.take(now, loan, o)
	return loan
}

// Lent adds a loan to the bucket that it was asked for at the time sent.
func (o *Owner) Lent(now, sent ident.Instant, a ident.Account, loan float64) {
	b := o.buckets[a]
	if loan = finite(loan); b == nil || loan == 0 || sent > now || now.Sub(sent) > o.cfg.hold() {
		return
	}
	b.nextLoan = now.Add(loanInterval)
	b.add(now, loan, o.cfg.hold())
}

// Return takes back requests of a grant that have not been sent to any upstream. It
// ignores those of a grant that it no longer knows.
func (o *Owner) Return(now ident.Instant, a ident.Account, stamp Stamp, requests int) {
	b := o.buckets[a]
	if b == nil || requests <= 0 {
		return
	}
	b.expire(now, o.cfg.hold())
	for i := range b.grants {
		if g := &b.grants[i]; g.stamp == stamp {
			n := min(g.amount, float64(requests))
			g.amount -= n
			b.add(now, n, o.cfg.hold())
			return
		}
	}
}

// bucket returns the bucket of an account with what it has earned until now.
func (o *Owner) bucket(now ident.Instant, leading time.Duration, l Limit) *bucket {
	b := o.buckets[l.Account]
	if b == nil {
		if len(o.buckets) >= maxBuckets {
			o.removeOldest()
		}
		p := o.cfg.part(l)
		b = &bucket{
			limit: l,
			part:  p,
			level: p.start,
			at:    now,
		}
		o.buckets[l.Account] = b
	}
	o.earn(now, leading, b)
	if l.Version > b.limit.Version {
		b.limit, b.part = l, o.cfg.part(l)
		b.add(now, 0, o.cfg.hold())
	}
	return b
}

// earn adds what a bucket has earned since it was last used. It earns its rate while
// this host has led long enough and reached most of its domain; at other times it
// earns spareRate until it holds start.
func (o *Owner) earn(now ident.Instant, leading time.Duration, b *bucket) {
	from := max(b.at, o.earnsFrom, now.Add(min(0, handoverTime-leading)))
	until := min(now, o.earnsUntil)
	earned := 0.0
	if until > from {
		earned = b.part.rate * until.Sub(from).Seconds()
	}
	if spare := min(b.part.spareRate*now.Sub(b.at).Seconds(), b.part.start-b.level); spare > earned {
		earned = spare
	}
	b.at = max(b.at, now)
	b.add(now, earned, o.cfg.hold())
}

// add adds to the level. It stays within the capacity, and together with the grants
// that may not have reached an upstream yet within what the overage covers: otherwise
// grants that are returned and granted again could pile up and be used at once.
func (b *bucket) add(now ident.Instant, amount float64, hold time.Duration) {
	b.expire(now, hold)
	room := b.part.capacity + b.part.held
	for _, g := range b.grants {
		room -= g.amount
	}
	b.level = max(0, min(b.level+amount, b.part.capacity, room))
}

func (b *bucket) take(now ident.Instant, amount float64, o *Owner) Stamp {
	o.last++
	b.level = max(0, b.level-amount)
	b.grants = append(b.grants, grant{
		stamp:  o.last,
		amount: amount,
		at:     now,
	})
	return o.last
}

func (b *bucket) expire(now ident.Instant, hold time.Duration) {
	n := 0
	for n < len(b.grants) && now.Sub(b.grants[n].at) > hold {
		n++
	}
	b.grants = b.grants[n:]
}

// removeOldest removes the bucket that was used least recently.
func (o *Owner) removeOldest() {
	var oldest ident.Account
	at := ident.Instant(math.MaxInt64)
	for a, b := range o.buckets {
		if b.at < at || b.at == at && a < oldest {
			oldest, at = a, b.at
		}
	}
	delete(o.buckets, oldest)
}
