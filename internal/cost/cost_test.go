package cost_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/cost"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against figures that are too low because answers lack documents, so that
// less work than stated was measured.
func TestBothFanOutsAnswerCompletely(t *testing.T) {
	is := is.New(t)
	c := cost.Config{
		Shards:   4,
		Replicas: 2,
		Callers:  2,
		Queries:  50,
	}
	for _, run := range []func(context.Context, cost.Config) (cost.Result, error){cost.Baseline, cost.Host} {
		res, err := run(context.Background(), c)
		is.NoErr(err)
		is.Equal(res.Queries, c.Queries)
		is.Equal(res.Incomplete, 0)
		is.True(res.CPU > 0 && res.Allocs > 0)
	}
}

func benchmark(b *testing.B, run func(context.Context, cost.Config) (cost.Result, error)) {
	res, err := run(context.Background(), cost.Config{
		Shards:   20,
		Replicas: 2,
		Callers:  4,
		Queries:  b.N,
	})
	if err != nil || res.Incomplete > 0 {
		b.Errorf("%d of %d answers are incomplete, error %v, last %s", res.Incomplete, res.Queries, err, res.LastIncomplete)
	}
	b.ReportMetric(float64(res.CPU.Nanoseconds()), "cpu-ns/leaf")
	b.ReportMetric(res.Allocs, "allocs/leaf")
	b.ReportMetric(float64(res.HeapAfter)/(1<<20), "heap-MiB")
}

// BenchmarkBaseline is the baseline of BenchmarkHost.
func BenchmarkBaseline(b *testing.B) { benchmark(b, cost.Baseline) }

func BenchmarkHost(b *testing.B) { benchmark(b, cost.Host) }
