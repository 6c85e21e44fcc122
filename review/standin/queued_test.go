package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["queued-at-stop"] = queuedAtStop }

// queuedAtStop sends more requests to one entry host than the leafs have room for at
// once, all well within their deadline, and then stops the host as planned. Each request
// must get an answer, be it a refusal.
func queuedAtStop(c *cluster) (broken []string, err error) {
	const (
		hosts    = 20
		requests = 30
		work     = 1300 * time.Millisecond
		deadline = 15 * time.Second
		before   = 300 * time.Millisecond // from the requests to SIGTERM
		grace    = 6 * time.Second
		slack    = 200 * time.Millisecond // LossSlackMs
		restart  = time.Second
	)
	for _, zone := range zones[:2] {
		if err := c.newLeaf(&leaf{
			service: "desk",
			zone:    zone,
			slots:   2,
			queue:   8,
			size:    1500,
			work:    func(string) time.Duration { return work },
		}); err != nil {
			return nil, err
		}
	}
	if err := c.start(hosts, document(1, 82, route{
		prefix:  "/file/",
		kind:    "unsafe",
		service: "desk",
		timeout: int(deadline.Milliseconds()),
		target:  800,
	})); err != nil {
		return nil, err
	}
	m := c.entries[0]
	answers := make([]answered, requests)
	took := make([]time.Duration, requests)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			start := time.Now()
			answers[i] = c.newClient(false).send(context.Background(), m, http.MethodPost, "/file/draft", requestID(1, i), deadline, "draft")
			took[i] = time.Since(start)
		})
	}
	time.Sleep(before)
	if c.trouble {
		m.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() {
			if m.alive() {
				m.signal(syscall.SIGKILL)
			}
		})
	}
	group.Wait()
	time.Sleep(restart)
	answered, refused, atLeaf := 0, 0, 0
	for i, a := range answers {
		id := requestID(1, i)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			answered++
		case a.err == nil:
			refused++
		case c.runsOf(id) > 0:
			atLeaf++ // the leaf may have been at work in the last sixth of the grace time
		case took[i] > slack:
			broken = append(broken, fmt.Sprintf("LOST: %s was read by %s, which was stopped as planned, waited there for %.1f s of the 15 s that it had, and its connection ended with neither an answer nor a refusal: %v", id, m.name, took[i].Seconds(), a.err))
		}
	}
	c.rec.write("%d requests: %d answered, %d refused, %d cut while a leaf ran them, %d cut while they waited", requests, answered, refused, atLeaf, len(broken))
	return broken, nil
}
