package board_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/ident"
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
