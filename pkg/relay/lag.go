package relay

import "time"

// Lag estimates the return latency of answers from other hosts: a high quantile
// of the time between an answer's due time at the other host and its arrival
// here. It is not safe for concurrent use.
type Lag struct{ margin time.Duration }

// NewLag returns a Lag with the default margin.
func NewLag() *Lag { return &Lag{margin: initialDelegateMargin} }

// Margin returns how much earlier than needed the next answer should be due.
func (l *Lag) Margin() time.Duration { return l.margin }

// Learn records how long after its due time an answer arrived. Early answers are
// ignored: they were complete before the due time.
func (l *Lag) Learn(late time.Duration) {
	const up, down = delegateLagQuantile * float64(delegateLagStep), (1 - delegateLagQuantile) * float64(delegateLagStep)
	switch {
	case late < 0:
	case late > l.margin:
		l.margin = min(maxDelegateLag, l.margin+time.Duration(up))
	default:
		l.margin = max(minDelegateLag, l.margin-time.Duration(down))
	}
}

// CallerMargin returns how much of a target latency to reserve for the network
// to and from the caller. trip is the round-trip time, 0 if unknown.
func CallerMargin(target, trip time.Duration) time.Duration {
	return max(minTargetMargin, time.Duration(targetMarginShare*float64(target)), trip+serveTime)
}
