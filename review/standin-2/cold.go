//go:build review2

package main

import (
	"context"
	"net/http"
	"time"
)

func init() {
	cases["cold-again"] = coldAgain
	deployments["cold-again"] = deployment{entriesPerZone: 2}
}

const (
	coldPerSecond = 4.0
	coldOverage   = 1.5
	coldSlack     = 5.0

	// coldBound is what a cold leaf may get in one second.
	coldBound = coldPerSecond*coldOverage + coldSlack

	// coldCrash is the number of requests in one second at which a cold leaf crashes,
	// well above the rate that it tolerates.
	coldCrash = 16
)

// coldAgain: a leaf becomes cold again without a restart. The list shows it at once, and
// callers send little. 6 s later, many callers come at once.
func coldAgain(w *world, trouble bool) bool {
	for _, z := range zones {
		w.addLeaf("desk", z, 6, 100*time.Millisecond)
	}
	for _, l := range w.leafs {
		l.coldCrash = coldCrash
	}
	config := deskConfig(3)
	service := config["Services"].([]any)[0].(map[string]any)
	config["Routes"].([]any)[0].(map[string]any)["Kind"] = "unsafe"
	service["ColdStartS"], service["ColdPerS"] = 20.0, coldPerSecond
	w.startAll(config)
	c := w.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	calm := c.load(ctx, w.entries, 6, http.MethodPost, "/desk/calm-", 4*time.Second)
	time.Sleep(5 * time.Second)
	cold := w.leafs[0]
	id := cold.name()
	if trouble {
		cold.setCold(20 * time.Second)
		w.log("leaf %s in %s is cold again for 20 s, and the list shows it", id, cold.zone)
	}
	coldAt := time.Now()
	time.Sleep(6 * time.Second)
	burstAt := time.Now()
	w.log("many callers come at once")
	burst, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	c.load(burst, w.entries, 90, http.MethodPost, "/desk/burst-", 4*time.Second).Wait()
	cancel()
	calm.Wait()
	if !trouble {
		return true
	}
	// Counted are requests that were sent and arrived in the same second, while the leaf
	// was cold, later than 4 s after the list first showed that.
	var times []time.Time
	for _, a := range cold.arrivalsSince(coldAt.Add(4 * time.Second)) {
		if s := c.of(a.id); a.at.Sub(s.at) < time.Second && a.at.Before(coldAt.Add(20*time.Second)) {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	w.log("the cold leaf got at most %d requests in one second, %v are allowed; it crashed %d times; answers since the burst: %v",
		most, coldBound, cold.crashes, c.statuses(burstAt))
	for _, a := range c.attempts(burstAt) {
		if a.status != http.StatusOK {
			w.log("request %s to %s, which may run once only, was answered %d", a.path, a.entry, a.status)
		}
	}
	for _, l := range w.leafs[1:] {
		w.log("leaf %s in %s, not cold: %d requests since the burst", l.name(), l.zone, len(l.arrivalsSince(burstAt)))
	}
	return float64(most) <= coldBound
}
