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

	callerDeadline = 2 * time.Second
	callerTimeout  = 4 * time.Second

	// accountCount is the number of accounts, among which callers are divided.
	accountCount = 3

	// keyPrefix begins all keys.
	keyPrefix = "soak-key-"

	// strangerOneIn is the number of requests of which one has a key of no account.
	strangerOneIn = 40

	// deadlyOneIn is caller.deadlyOneIn of ordinary callers.
	deadlyOneIn = 150
)

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

func accountKey(i int) string { return fmt.Sprintf("%s%d", keyPrefix, i) }

// caller sends requests one at a time, over a persistent connection or a new
// one for each request.
type caller struct {
	cluster *cluster
	rng     *rand.Rand
	client  *http.Client
	name    string
	number  int
	// account is the number of the caller's account. While stranger is set, the caller
	// sends a key of no account.
	account  int
	stranger bool
	// deadlyOneIn is the number of requests of which one crashes leaves.
	deadlyOneIn int
}

func (cl *cluster) newCaller(number int) *caller {
	rng := rand.New(rand.NewPCG(cl.seed, uint64(100+number)))
	return &caller{
		cluster:     cl,
		rng:         rng,
		deadlyOneIn: deadlyOneIn,
		account:     number % accountCount,
		name:        fmt.Sprintf("q%d-%d", cl.seed, number),
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

// lastID returns the id of the last request.
func (c *caller) lastID() string { return fmt.Sprintf("%s-%d", c.name, c.number) }

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.cluster.entries[c.rng.IntN(len(c.cluster.entries))]
		k := []kind{search, search, search, search, read, file, mark}[c.rng.IntN(7)]
		c.stranger = c.number%strangerOneIn == strangerOneIn/2
		c.send(ctx, h, k, c.rng.IntN(20) == 0)
		pause(ctx, time.Duration(5+c.rng.IntN(60))*time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// send sends one request and checks the answer. It returns the status, 0 if
// there was no answer, and the number of missing parts. With cancelEarly, the
// request is canceled after 1 to 30 ms.
func (c *caller) send(ctx context.Context, h *host, k kind, cancelEarly bool) (status, missing int) {
	cl := c.cluster
	c.number++
	id := c.lastID()
	paths := map[kind]string{
		search: "/search/all",
		read:   "/read/one?x=1",
		file:   "/file/draft",
		mark:   "/mark/now",
	}
	sent := sentRequest{
		kind:   k,
		method: http.MethodGet,
		uri:    paths[k],
		sentAt: time.Now(),
	}
	key := keyPrefix + "of-nobody"
	if !c.stranger {
		sent.account, key = accountName(c.account), accountKey(c.account)
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
		sent.method, sent.body = http.MethodPost, strings.Repeat("draft ", c.rng.IntN(200))
	case read:
	}
	if k != mark && c.rng.IntN(c.deadlyOneIn) == 0 {
		sent.uri = fmt.Sprintf("%s/%s%d", strings.TrimSuffix(strings.SplitN(sent.uri, "?", 2)[0], "/"), deadlyMark, c.rng.IntN(3))
		sent.body = strings.Repeat("x", min(1, len(sent.body)))
	}
	if c.stranger {
		services = nil // none of them gets it
	}
	cl.history.recordSent(id, sent, services...)
	if cancelEarly {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(1+c.rng.IntN(30))*time.Millisecond)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, sent.method, h.frontURL(sent.uri), strings.NewReader(sent.body))
	if err != nil {
		return 0, 0
	}
	req.Host = callerHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Tenant", "forged")
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	a, err := c.do(req)
	if err != nil {
		if ctx.Err() != nil {
			cl.history.recordCanceled(id)
			return 0, 0
		}
		cl.checkLost(h, id, sent.sentAt, err)
		return 0, 0
	}
	cl.history.checkAnswer(id, a)
	if k == mark && a.status == http.StatusOK {
		slot := 0
		if _, err := fmt.Sscanf(cl.history.serviceOf(a.stamp), "mark-%d", &slot); err == nil {
			cl.operator.checkShown(h.name, sent.sentAt, slot, min(h.faultFree(true), cl.controlFaultFree()))
		}
	}
	return a.status, a.missing
}

// checkLost checks that a request without an answer has not run, unless its host
// had a fault meanwhile. Planned work is no excuse.
func (cl *cluster) checkLost(h *host, id string, sentAt time.Time, err error) {
	if h.faultFree(false) > time.Since(sentAt)+settleTime && cl.history.hasRun(id) {
		cl.history.violation(ruleLost, "request %s to %s ended without an answer although it had run: %v", id, h.name, err)
	}
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
