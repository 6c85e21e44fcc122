package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

var limit = budget.Config{
	Ratio:  0.2,
	Slack:  100,
	Window: 10 * time.Second,
}

func ExampleWindow() {
	w := budget.NewWindow(limit)
	sent := 0
	for w.Take(0, 0.1) {
		sent++
	}
	fmt.Println(sent)
	// Output: 5
}

// Guards against more extra calls than the limit in any sliding window, summed
// over hosts.
func TestNoWindowIsOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		windows := make([]*budget.Window, hosts)
		for i := range windows {
			windows[i] = budget.NewWindow(limit)
		}
		var requests, extras []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			w := windows[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			at := ident.Instant(now)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(at)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 9).Draw(t, "wanted") {
				if w.Take(at, 1/float64(hosts)) {
					extras = append(extras, now)
				}
			}
		}
		for _, end := range extras {
			// A request counts in the window of its extra calls or in the one
			// before.
			extraCount, requestCount := 0, 0
			for _, e := range extras {
				if e <= end && e > end-limit.Window {
					extraCount++
				}
			}
			for _, r := range requests {
				if r <= end && r > end-2*limit.Window {
					requestCount++
				}
			}
			if float64(extraCount) > limit.Ratio*float64(requestCount)+limit.Slack {
				t.Fatalf("%d extra calls for %d requests in the window that ends at %s", extraCount, requestCount, end)
			}
		}
	})
}

// Guards against a window that keeps old extra calls after a pause longer than
// the window, when all its buckets are cleared at once.
func TestPauseFreesTheWindow(t *testing.T) {
	is := is.New(t)
	w := budget.NewWindow(limit)
	for w.Take(0, 1) {
	}
	is.True(!w.Take(ident.Instant(9*time.Second), 1))
	is.True(w.Take(ident.Instant(40*time.Second), 1))
}
