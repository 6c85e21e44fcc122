package standin_test

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

// coldAgain: a zone is evacuated, and its leaf becomes cold meanwhile, without a restart.
// The list shows that at once. 4.5 s later the evacuation is withdrawn. The callers send
// the same all the time.
func coldAgain(w *world, trouble bool) bool {
	for _, z := range zones {
		w.addLeaf("desk", z, 6, 100*time.Millisecond)
	}
	for _, l := range w.leafs {
		l.coldCrash = coldCrash
	}
	config := deskConfig(3)
	config["Routes"].([]any)[0].(map[string]any)["Kind"] = "unsafe"
	service := config["Services"].([]any)[0].(map[string]any)
	service["ColdStartS"], service["ColdPerS"] = 20.0, coldPerSecond
	w.startAll(config)
	c := w.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	load := c.load(ctx, w.entries, 90, http.MethodPost, "/desk/filing-", 4*time.Second)
	time.Sleep(3 * time.Second)
	cold := w.leafs[0]
	id := cold.name()
	began := time.Now()
	w.order(http.MethodPost, evacuationPath(cold.zone), nil, w.controls)
	time.Sleep(evacuationTime)
	if trouble {
		cold.setCold(20 * time.Second)
		w.log("leaf %s in %s is cold for 20 s, and the list shows it", id, cold.zone)
	}
	coldAt := time.Now()
	time.Sleep(4500 * time.Millisecond)
	w.order(http.MethodDelete, evacuationPath(cold.zone), nil, w.controls)
	time.Sleep(8 * time.Second)
	cancel()
	load.Wait()
	failed := 0
	for _, a := range c.attempts(began) {
		if a.status != http.StatusOK {
			failed++
			w.log("request %s to %s, which may run once only, was answered %d", a.path, a.entry, a.status)
		}
	}
	w.log("answers: %v", c.statuses(began))
	for _, l := range w.leafs {
		w.log("leaf %s in %s: %d requests since the cold time began, %d crashes", l.name(), l.zone, len(l.arrivalsSince(coldAt)), l.crashes)
	}
	if !trouble {
		return failed == 0
	}
	// Counted are requests that were sent and arrived in the same second, while the leaf
	// was cold, later than 4 s after the list first showed that it is.
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
	w.log("the cold leaf got at most %d requests in one second, %v are allowed", most, coldBound)
	return float64(most) <= coldBound
}
