package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Measures the engine's processor time for one query over 90 shards.
func BenchmarkQuery(b *testing.B) {
	const shards = 90
	e := relay.New(relay.Config{
		Domain: "a",
		Hosts:  1,
		Extra: budget.Config{
			Ratio:  0.2,
			Slack:  100,
			Window: 10 * time.Second,
		},
		Seed: 1,
	})
	now := ident.Instant(time.Second)
	e.Step(relay.Install{Now: now, Table: rules.NewTable(document(shards))})
	var ups []relay.Upstream
	for i := range shards {
		for _, d := range []ident.Domain{"a", "b", "c"} {
			ups = append(ups, relay.Upstream{
				ID:      ident.Upstream(fmt.Sprintf("%d-%s", i, d)),
				Service: ident.Service(fmt.Sprintf("shard-%d", i)),
				Address: "x",
				Domain:  d,
				Slots:   2,
			})
		}
	}
	e.Step(relay.Listed{Now: now, Upstreams: ups})
	b.ResetTimer()
	for n := range b.N {
		now += 100 * ms
		var calls []relay.Call
		for _, eff := range e.Step(relay.Arrive{Now: now, Query: ident.QueryID(n + 1), Host: "a.example", Path: "/search/x", Limit: time.Second}) {
			if c, ok := eff.(relay.Call); ok {
				calls = append(calls, c)
			}
		}
		if len(calls) != shards {
			b.Fatal(len(calls))
		}
		for i, c := range calls {
			now += ms / 10
			if next, ok := e.Next(); ok && next <= now {
				e.Step(relay.Tick{Now: now})
			}
			e.Step(relay.Ended{Now: now, Attempt: c.Attempt, Result: relay.Good, Status: 200, Load: relay.Load{Known: true, Running: 1, Slots: 2}})
			_ = i
		}
	}
}
