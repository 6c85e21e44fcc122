package allot_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// hold is how long after the grant request a grant may reach an upstream.
const hold = 250 * time.Millisecond

func ms(n int) ident.Instant { return ident.Instant(time.Hour + time.Duration(n)*time.Millisecond) }

func limit(rate, burst float64) allot.Limit {
	return allot.Limit{
		Account: "x",
		Version: 1,
		Rate:    rate,
		Burst:   burst,
	}
}

// settled returns an owner in one of three domains that has been confirmed for from
// milliseconds on, with a full bucket.
func settled(l allot.Limit, from int) *allot.Owner {
	o := allot.NewOwner(settings, 1)
	for n := from - 600_000; n <= from; n += 150 {
		o.Confirm(ms(n))
		if n == from-600_000 || n+150 > from {
			a := o.Ask(ms(n), time.Hour, allot.Ask{Limit: l})
			o.Return(ms(n), l.Account, a.Stamp, a.Requests)
		}
	}
	return o
}

// drain asks until the owner refuses, and returns the number of requests granted.
func drain(o *allot.Owner, at int, leading time.Duration, l allot.Limit) (n int) {
	for o.Ask(ms(at), leading, allot.Ask{Limit: l}).Requests > 0 {
		n++
	}
	return n
}

func ExampleOwner() {
	o := settled(limit(6, 5), 0) // a domain's part: 2 a second, and 5 at once
	fmt.Println(drain(o, 0, time.Hour, limit(6, 5)))
	a := o.Ask(ms(0), time.Hour, allot.Ask{Limit: limit(6, 5)})
	fmt.Println(a.Requests, a.After)
	// Output:
	// 5
	// 0 500ms
}

// Guards against an owner that is cut off, has been cut off until now, or leads only
// since now, and grants the domain's part beside the host that stands in for it.
func TestOwnerEarnsOnlyWhileItLeads(t *testing.T) {
	l := limit(30, 20) // 10 a second in each domain, and 10 at once
	for _, c := range []struct {
		name string
		// confirmed are the times of confirmation in ms after the bucket was emptied;
		// asked is when it is asked again.
		from, to int
		asked    int
		leading  time.Duration
		want     int
	}{
		{"in touch", 0, 300, 300, time.Hour, 3},
		{"cut off", 0, 0, 5000, time.Hour, 5}, // confirmTime
		{"in touch again", 5000, 5000, 5100, time.Hour, 0},
		{"settled", 5000, 5900, 5800, time.Hour, 3},
		{"does not lead", 0, 900, 900, 0, 0},
		{"leads since a second", 0, 900, 900, time.Second, 0},
		{"leads for longer", 0, 900, 900, 1300 * time.Millisecond, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := settled(l, 0)
			is.Equal(drain(o, 0, time.Hour, l), 10)
			for n := c.from; n <= c.to; n += 150 {
				o.Confirm(ms(n))
			}
			is.Equal(drain(o, c.asked, c.leading, l), c.want)
		})
	}
}

// Guards against a domain whose owner is replaced again and again, each time with a full
// bucket, and against a new owner that refuses all.
func TestNewOwnerStartsWithAPart(t *testing.T) {
	is := is.New(t)
	l := limit(30, 60)
	full := drain(settled(l, 0), 0, time.Hour, l)
	part := drain(allot.NewOwner(settings, 1), 0, time.Hour, l)
	is.Equal(full, 23)
	is.True(part >= 1 && part < 7)
}

// Guards against quota that is returned twice, to another run of the owner, or later than
// it could have been used.
func TestQuotaIsReturnedOnce(t *testing.T) {
	is := is.New(t)
	l := limit(0.3, 5)
	o := settled(l, 0)
	is.Equal(drain(o, 0, time.Hour, l), 5)
	o = settled(l, 0)
	a := o.Ask(ms(0), time.Hour, allot.Ask{
		Limit: l,
		Extra: 9,
	})
	is.Equal(a.Requests, 2) // one, and a quarter of the rest in advance
	is.Equal(drain(o, 0, time.Hour, l), 3)
	o.Return(ms(100), l.Account, a.Stamp, 9)
	o.Return(ms(100), l.Account, a.Stamp, 9)
	o.Return(ms(100), l.Account, a.Stamp+100, 1)
	is.Equal(drain(o, 100, time.Hour, l), 2)

	late := settled(l, 0)
	a = late.Ask(ms(0), time.Hour, allot.Ask{Limit: l})
	is.Equal(drain(late, 0, time.Hour, l), 4)
	late.Return(ms(251), l.Account, a.Stamp, 1)
	is.Equal(drain(late, 251, time.Hour, l), 0)
}

