package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against changes that take longer than 2 s (p99) to become active on a
// host, hosts that revert to an older configuration, and goroutines that outlive
// the agents. In the second run one control host becomes unresponsive, which the
// hosts that watch it must detect.
func TestPropagation(t *testing.T) {
	is := is.New(t)
	size := fleet.Size{
		Hosts:     20,
		Domains:   4,
		Controls:  5,
		Upstreams: 1200, // two parts per full copy
		Changes:   200,
		Every:     10 * time.Millisecond,
	}
	for _, blackholed := range []bool{false, true} {
		size.Blackholed = blackholed
		got, err := fleet.Run(t.Context(), size)
		is.NoErr(err)
		t.Logf("blackholed=%v %+v", blackholed, got)
		is.Equal(got.Reverts, 0)
		is.True(got.P99 <= 2*time.Second)
		size.Every = 50 * time.Millisecond
	}
}

// BenchmarkControlCost measures the cost per host at 0.15 changes a second.
// Run it with -benchtime=1x; each size takes 40 s.
func BenchmarkControlCost(b *testing.B) {
	base := fleet.Size{Hosts: 20, Domains: 4, Controls: 5, Upstreams: 300, Changes: 6, Every: 6667 * time.Millisecond}
	sizes := []fleet.Size{base}
	for _, hosts := range []int{10, 40} {
		s := base
		s.Hosts = hosts
		sizes = append(sizes, s)
	}
	for _, upstreams := range []int{3_000, 30_000} {
		s := base
		s.Upstreams = upstreams
		sizes = append(sizes, s)
	}
	for _, factor := range []int{10, 100} {
		s := base
		s.Changes *= factor
		s.Every /= time.Duration(factor)
		sizes = append(sizes, s)
	}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/upstreams=%d/changes=%.2f", s.Hosts, s.Upstreams, 1/s.Every.Seconds()), func(b *testing.B) {
			for b.Loop() {
				got, err := fleet.Run(b.Context(), s)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(got.CPU.Seconds()*1e6, "cpu-us/host/s")
				b.ReportMetric(got.Allocated, "alloc-B/host/s")
				b.ReportMetric(got.Heap, "heap-B/host")
				b.ReportMetric(got.Wire, "wire-B/host/s")
				b.ReportMetric(float64(got.P99.Microseconds()), "p99-us")
			}
		})
	}
}
