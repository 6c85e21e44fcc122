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

// Guards against an incremental digest that drifts from the content, which
// would make hosts fetch full copies for ever or miss a lost delta.
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

// Guards against a resent command running twice and against two racing
// operators both winning.
func TestResentAndRacingCommands(t *testing.T) {
	is := is.New(t)
	m := config.NewMachine(config.NewState())
	first := config.Command{
		ID:     "c1",
		Change: config.SwitchPreset{Name: preset.Peak},
	}
	won := m.Run(first)
	is.Equal(won.Kind, config.Accepted)
	lost := m.Run(config.Command{
		ID:     "c2",
		Change: config.SwitchPreset{Name: preset.Maintenance},
	})
	is.Equal(lost.Kind, config.Conflict)
	is.Equal(lost.Changed, []string{"0.1: preset in force is peak"})
	is.Equal(m.Run(first), won)
	is.Equal(m.State.InForce, preset.Peak)
	is.Equal(m.State.Version.Number, uint64(1))
}

// Guards against a state that is built at once and differs from the same
// state built by changes, and against an upstream that is listed twice.
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
