package leaf

import "time"

// rate counts the searches that arrive while answers name a limit.
type rate struct {
	perSecond float64
	namedAt   time.Time // of the first answer with the limit
	arrivals  []time.Time
}

// set starts anew with another limit, 0 for none.
func (r *rate) set(perSecond float64) {
	if r.perSecond != perSecond {
		*r = rate{perSecond: perSecond}
	}
}

func (r *rate) named(now time.Time) {
	if r.namedAt.IsZero() {
		r.namedAt = now
	}
}

// arrived counts a search, and reports whether it exceeds what is tolerated.
func (r *rate) arrived(now time.Time) bool {
	if r.perSecond == 0 || r.namedAt.IsZero() || now.Sub(r.namedAt) < limitWindow {
		return false
	}
	r.arrivals = append(r.arrivals, now)
	for now.Sub(r.arrivals[0]) >= limitWindow {
		r.arrivals = r.arrivals[1:]
	}
	return float64(len(r.arrivals)) > limitTolerance*r.perSecond*limitWindow.Seconds()+limitSlack
}
