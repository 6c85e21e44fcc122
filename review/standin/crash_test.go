package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash-mid-answer"] = crashMidAnswer }

// crashMidAnswer sends ordinary requests and, with the trouble, one request that
// crashes each leaf that runs it, again and again. A leaf crashes while it writes
// its answer: it has sent the head and half of the body. It is back after 3 s.
func crashMidAnswer(c *cluster) (broken []string, err error) {
	const (
		leafs     = 10
		callers   = 6
		runTime   = 20 * time.Second
		deadline  = 3 * time.Second
		interval  = 750 * time.Millisecond // between two of the deadly request, 3 in 100 of all
		inTouch   = 4 * time.Second        // ConnectivityWindowMs
		downTime  = 3 * time.Second
		maxRetry  = 3
		deadlyURI = "/letters/deadly"
	)
	var mu sync.Mutex
	var crashes []time.Time
	late, lateRepeats := 0, 0
	seen := make(map[string]int)
	arrived := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		seen[id]++
		if len(crashes) >= 3 && time.Since(crashes[2]) > inTouch {
			late++
			if seen[id] > 1 {
				lateRepeats++
			}
		}
	}
	crashed := func() {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
	}
	for i := range leafs {
		if err := c.newLeaf(&leaf{
			service:  "letters",
			zone:     []string{"zone-a", "zone-b", "zone-c"}[i%3],
			slots:    2,
			queue:    8,
			size:     1500,
			work:     func(string) time.Duration { return time.Duration(20+rand.IntN(20)) * time.Millisecond },
			deadly:   deadlyURI,
			downTime: downTime,
			arrived:  arrived,
			crashed:  crashed,
		}); err != nil {
			return nil, err
		}
	}
	if err := c.start(3, document(1, 82, route{
		prefix:  "/letters/",
		kind:    "safe",
		service: "letters",
		timeout: 15000,
		target:  800,
	})); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			client := c.newClient(true)
			for i := 0; ctx.Err() == nil; i++ {
				client.send(context.Background(), c.entries[n%3], http.MethodGet, fmt.Sprintf("/letters/%d/%d", n, i), requestID(n+1, i), deadline, "")
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	if c.trouble {
		group.Go(func() {
			client := c.newClient(false)
			for i := 0; ctx.Err() == nil; i++ {
				client.send(context.Background(), c.entries[i%3], http.MethodGet, deadlyURI, requestID(100, i), deadline, "")
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	c.rec.write("%d crashes; from 4 s after the third one the deadly request reached leafs %d times, %d of them repeats within one client attempt", len(crashes), late, lateRepeats)
	if lateRepeats > maxRetry {
		broken = append(broken, fmt.Sprintf("BUDGET: later than %s after the third crash, the hosts retried a request that crashes the leafs that run it %d times; it reached leafs %d times and %d leafs crashed", inTouch, lateRepeats, late, len(crashes)))
	}
	return broken, nil
}
