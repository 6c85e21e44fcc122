package board_test

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// logBound is the longest time until a host that does not get the replicated log
// has a document: its poll in progress ends, the next one begins within the
// grace period, and the one after that gets the document.
const logBound = board.LogGrace + 2*board.PollWait

// Guards against a host without the replicated log that gets no document for as
// long as changes come in quick succession, and against sending documents to
// hosts that have them from the log.
func TestDocumentsReachAHostWithoutTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step = 10 * time.Millisecond
		hasLog := rapid.Bool().Draw(rt, "has log")
		gap := time.Duration(rapid.IntRange(1, 80).Draw(rt, "gap")) * step
		b := board.New()
		var now, nextChange ident.Instant
		var newest, held, received rules.Version
		var acceptedAt []ident.Instant // by version
		open := func() *board.Poll {
			return b.Open(now, &board.Request{From: board.Host{ID: "h"}, Version: held, Follows: true})
		}
		poll := open()
		for end := ident.Instant(10 * time.Second); now < end; now = now.Add(step) {
			if now >= nextChange {
				newest++
				acceptedAt = append(acceptedAt, now)
				b.SetDocument(now, board.Document{Version: newest})
				nextChange = now.Add(gap)
			}
			if hasLog {
				held = newest
			}
			if r, due := b.Answer(now, poll); due {
				if r.Document != nil {
					held = max(held, r.Document.Version)
					received = r.Document.Version
				}
				poll = open()
			}
			if next := int(held); next < len(acceptedAt) && now.Sub(acceptedAt[next]) > logBound {
				rt.Fatalf("at %s: version %d of %s is not there", time.Duration(now), next+1, time.Duration(acceptedAt[next]))
			}
		}
		if hasLog && received > 0 {
			rt.Fatalf("version %d was sent to a host that had it from the log", received)
		}
	})
}

// Guards against a poll that is answered late, twice as often as needed, or not
// at all.
func TestPollWaitsForAnUpdate(t *testing.T) {
	is := is.New(t)
	b := board.New()
	p := b.Open(0, &board.Request{})
	_, due := b.Answer(0, p)
	is.True(!due)
	_, due = b.Answer(p.Deadline, p)
	is.True(due)
	is.True(b.SetDocument(1, board.Document{Version: 3}))
	is.True(!b.SetDocument(1, board.Document{Version: 3}))
	r, due := b.Answer(1, p)
	is.True(due)
	is.Equal(r.Document.Version, rules.Version(3))
	_, due = b.Answer(1, b.Open(1, &board.Request{Version: 3}))
	is.True(!due)
	_, due = b.Answer(1, b.Open(1, &board.Request{Version: 3, AtOnce: true}))
	is.True(due)
}

// Guards against a host that learns of a lost leader only at its next poll.
func TestStaleBoardAnswersAtOnce(t *testing.T) {
	is := is.New(t)
	b := board.New()
	b.SetDocument(0, board.Document{Version: 3})
	b.ConfirmOwn(0, evac.Set{}, 0)
	p := b.Open(ident.Instant(follow.StaleAge), &board.Request{Version: 3})
	_, due := b.Answer(ident.Instant(follow.StaleAge), p)
	is.True(!due)
	is.True(b.Sweep(ident.Instant(follow.StaleAge) + 1)) // waiting polls are woken
	r, due := b.Answer(ident.Instant(follow.StaleAge)+1, p)
	is.True(due)
	is.Equal(r.Age, follow.StaleAge.Milliseconds())
	_, due = b.Answer(0, b.Open(ident.Instant(2*time.Second), &board.Request{Version: 3}))
	is.True(!due) // one that is stale already answers no earlier
}

// Guards against an older roster or list that replaces a newer one when a host
// polls a control host that is behind, and against answering at once again and
// again because the two differ.
func TestBoardOffersNothingOlder(t *testing.T) {
	is := is.New(t)
	b := board.New()
	now := ident.Instant(10 * time.Second)
	b.SetRoster(roster(3))
	b.SetList(board.NewList([]relay.Upstream{{ID: "u"}}), now.Add(-3*time.Second))
	newer := board.Request{
		Roster:  12345,
		Digest:  6789,
		ListAge: time.Second.Milliseconds(),
	}
	r, due := b.Answer(now, b.Open(now, &newer))
	is.True(!due)
	is.Equal(r.Roster, uint64(0))
	is.True(r.List == nil)
	r, due = b.Answer(now, b.Open(now, &board.Request{})) // a host that has none
	is.True(due)
	is.Equal(len(r.Hosts), 3)
	is.Equal(len(r.List.Upstreams), 1)
	older := newer
	older.ListAge = (5 * time.Second).Milliseconds()
	r, due = b.Answer(now, b.Open(now, &older))
	is.True(due)
	is.Equal(len(r.List.Upstreams), 1)
}

