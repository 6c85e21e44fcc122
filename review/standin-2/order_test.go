package standin_test

import (
	"net/http"
	"time"
)

func init() {
	cases["held-up-order"] = heldUpOrder
	deployments["held-up-order"] = deployment{
		entriesPerZone: 2,
		proxied:        true,
	}
}

// heldUpOrder: an operator withdraws an evacuation at a control host that is cut off from
// the others, gets no answer within a second, sends the same order to another one, and
// evacuates the zone again. Then the cut ends.
func heldUpOrder(w *world, trouble bool) bool {
	for _, z := range zones {
		w.addLeaf("desk", z, 6, 5*time.Millisecond)
	}
	net := newNetwork(w)
	for _, c := range w.controls {
		net.serve(c)
	}
	w.startAll(deskConfig(3))
	c := w.newCaller()
	time.Sleep(3 * time.Second)
	leader := w.leader()
	var a *process
	var others []*process
	for _, p := range w.controls {
		if p != leader && a == nil {
			a = p
			continue
		}
		others = append(others, p)
	}
	zone := zones[0]
	w.log("%s leads; the order goes to %s", leader.name, a.name)
	w.order(http.MethodPost, evacuationPath(zone), nil, w.controls)
	time.Sleep(connectivityWindow)
	if trouble {
		net.cutOff(a, others...)
	}
	cutAt := time.Now()
	time.Sleep(150 * time.Millisecond)
	w.order(http.MethodDelete, evacuationPath(zone), nil, append([]*process{a}, others...))
	time.Sleep(200 * time.Millisecond)
	w.order(http.MethodPost, evacuationPath(zone), nil, others)
	acknowledged := time.Now()
	time.Sleep(time.Until(cutAt.Add(4 * time.Second)))
	if trouble {
		net.heal()
	}
	time.Sleep(connectivityWindow + time.Second)
	time.Sleep(time.Until(acknowledged.Add(evacuationTime + time.Second)))
	return w.requestsInZone(c, zone, 6*time.Second) == 0
}
