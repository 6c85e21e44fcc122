package standin_test

import (
	"context"
	"net/http"
	"time"
)

func init() {
	cases["cold-return"] = coldReturn
	deployments["cold-return"] = deployment{entriesPerZone: 4}
}

// coldReturn: a leaf crashes and is back cold after 4.5 s, as a new incarnation under the id
// that it had. The list lags by its MaxLagMs.
func coldReturn(w *world, trouble bool) bool {
	w.list.lags(800 * time.Millisecond)
	for _, z := range zones {
		w.addLeaf("desk", z, 6, 60*time.Millisecond)
	}
	for _, l := range w.leafs {
		l.coldStart, l.keepsID, l.coldCrash = 20*time.Second, true, coldCrash
	}
	config := deskConfig(3)
	config["Routes"].([]any)[0].(map[string]any)["Kind"] = "unsafe"
	service := config["Services"].([]any)[0].(map[string]any)
	service["ColdStartS"], service["ColdPerS"] = 20.0, coldPerSecond
	w.startAll(config)
	c := w.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	load := c.load(ctx, w.entries, 150, http.MethodPost, "/desk/filing-", 4*time.Second)
	time.Sleep(5 * time.Second)
	cold := w.leafs[0]
	back := time.Now().Add(4500 * time.Millisecond)
	if trouble {
		cold.crash("as it is told to", 4500*time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	cancel()
	load.Wait()
	if !trouble {
		return true
	}
	var times []time.Time
	for _, a := range cold.arrivalsSince(back) {
		if s := c.of(a.id); a.at.Sub(s.at) < time.Second {
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
	for _, a := range c.attempts(back.Add(-time.Second)) {
		if a.status != http.StatusOK {
			w.log("request %s to %s, which may run once only, was answered %d", a.path, a.entry, a.status)
		}
	}
	w.log("the leaf got at most %d requests in one second while it was cold, %v are allowed; it crashed %d times more", most, coldBound, cold.crashes-1)
	return float64(most) <= coldBound
}
