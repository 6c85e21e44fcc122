// Package quota shares the rate limits of upstreams among hosts. An upstream
// names a limit for all hosts together. Each host reports its demand to the
// owner of the limit, one of the hosts in the upstream's failure domain, and is
// granted a part of the limit in proportion. The reducers have no clock and do
// no I/O; they are not safe for concurrent use.
package quota

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Key identifies one incarnation of an upstream.
type Key uint64

// KeyOf returns the key of an upstream that started at the Unix millisecond born.
func KeyOf(id ident.Upstream, born int64) Key {
	d := xxhash.NewWithSeed(uint64(born))
	_, _ = d.WriteString(string(id))
	return Key(d.Sum64())
}

// Demand is what a host reports of one limited upstream. Rates are in calls per
// second.
type Demand struct {
	Key Key
	// Limit is the limit for all hosts, 0 once it has ended. Age is how long ago
	// the upstream stated that.
	Limit float64
	Age   time.Duration
	// Wanted is the rate that the host would send at, each class weighted by its
	// urgency. Held is the rate granted to it so far.
	Wanted float64
	Held   float64
}

// Grant is an owner's answer to a Demand.
type Grant struct {
	Key   Key
	Limit float64
	Age   time.Duration
	Rate  float64
}

// Change reports a new or ended limit.
type Change struct {
	Key Key
	// Limit is 0 once the limit has ended.
	Limit float64
	// Learned is set if another host told of it.
	Learned bool
}

// Share is one host's part of the limits of all upstreams.
type Share struct {
	hosts  int
	limits map[Key]*limit
	nextAt ident.Instant
	// turn is the key after which the next reports begin.
	turn Key
}

// limit is the state of one limited upstream.
type limit struct {
	domain     ident.Domain
	total      float64
	observedAt ident.Instant
	// rate is the granted rate, usable until leaseEnd.
	rate     float64
	leaseEnd ident.Instant
	// level is the number of calls that may be sent now; it may be a fraction.
	level    float64
	filledAt ident.Instant
	demands  []demand
}

// demand is the estimated rate of calls of one class, as of a time.
type demand struct {
	rank int
	rate float64
	at   ident.Instant
}

func (d *demand) now(now ident.Instant) float64 {
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// NewShare returns a Share without any limit.
func NewShare() *Share {
	return &Share{
		hosts:  1,
		limits: make(map[Key]*limit),
	}
}

// SetHosts sets the number of hosts that share the limits.
func (s *Share) SetHosts(n int) { s.hosts = max(1, n) }

// Record processes the limit stated in an answer to a call that was sent at
// sentAt, 0 for none. An answer to a call sent before the limit was observed does
// not end it. Record reports whether the limit has changed.
func (s *Share) Record(now, sentAt ident.Instant, k Key, domain ident.Domain, total float64) (Change, bool) {
	l := s.limits[k]
	if total == 0 && (l == nil || l.total == 0 || sentAt < l.observedAt) {
		return Change{}, false
	}
	return s.set(now, now, k, domain, total, false)
}

// Learn processes what another host observed at observedAt. It reports whether that is
// later than what this host knows, and a change.
func (s *Share) Learn(now, observedAt ident.Instant, k Key, domain ident.Domain, total float64) (Change, bool) {
	if l := s.limits[k]; l != nil && observedAt <= l.observedAt {
		return Change{}, false
	}
	return s.set(now, observedAt, k, domain, total, true)
}

func (s *Share) set(now, observedAt ident.Instant, k Key, domain ident.Domain, total float64, learned bool) (Change, bool) {
	l := s.limits[k]
	if l == nil {
		if total == 0 || len(s.limits) >= maxUpstreams {
			return Change{}, false
		}
		l = &limit{
			domain:   domain,
			filledAt: now,
		}
		s.limits[k] = l
	}
	changed := l.total != total
	l.total, l.observedAt = total, observedAt
	return Change{
		Key:     k,
		Limit:   total,
		Learned: learned,
	}, changed
}

// Limit returns the limit of an upstream, or 0 if it has none.
func (s *Share) Limit(now ident.Instant, k Key) float64 {
	if l := s.active(now, k); l != nil {
		return l.total
	}
	return 0
}

// Len returns the number of upstreams whose limit, or its end, is remembered.
func (s *Share) Len() int { return len(s.limits) }

// Limited returns the number of upstreams with a limit.
func (s *Share) Limited(now ident.Instant) int {
	n := 0
	for k := range s.limits {
		if s.active(now, k) != nil {
			n++
		}
	}
	return n
}

func (s *Share) active(now ident.Instant, k Key) *limit {
	l := s.limits[k]
	if l == nil || l.total == 0 || now.Sub(l.observedAt) > holdTime {
		return nil
	}
	return l
}

// rateNow returns the rate that this host may use.
func (s *Share) rateNow(l *limit, now ident.Instant) float64 {
	if now < l.leaseEnd {
		return min(l.rate, l.total)
	}
	return l.total * fallbackShare / float64(s.hosts)
}

// Draw is a random number. The calls of one query use the same one at all hosts,
// so that scarce limits admit whole queries instead of a few calls of each.
type Draw uint64

// Next returns another Draw, for what is tried after a call was not admitted.
func (d Draw) Next() Draw {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(d))
	return Draw(xxhash.Sum64(b[:]))
}

// unit returns the draw as a number from 0 to below 1.
func (d Draw) unit() float64 { return float64(d>>11) / (1 << 53) }

