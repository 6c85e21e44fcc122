package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["odd-entry"] = oddEntry }

// oddEntry lets one leaf of a service drain while, with the trouble, the platform's
// list holds one entry of another writer that ends in the middle. There are no requests
// until DrainMs has passed; then some are sent.
func oddEntry(c *cluster) (broken []string, err error) {
	const (
		drainTime = 3 * time.Second // DrainMs
		margin    = 2 * time.Second
		deadline  = 3 * time.Second
		requests  = 30
	)
	var leafs []*leaf
	for _, zone := range zones[:3] {
		l := &leaf{
			service: "letters",
			zone:    zone,
			slots:   2,
			queue:   8,
			size:    1500,
			work:    func(string) time.Duration { return 20 * time.Millisecond },
		}
		if err := c.newLeaf(l); err != nil {
			return nil, err
		}
		leafs = append(leafs, l)
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
	client := c.newClient(false)
	send := func(n int) {
		for i := range requests {
			client.send(context.Background(), c.entries[i%len(c.entries)], http.MethodGet, fmt.Sprintf("/letters/%d", i), requestID(n, i), deadline, "")
		}
	}
	send(1)
	if c.trouble {
		c.mu.Lock()
		c.oddEntry = `{"Id":"i-other","Service":"letters","Address":"127.0.`
		c.rec.write("the platform's list has an entry that cannot be read: %s", c.oddEntry)
		c.mu.Unlock()
		time.Sleep(margin)
	}
	draining := leafs[0]
	c.mu.Lock()
	draining.draining = true
	draining.leaving.Store(true)
	c.rec.write("the platform's list shows %s as draining", draining.id)
	c.mu.Unlock()
	time.Sleep(drainTime + margin)
	late := make(map[string]bool)
	for i := range requests {
		late[requestID(2, i)] = true
	}
	send(2)
	draining.mu.Lock()
	defer draining.mu.Unlock()
	for id, n := range draining.runs {
		if late[id] {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s (%d times), %s after the platform's list showed it as draining", id, draining.id, n, drainTime+margin))
		}
	}
	return broken, nil
}
