package proto_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/preset"
	"github.com/jujubethread/jujubethread/pkg/spread"
)

// Guards against a sealed interface that decodes to a pointer or to a map: the
// state machine would refuse the change as unknown and the host would stay behind.
func TestChangesDecodeToValues(t *testing.T) {
	is := is.New(t)
	changes := []config.Change{
		config.SwitchPreset{Name: preset.Peak},
		config.PutPreset{Preset: preset.Defaults()[1]},
		config.AddUpstream{Upstream: config.Upstream{ID: "u", Shards: []ident.Shard{"s"}}},
		config.RetireUpstream{ID: "u"},
		config.RemoveUpstream{ID: "u"},
		config.PlaceShards{ID: "u", Shards: []ident.Shard{"s", "t"}},
		config.SetSeats{Seats: 3},
	}
	in := proto.Update{Part: &proto.CopyPart{Seats: 4}}
	for i, c := range changes {
		in.Deltas = append(in.Deltas, spread.Delta{
			Version: ident.ConfigVersion{Number: uint64(i)},
			Change:  c,
			Digest:  9,
		})
	}
	b, err := proto.Marshal(in)
	is.NoErr(err)
	var out proto.Update
	is.NoErr(proto.Unmarshal(b, &out))
	is.Equal(out, in)

	for _, c := range []ledger.Command{
		ledger.Reserve{Request: "r", BodyHash: ledger.BodyHash{1, 2}, Attempt: 3},
		ledger.Complete{Fence: 1},
		ledger.Release{Fence: 2},
		ledger.Expire{At: 5},
		ledger.Resolve{Status: ledger.Done},
	} {
		b, err := proto.Marshal(struct{ Command ledger.Command }{c})
		is.NoErr(err)
		var out struct{ Command ledger.Command }
		is.NoErr(proto.Unmarshal(b, &out))
		is.Equal(out.Command, c)
	}
}

// Guards against hosts of different releases that silently drop fields.
func TestUnknownFieldIsRefused(t *testing.T) {
	is := is.New(t)
	b, err := proto.Marshal(struct{ Version, Novel int }{1, 2})
	is.NoErr(err)
	is.True(proto.Unmarshal(b, &struct{ Version int }{}) != nil)
	is.True(proto.Unmarshal([]byte{0xff, 0x00}, &proto.Update{}) != nil)
}
