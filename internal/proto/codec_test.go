package proto_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Guards against a sealed interface that decodes to a pointer or to a map: the
// state machine would reject the change as unknown, and the configuration of
// the host would become stale.
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
		in.Deltas = append(in.Deltas, follow.Delta{
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

// Guards against a host that silently drops fields sent by another release.
func TestUnknownFieldIsRefused(t *testing.T) {
	is := is.New(t)
	b, err := proto.Marshal(struct{ Version, Novel int }{1, 2})
	is.NoErr(err)
	is.True(proto.Unmarshal(b, &struct{ Version int }{}) != nil)
	is.True(proto.Unmarshal([]byte{0xff, 0x00}, &proto.Update{}) != nil)
}

// Guards against a full copy that lacks upstreams after it was split and
// joined, or that is joined from parts of two copies.
func TestCopyInParts(t *testing.T) {
	is := is.New(t)
	s := config.NewState()
	for i := range 2500 {
		next, err := s.Apply(config.AddUpstream{Upstream: config.Upstream{
			ID:        ident.Upstream(fmt.Sprint("u", i)),
			Address:   "127.0.0.1:1",
			Index:     "i",
			Service:   "s",
			Shards:    []ident.Shard{"s"},
			Slots:     1,
			ConnLimit: 1,
		}})
		is.NoErr(err)
		s = next
	}
	parts := proto.SplitCopy(s)
	is.Equal(len(parts), 3)
	var a proto.Assembler
	var got *config.State
	for _, p := range parts {
		b, err := proto.Marshal(p)
		is.NoErr(err)
		var decoded proto.CopyPart
		is.NoErr(proto.UnmarshalMessage(b, &decoded))
		got, err = a.Add(&decoded)
		is.NoErr(err)
	}
	is.NoErr(got.Verify())
	is.Equal(got, s)

	_, err := a.Add(parts[0])
	is.NoErr(err)
	other := *parts[1]
	other.Version.Number++
	_, err = a.Add(&other)
	is.True(err != nil)
	_, err = a.Add(parts[2])
	is.True(err != nil) // a part that does not match discards the copy
}

// Guards against a short message that makes the decoder allocate without bound.
func TestLongArrayIsRefused(t *testing.T) {
	is := is.New(t)
	in := struct{ Upstreams []*int }{make([]*int, 1<<15)}
	b, err := proto.Marshal(in)
	is.NoErr(err)
	is.True(proto.UnmarshalMessage(b, &proto.CopyPart{}) != nil)
}

// FuzzUnmarshal guards against data from a peer that makes the decoder panic.
func FuzzUnmarshal(f *testing.F) {
	for _, v := range []any{
		proto.Update{Deltas: []follow.Delta{{Change: config.SetSeats{Seats: 1}}}},
		proto.Reserve{Request: "r"},
		struct{ Command ledger.Command }{ledger.Expire{}},
	} {
		b, err := proto.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = proto.UnmarshalMessage(data, &proto.Update{})
		_ = proto.UnmarshalMessage(data, &proto.Reserve{})
		_ = proto.UnmarshalMessage(data, &struct{ Command ledger.Command }{})
	})
}
