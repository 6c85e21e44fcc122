package evac_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Guards against an order that is lost, or that changes the revision when it is repeated.
// The orders are at the positions 10, 11 and so on.
func TestOrders(t *testing.T) {
	for _, row := range []struct {
		name   string
		orders string // +x starts the evacuation of x, -x ends it
		want   evac.Set
	}{
		{"nothing", "", evac.Set{}},
		{"one", "+a", evac.Set{Revision: 10, Domains: []ident.Domain{"a"}}},
		{"repeated start", "+a +a", evac.Set{Revision: 10, Domains: []ident.Domain{"a"}}},
		{"two, sorted", "+b +a", evac.Set{Revision: 11, Domains: []ident.Domain{"a", "b"}}},
		{"withdrawn", "+a -a", evac.Set{Revision: 11, Domains: []ident.Domain{}}},
		{"repeated end", "+a -a -a", evac.Set{Revision: 11, Domains: []ident.Domain{}}},
		{"end without a start", "-a", evac.Set{}},
		{"one of two withdrawn", "+a +b -a", evac.Set{Revision: 12, Domains: []ident.Domain{"b"}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var s evac.Set
			for i, order := range strings.Fields(row.orders) {
				s = apply(t, s, order[0] == '+', ident.Domain(order[1:]), evac.Revision(10+i))
			}
			is.Equal(s, row.want)
		})
	}
}

func apply(t rapid.TB, s evac.Set, start bool, d ident.Domain, at evac.Revision) evac.Set {
	t.Helper()
	if !start {
		return s.End(d, at)
	}
	s, err := s.Start(d, at)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a revision other than the position of the last change, and
// against sets that change after they were handed out, such as to a snapshot.
func TestRevisionOrdersTheSets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s evac.Set
		evacuated := make(map[ident.Domain]bool)
		var earlier, copies []evac.Set
		position := evac.Revision(0)
		for range rapid.IntRange(0, 40).Draw(rt, "orders") {
			position += evac.Revision(rapid.IntRange(1, 5).Draw(rt, "other entries"))
			start := rapid.Bool().Draw(rt, "start")
			d := ident.Domain(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "domain"))
			next := apply(rt, s, start, d, position)
			want := s.Revision
			if evacuated[d] != start {
				want = position
			}
			evacuated[d] = start
			if next.Revision != want || next.Contains(d) != start || !slices.IsSorted(next.Domains) {
				rt.Fatalf("%v became %v", s, next)
			}
			s = next
			earlier = append(earlier, s)
			copies = append(copies, evac.Set{Revision: s.Revision, Domains: slices.Clone(s.Domains)})
		}
		for d, on := range evacuated {
			if s.Contains(d) != on {
				rt.Fatalf("%s: %v in %v", d, on, s)
			}
		}
		for i := range earlier {
			if !slices.Equal(earlier[i].Domains, copies[i].Domains) {
				rt.Fatalf("revision %d changed from %v to %v", earlier[i].Revision, copies[i].Domains, earlier[i].Domains)
			}
		}
	})
}

// Guards against a set that grows without bound by orders for unknown domains.
func TestSetIsBounded(t *testing.T) {
	is := is.New(t)
	var s evac.Set
	for i := range evac.MaxDomains {
		s = apply(t, s, true, ident.Domain(fmt.Sprint("d", i)), evac.Revision(i+1))
	}
	full, err := s.Start("one-more", 1000)
	is.Equal(err, evac.ErrFull)
	is.Equal(full, s)
	_, err = s.Start("d7", 1000) // a repetition is acknowledged all the same
	is.NoErr(err)
	_, err = s.End("d7", 1000).Start("one-more", 1001)
	is.NoErr(err)
}

// Guards against names that no list can have, and against a refusal of one that
// lists have.
func TestNames(t *testing.T) {
	is := is.New(t)
	for _, good := range []string{"a", "eu-west-1a", "Z_3.b~", strings.Repeat("x", evac.MaxName)} {
		is.NoErr(evac.CheckName(ident.Domain(good)))
	}
	for _, bad := range []string{"", "a b", "a/b", "a\n", "a\x00", "\xff", "zone-ä", strings.Repeat("x", evac.MaxName+1)} {
		is.True(evac.CheckName(ident.Domain(bad)) != nil)
	}
}
