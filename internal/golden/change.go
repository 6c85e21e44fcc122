package golden

import (
	"fmt"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// seatsCommand returns a command that sets the number of seats.
func seatsCommand(id string, expect ident.ConfigVersion, seats int) config.Command {
	return config.Command{
		ID:     ident.CommandID(id),
		Expect: expect,
		Change: config.SetSeats{Seats: seats},
	}
}

// configTrace returns a trace of the configuration. priorChanges is the number
// of changes applied before the recording starts, as after a restart.
func configTrace(name, guards string, priorChanges int, run func(func(config.Command) config.Outcome), expected ...replay.Outcome) Trace {
	return Trace{
		Name:   "config-" + name,
		Guards: guards,
		write: func(path string) error {
			m := config.NewMachine(config.NewState())
			for i := range priorChanges {
				m.Run(seatsCommand(fmt.Sprint("before", i), m.State.Version, 1+i%50))
			}
			rec, err := newRecording(path, replay.ReducerConfig, m, replay.ConfigStep(m))
			if err != nil {
				return err
			}
			now := ident.Instant(0)
			run(func(c config.Command) config.Outcome {
				now++
				return rec.Step(now, c)[0]
			})
			return rec.finish(replay.ConfigViolations, expected...)
		},
	}
}

func configTraces() []Trace {
	return []Trace{
		configTrace("racing-operators", "two operators that both change the same version, or a resent command that runs again", 0,
			func(send func(config.Command) config.Outcome) {
				var v ident.ConfigVersion
				for i := range 20 {
					a, b := seatsCommand(fmt.Sprint("a", i), v, 10+i), seatsCommand(fmt.Sprint("b", i), v, 40+i)
					if i%2 == 1 {
						a, b = b, a
					}
					v = send(a).Version
					send(b)
					send(a)
					send(b)
				}
			},
			exactly("Accepted", 20), exactly("Conflict", 20), exactly("Resent", 40), exactly("Version", 20)),
		configTrace("restart", "a command from before a restart that runs again after it", 400,
			func(send func(config.Command) config.Outcome) {
				v := ident.ConfigVersion{Number: 400}
				for i := range 30 {
					send(seatsCommand(fmt.Sprint("before", 13*i), ident.ConfigVersion{Number: uint64(13 * i)}, 1+(13*i)%50))
					v = send(seatsCommand(fmt.Sprint("after", i), v, 5)).Version
				}
				send(seatsCommand("stale", ident.ConfigVersion{Number: 3}, 7))
			},
			exactly("Resent", 30), exactly("Accepted", 30), exactly("Conflict", 1), exactly("Version", 430)),
		configTrace("upstreams", "a change that leaves an upstream half added, moved or retired", 0, changeUpstreams,
			exactly("Version", 11), exactly("Accepted", 11), exactly("NotRun", 2)),
	}
}

// changeUpstreams adds, moves, retires and removes upstreams, switches presets
// and sets the number of seats. Two of its commands are not possible.
func changeUpstreams(send func(config.Command) config.Outcome) {
	var v ident.ConfigVersion
	n := 0
	submit := func(c config.Change) {
		n++
		v = send(config.Command{
			ID:     ident.CommandID(fmt.Sprint("c", n)),
			Expect: v,
			Change: c,
		}).Version
	}
	for i := range 4 {
		submit(config.AddUpstream{Upstream: config.Upstream{
			ID:        ident.Upstream(fmt.Sprint("u", i)),
			Address:   fmt.Sprintf("10.0.0.%d:1", i+1),
			Domain:    "d0",
			Index:     "x",
			Service:   ident.Service(fmt.Sprint("s", i/2)),
			Shards:    []ident.Shard{ident.Shard(fmt.Sprint("x", i/2))},
			Slots:     2,
			ConnLimit: 50,
		}})
	}
	submit(config.PlaceShards{ID: "u0", Shards: []ident.Shard{"x0", "x1"}})
	submit(config.PlaceShards{ID: "u9", Shards: []ident.Shard{"x0"}})
	submit(config.RemoveUpstream{ID: "u1"})
	submit(config.RetireUpstream{ID: "u1"})
	submit(config.RemoveUpstream{ID: "u1"})
	submit(config.SwitchPreset{Name: preset.Peak})
	submit(config.SetSeats{Seats: 30})
	submit(config.SwitchPreset{Name: preset.Maintenance})
	submit(config.SwitchPreset{Name: preset.Ordinary})
}
