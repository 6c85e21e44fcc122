package relay

import "time"

// Lag learns how late the answers of other hosts come that were sent at the
// time they were asked for: a high quantile of what passes between that time
// and their use. Use it from one goroutine.
type Lag struct{ margin time.Duration }

// NewLag returns a lag of which nothing is known yet.
func NewLag() *Lag { return &Lag{margin: handMargin} }

// Margin returns what to keep of the time of the next answer.
func (l *Lag) Margin() time.Duration { return l.margin }

// Learn takes how long after its time an answer came. One that came before had
// no more to wait for and tells nothing.
func (l *Lag) Learn(late time.Duration) {
	const up, down = handQuantile * float64(handStep), (1 - handQuantile) * float64(handStep)
	switch {
	case late < 0:
	case late > l.margin:
		l.margin = min(mostHandLag, l.margin+time.Duration(up))
	default:
		l.margin = max(leastHandLag, l.margin-time.Duration(down))
	}
}

// CallerMargin is what is kept of a target latency for the ways to and from
// the caller, with the round trip between them or 0.
func CallerMargin(target, trip time.Duration) time.Duration {
	return max(leastTargetMargin, time.Duration(targetMargin*float64(target)), trip+serveTime)
}