// Call is a call to a limited upstream.
type Call struct {
	// Rank is its urgency; a lower one is more urgent.
	Rank int
	// First is set when the call is considered for the first time, which counts
	// as demand.
	First bool
	Draw  Draw
}

// Take reports whether a call may be sent, and counts it if so.
//
// A rate of less than one call per burstTime admits each call with the
// probability that has accumulated. Saving it up to a whole call on each host
// would allow a burst of as many calls as there are hosts.
func (s *Share) Take(now ident.Instant, k Key, c Call) bool {
	l := s.active(now, k)
	if l == nil {
		return true
	}
	if c.First {
		l.count(now, c.Rank)
	}
	rate := s.rateNow(l, now)
	burst := rate * burstTime.Seconds()
	l.level = min(burst, l.level+rate*now.Sub(l.filledAt).Seconds())
	l.filledAt = now
	if urgent, rest := l.split(now, c.Rank); urgent > 0 && urgent+rest > rate && c.Draw.Next().unit() > max(lesserShare, (rate-urgent)/max(rest, minDemand)) {
		return false
	}
	switch {
	case l.level >= 1:
		l.level--
		return true
	case burst >= 1:
		return false
	}
	chance := l.level
	l.level = 0
	return c.Draw.unit() < chance
}

// Return gives back a call that Take admitted and that is not sent.
func (s *Share) Return(now ident.Instant, k Key) {
	if l := s.active(now, k); l != nil {
		l.level = min(s.rateNow(l, now)*burstTime.Seconds(), l.level+1)
	}
}

// Wait returns how long it takes until this host may probably send a call.
func (s *Share) Wait(now ident.Instant, k Key) time.Duration {
	l := s.active(now, k)
	if l == nil {
		return 0
	}
	return time.Duration(float64(time.Second) * max(0, 1-l.level) / max(s.rateNow(l, now), minDemand))
}

func (l *limit) count(now ident.Instant, rank int) {
	i := slices.IndexFunc(l.demands, func(d demand) bool { return d.rank == rank })
	if i < 0 && len(l.demands) < maxRanks {
		l.demands = append(l.demands, demand{rank: rank})
		slices.SortFunc(l.demands, func(x, y demand) int { return cmp.Compare(x.rank, y.rank) })
		i = slices.IndexFunc(l.demands, func(d demand) bool { return d.rank == rank })
	}
	if i < 0 {
		i = len(l.demands) - 1
	}
	d := &l.demands[i]
	d.rate, d.at = d.now(now)+1/demandTime.Seconds(), now
}

// split returns the demand of classes more urgent than rank, and of the others.
func (l *limit) split(now ident.Instant, rank int) (urgent, rest float64) {
	for i := range l.demands {
		if d := &l.demands[i]; d.rank < rank {
			urgent += d.now(now)
		} else {
			rest += d.now(now)
		}
	}
	return urgent, rest
}

// weighted returns the demand of all classes, weighted by their urgency.
func (l *limit) weighted(now ident.Instant) (sum float64) {
	for i := range l.demands {
		d := &l.demands[i]
		sum += d.now(now) * math.Pow(urgencyStep, float64(leastUrgent-min(max(0, d.rank), leastUrgent)))
	}
	return sum
}

// Next returns when Reports is due, and false without limits.
func (s *Share) Next() (ident.Instant, bool) { return s.nextAt, len(s.limits) > 0 }

// Reports returns what is due to be reported to the owners in each domain.
func (s *Share) Reports(now ident.Instant) map[ident.Domain][]Demand {
	if now < s.nextAt || len(s.limits) == 0 {
		return nil
	}
	s.nextAt = now.Add(reportInterval)
	wanted := make(map[Key]float64, len(s.limits))
	for k, l := range s.limits {
		if now.Sub(l.observedAt) > holdTime {
			delete(s.limits, k)
			continue
		}
		if _, rate := l.split(now, math.MinInt); rate >= minDemand {
			wanted[k] = l.weighted(now)
		}
	}
	byDomain := make(map[ident.Domain][]Demand)
	for _, k := range s.nextKeys(wanted) {
		l := s.limits[k]
		d := Demand{
			Key:    k,
			Limit:  l.total,
			Age:    now.Sub(l.observedAt),
			Wanted: wanted[k],
		}
		if now < l.leaseEnd {
			d.Held = l.rate
		}
		byDomain[l.domain] = append(byDomain[l.domain], d)
	}
	return byDomain
}

// nextKeys returns the keys to report, at most MaxEntries, in turn.
func (s *Share) nextKeys(wanted map[Key]float64) []Key {
	keys := slices.Sorted(maps.Keys(wanted))
	start, _ := slices.BinarySearch(keys, s.turn+1)
	keys = append(keys[start:], keys[:start]...)
	keys = keys[:min(len(keys), MaxEntries)]
	if len(keys) > 0 {
		s.turn = keys[len(keys)-1]
	}
	return keys
}

// Granted processes an owner's grants in reply to the report sent at sentAt.
func (s *Share) Granted(now, sentAt ident.Instant, domain ident.Domain, grants []Grant) (changes []Change) {
	for _, g := range grants {
		if c, changed := s.Learn(now, now.Add(-g.Age), g.Key, domain, g.Limit); changed {
			changes = append(changes, c)
		}
		l := s.limits[g.Key]
		if l == nil || sentAt.Add(leaseTime) <= l.leaseEnd {
			continue
		}
		// What has accumulated at the old rate is kept up to the new burst.
		l.rate, l.leaseEnd = g.Rate, sentAt.Add(leaseTime)
	}
	return changes
}
