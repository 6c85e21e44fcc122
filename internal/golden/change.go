package golden

import (
	"fmt"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// command returns a change of the number of seats.
func command(id string, expect ident.ConfigVersion, seats int) config.Command {
	return config.Command{
		ID:     ident.CommandID(id),
		Expect: expect,
		Change: config.SetSeats{Seats: seats},
	}
}

// changed returns a trace of the configuration after a number of changes that
// came before the record, as after a restart.
func changed(name, guards string, before int, run func(func(config.Command) config.Outcome), stated ...replay.Outcome) Trace {
	return Trace{
		Name:   "config-" + name,
		Guards: guards,
		write: func(path string) error {
			m := config.NewMachine(config.NewState())
			for i := range before {
				m.Run(command(fmt.Sprint("before", i), m.State.Version, 1+i%50))
			}
			out, err := newTape(path, replay.ReducerConfig, m, replay.ConfigStep(m))
			if err != nil {
				return err
			}
			now := ident.Instant(0)
			run(func(c config.Command) config.Outcome {
				now++
				return out.Step(now, c)[0]
			})
			return out.end(replay.ConfigBroken, stated...)
		},
	}
}

func changes() []Trace {
	return []Trace{
		changed("racing-operators", "two operators that both change the same version, or a resent command that runs again", 0,
			func(send func(config.Command) config.Outcome) {
				var v ident.ConfigVersion
				for i := range 20 {
					a, b := command(fmt.Sprint("a", i), v, 10+i), command(fmt.Sprint("b", i), v, 40+i)
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
		changed("restart", "a command from before a restart that runs again after it", 400,
			func(send func(config.Command) config.Outcome) {
				v := ident.ConfigVersion{Number: 400}
				for i := range 30 {
					send(command(fmt.Sprint("before", 13*i), ident.ConfigVersion{Number: uint64(13 * i)}, 1+(13*i)%50))
					v = send(command(fmt.Sprint("after", i), v, 5)).Version
				}
				send(command("stale", ident.ConfigVersion{Number: 3}, 7))
			},
			exactly("Resent", 30), exactly("Accepted", 30), exactly("Conflict", 1), exactly("Version", 430)),
		changed("upstreams", "a change that leaves an upstream half added, moved or retired", 0, changeUpstreams,
			exactly("Version", 11), exactly("Accepted", 11), exactly("NotRun", 2)),
	}
}

// changeUpstreams adds, moves, retires and removes an upstream and switches
// presets. Two of its commands are impossible.
func changeUpstreams(send func(config.Command) config.Outcome) {
	var v ident.ConfigVersion
	n := 0
	do := func(c config.Change) {
		n++
		v = send(config.Command{
			ID:     ident.CommandID(fmt.Sprint("c", n)),
			Expect: v,
			Change: c,
		}).Version
	}
	for i := range 4 {
		do(config.AddUpstream{Upstream: config.Upstream{
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
	do(config.PlaceShards{ID: "u0", Shards: []ident.Shard{"x0", "x1"}})
	do(config.PlaceShards{ID: "u9", Shards: []ident.Shard{"x0"}})
	do(config.RemoveUpstream{ID: "u1"})
	do(config.RetireUpstream{ID: "u1"})
	do(config.RemoveUpstream{ID: "u1"})
	do(config.SwitchPreset{Name: preset.Peak})
	do(config.SetSeats{Seats: 30})
	do(config.SwitchPreset{Name: preset.Maintenance})
	do(config.SwitchPreset{Name: preset.Ordinary})
}
