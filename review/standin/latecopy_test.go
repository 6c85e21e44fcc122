package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

// lateCopy sends requests that may run once at most to a service whose leafs are
// full for a moment, as all callers send at the same time. With the trouble, one of
// the two leafs sends, in spells, a second copy of a few of its answers late, when the
// next answer on the connection is expected.
func lateCopy(c *cluster) (broken []string, err error) {
	const (
		hosts    = 9 // with one caller each
		bursts   = 900
		interval = 100 * time.Millisecond
		deadline = 5 * time.Second
		share    = 0.04 // of the answers of one of the two leafs
		spell    = 5 * time.Second
		period   = 6 * time.Second // from the start of one spell to the next
		work     = 3 * time.Millisecond
	)
	start := time.Now()
	late := func() bool { return time.Since(start)%period < spell && rand.Float64() < share }
	if !c.trouble {
		late = nil
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		if i > 0 {
			late = nil
		}
		if err := c.newLeaf(&leaf{
			service: "desk",
			zone:    zone,
			slots:   2,
			queue:   2,
			size:    1500,
			late:    late,
			work:    func(string) time.Duration { return work },
		}); err != nil {
			return nil, err
		}
	}
	if err := c.start(hosts, document(1, 82, route{
		prefix:  "/file/",
		kind:    "unsafe",
		service: "desk",
		timeout: 15000,
		target:  800,
	})); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	statuses := make(map[string]int)
	var group sync.WaitGroup
	for n := range hosts {
		group.Go(func() {
			client := c.newClient(true)
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for i := range bursts {
				<-tick.C
				id := requestID(n+1, i)
				a := client.send(context.Background(), c.entries[n], http.MethodPost, "/file/draft", id, deadline, "draft")
				mu.Lock()
				statuses[id] = a.status
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second) // what is still sent on comes to an end
	answers := make(map[int]int)
	for id, status := range statuses {
		answers[status]++
		runs := c.runsOf(id)
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s may run once at most and has run %d times; the client got %d", id, runs, status))
		}
		if runs > 0 && promise(status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and has run", id, status))
		}
	}
	rejected, copies := 0, 0
	for _, l := range c.leafs {
		rejected, copies = rejected+l.rejected, copies+l.copies
	}
	c.rec.write("%d requests, answers by status %v; leafs rejected %d and sent %d answers twice", len(statuses), answers, rejected, copies)
	return broken, nil
}
