package blame_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/blame"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func after(d time.Duration) ident.Instant { return ident.Instant(d) }

func printOf(n int) (p blame.Print) {
	binary.BigEndian.PutUint64(p[:], uint64(n))
	return p
}

func ExampleTable() {
	t := blame.NewTable()
	p := blame.PrintOf([]byte("body"), "POST", "/letters/draft", "caller")
	for id := range uint64(3) {
		t.Blame(0, p, id)
	}
	fmt.Println(t.Verdict(0, p) == blame.Refused)
	// Output: true
}

// Guards against requests that share a Print since their parts join to the same
// text.
func TestPartsDoNotRunTogether(t *testing.T) {
	is := is.New(t)
	is.True(blame.PrintOf(nil, "ab", "c") != blame.PrintOf(nil, "a", "bc"))
	is.True(blame.PrintOf([]byte("c"), "ab") != blame.PrintOf(nil, "ab", "c", ""))
	is.Equal(blame.PrintOf([]byte("x"), "a"), blame.PrintOf([]byte("x"), "a"))
}

// Guards against a refusal by crashes of calls that were sent side by side: they
// may be those of another request.
func TestCallsSideBySideDoNotRefuse(t *testing.T) {
	is := is.New(t)
	table, p := blame.NewTable(), printOf(1)
	for i := range 20 {
		table.Blame(0, p, blame.CrashID("r1", i))
	}
	is.Equal(table.Verdict(0, p), blame.Suspect)
	table.Blame(0, p, 77) // one sent alone
	is.Equal(table.Verdict(0, p), blame.Refused)
}

// Guards against hosts that end up with different evidence, depending on the
// order in which they hear of it, or that count a crash twice.
func TestHostsAgreeOnTheEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := printOf(1)
		source := blame.NewTable()
		var said []gossip.Fact
		crashes := map[uint64]bool{}
		now := after(0)
		say := func() {
			f, ok := source.Fact(now, p)
			if !ok {
				t.Fatal("no fact of a request that is remembered")
			}
			said = append(said, f)
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "clear") == 0 {
				if _, ok := source.Clear(now, p); ok {
					crashes = map[uint64]bool{}
					say()
				}
				now = now.Add(11 * time.Second) // not trusted any more
				continue
			}
			id := rapid.Uint64Range(0, 5).Draw(t, "crash")
			crashes[id] = true
			source.Blame(now, p, id)
			say()
		}
		for _, order := range [][]int{rapid.Permutation(indices(len(said))).Draw(t, "x"), rapid.Permutation(indices(len(said))).Draw(t, "y")} {
			host := blame.NewTable()
			for _, i := range append(order, order...) {
				host.Learn(now, said[i])
			}
			if host.Crashes(p) != source.Crashes(p) || host.Verdict(now, p) != source.Verdict(now, p) {
				t.Fatalf("%d crashes at the host, %d at the source", host.Crashes(p), source.Crashes(p))
			}
		}
		if want := min(len(crashes), blame.MaxCrashes); source.Crashes(p) != want {
			t.Fatalf("%d crashes, want %d", source.Crashes(p), want)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against a verdict without an end. A refused request is tried alone after
// its time, and one more crash refuses it again.
func TestVerdictsEnd(t *testing.T) {
	is := is.New(t)
	table, suspect, crasher := blame.NewTable(), printOf(1), printOf(2)
	table.Blame(0, suspect, 100)
	for id := range uint64(3) {
		table.Blame(0, crasher, id)
	}
	is.Equal(table.Verdict(after(2*time.Minute), suspect), blame.Clean)
	is.Equal(table.Verdict(after(50*time.Second), crasher), blame.Refused)
	is.Equal(table.Verdict(after(2*time.Minute), crasher), blame.Suspect)
	table.Blame(after(2*time.Minute), crasher, 9)
	is.Equal(table.Verdict(after(11*time.Minute), crasher), blame.Refused)
	is.Equal(table.Verdict(after(13*time.Minute), crasher), blame.Suspect)
	is.Equal(table.Verdict(after(time.Hour), crasher), blame.Clean)
}

// Guards against memory without a bound, and against suspects that push out
// requests that are refused.
func TestManySuspectsKeepTheRefused(t *testing.T) {
	is := is.New(t)
	table := blame.NewTable()
	for id := range uint64(3) {
		table.Blame(0, printOf(0), id)
	}
	for i := range 5000 {
		table.Blame(after(time.Duration(i)), printOf(1+i), uint64(100+i))
	}
	is.True(table.Len() <= 1024)
	is.Equal(table.Verdict(after(time.Second), printOf(0)), blame.Refused)
	is.Equal(table.Verdict(after(time.Second), printOf(5000)), blame.Suspect)
}

func FuzzTold(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1})
	f.Add(make([]byte, 28))
	f.Fuzz(func(t *testing.T, b []byte) {
		table := blame.NewTable()
		table.Learn(0, gossip.Fact{
			ID: gossip.ID{
				Topic: blame.Topic,
				Key:   printOf(1),
			},
			Body: b,
		})
		if table.Crashes(printOf(1)) > blame.MaxCrashes {
			t.Fatal("too many crashes")
		}
	})
}

