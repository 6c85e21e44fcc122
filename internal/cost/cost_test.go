package cost_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/cost"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a measurement that counts answers which are not whole.
func TestBothFanOutsAnswerWhole(t *testing.T) {
	is := is.New(t)
	c := cost.Config{
		Shards:   4,
		Replicas: 2,
		Callers:  2,
		Queries:  50,
	}
	for _, run := range []func(context.Context, cost.Config) (cost.Result, error){cost.Bare, cost.Host} {
		res, err := run(context.Background(), c)
		is.NoErr(err)
		is.Equal(res.Queries, c.Queries)
		is.Equal(res.Short, 0)
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
	if err != nil || res.Short > 0 {
		b.Errorf("%d of %d answers are not whole, error %v, last %s", res.Short, res.Queries, err, res.Fault)
	}
	b.ReportMetric(float64(res.CPU.Nanoseconds()), "cpu-ns/leaf")
	b.ReportMetric(res.Allocs, "allocs/leaf")
	b.ReportMetric(float64(res.HeapAfter)/(1<<20), "heap-MiB")
}

// BenchmarkBare is the baseline of BenchmarkHost.
func BenchmarkBare(b *testing.B) { benchmark(b, cost.Bare) }

func BenchmarkHost(b *testing.B) { benchmark(b, cost.Host) }
