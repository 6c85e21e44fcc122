package bench

import (
	"os"
	"runtime"
	"runtime/metrics"
	"time"
)

const (
	sampleInterval   = time.Second
	liveHeapMetric   = "/gc/heap/live:bytes"
	descriptorFolder = "/proc/self/fd"
)

// usageSampler samples the resource usage of this process.
type usageSampler struct {
	heap        []float64 // bytes that are live after a garbage collection
	descriptors []float64
	goroutines  []float64

	quit, done chan struct{}
}

func startUsageSampler() *usageSampler {
	u := &usageSampler{
		quit: make(chan struct{}),
		done: make(chan struct{}),
	}
	go u.run()
	return u
}

func (u *usageSampler) run() {
	defer close(u.done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-u.quit:
			return
		case <-tick.C:
			u.sample()
		}
	}
}

func (u *usageSampler) sample() {
	// The metric is only updated by a garbage collection.
	runtime.GC()
	live := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(live)
	u.heap = append(u.heap, float64(live[0].Value.Uint64()))
	u.goroutines = append(u.goroutines, float64(runtime.NumGoroutine()))
	if files, err := os.ReadDir(descriptorFolder); err == nil {
		u.descriptors = append(u.descriptors, float64(len(files)))
	}
}

// stop ends the sampling. The samples may be read only afterwards.
func (u *usageSampler) stop() {
	close(u.quit)
	<-u.done
}

// quarters returns the means of the second and the last quarter of values. The
// first quarter is left out, since caches and pools fill up during it.
func quarters(values []float64) (second, last float64) {
	n := len(values)
	return mean(values[n/4 : n/2]), mean(values[n-n/4:])
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