// Guards against requests that are granted, not run, returned and granted again, and pile
// up while the bucket goes on to earn: all would reach upstreams at once when they can.
func TestReturnedQuotaDoesNotPileUp(t *testing.T) {
	is := is.New(t)
	l := limit(30, 5)
	o := settled(l, 0)
	var open []allot.Answer
	for n := 0; n < 6000; n += 240 {
		o.Confirm(ms(n))
		o.Confirm(ms(n + 120))
		var next []allot.Answer
		take := func() {
			for {
				a := o.Ask(ms(n), time.Hour, allot.Ask{Limit: l})
				if a.Requests == 0 {
					return
				}
				next = append(next, a)
			}
		}
		take()
		for _, a := range open {
			o.Return(ms(n), l.Account, a.Stamp, a.Requests)
			take()
		}
		open = next
		is.True(len(open) <= 5+3) // the bucket, and 10 a second for the hold time
	}
}

// Guards against a host with an older configuration that brings an older limit back.
func TestNewestLimitHolds(t *testing.T) {
	is := is.New(t)
	earlier, now := limit(30, 50), limit(3, 5)
	now.Version = 2
	o := settled(earlier, 0)
	is.True(o.Ask(ms(0), time.Hour, allot.Ask{Limit: now}).Requests == 1)
	is.Equal(drain(o, 0, time.Hour, earlier), 4)
	o.Confirm(ms(400))
	is.Equal(drain(o, 800, time.Hour, earlier), 0) // 1 a second
}

// Guards against loans that make more of a limit: one that is lost, comes late, or is
// given by a host that does not keep the account.
func TestLoansMoveRequests(t *testing.T) {
	is := is.New(t)
	l := limit(0.3, 5)
	lender, borrower := settled(l, 0), settled(l, 0)
	_, due := borrower.Borrow(ms(0), l.Account)
	is.True(!due) // it is full
	is.Equal(drain(borrower, 0, time.Hour, l), 5)
	b, due := borrower.Borrow(ms(0), l.Account)
	is.True(due)
	_, due = borrower.Borrow(ms(1), l.Account)
	is.True(!due) // once at a time
	loan := lender.Lend(ms(1), time.Hour, b)
	is.True(loan > 2 && loan < 3)
	borrower.Lent(ms(1+251), ms(0), l.Account, loan)
	is.Equal(drain(borrower, 252, time.Hour, l), 0) // late
	borrower.Lent(ms(252), ms(100), l.Account, loan)
	is.Equal(drain(borrower, 252, time.Hour, l), 2)
	is.Equal(drain(lender, 252, time.Hour, l), 2)

	is.Equal(allot.NewOwner(settings, 1).Lend(ms(0), 0, b), 0.0)
	b.Want, b.Have = math.NaN(), math.Inf(1)
	is.True(!(lender.Lend(ms(300), time.Hour, b) > 0))
}

// Guards against a host that uses what it was granted before a pause, when the owner has
// granted the same to others.
func TestGrantsExpire(t *testing.T) {
	is := is.New(t)
	h := allot.NewHolder(settings, 1)
	token := allot.Token{
		Account: "x",
		Owner:   "o",
		Stamp:   7,
		Sent:    ms(0),
	}
	is.True(h.Granted(ms(5), token, 3))
	got, d, _, _ := h.Take(ms(100), "x")
	is.Equal(d, allot.Allowed)
	is.Equal(got, token)
	is.True(h.Returns(ms(250), got))
	is.True(!h.Returns(ms(251), got))
	_, d, _, _ = h.Take(ms(126), "x") // half of the hold time is left for the way
	is.Equal(d, allot.Undecided)
	token.Sent = ms(200)
	is.True(!h.Granted(ms(5000), token, 3)) // a pause before the answer was read
	_, d, _, _ = h.Take(ms(5000), "x")
	is.Equal(d, allot.Undecided)
}

// Guards against a question for each request at hosts that send many, and against
// requests that are refused for long after a single refusal.
func TestHostAsksAheadAndAgain(t *testing.T) {
	is := is.New(t)
	h := allot.NewHolder(settings, 1)
	asked, granted := 0, 0
	for n := range 3000 { // 1,000 a second for 3 s
		if _, d, _, extra := h.Take(ms(n), "x"); d == allot.Undecided {
			asked++
			granted += 1 + extra
			h.Granted(ms(n), allot.Token{
				Account: "x",
				Owner:   "o",
				Sent:    ms(n),
			}, 1+extra)
		}
	}
	is.True(asked < 300)
	is.True(granted < 3100)
	_, _, _, extra := h.Take(ms(100_000), "y")
	is.Equal(extra, 0)
	h.Denied(ms(100_000), "y", time.Minute)
	_, d, after, _ := h.Take(ms(100_050), "y")
	is.Equal(d, allot.Refused)
	is.Equal(after, 50*time.Millisecond)
	_, d, _, _ = h.Take(ms(100_101), "y")
	is.Equal(d, allot.Undecided)
}

