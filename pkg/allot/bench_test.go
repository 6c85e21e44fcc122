package allot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// BenchmarkAsk measures one question to an owner of some accounts.
func BenchmarkAsk(b *testing.B) {
	for _, accounts := range []int{80, 800, 8000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			o := allot.NewOwner(allot.Config{
				Window:  5 * time.Second,
				Overage: 0.1,
				Slack:   20,
				Domains: 3,
			}, 1)
			names := make([]ident.Account, accounts)
			for i := range names {
				names[i] = ident.Account(fmt.Sprint("account-", i))
			}
			now := ident.Instant(0)
			o.Confirm(now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				o.Confirm(now)
				o.Ask(now, time.Hour, allot.Ask{
					Limit: allot.Limit{
						Account: names[i%accounts],
						Version: 1,
						Rate:    50,
						Burst:   50,
					},
				})
			}
		})
	}
}
