package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Owner divides limits among the hosts that report demand. At any time the rates
// granted for one upstream, those of hosts that have stopped reporting included,
// add up to at most grantShare of its limit: a rate is given to a host only
// after another has been told to use less, or its lease has ended.
type Owner struct{ pots map[Key]*pot }

// pot is the limit of one upstream.
type pot struct {
	total      float64
	observedAt ident.Instant
	// since is when this owner learned of the limit. Until leases granted by a
	// previous owner have ended, it confirms held rates only.
	since   ident.Instant
	members []member // sorted by host
}

type member struct {
	host       ident.HostID
	wanted     float64
	rate       float64
	reportedAt ident.Instant
}

// NewOwner returns an Owner without any limit.
func NewOwner() *Owner { return &Owner{pots: make(map[Key]*pot)} }

// Fleet is what an owner knows of the hosts that share the limits.
type Fleet struct {
	// Hosts is their number.
	Hosts int
	// Before is the number of hosts that would be the owner instead of this one,
	// if this one did not take them for lost.
	Before int
}

// Report processes one host's demands and returns the grants for it.
func (o *Owner) Report(now ident.Instant, host ident.HostID, fleet Fleet, demands []Demand) []Grant {
	grants := make([]Grant, 0, len(demands))
	for _, d := range demands {
		p := o.pots[d.Key]
		if p == nil {
			if d.Limit == 0 || len(o.pots) >= maxUpstreams && !o.removeStale(now) {
				continue
			}
			p = &pot{since: now}
			o.pots[d.Key] = p
		}
		if observedAt := now.Add(-d.Age); observedAt > p.observedAt || p.total == 0 && p.observedAt == 0 {
			p.total, p.observedAt = max(0, d.Limit), observedAt
		}
		grants = append(grants, Grant{
			Key:   d.Key,
			Limit: p.total,
			Age:   now.Sub(p.observedAt),
			Rate:  p.grant(now, host, fleet, d),
		})
	}
	return grants
}

// grant updates one host's rate and returns it.
func (p *pot) grant(now ident.Instant, host ident.HostID, fleet Fleet, d Demand) float64 {
	p.members = slices.DeleteFunc(p.members, func(m member) bool { return now.Sub(m.reportedAt) > reserveTime })
	i, found := slices.BinarySearchFunc(p.members, host, func(m member, h ident.HostID) int { return cmp.Compare(m.host, h) })
	if !found {
		p.members = slices.Insert(p.members, i, member{
			host: host,
			rate: min(max(0, d.Held), p.total),
		})
	}
	m := &p.members[i]
	reserved, wanted := 0.0, 0.0
	for j := range p.members {
		if j != i {
			reserved += p.members[j].rate
			wanted += p.members[j].wanted
		}
	}
	m.wanted, m.reportedAt = max(minDemand, d.Wanted), now
	budget := p.total * grantShare * math.Pow(standInShare, float64(fleet.Before))
	rate := budget * m.wanted / (wanted + m.wanted)
	if rate*burstTime.Seconds() < 1 {
		rate *= chanceShare(p.total)
	}
	if now.Sub(p.since) < reserveTime {
		rate = min(rate, max(m.rate, p.total*fallbackShare/float64(max(1, fleet.Hosts))))
	}
	m.rate = max(0, min(rate, budget-reserved))
	return m.rate
}

// chanceShare returns the share of its part that a host is granted that admits calls at
// random, as it has less than one call per burstTime. The variance of such calls in
// toleranceWindow is about their mean. The mean of a small limit is kept so low that
// upstreams tolerate a deviation of maxDeviations.
func chanceShare(limit float64) float64 {
	tolerated := toleranceFactor*limit*toleranceWindow.Seconds() + toleranceSlack
	// deviation is the square root of the mean, with
	// deviation^2 + maxDeviations*deviation = tolerated.
	deviation := (math.Sqrt(maxDeviations*maxDeviations+4*tolerated) - maxDeviations) / 2
	return min(1, deviation*deviation/(grantShare*limit*toleranceWindow.Seconds()))
}

// removeStale removes the limits that were not confirmed within holdTime, and
// reports whether there were any.
func (o *Owner) removeStale(now ident.Instant) bool {
	n := len(o.pots)
	for k, p := range o.pots {
		if now.Sub(p.observedAt) > holdTime {
			delete(o.pots, k)
		}
	}
	return len(o.pots) < n
}
