package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/limit"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func ExampleAdaptive() {
	a := limit.NewAdaptive(8)
	now := ident.Instant(1)
	a.Overloaded(now)
	fmt.Println("after shedding:", a.Limit())
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		a.Answered(now, 5*time.Millisecond, a.Limit())
	}
	fmt.Println("after answers:", a.Limit())
	// Output:
	// after shedding: 5
	// after answers: 8
}

func ExampleBucket() {
	b := limit.NewBucket(10, 5, 0)
	taken := 0
	for range 100 {
		b.Deposit()
		if b.Take() {
			taken++
		}
	}
	fmt.Println("extra attempts:", taken)
	// Output: extra attempts: 10
}

func ExampleQueue() {
	q := limit.NewQueue[string](&limit.Counts{})
	for _, c := range []preset.Class{preset.Tolerant, preset.Critical} {
		q.Offer(1, &limit.Waiter[string]{
			Item:     c.String(),
			Class:    c,
			Deadline: ident.Instant(time.Second),
		}, 10, 0)
	}
	for w := q.Head(); w != nil; w = q.Head() {
		q.Admit(2, w)
		fmt.Println(w.Item)
	}
	// Output:
	// Critical
	// Tolerant
}

// Guards against a limit outside of 1 to its ceiling after any order of events.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ceiling := rapid.IntRange(-1, 9).Draw(t, "ceiling")
		a := limit.NewAdaptive(ceiling)
		now := ident.Instant(0)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				a.Overloaded(now)
			case 1:
				ceiling = rapid.IntRange(-1, 9).Draw(t, "ceiling")
				a.SetCeiling(ceiling)
			default:
				a.Answered(now, time.Duration(rapid.IntRange(0, 100).Draw(t, "ms"))*time.Millisecond, rapid.IntRange(0, 9).Draw(t, "out"))
			}
			if n := a.Limit(); n < 1 || n > max(1, ceiling) {
				t.Fatalf("limit is %d, ceiling %d", n, ceiling)
			}
		}
	})
}

// Guards against more extra attempts than the budget allows.
func TestBucketNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := float64(rapid.IntRange(0, 20).Draw(t, "percent"))
		start := rapid.IntRange(0, 5).Draw(t, "start")
		b := limit.NewBucket(percent, rapid.IntRange(1, 20).Draw(t, "burst"), start)
		deposits, takes := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "events") {
			if rapid.IntRange(0, 2).Draw(t, "take") == 0 {
				if b.Take() {
					takes++
				}
			} else {
				b.Deposit()
				deposits++
			}
			if float64(takes) > float64(start)+float64(deposits)*percent/100+1e-9 {
				t.Fatalf("%d takes after %d deposits at %v%%", takes, deposits, percent)
			}
		}
	})
}

// Guards against admission before a more important class, an unbounded queue,
// and counts that differ from the queued items.
func TestQueueOrderAndBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := &limit.Counts{}
		q := limit.NewQueue[int](counts)
		var waiting []*limit.Waiter[int]
		for i := range rapid.IntRange(1, 100).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if w := q.Head(); w != nil {
					for _, o := range waiting {
						if o.Class < w.Class || (o.Class == w.Class && o.Item < w.Item) {
							t.Fatalf("%v %d overtook %v %d", w.Class, w.Item, o.Class, o.Item)
						}
					}
					q.Admit(ident.Instant(i), w)
					waiting = without(waiting, w)
				}
			case 1:
				if len(waiting) > 0 {
					w := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "which")]
					q.Remove(w)
					q.Remove(w)
					waiting = without(waiting, w)
				}
			default:
				w := &limit.Waiter[int]{
					Item:     i,
					Class:    preset.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Deadline: ident.Instant(time.Hour),
				}
				full := counts[w.Class] >= 4
				if got := q.Offer(ident.Instant(i), w, 4, 0); (got == limit.Full) != full {
					t.Fatalf("offer returned %v with %d waiting", got, counts[w.Class])
				}
				if !full {
					waiting = append(waiting, w)
				}
			}
			if q.Len() != len(waiting) || counts[0]+counts[1]+counts[2] != len(waiting) {
				t.Fatalf("length %d, counts %v, want %d", q.Len(), counts, len(waiting))
			}
		}
	})
}

// Guards against queueing a query that cannot be served before its deadline.
func TestQueueShedsLate(t *testing.T) {
	is := is.New(t)
	q := limit.NewQueue[int](&limit.Counts{})
	now := ident.Instant(1)
	offer := func(c preset.Class, remaining time.Duration) limit.OfferResult {
		return q.Offer(now, &limit.Waiter[int]{
			Class:    c,
			Deadline: now.Add(remaining),
		}, 1000, 5*time.Millisecond)
	}
	for range 60 {
		is.Equal(offer(preset.Standard, time.Minute), limit.Queued)
	}
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		q.Admit(now, q.Head())
	}
	is.Equal(offer(preset.Standard, 50*time.Millisecond), limit.Late)
	is.Equal(offer(preset.Tolerant, 50*time.Millisecond), limit.Late)
	is.Equal(offer(preset.Critical, 50*time.Millisecond), limit.Queued)
}

func without(list []*limit.Waiter[int], w *limit.Waiter[int]) []*limit.Waiter[int] {
	var rest []*limit.Waiter[int]
	for _, o := range list {
		if o != w {
			rest = append(rest, o)
		}
	}
	return rest
}

// Guards against pacing that starves the less important classes, or that does
// not end after the overload.
func TestPaceFollowsSlowdown(t *testing.T) {
	is := is.New(t)
	p := limit.NewPace(1)
	now := ident.Instant(1)
	run := func(seconds int, slowdown float64) (admitted int) {
		for end := now.Add(time.Duration(seconds) * time.Second); now < end; now = now.Add(time.Millisecond) {
			p.Observe(now, slowdown, 10*time.Millisecond)
			if now >= p.Next() {
				p.Admitted(now, 1)
				admitted++
			}
		}
		return admitted
	}
	is.Equal(run(2, 1), 2000) // no load: not paced
	slow := run(3, 4)
	is.True(slow > 0 && slow < 600)
	run(10, 1)
	is.Equal(run(1, 1), 1000)
}

// Guards against pacing of rare queries, which waited for seconds although the
// upstreams were slow for another reason.
func TestPaceOfRareQueriesIsSparse(t *testing.T) {
	is := is.New(t)
	const runTime = 10 * time.Millisecond
	rare, busy := limit.NewPace(1), limit.NewPace(1)
	for i := range 100 {
		rare.Admitted(ident.Instant(0).Add(time.Duration(i+1)*20*runTime), 1)
		busy.Admitted(ident.Instant(0).Add(time.Duration(i+1)*runTime), 1)
	}
	is.True(rare.Sparse(runTime))
	is.True(!busy.Sparse(runTime))
}

// Guards against a rate that falls to one admission per second: it then gets
// too few answers to recover, and queries wait for seconds while upstreams
// idle.
func TestPaceIsNeverSparse(t *testing.T) {
	is := is.New(t)
	const runTime = 10 * time.Millisecond
	p := limit.NewPace(1)
	now := ident.Instant(1)
	for range 20_000 {
		now = now.Add(time.Millisecond)
		p.Observe(now, limit.MaxSlowdown, runTime)
		if now >= p.Next() {
			p.Admitted(now, 1)
		}
	}
	is.True(p.Next() > now) // it is paced
	is.True(p.Next().Sub(now) <= 8*runTime)
}
