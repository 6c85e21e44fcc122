package follow

import (
	"cmp"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Settled tells which version a host must have that gets versions another way,
// such as from the replicated log: the newest one that is older than a grace
// period. Later versions do not extend the period of earlier ones.
type Settled[V cmp.Ordered] struct {
	// Grace is the time that the other way may take.
	Grace    time.Duration
	version  V
	arrivals []arrival[V]
}

type arrival[V cmp.Ordered] struct {
	version V
	at      ident.Instant
}

// Add records the arrival of a newer version.
func (s *Settled[V]) Add(now ident.Instant, v V) {
	s.Version(now)
	s.arrivals = append(s.arrivals, arrival[V]{
		version: v,
		at:      now,
	})
}

// Version returns the newest version whose grace period has ended.
func (s *Settled[V]) Version(now ident.Instant) V {
	for len(s.arrivals) > 0 && now.Sub(s.arrivals[0].at) >= s.Grace {
		s.version = s.arrivals[0].version
		s.arrivals = s.arrivals[1:]
	}
	return s.version
}
