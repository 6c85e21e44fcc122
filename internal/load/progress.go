package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/scene"
)

const progressInterval = time.Second

// progressWriter writes progress lines.
type progressWriter struct {
	mu  sync.Mutex
	out io.Writer
}

func (w *progressWriter) printf(format string, args ...any) {
	if w.out == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, format+"\n", args...) // a failed write must not stop the run
}

func (w *progressWriter) event(target string, x scene.Execution) {
	state := "ends"
	if x.On {
		state = "begins"
	}
	if x.Problem != "" {
		state = "FAILED: " + x.Problem
	}
	w.printf("%s %6.1fs: %s %s", target, x.At.Seconds(), x.Event.Title(), state)
}

// reportUntil writes a line each second until loadDone is closed.
func (w *progressWriter) reportUntil(d *driver, start time.Time, loadDone <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-loadDone:
			return
		case now := <-tick.C:
			p := d.rec.Progress()
			w.printf("%s %6.1fs of %s: %d requests, %d in flight, %d failed, %d violations, p99 %.1f ms",
				d.target.Name, now.Sub(start).Seconds(), d.scenario.TotalDuration(), p.Total, len(d.inFlight), p.Failed, p.Violated,
				float64(p.P99.Microseconds())/1_000)
		}
	}
}
