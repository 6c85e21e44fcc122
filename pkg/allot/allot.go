// Package allot limits the requests of an account over all hosts. In each domain
// one host, the owner of the account, keeps a token bucket with the domain's part
// of the limit; the other hosts of the domain ask it before they send a request.
// Owners of different domains lend each other requests, which move from one bucket
// to the other. Config states what all of them add up to.
//
// It is designed for accounts that send one request to one host every few seconds
// to minutes, so that a rate leased in advance would be unused there and missing
// elsewhere; a host that sends more gets some requests in advance. The reducers
// have no clock and do no I/O; they are not safe for concurrent use.
package allot

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

const (
	// A grant is not used, nor a loan received, later than Config.hold after the message
	// that asked for it was sent: half of the time that the overage covers, within
	// these bounds. An answer takes 4 to 16 ms, so a shorter time would lose some.
	minHold = 50 * time.Millisecond
	maxHold = 250 * time.Millisecond

	// maxSlack, maxOverage and maxWindow bound what may be configured, so that no sum
	// overflows.
	maxSlack   = 1_000_000
	maxOverage = 100
	maxWindow  = time.Hour
)

// Config is what all limits have in common. In each Window, the requests of an
// account from all hosts are at most
//
//	(rate x Window + burst) x (1 + Overage) + Slack
//
// The buckets of all domains have room for the burst and half of Slack. What the
// overage and the other half leave is the margin: half of it for owners that start,
// a quarter for hosts without an owner, a quarter for the delay with which hosts
// agree on an owner.
type Config struct {
	Window  time.Duration
	Overage float64
	Slack   float64
	// Domains is the number of failure domains, which have equal parts of a limit.
	Domains int
}

// Check returns an error that names the remedy if no limit can be kept under the
// settings.
func (c Config) Check() error {
	switch {
	case c.Window != 0 && (c.Window < time.Second || c.Window > maxWindow):
		return errors.Errorf("window of account limits is %s: use 0s for no limits, or 1s to %s", c.Window, maxWindow)
	case !(c.Overage >= 0 && c.Overage <= maxOverage):
		return errors.Errorf("overage of account limits is %v: use 0 to %d", c.Overage, maxOverage)
	case !(c.Slack >= 0 && c.Slack <= maxSlack):
		return errors.Errorf("slack of account limits is %v: use 0 to %d", c.Slack, maxSlack)
	}
	return nil
}

// Enabled reports whether accounts are limited.
func (c Config) Enabled() bool { return c.Window > 0 && c.Domains > 0 }

// hold is how long after a grant request its grant may still reach an upstream, or be
// returned.
func (c Config) hold() time.Duration {
	return min(max(time.Duration(c.Overage*float64(c.Window)/2), minHold), maxHold)
}

// Validity is how long after a grant request its grant may be used. The other half of
// the hold time is left for the request to reach an upstream.
func (c Config) Validity() time.Duration { return c.hold() / 2 }

// Limit is the limit of an account. Of two, the one from the newer configuration
// applies.
type Limit struct {
	Account ident.Account
	Version rules.Version
	// Rate is in requests a second.
	Rate  float64
	Burst float64
}

// LimitOf returns the limit of an account, or false if it has none.
func LimitOf(a *rules.Account, v rules.Version) (Limit, bool) {
	if a == nil || !(a.Rate > 0) {
		return Limit{}, false
	}
	return Limit{
		Account: a.Name,
		Version: v,
		Rate:    a.Rate,
		Burst:   max(0, a.Burst),
	}, true
}

// part is a domain's part of a limit, in requests and requests a second.
type part struct {
	rate     float64
	capacity float64
	// held is how much more than capacity the bucket and the grants that have not
	// reached an upstream may add up to.
	held float64
	// start is what an owner begins with, spareRate what a bucket earns, up to start,
	// while its host is not known to be the owner.
	start     float64
	spareRate float64
	// localRate is what all hosts of the domain may use without an owner.
	localRate float64
}

func (c Config) part(l Limit) part {
	window, hold := c.Window.Seconds(), c.hold().Seconds()
	domains := float64(max(1, c.Domains))
	rate := l.Rate * min(1, (1+c.Overage)*window/(window+hold))
	p := part{
		rate: rate / domains,
		// A bucket that never holds a whole request would refuse all. If burst and
		// slack are so small, the margin covers the rest as far as it can.
		capacity: max(1, (l.Burst+c.Slack/2)/domains),
		held:     rate * hold / domains,
	}
	margin := max(0, (1+c.Overage)*(l.Rate*window+l.Burst)+c.Slack-domains*p.capacity-rate*(window+hold))
	p.start = min(p.capacity, margin/2/domains)
	p.spareRate = p.start / (startWindows * window)
	p.localRate = margin / 4 / window / domains
	return p
}

// startWindows is the number of windows after which a host that has stood in for an
// owner may begin with the full start again.
const startWindows = 4

// finite returns x, or 0 if it is not a number that a message may contain.
func finite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return max(0, x)
}
