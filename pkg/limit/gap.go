package limit

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Gap is the mean time between the admissions of all classes. The zero value
// has seen none.
type Gap struct {
	mean float64 // ns
	last ident.Instant
}

// Admitted notes an admission of any class.
func (g *Gap) Admitted(now ident.Instant) {
	if g.last != 0 {
		g.mean += intervalShare * (float64(now.Sub(g.last)) - g.mean)
	}
	g.last = now
}

// Sparse reports whether admissions are so far apart, for queries that take
// run, that this host cannot be the cause of a slowdown.
func (g *Gap) Sparse(run time.Duration) bool { return g.mean > sparse*float64(run) }
