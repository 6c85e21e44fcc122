package gate_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/gate"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Guards against a fair share that holds back accounts which ask for less than others,
// or none at all while there is too little for all.
func TestSharesHoldBackTheLargest(t *testing.T) {
	for _, c := range []struct {
		name string
		// asks is the number of requests of each account in each step, capacity that of
		// all that are served.
		asks     []int
		capacity int
		over     []bool
	}{
		{"enough for all", []int{1, 2, 3}, 10, []bool{false, false, false}},
		{"one asks for ten times as much", []int{1, 1, 1, 10}, 7, []bool{false, false, false, true}},
		{"two ask for too much", []int{1, 8, 8}, 9, []bool{false, true, true}},
		{"a single account", []int{20}, 5, []bool{false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := gate.NewShares(gate.SearchTime)
			names := []ident.Account{"a", "b", "c", "d"}
			for step := range 100 {
				now, left := at(100*step), c.capacity
				for i, n := range c.asks {
					for range n {
						s.Asked(now, names[i], cost)
					}
				}
				// Those within their share come first, then the others.
				asked := append([]int(nil), c.asks...)
				for _, over := range []bool{false, true} {
					for progress := true; progress && left > 0; {
						progress = false
						for i := range asked {
							if asked[i] > 0 && left > 0 && s.Over(now, names[i]) == over {
								s.Got(now, names[i], cost)
								asked[i], left, progress = asked[i]-1, left-1, true
							}
						}
					}
				}
			}
			for i, want := range c.over {
				if got := s.Over(at(10000), names[i]); got != want {
					t.Errorf("account %s is over its share: %v, want %v", names[i], got, want)
				}
			}
		})
	}
}

// Guards against a state in which all accounts are held back, so that nothing tells
// them apart, and against results that depend on the order of a map.
func TestSomeAccountIsWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := gate.NewShares(gate.SearchTime), gate.NewShares(gate.SearchTime)
		names := []ident.Account{"a", "b", "c", "d", "e"}
		now := ident.Instant(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(at(rapid.IntRange(0, 300).Draw(t, "ms")).Sub(0))
			name := rapid.SampledFrom(names).Draw(t, "name")
			c := rapid.Float64Range(1, cost).Draw(t, "cost")
			served := rapid.Bool().Draw(t, "served")
			for _, s := range []*gate.Shares{a, b} {
				s.Asked(now, name, c)
				if served {
					s.Got(now, name, c)
				}
			}
			if a.Over(now, name) != b.Over(now, name) {
				t.Fatal("the same requests give different shares")
			}
		}
		for _, name := range names {
			if !a.Over(now, name) {
				return
			}
		}
		t.Fatal("all accounts are over their shares")
	})
}
