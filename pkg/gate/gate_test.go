package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	cost   = float64(100 * time.Millisecond)
	target = 100 * time.Millisecond
)

func at(ms int) ident.Instant { return ident.Instant(time.Duration(ms) * time.Millisecond) }

func search(id ident.QueryID, priority int, until ident.Instant) gate.Search {
	return gate.Search{
		Query:    id,
		Priority: priority,
		Cost:     cost,
		Until:    until,
	}
}

func sample(usual time.Duration) gate.Sample {
	return gate.Sample{
		Route:  "search",
		Target: target,
		Usual:  usual,
	}
}

// fill offers searches until one is not admitted, and returns the number of those
// that were.
func fill(g *gate.Gate, now ident.Instant, first ident.QueryID, priority int) int {
	for n := 0; ; n++ {
		if g.Offer(now, search(first+ident.QueryID(n), priority, now)).Verdict != gate.Admitted {
			return n
		}
	}
}

// end ends searches that all show the same.
func end(g *gate.Gate, now ident.Instant, first ident.QueryID, n int, s gate.Sample) {
	for i := range n {
		g.Observe(now, first+ident.QueryID(i), s)
		g.End(now, first+ident.QueryID(i))
	}
}

func ExampleGate() {
	g := gate.New(1)
	fmt.Println(fill(g, 0, 1, 0), "searches begin at once")
	g.Offer(0, search(100, 0, at(10)))
	g.End(at(1), 1)
	d, _ := g.Due(at(1))
	fmt.Println(d.Query, "begins when one ends:", d.Verdict == gate.Admitted)
	// Output:
	// 3 searches begin at once
	// 100 begins when one ends: true
}

// Guards against a limit that does not follow how long the usual shard takes, or that
// falls because of what is no sign of load.
func TestLimitFollowsUpstreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		sample gate.Sample
		rounds int
		least  float64
		most   float64
	}{
		{"fast answers", sample(8 * time.Millisecond), 50, 10, 100},
		{"nothing is known", sample(0), 50, 3, 4},
		{"slow answers", sample(90 * time.Millisecond), 2, 0.5, 2},
		{"slow answers for long", sample(90 * time.Millisecond), 50, 0.1, 0.2},
		{"calls shed by faulty upstreams", gate.Sample{Route: "search", Target: target, Usual: 8 * time.Millisecond, Short: 2}, 50, 3, 100},
		{"shed calls", gate.Sample{Route: "search", Target: target, Short: 2}, 50, 0.1, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gate.New(1)
			n := fill(g, 0, 1, 0)
			end(g, at(8), 1, n, sample(8*time.Millisecond)) // without load
			id := ident.QueryID(100)
			for round := range c.rounds {
				now := at(200 * (round + 1))
				n := fill(g, now, id, 0)
				end(g, now.Add(100*time.Millisecond), id, n, c.sample)
				id += 1000
			}
			if l := g.Status().Limit; l < c.least || l > c.most {
				t.Errorf("the limit is %.2f, want %v to %v", l, c.least, c.most)
			}
		})
	}
}

// Guards against a limit that grows without being reached and then admits a flood.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	is := is.New(t)
	g := gate.New(1)
	for i := range 1000 {
		is.Equal(g.Offer(at(10*i), search(ident.QueryID(i), 0, at(10*i))).Verdict, gate.Admitted)
		end(g, at(10*i+8), ident.QueryID(i), 1, sample(8*time.Millisecond))
	}
	is.True(g.Status().Limit <= 3)
}

// Guards against less urgent searches that keep out more urgent ones, and against
// urgent ones beside which no less of the others is admitted.
func TestUrgentSearchesGoFirst(t *testing.T) {
	is := is.New(t)
	g := gate.New(1)
	is.Equal(fill(g, 0, 1, 1), 3)
	is.Equal(g.Offer(0, search(50, 1, at(10))).Verdict, gate.Waiting)
	is.Equal(fill(g, 0, 100, 0), 9) // as if the others were not there, and more
	is.Equal(g.Offer(0, search(51, 0, at(10))).Verdict, gate.Waiting)
	g.End(at(1), 100)
	d, ok := g.Due(at(1))
	is.True(ok)
	is.Equal(d.Query, ident.QueryID(51))
	end(g, at(2), 1, 3, sample(0))
	_, ok = g.Due(at(2))
	is.True(!ok) // the urgent ones take the whole limit
}