// Guards against refusing a request that was tried alone on an upstream when the
// one that crashes upstreams was tried there too, by another host.
func TestCrashUnderTwoRequestsIsHeldAgainstNeither(t *testing.T) {
	is := is.New(t)
	table, crasher, beside := blame.NewTable(), printOf(1), printOf(2)
	for i, p := range []blame.Print{crasher, beside} {
		id := ident.RequestID(rune('a' + i))
		table.Blame(0, p, blame.CrashID(id, 0), blame.CrashID(id, 1))
		table.Blame(0, p, table.AloneCrashID(p, 77))
	}
	is.Equal(table.Verdict(0, crasher), blame.Suspect)
	is.Equal(table.Verdict(0, beside), blame.Suspect)
	table.Blame(0, crasher, table.AloneCrashID(crasher, 78))
	is.Equal(table.Verdict(0, crasher), blame.Refused)
	table.Clear(0, beside)
	is.Equal(table.Verdict(0, beside), blame.Clean)
	is.Equal(table.Verdict(0, crasher), blame.Refused)
}

// Guards against refusing what many callers ask when a request beside it crashes
// upstreams: it was answered a moment ago, here or at another host.
func TestAnsweredRequestIsTrusted(t *testing.T) {
	is := is.New(t)
	here, there, p := blame.NewTable(), blame.NewTable(), printOf(1)
	here.Clear(0, p)
	for id := range uint64(3) {
		here.Blame(after(time.Second), p, id)
		there.Blame(after(time.Second), p, id)
	}
	is.Equal(here.Verdict(after(time.Second), p), blame.Clean)
	is.Equal(there.Verdict(after(time.Second), p), blame.Refused)
	f, ok := there.Fact(after(time.Second), p)
	is.True(ok)
	pass, isNew := here.Learn(after(time.Second), f)
	is.True(isNew)
	is.Equal(here.Verdict(after(time.Second), p), blame.Clean)
	there.Learn(after(time.Second), pass)
	is.Equal(there.Verdict(after(time.Second), p), blame.Clean)
	for id := range uint64(3) {
		here.Blame(after(3*time.Second), p, 10+id)
	}
	is.Equal(here.Verdict(after(3*time.Second), p), blame.Refused) // it crashes upstreams now
}

// Guards against memory without a bound for the requests that were answered.
func TestTrustIsBounded(t *testing.T) {
	is := is.New(t)
	table := blame.NewTable()
	for i := range 10_000 {
		table.Clear(after(time.Duration(i)), printOf(i))
	}
	trusted := 0
	for i := range 10_000 {
		if table.Trusts(after(10_000), printOf(i)) {
			trusted++
		}
	}
	is.Equal(trusted, 4096)
}

// Guards against several requests that crash the same upstreams and are never
// refused, since each crash is held against two of them.
func TestCrashersOfTheSameUpstreamsAreRefused(t *testing.T) {
	is := is.New(t)
	table, one, two := blame.NewTable(), printOf(1), printOf(2)
	for upstream := range uint64(4) {
		for _, p := range []blame.Print{one, two} {
			table.Blame(0, p, table.AloneCrashID(p, upstream))
		}
	}
	is.Equal(table.Verdict(0, one), blame.Refused)
	is.Equal(table.Verdict(0, two), blame.Refused)
}
