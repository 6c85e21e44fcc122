package engine_test

import (
	"testing"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// BenchmarkQuery runs queries over 20 shards without failures: one arrival and
// 20 answers each.
func BenchmarkQuery(b *testing.B) {
	e := newReadyEngine(b, deployment(b, 20))
	b.ReportAllocs()
	now := ident.Instant(1_000_000)
	events := 0
	for i := range b.N {
		now += 1_000_000
		sends := filter[engine.Send](e.Step(now, search(ident.QueryID(i+1))))
		if len(sends) != 20 {
			b.Fatalf("%d sends", len(sends))
		}
		now += 4_000_000
		for _, s := range sends {
			e.Step(now, answer(s))
		}
		events += len(sends)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/attempt")
}
