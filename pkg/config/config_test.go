package config_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func upstream(id ident.Upstream) config.Upstream {
	return config.Upstream{
		ID:        id,
		Address:   "127.0.0.1:9000",
		Domain:    "d1",
		Index:     "review-panel",
		Service:   "faculty-1",
		Shards:    []ident.Shard{"review-panel/1"},
		Slots:     2,
		ConnLimit: 50,
	}
}

// Guards against a change that updates the digest differently from a full
// computation. Entry hosts would then fetch full copies without end, or not
// notice that they had missed a delta.
func TestDigestFollowsContent(t *testing.T) {
	is := is.New(t)
	s := config.NewState()
	for _, c := range []config.Change{
		config.AddUpstream{Upstream: upstream("b")},
		config.AddUpstream{Upstream: upstream("a")},
		config.SwitchPreset{Name: preset.Peak},
		config.PutPreset{Preset: preset.Defaults()[2]},
		config.PlaceShards{ID: "a", Shards: []ident.Shard{"x", "y"}},
		config.SetSeats{Seats: 7},
		config.RetireUpstream{ID: "b"},
		config.RemoveUpstream{ID: "b"},
	} {
		next, err := s.Apply(c)
		is.NoErr(err)
		is.NoErr(next.Verify())
		is.Equal(next.Version.Number, s.Version.Number+1)
		is.True(next.Digest != s.Digest || c == config.Change(config.PutPreset{Preset: preset.Defaults()[2]}))
		s = next
	}
	is.Equal(len(s.Upstreams), 1)
}

// Guards against a command that runs twice when it is sent again, and against
// two commands that both succeed although they expect the same version.
func TestResentAndRacingCommands(t *testing.T) {
	is := is.New(t)
	m := config.NewMachine(config.NewState())
	first := config.Command{
		ID:     "c1",
		Change: config.SwitchPreset{Name: preset.Peak},
	}
	accepted := m.Run(first)
	is.Equal(accepted.Kind, config.Accepted)
	conflict := m.Run(config.Command{
		ID:     "c2",
		Change: config.SwitchPreset{Name: preset.Maintenance},
	})
	is.Equal(conflict.Kind, config.Conflict)
	is.Equal(conflict.Changed, []string{"0.1: preset in force is peak"})
	is.Equal(m.Run(first), accepted)
	is.Equal(m.State.InForce, preset.Peak)
	is.Equal(m.State.Version.Number, uint64(1))
}

// Guards against WithUpstreams giving another order or digest than the same
// upstreams added by changes, and against its accepting one id twice.
func TestBuiltStateEqualsChangedState(t *testing.T) {
	is := is.New(t)
	built, err := config.NewState().WithUpstreams([]config.Upstream{active("b"), active("a")})
	is.NoErr(err)
	is.NoErr(built.Verify())
	changed := config.NewState()
	for _, id := range []ident.Upstream{"a", "b"} {
		changed, err = changed.Apply(config.AddUpstream{Upstream: upstream(id)})
		is.NoErr(err)
	}
	is.Equal(built.Upstreams, changed.Upstreams)
	is.Equal(built.Digest, changed.Digest)
	_, err = config.NewState().WithUpstreams([]config.Upstream{active("a"), active("a")})
	is.True(err != nil)
}

func active(id ident.Upstream) config.Upstream {
	u := upstream(id)
	u.Phase = config.Active
	return u
}
