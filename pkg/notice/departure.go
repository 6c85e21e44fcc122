// Package notice keeps what upstreams say about themselves in their answers: that
// they leave, and that they want no calls for a while. Departures hold for all
// hosts, which tell each other of them; a pause holds for the host that was asked
// for it. The reducers have no clock and do no I/O; they are not safe for
// concurrent use.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

const (
	// DepartureTime is how long a departure is remembered. It outlives lists that
	// still show the upstream as ready, such as while the platform is down.
	DepartureTime = 10 * time.Minute

	// maxDepartures bounds the upstreams that are remembered; those that were heard
	// of first are dropped.
	maxDepartures = 4096

	// evictedShare is the part of the statements, one in evictedShare, that is
	// dropped together when there are too many.
	evictedShare = 8

	// toldTolerance is how much earlier than a known statement another host's copy
	// of it may seem to be, as the ages in messages are in milliseconds and do not
	// count the way.
	toldTolerance = 250 * time.Millisecond
)

// Departures holds which upstreams have said that they leave.
//
// An upstream that has said so is called only for a moment more, and only a
// success without the statement, to a call that was sent later than the statement
// was heard, takes it back. An upstream that is not called any more cannot do
// that, so the statement does not flap.
type Departures struct {
	known map[quota.Key]departure
}

// departure is the last statement of an upstream. One that was taken back is kept
// as well, so that an older statement does not replace it.
type departure struct {
	at      ident.Instant
	leaving bool
}

// NewDepartures returns an empty Departures.
func NewDepartures() *Departures { return &Departures{known: make(map[quota.Key]departure)} }

// Record records an answer that says that an upstream leaves. It reports whether
// that is new.
func (d *Departures) Record(now ident.Instant, k quota.Key) (isNew bool) {
	if _, leaving := d.Since(now, k); leaving {
		return false
	}
	d.set(now, k, departure{
		at:      now,
		leaving: true,
	})
	return true
}

// Stays records a success without the statement, to a call that was sent at sent.
// It reports whether that takes a statement back.
func (d *Departures) Stays(now, sent ident.Instant, k quota.Key) (isNew bool) {
	if old := d.known[k]; !old.leaving || sent <= old.at {
		return false
	}
	d.set(now, k, departure{at: now})
	return true
}

// Learn records what another host observed at at. It reports whether that is new.
func (d *Departures) Learn(now, at ident.Instant, k quota.Key, leaving bool) (isNew bool) {
	if now >= at.Add(DepartureTime) {
		return false // lapsed
	}
	old, known := d.known[k]
	known = known && now < old.at.Add(DepartureTime)
	if known && (old.leaving == leaving || at <= old.at.Add(toldTolerance)) || !known && !leaving {
		return false
	}
	d.set(now, k, departure{
		at:      min(at, now),
		leaving: leaving,
	})
	return true
}

// Since returns when an upstream first said that it leaves, and false if it did
// not.
func (d *Departures) Since(now ident.Instant, k quota.Key) (ident.Instant, bool) {
	p := d.known[k]
	return p.at, p.leaving && now < p.at.Add(DepartureTime)
}

// Len returns the number of upstreams that have said that they leave.
func (d *Departures) Len(now ident.Instant) (n int) {
	for k := range d.known {
		if _, leaving := d.Since(now, k); leaving {
			n++
		}
	}
	return n
}

func (d *Departures) set(now ident.Instant, k quota.Key, p departure) {
	if _, known := d.known[k]; !known && len(d.known) >= maxDepartures {
		d.evict(now)
	}
	d.known[k] = p
}

// evict drops what has ended, or else what was heard first.
func (d *Departures) evict(now ident.Instant) {
	maps.DeleteFunc(d.known, func(_ quota.Key, p departure) bool { return now >= p.at.Add(DepartureTime) })
	if len(d.known) < maxDepartures {
		return
	}
	keys := slices.SortedFunc(maps.Keys(d.known), func(x, y quota.Key) int {
		return cmp.Or(cmp.Compare(d.known[x].at, d.known[y].at), cmp.Compare(x, y))
	})
	for _, k := range keys[:maxDepartures/evictedShare] {
		delete(d.known, k)
	}
}
