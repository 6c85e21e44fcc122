package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one attempt of a caller.
type sent struct {
	id     string
	path   string
	at     time.Time
	entry  string
	status int // 0 if the connection ended without an answer
	took   time.Duration
}

// caller sends requests to entry hosts over kept connections.
type caller struct {
	w      *world
	client *http.Client
	key    string // sent with each request, if set

	mu   sync.Mutex
	sent map[string]sent
}

func (w *world) newCaller() *caller {
	return &caller{
		w: w,
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		sent: map[string]sent{},
	}
}

// send makes one attempt. The caller does not try again.
func (c *caller) send(e *process, method, path, body string, limit time.Duration) int {
	id := c.w.nextID()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	if c.key != "" {
		req.Header.Set("X-Api-Key", c.key)
	}
	s := sent{
		id:    id,
		path:  path,
		at:    time.Now(),
		entry: e.name,
	}
	c.mu.Lock()
	c.sent[id] = s
	c.mu.Unlock()
	res, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err == nil {
			s.status = res.StatusCode
		}
	}
	s.took = time.Since(s.at)
	c.mu.Lock()
	c.sent[id] = s
	c.mu.Unlock()
	return s.status
}

func (c *caller) of(id string) sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// load sends requests at a rate, in turn to some entry hosts, until ctx ends.
func (c *caller) load(ctx context.Context, to []*process, perSecond float64, method, prefix string, limit time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	var n atomic.Int64
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			i := n.Add(1)
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send(to[int(i)%len(to)], method, fmt.Sprintf("%s%d", prefix, i), "", limit)
			}()
		}
	}()
	return &wg
}

// statuses counts the answers to attempts made since a time.
func (c *caller) statuses(since time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := map[int]int{}
	for _, s := range c.sent {
		if s.at.After(since) {
			count[s.status]++
		}
	}
	return count
}

// attempts returns the attempts made since a time, by time.
func (c *caller) attempts(since time.Time) (list []sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		if s.at.After(since) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y sent) int { return x.at.Compare(y.at) })
	return list
}
