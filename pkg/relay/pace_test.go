package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// newColdHarness returns a harness whose desk service has one upstream in each of two
// domains and states a cold time.
func newColdHarness(t *testing.T, coldRate float64) *harness {
	h := newHarness(t, 1)
	d := document(1)
	d.Version++
	for i := range d.Services {
		d.Services[i].ColdTime = 3 * time.Second
		d.Services[i].ColdRate = coldRate
	}
	h.step(relay.Install{Table: rules.NewTable(d)})
	return h
}

// read sends one request to the desk service and returns the upstream that got it.
func (h *harness) read(id ident.QueryID) relay.Call {
	h.t.Helper()
	list := calls(h.arrive(id, "/read/x"))
	if len(list) != 1 {
		h.t.Fatalf("%d calls were sent", len(list))
	}
	return list[0]
}

// Guards against an upstream of this domain that stays unused for seconds after it has
// recovered, while one in another domain carries its calls.
func TestRecoveredUpstreamIsUsedSoon(t *testing.T) {
	good := func(h *harness, c relay.Call) {
		h.now += 5 * ms
		h.step(relay.Ended{
			Attempt: c.Attempt,
			Result:  relay.Good,
			Status:  200,
		})
	}
	play := func(h *harness) time.Duration {
		id := ident.QueryID(0)
		// Calls to this domain's upstream fail for 4 s.
		for h.now < ident.Instant(4*time.Second) {
			id++
			c := h.read(id)
			if c.Upstream.Domain == "a" {
				h.now += 5 * ms
				for _, next := range calls(h.step(relay.Ended{
					Attempt: c.Attempt,
					Result:  relay.Lost,
				})) {
					good(h, next)
				}
			} else {
				good(h, c)
			}
			h.now += 50 * ms
		}
		back := h.now
		for h.now.Sub(back) < 20*time.Second {
			id++
			c := h.read(id)
			good(h, c)
			if c.Upstream.Domain == "a" {
				break
			}
			h.now += 50 * ms
		}
		return h.now.Sub(back)
	}
	is := is.New(t)
	before, after := play(newHarness(t, 1)), play(newColdHarness(t, 0))
	t.Logf("unused for %v without a slow start, %v with it", before, after)
	is.True(after <= 4*time.Second) // the longest pause between trials
	is.True(after < before)
}

// draw returns a random number for a query, as the engines of a test have one seed.
func draw(id ident.QueryID) quota.Draw { return quota.Draw(id).Next().Next() }

// Guards against a cold upstream that gets more calls from all hosts together than its
// service states, which would end it, and against a limit that outlives the cold time.
func TestColdUpstreamGetsItsStatedRate(t *testing.T) {
	is := is.New(t)
	const hosts, rate, overage, slack = 10, 20.0, 1.5, 5.0
	list := []*harness{}
	for range hosts {
		h := newColdHarness(t, rate)
		h.step(relay.Hosts{
			Count:     hosts,
			Gatherers: hosts,
			Gathers:   true,
		})
		h.step(relay.Listed{Upstreams: []relay.Upstream{{
			ID:      "desk-cold",
			Service: "desk",
			Address: "cold:1",
			Domain:  "a",
			Slots:   2,
			Cold:    3 * time.Second,
		}}})
		list = append(list, h)
	}
	sent := map[int]int{} // by tenth of a second
	id := ident.QueryID(0)
	for tick := range 600 {
		for _, h := range list {
			h.now = ident.Instant(tick) * 10 * ms
			h.step(relay.Tick{})
			id++
			for _, c := range calls(h.step(relay.Arrive{
				Query: id,
				Host:  "a.example",
				Path:  "/read/x",
				Limit: time.Second,
				Draw:  draw(id),
			})) {
				sent[tick/10]++
				h.step(relay.Ended{
					Attempt: c.Attempt,
					Result:  relay.Good,
					Status:  200,
				})
			}
		}
	}
	most, after := 0, 0
	for from := range 20 {
		n := 0
		for i := from; i < from+10; i++ {
			n += sent[i]
		}
		most = max(most, n)
	}
	for i := 40; i < 60; i++ {
		after += sent[i]
	}
	t.Logf("at most %d calls in a second while cold, %d in two seconds after", most, after)
	is.True(most > 0)
	is.True(float64(most) <= rate*overage+slack)
	is.True(after > 10*hosts)
}

// Guards against work that goes to an upstream whose machine is busy with other work
// now, and against a stated effort that counts for long.
func TestStatedEffortCountsWhileItIsFresh(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	// Latencies are known first: 20 ms, so that the effort outweighs the other domain.
	for id := ident.QueryID(1); id < 40; id++ {
		c := h.read(id)
		is.Equal(c.Upstream.Domain, ident.Domain("a"))
		h.now += 20 * ms
		h.step(relay.Ended{
			Attempt: c.Attempt,
			Result:  relay.Good,
			Status:  200,
		})
	}
	c := h.read(40)
	h.now += 20 * ms
	h.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  relay.Good,
		Status:  200,
		Load: relay.Load{
			Known:  true,
			Slots:  2,
			Effort: 5,
		},
	})
	is.Equal(h.read(41).Upstream.Domain, ident.Domain("b"))
	h.now += 500 * ms
	is.Equal(h.read(42).Upstream.Domain, ident.Domain("a"))
}

// Guards against an upstream that is never used again after two failures, as its service
// gets only requests that may run once, and against trials at the expense of many of them.
func TestDownUpstreamIsTriedWithoutRepeatableRequests(t *testing.T) {
	is := is.New(t)
	h := newColdHarness(t, 0)
	id, failed := ident.QueryID(0), 0
	play := func(until time.Duration, works bool) (usedAt ident.Instant) {
		for h.now < ident.Instant(until) {
			id++
			c := calls(h.arrive(id, "/file/x"))[0]
			h.now += 5 * ms
			result := relay.Good
			if c.Upstream.Domain == "a" {
				if usedAt = h.now; !works {
					result = relay.Lost
					failed++
				}
			}
			h.end(c, result)
			h.now += 50 * ms
			if works && usedAt > 0 {
				break
			}
		}
		return usedAt
	}
	play(30*time.Second, false)
	is.True(failed <= 2+30/4)
	usedAt := play(60*time.Second, true)
	is.True(usedAt > 0 && usedAt < ident.Instant(30*time.Second+10*time.Second))
}
