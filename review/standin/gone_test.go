package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["client-leaves"] = clientLeaves }

// clientLeaves sends queries over many shards, and closes the connection of one in
// five before the answer if the trouble is on.
func clientLeaves(c *cluster) (broken []string, err error) {
	const (
		shards    = 20
		attempts  = 3 // each shard has two leafs
		work      = 1300 * time.Millisecond
		target    = 200 * time.Millisecond
		deadline  = 3 * time.Second
		leaveAt   = 400 * time.Millisecond
		share     = 0.2
		spell     = 5500 * time.Millisecond
		period    = 6500 * time.Millisecond
		runTime   = 84 * time.Second
		pause     = time.Second
		atWork    = 500 * time.Millisecond
		tolerance = 100 * time.Millisecond // for the close to reach the host
		mostShare = 0.25
	)
	var mu sync.Mutex
	left := make(map[string]time.Time)
	ends := make(map[string]time.Time)    // when the last leaf ended its work on a request
	planned := make(map[string]time.Time) // when it would have ended
	var names []string
	for i := range shards {
		name := fmt.Sprintf("shard-%d", i)
		names = append(names, name)
		for _, zone := range []string{"zone-a", "zone-b"} {
			l := &leaf{
				service: name,
				zone:    zone,
				slots:   3,
				queue:   8,
				size:    200,
				work:    func(string) time.Duration { return work },
				worked: func(id string, start, end time.Time) {
					mu.Lock()
					defer mu.Unlock()
					if end.After(ends[id]) {
						ends[id] = end
					}
					if full := start.Add(work); full.After(planned[id]) {
						planned[id] = full
					}
				},
			}
			if err := c.newLeaf(l); err != nil {
				return nil, err
			}
		}
	}
	c.zones = 4
	if err := c.start(4, document(1, 58, route{
		prefix:   "/search/",
		kind:     "safe",
		shards:   names,
		attempts: attempts,
		timeout:  int(deadline.Milliseconds()),
		target:   int(target.Milliseconds()),
	})); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	start := time.Now()
	for n, m := range c.entries {
		group.Go(func() {
			for i := 0; time.Since(start) < runTime; i++ {
				id := requestID(n+1, i)
				ctx, cancel := context.WithCancel(context.Background())
				leaves := c.trouble && time.Since(start)%period < spell && rand.Float64() < share
				if leaves {
					ctx, cancel = context.WithTimeout(ctx, leaveAt)
				}
				a := c.newClient(false).send(ctx, m, http.MethodGet, fmt.Sprintf("/search/%d/%d", n, i), id, deadline, "")
				if leaves && a.err != nil {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
				}
				cancel()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * work) // what is still at work comes to an end
	mu.Lock()
	defer mu.Unlock()
	long, still := 0, 0
	for id, at := range left {
		until := at.Add(atWork + tolerance)
		if !planned[id].After(until) {
			continue
		}
		long++
		if ends[id].After(until) {
			still++
			c.rec.write("%s: its client left at %.3f, and a leaf was at work until %.3f", id, at.Sub(c.rec.start).Seconds(), ends[id].Sub(c.rec.start).Seconds())
		}
	}
	c.rec.write("%d clients left; %d of their requests would have lasted half a second longer; leafs were still at work then on %d", len(left), long, still)
	if long > 0 && float64(still) > mostShare*float64(long) {
		broken = append(broken, fmt.Sprintf("GONE: half a second after the client had left, leafs were still at work on %d of the %d idempotent requests that would have lasted so long", still, long))
	}
	return broken, nil
}
