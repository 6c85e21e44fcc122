// Command embed shows how a program embeds the query reducer: it feeds events to
// the reducer and executes the effects. Upstreams are simulated by a function.
package main

import (
	"fmt"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

func main() {
	state, err := config.NewState().WithUpstreams([]config.Upstream{upstream("a"), upstream("b")})
	if err != nil {
		panic(err)
	}
	e := engine.NewEngine(engine.Config{
		Host:   "host-1",
		Domain: "east",
		Seed:   1,
	})
	now := ident.Instant(1)
	e.Step(now, engine.ConfigApplied{State: state})
	e.Step(now, engine.SeatChanged{Seat: engine.SeatHeld})
	for _, u := range state.Upstreams {
		e.Step(now, engine.UpstreamReported{
			Upstream: u.ID,
			Health:   engine.HealthReady,
			Held: []engine.Held{{
				Shard:    "papers/1",
				Versions: []ident.IndexVersion{7},
			}},
		})
	}
	effects := e.Step(now, engine.QueryArrived{
		Query:   1,
		Request: "request-1",
		Index:   "papers",
		Terms:   "letter",
	})
	for len(effects) > 0 {
		now = now.Add(time.Millisecond)
		effects = executeEffects(e, now, effects)
	}
}

// executeEffects answers every Send immediately and prints every Reply. A real
// runtime sends requests and turns their results into events later.
func executeEffects(e *engine.Engine, now ident.Instant, effects []engine.Effect) []engine.Effect {
	var next []engine.Effect
	for _, eff := range effects {
		switch eff := eff.(type) {
		case engine.Send:
			next = append(next, e.Step(now, engine.AttemptAnswered{
				Attempt: eff.Attempt,
				Answer: engine.Answer{
					Request: eff.Request,
					Attempt: eff.Attempt,
					Shard:   eff.Shard,
					Version: eff.Version,
					Documents: []engine.Document{{
						ID:    "letter-1",
						Score: 1,
						Body:  "first letter",
					}},
				},
			})...)
		case engine.Reply:
			fmt.Printf("%s at version %d: %d of %d shards, %d document(s)\n",
				eff.Outcome, eff.Version, eff.Coverage.Answered, eff.Coverage.Asked, len(eff.Documents))
		default:
			// This program has no connections to warm, probes or timers.
		}
	}
	return next
}

func upstream(id ident.Upstream) config.Upstream {
	return config.Upstream{
		ID:        id,
		Address:   "127.0.0.1:9000",
		Domain:    "east",
		Index:     "papers",
		Service:   "papers-1",
		Shards:    []ident.Shard{"papers/1"},
		Slots:     2,
		ConnLimit: 50,
		Phase:     config.Active,
	}
}