// Guards against a copy that counts as current although its source had lost the
// leader, or because the answer was long under way.
func TestAgeTravelsWithTheAnswer(t *testing.T) {
	is := is.New(t)
	at := func(ms int) ident.Instant { return ident.Instant(time.Duration(ms) * time.Millisecond) }
	leader := board.New()
	r, _ := leader.Answer(at(50), leader.Open(at(0), &board.Request{}))
	_, known := r.ConfirmedAt(0)
	is.True(!known)
	leader.SetDocument(at(0), board.Document{Version: 3})
	leader.ConfirmOwn(at(100), evac.Set{}, at(100))
	r, _ = leader.Answer(at(900), leader.Open(at(600), &board.Request{}))
	confirmedAt, known := r.ConfirmedAt(at(7000)) // on another clock; the poll waited 300 ms
	is.True(known)
	is.Equal(confirmedAt, at(7000+300-800))
	is.Equal(r.Evacuations(at(7000)).ConfirmedAt, confirmedAt)

	follower := board.New()
	follower.Confirm(at(7400), r.Version, r.Evacuations(at(7000)))
	_, known = follower.Age(at(8000))
	is.True(!known) // it does not have the version yet
	follower.SetDocument(at(8100), board.Document{Version: 3})
	age, known := follower.Age(at(8200))
	is.True(known)
	is.Equal(age, 1700*time.Millisecond)
}

// newest returns the answer of a control host that is known to have had the newest set,
// of the given revision, at some time.
func newest(r evac.Revision, at ident.Instant) evac.Answer {
	return evac.Answer{
		Revision:    r,
		Confirmed:   true,
		ConfirmedAt: at,
	}
}

func evacuated(r evac.Revision, domains ...ident.Domain) evac.Set {
	return evac.Set{
		Revision: r,
		Domains:  domains,
	}
}

// Guards against a change of the evacuated domains alone that waits for the end of a
// poll, also for a host that gets documents from the replicated log, and against an
// older set that is offered, or answered again and again.
func TestEvacuationReachesEachPollAtOnce(t *testing.T) {
	is := is.New(t)
	for _, follows := range []bool{false, true} {
		b := board.New()
		request := board.Request{From: board.Host{ID: "h", Kind: board.Control}, Follows: follows}
		p := b.Open(0, &request)
		r, due := b.Answer(0, p)
		is.True(!due)
		is.True(r.Evacuated == nil)
		is.True(b.SetEvacuation(0, evacuated(2, "a")))
		is.True(!b.SetEvacuation(0, evacuated(2, "b")))
		is.True(!b.SetEvacuation(0, evacuated(1)))
		is.Equal(b.Evacuation(), evacuated(2, "a"))
		r, due = b.Answer(1, p)
		is.True(due)
		is.Equal(*r.Evacuated, evacuated(2, "a"))
		is.Equal(r.EvacuationRevision, evac.Revision(2))
		for _, held := range []evac.Revision{2, 3} {
			request.Evacuation = held
			r, due = b.Answer(1, b.Open(1, &request))
			is.True(!due)
			is.True(r.Evacuated == nil)
			is.Equal(r.EvacuationRevision, evac.Revision(2))
		}
	}
}