// Guards against callers that come back and are refused again in favor of newer ones,
// and against late ones that leave no room for those that can be in time.
func TestReturnedCallersGoFirst(t *testing.T) {
	is := is.New(t)
	g := gate.New(1)
	n := fill(g, 0, 1, 0)
	returned, late := search(52, 0, at(50)), search(53, 0, at(50))
	returned.Returned, late.Returned, late.Late = true, true, true
	for i, s := range []gate.Search{search(51, 0, at(50)), late, returned} {
		is.Equal(g.Offer(at(i), s).Verdict, gate.Waiting)
	}
	var order []ident.QueryID
	for i := range n {
		g.End(at(5+i), ident.QueryID(i+1))
		if d, ok := g.Due(at(5 + i)); ok {
			order = append(order, d.Query)
		}
	}
	is.Equal(order, []ident.QueryID{53, 52, 51}) // the late one within its share
	g = gate.New(1)
	fill(g, 0, 1, 0)
	first, second := late, late
	second.Query = 54
	g.Offer(0, first)
	g.Offer(0, second)
	g.Offer(0, search(51, 0, at(50)))
	order = nil
	for i := range 3 {
		g.End(at(5), ident.QueryID(i+1))
		if d, ok := g.Due(at(5)); ok {
			order = append(order, d.Query)
		}
	}
	is.Equal(order, []ident.QueryID{53, 51}) // the other one is beyond that share
}

// Guards against callers that are all told to come back at the same time, or before
// those that were refused earlier could be served.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	is := is.New(t)
	g := gate.New(1)
	fill(g, 0, 1, 0)
	seen := map[time.Duration]bool{}
	for i := range 20 {
		d := g.Offer(0, search(ident.QueryID(100+i), 0, 0))
		is.Equal(d.Verdict, gate.Refused)
		is.True(d.After >= 50*time.Millisecond && d.After <= time.Second)
		seen[d.After] = true
	}
	is.True(len(seen) > 15)
}

// Guards against searches that are lost, decided twice, or decided too late, and
// against a state that does not return to empty.
func TestEachSearchIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gate.New(rapid.Uint64().Draw(t, "seed"))
		now := ident.Instant(0)
		running, waiting := map[ident.QueryID]bool{}, map[ident.QueryID]ident.Instant{}
		decide := func(d gate.Decision) {
			delete(waiting, d.Query)
			if d.Verdict == gate.Admitted {
				running[d.Query] = true
			}
			if d.Verdict == gate.Refused && (d.After < 50*time.Millisecond || d.After > time.Second) {
				t.Fatalf("the caller is told to wait %s", d.After)
			}
		}
		drain := func() {
			for {
				d, ok := g.Due(now)
				if !ok {
					break
				}
				if _, known := waiting[d.Query]; !known {
					t.Fatalf("%d was decided twice", d.Query)
				}
				decide(d)
			}
			for id, until := range waiting {
				if now >= until {
					t.Fatalf("%d still waits", id)
				}
			}
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "offer") {
				s := gate.Search{
					Query:    ident.QueryID(i),
					Priority: rapid.IntRange(0, 30).Draw(t, "priority"),
					Account:  ident.Account(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account")),
					Cost:     rapid.Float64Range(1, cost).Draw(t, "cost"),
					Returned: rapid.Bool().Draw(t, "returned"),
					Late:     rapid.Bool().Draw(t, "late"),
					Until:    now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "until")) * time.Millisecond),
				}
				d := g.Offer(now, s)
				if d.Verdict == gate.Waiting {
					waiting[s.Query] = s.Until
				} else {
					decide(d)
				}
			}
			for id := range running {
				g.Reduce(id, rapid.Float64Range(0, 1).Draw(t, "share"))
				if rapid.IntRange(0, 2).Draw(t, "end") == 0 {
					s := sample(time.Duration(rapid.IntRange(0, 200).Draw(t, "usual")) * time.Millisecond)
					s.Short = rapid.Float64Range(0, 2).Draw(t, "short")
					end(g, now, id, 1, s)
					delete(running, id)
				}
				break
			}
			drain()
			if st := g.Status(); st.Running != len(running) || st.Waiting != len(waiting) || !(st.Limit >= 0.1) || st.Limit > 1000 {
				t.Fatalf("%+v with %d running and %d waiting", st, len(running), len(waiting))
			}
		}
		for id := range running {
			g.End(now, id)
		}
		for len(waiting) > 0 {
			if next, ok := g.Next(); ok {
				now = max(now, next)
			}
			drain()
			for id := range running {
				g.End(now, id)
				delete(running, id)
			}
		}
		if d := g.Offer(now.Add(time.Hour), search(1<<40, 0, 0)); d.Verdict != gate.Admitted {
			t.Fatalf("an idle gate refuses a search")
		}
	})
}

// Guards against a fall of the limit that is not reported, that is reported as long as
// there is no load, or that is reported again and again.
func TestFallOfTheLimitIsReported(t *testing.T) {
	is := is.New(t)
	g := gate.New(1)
	id, now := ident.QueryID(1), ident.Instant(0)
	play := func(usual time.Duration) (changes int) {
		low := g.Status().Low
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			n := fill(g, now, id, 0)
			end(g, now.Add(usual), id, n, sample(usual))
			id += 100
			if l := g.Status().Low; l != low {
				low, changes = l, changes+1
			}
		}
		return changes
	}
	is.Equal(play(8*time.Millisecond), 0)
	is.Equal(play(90*time.Millisecond), 1)
	is.True(g.Status().Low)
	is.Equal(play(8*time.Millisecond), 1)
	is.True(!g.Status().Low)
}
