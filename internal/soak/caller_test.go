package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	callerHost = "soak.example"

	callerLimit   = 2 * time.Second
	callerTimeout = 4 * time.Second
)

// caller sends requests over kept connections, or a new one each.
type caller struct {
	world  *world
	rng    *rand.Rand
	client *http.Client
	name   string
	number int
}

func (w *world) newCaller(number int) *caller {
	rng := rand.New(rand.NewPCG(w.seed, uint64(100+number)))
	return &caller{
		world: w,
		rng:   rng,
		name:  fmt.Sprintf("q%d-%d", w.seed, number),
		client: &http.Client{
			Timeout: callerTimeout,
			Transport: &http.Transport{
				DisableKeepAlives:   rng.IntN(3) == 0,
				DisableCompression:  true,
				MaxIdleConnsPerHost: 1,
			},
		},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.world.entries[c.rng.IntN(len(c.world.entries))]
		k := []kind{search, search, search, search, read, file, mark}[c.rng.IntN(7)]
		c.send(ctx, h, k, c.rng.IntN(20) == 0)
		pause(ctx, time.Duration(5+c.rng.IntN(60))*time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// send sends one request, checks the answer and returns its status, 0 if there
// was none, with the number of missing parts.
func (c *caller) send(ctx context.Context, h *host, k kind, leaves bool) (status, missing int) {
	w := c.world
	c.number++
	id := fmt.Sprintf("%s-%d", c.name, c.number)
	paths := map[kind]string{
		search: "/search/all",
		read:   "/read/one?x=1",
		file:   "/file/draft",
		mark:   "/mark/now",
	}
	q := asked{
		kind:   k,
		method: http.MethodGet,
		uri:    paths[k],
		at:     time.Now(),
	}
	services := []string{"desk"}
	switch k {
	case search:
		services = services[:0]
		for i := range shardCount {
			services = append(services, shardName(i))
		}
	case mark:
		services = nil
	case file:
		q.method, q.body = http.MethodPost, strings.Repeat("draft ", c.rng.IntN(200))
	case read:
	}
	w.ledger.ask(id, q, services...)
	if leaves {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(1+c.rng.IntN(30))*time.Millisecond)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, q.method, h.frontURL(q.uri), strings.NewReader(q.body))
	if err != nil {
		return 0, 0
	}
	req.Host = callerHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(callerLimit.Milliseconds(), 10))
	a, err := c.do(req)
	if err != nil {
		if ctx.Err() != nil {
			w.ledger.leave(id)
			return 0, 0
		}
		if h.calmFor(false) > time.Since(q.at)+calm && w.ledger.ranAt(id) {
			w.ledger.fault(lost, "request %s to %s ended without an answer after it had run: %v", id, h.name, err)
		}
		return 0, 0
	}
	w.ledger.answered(id, a)
	if k == mark && a.status == http.StatusOK {
		turn := 0
		if _, err := fmt.Sscanf(w.ledger.serviceOf(a.stamp), "mark-%d", &turn); err == nil {
			w.operator.seen(h.name, q.at, turn, min(h.calmFor(true), w.coreCalm()))
		}
	}
	return a.status, a.missing
}

func (c *caller) do(req *http.Request) (a answer, err error) {
	res, err := c.client.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.stamp = res.StatusCode, res.Header.Get("Server-Stamp")
	if a.body, err = io.ReadAll(res.Body); err != nil {
		return a, err
	}
	for _, line := range res.Header.Values("Part-Stamps") {
		for s := range strings.SplitSeq(line, ",") {
			a.stamps = append(a.stamps, strings.TrimSpace(s))
		}
	}
	if v := res.Header.Get("Missing-Parts"); v != "" {
		if a.missing, err = strconv.Atoi(v); err != nil {
			return a, err
		}
	}
	return a, nil
}
