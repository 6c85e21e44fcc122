package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// deployment returns a configuration of n services with two upstreams and one
// shard each.
func deployment(t testing.TB, n int) *config.State {
	t.Helper()
	s := config.NewState()
	for i := range n {
		for j := range 2 {
			letter := string(rune('a' + i))
			next, err := s.Apply(config.AddUpstream{Upstream: config.Upstream{
				ID:        ident.Upstream(letter + string(rune('1'+j))),
				Address:   "127.0.0.1:9000",
				Domain:    "d1",
				Index:     "review-panel",
				Service:   ident.Service(letter),
				Shards:    []ident.Shard{ident.Shard(letter)},
				Slots:     2,
				ConnLimit: 50,
			}})
			if err != nil {
				t.Fatal(err)
			}
			s = next
		}
	}
	return s
}

func newReadyEngine(t testing.TB, s *config.State) *engine.Engine {
	t.Helper()
	e := engine.NewEngine(engine.Config{
		Host:   "h1",
		Domain: "d1",
		Seed:   1,
	})
	e.Step(1, engine.ConfigApplied{State: s})
	e.Step(1, engine.SeatChanged{Seat: engine.SeatHeld})
	for _, u := range s.Upstreams {
		e.Step(2, engine.UpstreamReported{
			Upstream: u.ID,
			Health:   engine.HealthReady,
			Held: []engine.Held{{
				Shard:    u.Shards[0],
				Versions: []ident.IndexVersion{7},
			}},
		})
	}
	return e
}

func filter[T engine.Effect](effects []engine.Effect) []T {
	var found []T
	for _, eff := range effects {
		if v, ok := eff.(T); ok {
			found = append(found, v)
		}
	}
	return found
}

func answer(s engine.Send, docs ...engine.Document) engine.AttemptAnswered {
	return engine.AttemptAnswered{
		Attempt: s.Attempt,
		Answer: engine.Answer{
			Request:   s.Request,
			Attempt:   s.Attempt,
			Shard:     s.Shard,
			Version:   s.Version,
			Documents: docs,
		},
	}
}

func search(id ident.QueryID) engine.QueryArrived {
	return engine.QueryArrived{
		Query:   id,
		Request: "r",
		Index:   "review-panel",
		Class:   preset.Critical,
	}
}

// Guards against duplicate documents in an answer, and against a document that
// replaces one with a higher revision.
func TestMergesByRevision(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 2))
	sends := filter[engine.Send](e.Step(10, search(1)))
	is.Equal(len(sends), 2)
	is.Equal(sends[0].Version, ident.IndexVersion(7))
	e.Step(20, answer(sends[0], engine.Document{ID: "x", Revision: 2, Score: 1}, engine.Document{ID: "y", Score: 3}))
	replies := filter[engine.Reply](e.Step(30, answer(sends[1], engine.Document{ID: "x", Revision: 1, Score: 9})))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Outcome, engine.Done)
	is.Equal(replies[0].Documents, []engine.Document{{ID: "y", Score: 3}, {ID: "x", Revision: 2, Score: 1}})
}

// Guards against a query that never ends when an upstream is unresponsive, and
// against a missing shard that is not named.
func TestDeadlineNamesMissingShard(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 2))
	sends := filter[engine.Send](e.Step(10, search(1)))
	e.Step(20, answer(sends[0]))
	replies := filter[engine.Reply](e.Step(ident.Instant(time.Second), engine.Ticked{}))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Outcome, engine.Partial)
	is.Equal(replies[0].Coverage.Answered, 1)
	is.Equal(replies[0].Coverage.Missing, []engine.Missing{{
		Shard:  sends[1].Shard,
		Reason: engine.MissingTimedOut,
	}})
}

// Guards against attempts that are sent without a seat or during shutdown.
func TestRefusesWithoutSeatAndInDrain(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 1))
	for id, ev := range []engine.Event{engine.SeatChanged{Seat: engine.SeatNone}, engine.DrainStarted{}} {
		e.Step(10, ev)
		effects := e.Step(10, search(ident.QueryID(id+1)))
		is.Equal(len(filter[engine.Send](effects)), 0)
		is.Equal(filter[engine.Reply](effects)[0].Outcome, engine.NotRun)
	}
}
