package standin

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["reload-during-stop"] = reloadDuringStop }

// reloadDuringStop stops the entry hosts one after the other, as for a release,
// while each has a request in progress, and tells each that its settings have
// changed. The request must be answered.
func reloadDuringStop(c *cluster) (broken []string, err error) {
	const (
		workTime    = 1300 * time.Millisecond
		beforeStop  = 200 * time.Millisecond
		beforeHup   = 500 * time.Millisecond
		deadline    = 15 * time.Second
		restartTime = 500 * time.Millisecond
	)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if err := c.newLeaf(&leaf{
			service: "desk",
			zone:    zone,
			slots:   2,
			queue:   8,
			size:    1500,
			work:    func(string) time.Duration { return workTime },
		}); err != nil {
			return nil, err
		}
	}
	if err := c.start(3, document(1, 82, route{
		prefix:  "/file/",
		kind:    "unsafe",
		service: "desk",
		timeout: 15000,
		target:  800,
	})); err != nil {
		return nil, err
	}
	for i, m := range c.entries {
		id := requestID(1, i)
		got := make(chan answered, 1)
		go func() {
			got <- c.newClient(false).send(context.Background(), m, http.MethodPost, "/file/draft", id, deadline, "draft")
		}()
		time.Sleep(beforeStop)
		m.signal(syscall.SIGTERM)
		if c.trouble {
			time.Sleep(beforeHup)
			m.signal(syscall.SIGHUP)
		}
		a := <-got
		if a.err != nil && c.runsOf(id) > 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s was read and passed on by %s, which was stopped as planned, and its connection ended without a whole answer: %v", id, m.name, a.err))
		}
		select {
		case <-m.done:
		case <-time.After(6 * time.Second): // the grace time
			m.kill()
		}
		time.Sleep(restartTime)
		if err := m.start(false); err != nil {
			return nil, err
		}
		if err := m.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second) // longer than ConnectivityWindowMs
	}
	return broken, nil
}
