package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// BenchmarkGate measures a search that is offered, admitted and ended while others of
// some accounts are in progress.
func BenchmarkGate(b *testing.B) {
	for _, accounts := range []int{1, 80, 800} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			g := gate.New(1)
			now := ident.Instant(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				s := search(ident.QueryID(i+1), i%2, now)
				s.Account = ident.Account(fmt.Sprint("account-", i%accounts))
				if g.Offer(now, s).Verdict == gate.Admitted {
					g.Observe(now, s.Query, sample(8*time.Millisecond))
					g.End(now, s.Query)
				}
			}
		})
	}
}