// Guards against a control host that counts as current although it lacks an evacuation
// that its leader has, or that has the newest document and an evacuation of unknown age.
func TestAgeCoversTheEvacuation(t *testing.T) {
	is := is.New(t)
	b := board.New()
	b.SetDocument(0, board.Document{Version: 3})
	is.True(!b.Confirm(100, 3, newest(5, 100)))
	_, known := b.Age(200)
	is.True(!known)
	p := b.Open(200, &board.Request{Version: 3, Evacuation: 5})
	_, due := b.Answer(200, p)
	is.True(!due)
	b.SetEvacuation(250, evacuated(5, "a"))
	r, due := b.Answer(300, p)
	is.True(due) // an entry host that starts waits for the first confirmation
	is.Equal(r.Age, int64(0))

	now := ident.Instant(follow.StaleAge)
	is.True(!b.Confirm(now, 3, newest(6, now)))
	p = b.Open(now+50, &board.Request{Version: 3, Evacuation: 5})
	is.True(b.Sweep(now + 101)) // revision 6 is missing for StaleAge
	r, due = b.Answer(now+101, p)
	is.True(due)
	is.Equal(r.Age, follow.StaleAge.Milliseconds())
	b.SetEvacuation(now+101, evacuated(6))
	age, known := b.Age(now + 101)
	is.True(known)
	is.Equal(age, 101*time.Nanosecond)
}

// Guards against a leader, or a host that follows it, that goes on offering a set with a
// revision that is not of the present log.
func TestBoardOffersTheSetOfTheLog(t *testing.T) {
	is := is.New(t)
	wrong, right := evacuated(90, "a"), evacuated(40)
	leader, follower := board.New(), board.New()
	for _, b := range []*board.Board{leader, follower} {
		b.SetEvacuation(second(1), wrong)
	}
	is.True(leader.ConfirmOwn(second(2), right, second(2)))
	is.Equal(leader.Evacuation(), right)
	poll := func(now ident.Instant) (changed bool) {
		r, _ := leader.Answer(now, leader.Open(now, &board.Request{Evacuation: follower.StatedEvacuation(), AtOnce: true}))
		return follower.Confirm(now, r.Version, r.Evacuations(now))
	}
	leader.ConfirmOwn(second(3), right, second(3))
	is.True(!poll(second(3)))
	is.Equal(follower.Evacuation(), wrong)
	is.Equal(follower.StatedEvacuation(), evac.Revision(0))
	is.True(poll(second(4)))
	is.Equal(follower.Evacuation(), right)
}

func second(n int) ident.Instant { return ident.Instant(n) * ident.Instant(time.Second) }

// Guards against a host that takes back an evacuation, or an end of one, since it polls
// a control host that has restarted with older state, or several of them in turn.
func TestNoHostGoesBackToAnOlderEvacuation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boards := []*board.Board{board.New(), board.New(), board.New()}
		history := []evac.Set{{}}
		var held evac.Set
		now := ident.Instant(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(100 * time.Millisecond)
			i := rapid.IntRange(0, len(boards)-1).Draw(rt, "control host")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0: // an order, at one host first
				s := history[len(history)-1]
				if s.Contains("a") {
					s = s.End("a", evac.Revision(len(history)))
				} else {
					s, _ = s.Start("a", evac.Revision(len(history)))
				}
				history = append(history, s)
				boards[i].SetEvacuation(now, s)
			case 1: // a replay of the log, from any snapshot on
				boards[i].SetEvacuation(now, history[rapid.IntRange(0, len(history)-1).Draw(rt, "state")])
			case 2: // a restart
				boards[i] = board.New()
			case 3:
				r, _ := boards[i].Answer(now, boards[i].Open(now, &board.Request{Evacuation: held.Revision, AtOnce: true}))
				if r.Evacuated == nil {
					continue
				}
				if r.Evacuated.Revision <= held.Revision {
					rt.Fatalf("revision %d is offered to a host with %d", r.Evacuated.Revision, held.Revision)
				}
				held = *r.Evacuated
				if want := history[held.Revision]; held.Contains("a") != want.Contains("a") {
					rt.Fatalf("%v is offered, the order was %v", held, want)
				}
			}
		}
	})
}

// Guards against messages that hosts of the release before refuse although no evacuation
// has been ordered yet: unknown fields are errors there.
func TestMessagesWithoutAnEvacuationAreThoseOfTheReleaseBefore(t *testing.T) {
	is := is.New(t)
	for _, message := range []any{board.Request{}, board.Reply{}} {
		raw, err := cbor.Marshal(message)
		is.NoErr(err)
		var fields map[string]any
		is.NoErr(cbor.Unmarshal(raw, &fields))
		for name := range fields {
			is.True(!strings.HasPrefix(name, "Evacuat"))
		}
	}
}
