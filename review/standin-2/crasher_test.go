package standin_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["crasher-returns"] = crasherReturns
	deployments["crasher-returns"] = deployment{entriesPerZone: 2}
}

// crasherWork is how long a leaf works on a request before it crashes.
const crasherWork = 100 * time.Millisecond

// maxRetries is how often a request may reach leafs after it has crashed the third.
const maxRetries = 3

// crasherReturns: a request crashes each leaf that begins to run it. Its caller sends it
// to one entry host until that refuses it, and then again and again to all of them.
func crasherReturns(w *world, trouble bool) bool {
	const path = "/desk/crasher"
	for _, z := range zones {
		for range 4 {
			l := w.addLeaf("desk", z, 6, crasherWork)
			if trouble {
				l.crashOn = path
			}
		}
	}
	config := deskConfig(3)
	config["Routes"] = append(config["Routes"].([]any), map[string]any{
		"Name": "filing", "Host": "a.example", "PathPrefix": "/filing/", "Kind": "unsafe", "TimeoutMs": 4000,
		"TargetLatencyMs": 500, "Priority": 2, "Service": "desk", "MaxAttempts": 2,
	})
	w.startAll(config)
	time.Sleep(2 * time.Second)
	c := w.newCaller()
	ctx, cancel := context.WithTimeout(context.Background(), 85*time.Second)
	defer cancel()
	for range 20 {
		c.send(w.entries[0], http.MethodGet, path, "", time.Second)
		time.Sleep(250 * time.Millisecond)
	}
	// Callers of requests that may run once only, on the same leafs.
	others := c.load(ctx, w.entries, 30, http.MethodPost, "/filing/", 4*time.Second)
	alone := time.Now()
	var callers sync.WaitGroup
	for _, e := range w.entries {
		callers.Go(func() {
			tick := time.NewTicker(150 * time.Millisecond)
			defer tick.Stop()
			for ctx.Err() == nil {
				c.send(e, http.MethodGet, path, "", time.Second)
				<-tick.C
			}
		})
	}
	callers.Wait()
	others.Wait()
	lost := 0
	for _, a := range c.attempts(alone) {
		if strings.HasPrefix(a.path, "/filing/") && a.status != http.StatusOK {
			lost++
			w.log("request %s to %s of another caller, which may run once only, was answered %d at %.3f", a.path, a.entry, a.status, a.at.Add(a.took).Sub(w.started).Seconds())
		}
	}
	w.log("requests of other callers that were not served: %d", lost)
	if !trouble {
		return true
	}
	return w.countRetries(c, path) <= maxRetries
}

// countRetries logs when a request that crashes leafs reached one, and returns how often
// it did later than ConnectivityWindowMs after it has crashed the third.
func (w *world) countRetries(c *caller, path string) int {
	var all []arrival
	for _, l := range w.leafs {
		for _, a := range l.arrivalsSince(time.Time{}) {
			if a.path == path {
				all = append(all, a)
			}
		}
	}
	slices.SortFunc(all, func(x, y arrival) int { return x.at.Compare(y.at) })
	retries := 0
	for i, a := range all {
		w.log("the request reached a leaf at %.3f (attempt %s, sent to %s, ran: %v)", a.at.Sub(w.started).Seconds(), a.id, c.of(a.id).entry, a.ran)
		if i >= 3 && a.at.After(all[2].at.Add(crasherWork+connectivityWindow)) {
			retries++
		}
	}
	w.log("%d retries reached leafs later than %s after the third crash, %d are allowed", retries, connectivityWindow, maxRetries)
	return retries
}
