package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/scene"
)

const tellInterval = time.Second

// teller writes progress lines.
type teller struct {
	mu sync.Mutex
	to io.Writer
}

func (t *teller) line(format string, args ...any) {
	if t.to == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.to, format+"\n", args...) // progress is no result
}

func (t *teller) event(target string, h scene.Happened) {
	state := "ends"
	if h.On {
		state = "begins"
	}
	if h.Problem != "" {
		state = "FAILED: " + h.Problem
	}
	t.line("%s %6.1fs: %s %s", target, h.At.Seconds(), h.Event.Title(), state)
}

// watch writes a line each second until the load is over.
func (t *teller) watch(d *driver, start time.Time, over <-chan struct{}) {
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case now := <-tick.C:
			p := d.rec.Progress()
			t.line("%s %6.1fs of %s: %d requests, %d in flight, %d failed, %d violations, p99 %.1f ms",
				d.target.Name, now.Sub(start).Seconds(), d.scene.Whole(), p.Total, len(d.room), p.Failed, p.Violated,
				float64(p.P99.Microseconds())/1_000)
		}
	}
}
