package pace_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/pace"
)

const ms = ident.Instant(time.Millisecond)

func two() pace.Config {
	return pace.Config{
		Slots:  2,
		Hosts:  16,
		Spread: 0.5,
	}
}

func ExampleWindow() {
	var w pace.Window
	c := pace.Config{
		Slots: 4,
		Hosts: 2,
	}
	fmt.Println(w.Ready(0, 100))
	w.Start(c)
	fmt.Println(w.Ready(0, 1), w.Ready(0, 2))
	w.Succeeded(c, pace.Answer{Ratio: 1})
	w.Succeeded(c, pace.Answer{Ratio: 1})
	fmt.Println(w.Open())
	// Output:
	// true
	// true false
	// true
}

// Guards against an upstream that gets its full share before it has answered, and
// against one that stays below it after fast answers.
func TestWindowGrowsWithAnswers(t *testing.T) {
	is := is.New(t)
	var w pace.Window
	w.Start(two())
	is.True(w.Ready(0, 0))
	is.True(!w.Ready(0, 1))
	w.Sent(0, 10*time.Millisecond)
	is.True(!w.Ready(79*ms, 0)) // 10 ms / (1/8)
	is.True(w.Ready(80*ms, 0))
	for range 5 {
		w.Succeeded(two(), pace.Answer{Ratio: 1})
	}
	is.True(w.Open())
}

// Guards against a window that grows while the upstream is slow or its queue is long.
func TestSlowAndCrowdedAnswersReduceTheWindow(t *testing.T) {
	cases := map[string]pace.Answer{
		"slow":    {Ratio: 4},
		"crowded": {Ratio: 1, Crowded: true},
	}
	for name, a := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w pace.Window
			c := pace.Config{
				Slots: 8,
				Hosts: 2,
			}
			w.Start(c)
			w.Succeeded(c, a)
			is.True(w.Ready(0, 1))
			is.True(!w.Ready(0, 2))
		})
	}
}

// Guards against a settled upstream that sheds and gets as many calls as before.
func TestRejectionReducesAnOpenWindow(t *testing.T) {
	is := is.New(t)
	var w pace.Window
	w.Rejected(two())
	is.True(!w.Open())
	is.True(!w.Ready(0, 1))
	w.Succeeded(two(), pace.Answer{Ratio: 1})
	is.True(w.Open())
}

// Guards against one broken connection that takes an upstream out, and against trials
// of a failed one that come often or never.
func TestFailedUpstreamIsTriedAgain(t *testing.T) {
	is := is.New(t)
	var w pace.Window
	is.True(!w.Failed(0, two()))
	is.True(w.Open())
	is.True(w.Failed(0, two()))
	is.True(w.Down())
	is.True(!w.Ready(499*ms, 0))
	is.True(w.Ready(500*ms, 0))
	w.Sent(500*ms, 10*time.Millisecond)
	is.True(!w.Ready(501*ms, 0)) // one trial at a time
	now := 500 * ms
	for range 10 {
		is.True(!w.Failed(now, two()))
		now = now.Add(4 * time.Second)
		is.True(w.Ready(now, 0))
	}
	is.True(w.Succeeded(two(), pace.Answer{Ratio: 9})) // recovered, however slow
	is.True(!w.Down())
	is.True(!w.Open())
}

// Guards against a state in which an upstream that answers well is never used again.
func TestFastAnswersAlwaysOpenTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := pace.Config{
			Slots:  rapid.IntRange(0, 64).Draw(t, "slots"),
			Hosts:  rapid.IntRange(0, 300).Draw(t, "hosts"),
			Spread: rapid.Float64Range(0, 1).Draw(t, "spread"),
		}
		var w pace.Window
		now := ident.Instant(0)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w.Start(c)
			case 1:
				w.Sent(now, 10*time.Millisecond)
			case 2:
				w.Succeeded(c, pace.Answer{Ratio: rapid.Float64Range(0, 10).Draw(t, "ratio")})
			case 3:
				w.Rejected(c)
			case 4:
				w.Failed(now, c)
			}
			if !w.Ready(now.Add(time.Minute), 0) {
				t.Fatal("no call is allowed a minute later")
			}
		}
		for range 64*64 + 8 {
			w.Succeeded(c, pace.Answer{Ratio: 1})
		}
		if !w.Open() {
			t.Fatal("the window stays closed after fast answers")
		}
	})
}

