package evac_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func second(n float64) ident.Instant { return ident.Instant(n * float64(time.Second)) }

func confirmed(r evac.Revision, at ident.Instant, s *evac.Set) evac.Answer {
	return evac.Answer{
		Revision:    r,
		Set:         s,
		Confirmed:   true,
		ConfirmedAt: at,
	}
}

// Guards against a host that follows a revision of another log for good, one that gives
// its set up for an answer that was confirmed before it had the set, and one that asks
// for a set again and again.
func TestRevisionOfAnotherLogIsGivenUp(t *testing.T) {
	is := is.New(t)
	old, present := evac.Set{Revision: 90, Domains: []ident.Domain{"a"}}, evac.Set{Revision: 40}
	var c evac.Copy
	is.True(c.Update(second(1), confirmed(90, second(0.9), &old)))
	is.True(!c.Update(second(1.5), confirmed(40, second(0.99), nil))) // confirmed before
	is.Equal(c.StatedRevision(), evac.Revision(90))
	is.True(!c.Update(second(2), confirmed(40, second(1.9), nil)))
	is.Equal(c.StatedRevision(), evac.Revision(0)) // the set is wanted, whatever its revision
	is.Equal(c.Set(), old)                         // and is followed until it is there
	age, known := c.Age(second(2))
	is.True(known)
	is.Equal(age, 1010*time.Millisecond)

	is.True(!c.Update(second(2.5), evac.Answer{Revision: 30})) // of a host without a leader
	is.Equal(c.StatedRevision(), evac.Revision(90))
	is.True(c.Update(second(3), confirmed(40, second(2.9), &present)))
	is.Equal(c.Set(), present)
	is.Equal(c.StatedRevision(), evac.Revision(40))
	age, _ = c.Age(second(3))
	is.Equal(age, 100*time.Millisecond)

	is.True(c.Update(second(4), confirmed(0, second(3.9), nil))) // a group made anew
	is.Equal(c.Set(), evac.Set{})
}

// Guards against a host that follows another set than the newest one, some time after it
// has been in touch with the control hosts, and against one that goes back to an older
// set of the same log.
func TestCopyFollowsTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The log has a set for each position. A member has applied a part of it, and
		// knows when that was the newest, if it had the leader.
		log := []evac.Set{{}}
		type member struct {
			applied     int
			confirmed   bool
			confirmedAt ident.Instant
		}
		members := make([]member, 3)
		var c evac.Copy
		now := second(10)
		foreign := rapid.Bool().Draw(rt, "foreign")
		if foreign {
			c.Take(now, evac.Set{Revision: 1000, Domains: []ident.Domain{"x"}})
		}
		poll := func(m member) {
			want := log[m.applied]
			a := evac.Answer{
				Revision:    want.Revision,
				Confirmed:   m.confirmed,
				ConfirmedAt: m.confirmedAt,
			}
			if want.Revision > c.StatedRevision() {
				a.Set = &want
			}
			before := c.Set().Revision
			c.Update(now, a)
			if r := c.Set().Revision; r < before && before != 1000 {
				rt.Fatalf("revision %d follows %d", r, before)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "millis")) * time.Millisecond)
			m := &members[rapid.IntRange(0, 2).Draw(rt, "member")]
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				s := log[len(log)-1]
				if at := evac.Revision(len(log)); s.Contains("a") {
					s = s.End("a", at)
				} else {
					s, _ = s.Start("a", at)
				}
				log = append(log, s)
			case 1: // applies the log, up to the end if it has the leader
				*m = member{
					applied:     len(log) - 1,
					confirmed:   true,
					confirmedAt: now,
				}
			case 2: // restarts from a snapshot
				*m = member{applied: rapid.IntRange(0, m.applied).Draw(rt, "snapshot")}
			case 3:
				poll(*m)
			}
		}
		end := member{
			applied:   len(log) - 1,
			confirmed: true,
		}
		for range 2 {
			now = now.Add(time.Second)
			end.confirmedAt = now
			poll(end)
		}
		if got, want := c.Set(), log[len(log)-1]; got.Revision != want.Revision || got.Contains("a") != want.Contains("a") || got.Contains("x") {
			rt.Fatalf("%v is followed, the newest is %v", got, want)
		}
	})
}
