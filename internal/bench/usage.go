package bench

import (
	"os"
	"runtime"
	"runtime/metrics"
	"time"
)

const (
	gaugeEvery = time.Second
	liveHeap   = "/gc/heap/live:bytes"
	ownFiles   = "/proc/self/fd"
)

// gauge samples what this process uses, once a second.
type gauge struct {
	heap        []float64 // bytes that the last collection found alive
	descriptors []float64
	goroutines  []float64

	quit, done chan struct{}
}

func startGauge() *gauge {
	g := &gauge{
		quit: make(chan struct{}),
		done: make(chan struct{}),
	}
	go g.run()
	return g
}

func (g *gauge) run() {
	defer close(g.done)
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		select {
		case <-g.quit:
			return
		case <-tick.C:
			g.sample()
		}
	}
}

func (g *gauge) sample() {
	// Without a collection now, the figure would be as old as the last one.
	runtime.GC()
	live := []metrics.Sample{{Name: liveHeap}}
	metrics.Read(live)
	g.heap = append(g.heap, float64(live[0].Value.Uint64()))
	g.goroutines = append(g.goroutines, float64(runtime.NumGoroutine()))
	if files, err := os.ReadDir(ownFiles); err == nil {
		g.descriptors = append(g.descriptors, float64(len(files)))
	}
}

// stop ends the sampling; the samples may be read afterwards.
func (g *gauge) stop() {
	close(g.quit)
	<-g.done
}

// quarters returns the means of the second and of the last quarter. The first
// quarter is left out, since caches and pools fill up in it.
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
