package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answered is what a client gets for one request.
type answered struct {
	status int
	stamp  string
	after  time.Duration // Retry-After
	parts  string
	body   []byte
	err    error
}

// client sends requests over kept connections, or each on a new one.
type client struct {
	cluster *cluster
	http    *http.Client
}

func (c *cluster) newClient(kept bool) *client {
	return &client{
		cluster: c,
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:   !kept,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
		}},
	}
}

// send sends one request and records it with its answer.
func (c *client) send(ctx context.Context, to *machine, method, path, id string, deadline time.Duration, body string) (a answered) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.frontAddress()+path, strings.NewReader(body))
	if err != nil {
		return answered{err: err}
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.cluster.rec.write("%s %s %s is sent to %s", id, method, path, to.name)
	defer func() {
		if a.err != nil {
			c.cluster.rec.write("%s gets no whole answer: %v", id, a.err)
			return
		}
		c.cluster.rec.write("%s gets %d, stamp %q, %d bytes", id, a.status, a.stamp, len(a.body))
	}()
	res, err := c.http.Do(req)
	if err != nil {
		return answered{err: err}
	}
	defer res.Body.Close()
	a = answered{
		status: res.StatusCode,
		stamp:  res.Header.Get("Server-Stamp"),
		parts:  res.Header.Get("Part-Stamps"),
	}
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.after = time.Duration(s * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(res.Body)
	return a
}

// promise reports whether a status states that a request has not run and never
// will.
func promise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// runsOf returns how often all leafs have run a request.
func (c *cluster) runsOf(id string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.leafs {
		l.mu.Lock()
		n += l.runs[id]
		l.mu.Unlock()
	}
	return n
}

func requestID(caller, number int) string { return fmt.Sprintf("%04x%08x", caller, number) }
