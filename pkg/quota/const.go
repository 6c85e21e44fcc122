package quota

import "time"

const (
	// reportInterval is the time between two reports of a host to an owner.
	reportInterval = 400 * time.Millisecond

	// leaseTime is how long a granted rate may be used, counted from the report
	// that it answers. It covers five lost datagrams, or one with as many limited
	// upstreams as three reports hold.
	leaseTime = 2400 * time.Millisecond

	// reserveTime is how long an owner reserves the rate of a host that no longer
	// reports. It exceeds leaseTime, so that a rate is not given away in use.
	reserveTime = 3 * time.Second

	// holdTime is how long a limit applies without a confirmation by an answer or
	// by another host. It is long, as hosts that have forgotten a limit all send at
	// once when demand returns; one call is enough to find that it has ended.
	holdTime = 10 * time.Minute

	// grantShare is the fraction of a limit that an owner grants.
	grantShare = 0.9

	// Upstreams tolerate toleranceFactor times their limit, and toleranceSlack calls
	// more, in any toleranceWindow.
	toleranceFactor = 1.5
	toleranceSlack  = 5
	toleranceWindow = 4 * time.Second

	// maxDeviations is the number of standard deviations by which the calls to an
	// upstream may exceed their mean.
	maxDeviations = 5

	// standInShare is the fraction that an owner grants of what the owner before it
	// may grant. Hosts may disagree on whether that one is lost, so that all of
	// them grant at the same time: together at most grantShare / (1 -
	// standInShare), 1.2 times the limit. With what burstTime saves that is the
	// 1.5 times in 4 s that upstreams tolerate.
	standInShare = 0.25

	// fallbackShare is the fraction of a limit that all hosts together may use
	// without a grant, each an equal part. Together with grantShare it stays
	// below the 1.5 times that upstreams tolerate.
	fallbackShare = 0.5

	// burstTime is how long unused rate is saved. Requests of one host are often a
	// second apart.
	burstTime = time.Second

	// demandTime is the time constant of the estimated demand.
	demandTime = time.Second

	// minDemand is the demand in calls per second below which it is not reported.
	minDemand = 0.02

	// lesserShare is the part of its demand that a less urgent class may at least
	// ask for while more urgent ones use up the limit, so that no class starves.
	lesserShare = 0.25

	// urgencyStep is how much more of a limit a call is granted than one of the next
	// rank, at other hosts. Ranks from leastUrgent on count the same.
	urgencyStep = 4
	leastUrgent = 3

	// maxRanks bounds the classes whose demand is estimated separately.
	maxRanks = 8

	// maxUpstreams bounds the limited upstreams of one host or owner.
	maxUpstreams = 4096

	// MaxEntries bounds the entries of the reports of one reportInterval. With more
	// limited upstreams they are reported in turn, so that reports and grants stay
	// below 3 KB a second.
	MaxEntries = 16
)