// play runs many hosts against one upstream that returns at a time, with as many calls
// as its slots can just serve. It returns the share of calls that were shed in the
// second after the return, and how long it took until the upstream was used at half of
// its capacity in 100 ms.
func play(paced bool) (shed float64, idle time.Duration) {
	const (
		hosts, slots, queue = 16, 2, 12
		work                = 10 * time.Millisecond
		back                = 2 * time.Second
		end                 = 8 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	c := func(h int) pace.Config {
		return pace.Config{
			Slots:  slots,
			Hosts:  hosts,
			Spread: float64(h) / hosts,
		}
	}
	windows := make([]pace.Window, hosts)
	avoid := make([]ident.Instant, hosts)
	inFlight := make([]int, hosts)
	var q calls
	at := func(t ident.Instant, run func(now ident.Instant)) {
		heap.Push(&q, call{
			at:  t,
			run: run,
		})
	}
	busy, sent, rejected := 0, 0, 0
	var freeAt [slots]ident.Instant
	served := map[ident.Instant]int{}
	var demand func(h int) func(ident.Instant)
	demand = func(h int) func(ident.Instant) {
		return func(now ident.Instant) {
			at(now.Add(time.Duration(rng.ExpFloat64()*float64(work)*hosts/slots/8)), demand(h))
			w := &windows[h]
			ready := now >= avoid[h] && inFlight[h] < slots
			if paced {
				ready = w.Ready(now, inFlight[h]) && inFlight[h] < slots
			}
			if !ready {
				return // a peer takes the call
			}
			inFlight[h]++
			w.Sent(now, work)
			answer := func(delay time.Duration, take func(now ident.Instant)) {
				at(now.Add(delay), func(now ident.Instant) {
					inFlight[h]--
					take(now)
				})
			}
			late := now >= ident.Instant(back) && now < ident.Instant(back+time.Second)
			if late {
				sent++
			}
			switch {
			case now < ident.Instant(back):
				answer(time.Millisecond, func(now ident.Instant) {
					w.Failed(now, c(h))
					avoid[h] = now.Add(4 * time.Second) // what failures cost without a pace
				})
			case busy >= slots+queue:
				if late {
					rejected++
				}
				answer(time.Millisecond, func(ident.Instant) { w.Rejected(c(h)) })
			default:
				busy++
				slot := 0
				if freeAt[1] < freeAt[0] {
					slot = 1
				}
				freeAt[slot] = max(freeAt[slot], now).Add(work)
				took := freeAt[slot].Sub(now)
				answer(took, func(now ident.Instant) {
					busy--
					served[now/ident.Instant(100*time.Millisecond)]++
					w.Succeeded(c(h), pace.Answer{
						Ratio:   float64(took) / float64(work),
						Crowded: busy > 2*slots,
					})
				})
			}
		}
	}
	for h := range hosts {
		at(0, demand(h))
	}
	for len(q) > 0 && q[0].at < ident.Instant(end) {
		next := heap.Pop(&q).(call)
		next.run(next.at)
	}
	const full = int(100*time.Millisecond/work) * slots
	for t := ident.Instant(back); t < ident.Instant(end); t += 100 * ms {
		if served[t/(100*ms)] >= full/2 {
			return float64(rejected) / float64(max(1, sent)), t.Sub(ident.Instant(back))
		}
	}
	return float64(rejected) / float64(max(1, sent)), end - back
}

type call struct {
	at  ident.Instant
	run func(now ident.Instant)
}

type calls []call

func (q calls) Len() int           { return len(q) }
func (q calls) Less(i, j int) bool { return q[i].at < q[j].at }
func (q calls) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *calls) Push(x any)        { *q = append(*q, x.(call)) }
func (q *calls) Pop() any {
	old := *q
	c := old[len(old)-1]
	*q = old[:len(old)-1]
	return c
}

// Guards against an upstream that many hosts flood or avoid when it returns. Callers
// need it within a second; a shed call costs them a second one.
func TestReturningUpstreamIsNeitherFloodedNorIdle(t *testing.T) {
	is := is.New(t)
	shedBefore, before := play(false)
	shed, idle := play(true)
	t.Logf("idle for %v without a pace, %v with it; shed %.3f, %.3f", before, idle, shedBefore, shed)
	is.True(before >= 2*time.Second)
	is.True(idle <= time.Second)
	is.True(shed <= 0.05)
}
