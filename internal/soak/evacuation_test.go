package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// evacuationTime is how long after the acknowledgement of an evacuation hosts in
	// touch may still call upstreams of the domain.
	evacuationTime = 5 * time.Second

	// orderLimit is how long operators repeat an order.
	orderLimit = 15 * time.Second
)

// evacuations records which domains are known to be evacuated.
type evacuations struct {
	mu sync.Mutex
	// since is when the evacuation of a domain was acknowledged. A domain whose
	// withdrawal has been sent is not in it.
	since map[string]time.Time
	// strict is set if calls count although hosts have faults.
	strict bool
	// checked counts the calls to upstreams while the rule applied to other domains.
	checked int
}

func (e *evacuations) set(domain string, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.since == nil {
		e.since = make(map[string]time.Time)
	}
	delete(e.since, domain)
	if evacuated {
		e.since[domain] = time.Now()
	}
}

// checkEvacuated checks that an upstream in an evacuated domain gets no calls. The rule
// applies while no host has had a fault lately; restarts are none.
func (cl *cluster) checkEvacuated(l *leaf, id string) {
	e := &cl.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, since := range e.since {
		if time.Since(since) > evacuationTime {
			e.checked++
			break
		}
	}
	since, evacuated := e.since[l.domain]
	if !evacuated || time.Since(since) < evacuationTime {
		return
	}
	faultFree := time.Hour
	for _, h := range append(append([]*host{}, cl.controls...), cl.entries...) {
		faultFree = min(faultFree, h.faultFree(false))
	}
	if e.strict || faultFree > settleTime+evacuationTime {
		cl.history.violation(ruleEvacuation, "request %s reached %s %s after the evacuation of %s was acknowledged", id, l.id, time.Since(since), l.domain)
	}
}

// orderEvacuation sends an order to random control hosts until one acknowledges it. It
// returns false after the time limit. Copies of attempts without an answer may still be on
// their way; they must not undo what is acknowledged later.
func (cl *cluster) orderEvacuation(ctx context.Context, rng *rand.Rand, method, domain string) (acknowledged bool) {
	for end := time.Now().Add(orderLimit); ctx.Err() == nil && time.Now().Before(end); {
		c := cl.controls[rng.IntN(len(cl.controls))]
		status, _ := call(ctx, method, fmt.Sprintf("http://%s:%d/-/evacuation/%s", c.bound, operatorPort, domain), "")
		switch status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusConflict:
			cl.history.violation(ruleEvacuation, "%s %s was refused with status %d", method, domain, status)
			return false
		}
		pause(ctx, 100*time.Millisecond)
	}
	return false
}

// evacuate evacuates a domain and withdraws that, at random, until ctx ends. The domain
// is in use at the end.
func (cl *cluster) evacuate(ctx context.Context, rng *rand.Rand, domain string, rest time.Duration) {
	for ctx.Err() == nil {
		pause(ctx, randomDuration(rng, rest/4, rest))
		if ctx.Err() != nil {
			return
		}
		start := time.Now()
		if cl.orderEvacuation(ctx, rng, http.MethodPost, domain) {
			cl.evacuations.set(domain, true)
		} else if ctx.Err() == nil && cl.controlFaultFree() > settleTime+ackTime {
			cl.history.violation(ruleEvacuation, "the evacuation of %s was not acknowledged in %s by a control group without faults", domain, time.Since(start))
		}
		pause(ctx, randomDuration(rng, evacuationTime/2, 2*evacuationTime))
		cl.evacuations.set(domain, false)
		cl.orderEvacuation(cl.ctx, rng, http.MethodDelete, domain)
	}
}

// checkLastEvacuation evacuates a domain when all faults have ended: whatever they were,
// all hosts must obey. It uses a caller that no other goroutine uses.
func (cl *cluster) checkLastEvacuation(c *caller, rng *rand.Rand, domain string) {
	if !cl.orderEvacuation(cl.ctx, rng, http.MethodPost, domain) {
		cl.history.violation(ruleEvacuation, "the last evacuation of %s was not acknowledged", domain)
		return
	}
	cl.evacuations.set(domain, true)
	cl.evacuations.beStrict()
	pause(cl.ctx, evacuationTime)
	for _, h := range cl.entries {
		for range 5 {
			c.send(cl.ctx, h, search, false)
		}
	}
}

// beStrict lets calls count although hosts have had faults.
func (e *evacuations) beStrict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.strict = true
}

// Guards against hosts that call an evacuated domain after a restart of all processes,
// since they serve before they know of the evacuation or take an older state for the
// newest, and against an acknowledged evacuation that the restart undoes.
func TestEvacuationSurvivesARestartOfAllHosts(t *testing.T) {
	served := 0
	cl := serveQuietly(t, 0, func(cl *cluster) {
		rng := rand.New(rand.NewPCG(1, 7))
		for _, order := range [][2]string{
			{http.MethodPost, "a"},
			{http.MethodPost, "b"},
			{http.MethodDelete, "a"},
		} {
			if !cl.orderEvacuation(cl.ctx, rng, order[0], order[1]) {
				t.Fatal("not acknowledged: ", order)
			}
		}
		cl.evacuations.set("b", true)
		pause(cl.ctx, evacuationTime)
		cl.evacuations.beStrict()
		all := append(append([]*host{}, cl.controls...), cl.entries...)
		for _, h := range all {
			h.recordFault(0, false)
			h.terminate(syscall.SIGKILL, graceTime)
		}
		for _, h := range all {
			h.writeSettings(false, 0)
			h.start()
		}
		c := cl.newCaller(800)
		c.deadlyOneIn = 1 << 30
		cl.awaitHealthy(c, rng, recoveryLimit)
		for _, h := range cl.entries {
			if status, missing := c.send(cl.ctx, h, search, false); status == http.StatusOK && missing == 0 {
				served++
			}
		}
		pause(cl.ctx, evacuationTime)
	})
	if served == 0 {
		t.Error("no entry host serves from the other domain")
	}
	cl.evacuations.mu.Lock()
	defer cl.evacuations.mu.Unlock()
	t.Logf("%d calls to upstreams while a domain was evacuated", cl.evacuations.checked)
	if cl.evacuations.checked == 0 {
		t.Error("no upstream of the other domain was called")
	}
}
