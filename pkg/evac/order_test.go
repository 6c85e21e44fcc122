package evac_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Guards against a late copy of an order that takes effect after another order for the
// domain, in both directions, and against a refusal of the newest order when it is sent
// again, or of one for another domain.
func TestLateCopies(t *testing.T) {
	start := func(d ident.Domain, after evac.Revision) evac.Order { return evac.Order{Domain: d, After: after} }
	end := func(d ident.Domain, after evac.Revision) evac.Order {
		return evac.Order{Domain: d, End: true, After: after}
	}
	for _, row := range []struct {
		name   string
		orders []evac.Order // at the positions 1, 2 and so on
		last   evac.Outcome
		want   string
	}{
		{"start", []evac.Order{start("a", 0)}, evac.Accepted, "[a]"},
		{"start again", []evac.Order{start("a", 0), start("a", 0)}, evac.Accepted, "[a]"},
		{"end after start", []evac.Order{start("a", 0), end("a", 1)}, evac.Accepted, "[]"},
		{"late end", []evac.Order{start("a", 0), end("a", 1), start("a", 2), end("a", 1)}, evac.Superseded, "[a]"},
		{"late start", []evac.Order{start("a", 0), end("a", 1), start("a", 0)}, evac.Superseded, "[]"},
		{"late end after a start that changed nothing", []evac.Order{start("a", 0), start("a", 1), end("a", 1)}, evac.Superseded, "[a]"},
		{"late start after an end that changed nothing", []evac.Order{end("a", 0), start("a", 0)}, evac.Superseded, "[]"},
		{"late start that changes nothing", []evac.Order{start("a", 0), end("a", 1), start("a", 2), start("a", 0)}, evac.Accepted, "[a]"},
		{"two domains", []evac.Order{start("a", 0), start("b", 0), end("a", 1), end("b", 2), start("b", 4)}, evac.Accepted, "[b]"},
		{"late end of one of two domains", []evac.Order{start("a", 0), start("b", 0), end("a", 1), start("a", 3), end("a", 1)}, evac.Superseded, "[a b]"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var l evac.State
			var outcome evac.Outcome
			for i, o := range row.orders {
				l, outcome = l.Apply(o, evac.Revision(i+1))
			}
			is.Equal(outcome, row.last)
			is.Equal(fmt.Sprint(l.Set.Domains), row.want)
		})
	}
}

// heldUp is a copy of an order on its way.
type heldUp struct {
	order  evac.Order
	number int
}

// Guards against an acknowledged order that is undone by copies of earlier ones, which
// arrive at any time later. Operators send the orders for a domain one after the other,
// each in any number of copies, to control hosts that know of any part of the log.
func TestAcknowledgedOrdersAreNotUndone(t *testing.T) {
	domains := []ident.Domain{"a", "b"}
	rapid.Check(t, func(rt *rapid.T) {
		logs := []evac.State{{}} // by position
		copies := make(map[ident.Domain][]heldUp)
		number := make(map[ident.Domain]int) // of the order that is sent now
		end := make(map[ident.Domain]bool)   // what it wants
		acknowledged := make(map[ident.Domain]bool)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			d := rapid.SampledFrom(domains).Draw(rt, "domain")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0: // the operator gives up on the order, or it is acknowledged; the next one
				number[d]++
				end[d], acknowledged[d] = rapid.Bool().Draw(rt, "end"), false
			case 1: // a control host tells the position of the last order that it knows of
				known := logs[rapid.IntRange(0, len(logs)-1).Draw(rt, "known")]
				copies[d] = append(copies[d], heldUp{
					order: evac.Order{
						Domain: d,
						End:    end[d],
						After:  known.LastFor(d),
					},
					number: number[d],
				})
			case 2, 3: // a copy arrives, and stays on its way as well
				if len(copies[d]) == 0 {
					continue
				}
				c := rapid.SampledFrom(copies[d]).Draw(rt, "copy")
				next, outcome := logs[len(logs)-1].Apply(c.order, evac.Revision(len(logs)))
				logs = append(logs, next)
				answered := c.number == number[d] && rapid.Bool().Draw(rt, "answered")
				if outcome == evac.Accepted && answered {
					acknowledged[d] = true
				}
			}
			for _, d := range domains {
				if got := logs[len(logs)-1].Set.Contains(d); acknowledged[d] && got == end[d] {
					rt.Fatalf("%s: evacuated is %v after an acknowledged order for %v", d, got, !end[d])
				}
			}
		}
		for _, d := range domains { // a current order needs two redirects at most
			now := logs[len(logs)-1]
			o := evac.Order{Domain: d, End: now.Set.Contains(d)}
			next, outcome := now.Apply(o, evac.Revision(len(logs)))
			if outcome == evac.Superseded {
				o.After = next.LastFor(d)
				next, outcome = next.Apply(o, evac.Revision(len(logs)+1))
			}
			if outcome != evac.Accepted || next.Set.Contains(d) == o.End {
				rt.Fatalf("%v has the outcome %d", o, outcome)
			}
		}
	})
}

// Guards against a state that grows with each domain that was ever named, and against a
// position that becomes valid again when it is forgotten.
func TestPositionsAreBounded(t *testing.T) {
	is := is.New(t)
	var l evac.State
	at := evac.Revision(0)
	apply := func(o evac.Order) evac.Outcome {
		at++
		next, outcome := l.Apply(o, at)
		l = next
		return outcome
	}
	is.Equal(apply(evac.Order{Domain: "first"}), evac.Accepted)
	is.Equal(apply(evac.Order{Domain: "first", End: true, After: 1}), evac.Accepted)
	for i := range 3 * evac.MaxDomains {
		d := ident.Domain(fmt.Sprint("d", i))
		is.Equal(apply(evac.Order{Domain: d, After: l.LastFor(d)}), evac.Accepted)
		is.Equal(apply(evac.Order{Domain: d, End: true, After: l.LastFor(d)}), evac.Accepted)
	}
	is.Equal(len(l.Last), 2*evac.MaxDomains)
	is.Equal(apply(evac.Order{Domain: "first", After: 0}), evac.Superseded)
	is.Equal(apply(evac.Order{Domain: "first", After: 2}), evac.Superseded)
	is.Equal(apply(evac.Order{Domain: "first", After: l.LastFor("first")}), evac.Accepted)
}

// Guards against members that disagree after an update since one of them has a snapshot
// of the release before, which has no positions, and another one has its log.
func TestOrdersOfTheReleaseBefore(t *testing.T) {
	is := is.New(t)
	var replayed evac.State
	for i, end := range []bool{false, true, false} {
		replayed, _ = replayed.ApplyUnnumbered(evac.Order{Domain: "a", End: end}, evac.Revision(i+1))
	}
	restored := evac.State{Set: replayed.Set}
	for _, l := range []evac.State{replayed, restored} {
		is.Equal(l.LastFor("a"), evac.Revision(0))
		l, outcome := l.Apply(evac.Order{Domain: "a", End: true}, 4)
		is.Equal(outcome, evac.Accepted)
		l, _ = l.ApplyUnnumbered(evac.Order{Domain: "a"}, 5) // of a host that is not updated yet
		is.Equal(l.LastFor("a"), evac.Revision(5))
		_, outcome = l.Apply(evac.Order{Domain: "a", End: true, After: 4}, 6)
		is.Equal(outcome, evac.Superseded)
	}
}