// Guards against hosts without an owner that together use more than their share, or
// nothing of it.
func TestLocalSharesAddUp(t *testing.T) {
	is := is.New(t)
	l := limit(30, 30)
	rng := rand.New(rand.NewPCG(1, 1))
	allowed, most := 0, 0
	for range 100 {
		n := 0
		for range 41 {
			h := allot.NewHolder(settings, rng.Uint64())
			for at := 0; at < 5000; at += 50 {
				if _, ok := h.Local(ms(at), l, 41); ok {
					n++
				}
			}
		}
		allowed += n
		most = max(most, n)
	}
	// A quarter of the margin of 20.5, in one of three domains: 1.7.
	is.True(allowed >= 120 && allowed <= 220)
	is.True(most <= 8)
}

// Guards against settings under which no limit can be kept, and limits without a rate.
func TestChecks(t *testing.T) {
	is := is.New(t)
	is.NoErr(allot.Config{}.Check())
	is.NoErr(settings.Check())
	is.True(!allot.Config{Window: time.Second}.Enabled())
	is.True(settings.Enabled())
	for _, c := range []allot.Config{
		{Window: -1},
		{Window: time.Millisecond},
		{Window: 2 * time.Hour},
		{Overage: math.NaN()},
		{Overage: -0.1},
		{Slack: math.Inf(1)},
		{Slack: -1},
	} {
		is.True(c.Check() != nil)
	}
	for _, a := range []*rules.Account{nil, {}, {Rate: -1}, {Burst: 5}, {Rate: math.NaN()}} {
		_, ok := allot.LimitOf(a, 1)
		is.True(!ok)
	}
	l, ok := allot.LimitOf(&rules.Account{Rate: 2, Burst: -1}, 3)
	is.True(ok)
	is.Equal(l, allot.Limit{Version: 3, Rate: 2})
}

// Guards against any order of grants, returns and loans by which more requests of one
// domain reach upstreams in a window than its bucket and its part of the rate allow.
func TestBucketKeepsItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.3, 3, 30, 300}).Draw(t, "rate")
		l := limit(rate, rate*rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "burst"))
		o := settled(l, 0)
		capacity := (l.Burst + settings.Slack/2) / 3
		type open struct {
			stamp allot.Stamp
			at, n int
		}
		var grants []open
		var used []float64 // by ms: requests that reached an upstream or were lent
		now := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			step := rapid.IntRange(0, 60).Draw(t, "step")
			for range step {
				if now++; now%150 == 0 {
					o.Confirm(ms(now))
				}
				used = append(used, 0)
			}
			used = append(used, 0)[:now+1]
			kept := grants[:0]
			for _, g := range grants {
				switch end := time.Duration(now-g.at) * time.Millisecond; {
				case end > hold: // it reached an upstream at the last moment
					used[g.at+int(hold/time.Millisecond)] += float64(g.n)
				case rapid.IntRange(0, 3).Draw(t, "fate") == 0:
					o.Return(ms(now), l.Account, g.stamp, g.n)
				default:
					kept = append(kept, g)
				}
			}
			grants = kept
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				loan := o.Lend(ms(now), time.Hour, allot.Borrow{
					Limit: l,
					Want:  float64(rapid.IntRange(0, 5).Draw(t, "want")),
				})
				used[now] += loan
			default:
				for range rapid.IntRange(1, 6).Draw(t, "asks") {
					a := o.Ask(ms(now), time.Hour, allot.Ask{
						Limit: l,
						Extra: rapid.IntRange(0, 9).Draw(t, "extra"),
					})
					if a.Requests > 0 {
						grants = append(grants, open{a.Stamp, now, a.Requests})
					}
				}
			}
		}
		window := int(settings.Window / time.Millisecond)
		sum := 0.0
		for i, n := range used {
			sum += n
			if i >= window {
				sum -= used[i-window]
			}
			if most := capacity + l.Rate/3*(settings.Window+hold).Seconds(); sum > most+1e-6 {
				t.Fatalf("%.2f requests in a window, at most %.2f", sum, most)
			}
		}
	})
}
