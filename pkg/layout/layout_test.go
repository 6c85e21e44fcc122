package layout_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/layout"
)

func upstream(id ident.Upstream, shards ...ident.Shard) config.Upstream {
	return config.Upstream{
		ID:        id,
		Address:   "127.0.0.1:1",
		Domain:    "d1",
		Index:     "review-panel",
		Service:   "s",
		Shards:    shards,
		ConnLimit: 1,
		Phase:     config.Active,
	}
}

func ExampleMap_Pinned() {
	m := layout.NewMap("d1")
	m.SetReach(layout.ReachAll)
	m.Apply([]config.Upstream{upstream("u1", "a"), upstream("u2", "b")})
	ix := m.Index("review-panel")
	fmt.Println("before reports:", m.Pinned(ix).Waiting)
	m.Upstream("u1").Learn("a", []ident.IndexVersion{6, 7})
	m.Upstream("u2").Learn("b", []ident.IndexVersion{6})
	fmt.Println("held by all shards:", m.Pinned(ix).Version)
	m.Upstream("u2").Learn("b", []ident.IndexVersion{6, 7})
	fmt.Println("after roll-over:", m.Pinned(ix).Version)
	// Output:
	// before reports: true
	// held by all shards: 6
	// after roll-over: 7
}

// Guards against a placement that differs from the configuration after many
// changes, and against a pin that is not the version most shards can serve.
func TestFollowsConfiguration(t *testing.T) {
	names := []ident.Shard{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		m := layout.NewMap("d1")
		m.SetReach(layout.ReachAll)
		held := map[string][]ident.IndexVersion{}
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			var conf []config.Upstream
			for _, id := range []ident.Upstream{"u1", "u2", "u3", "u4"} {
				shards := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "shards")
				if len(shards) > 0 {
					conf = append(conf, upstream(id, shards...))
				}
			}
			m.Apply(conf)
			next := map[string][]ident.IndexVersion{}
			for _, c := range conf {
				u := m.Upstream(c.ID)
				for _, s := range c.Shards {
					key := string(c.ID) + string(s)
					vs, kept := held[key]
					if !kept || rapid.Bool().Draw(t, "report") {
						vs = rapid.SliceOfNDistinct(rapid.SampledFrom([]ident.IndexVersion{1, 2, 3}), 0, 3, rapid.ID).Draw(t, "versions")
						u.Learn(s, vs)
					}
					next[key] = vs
				}
			}
			held = next
			checkPin(t, m, held)
		}
	})
}

// checkPin compares the pin with one computed from all replicas.
func checkPin(t *rapid.T, m *layout.Map, held map[string][]ident.IndexVersion) {
	serve := map[ident.IndexVersion]map[string]bool{}
	shards := map[string]bool{}
	for key, vs := range held {
		shard := key[2:]
		shards[shard] = true
		for _, v := range vs {
			if serve[v] == nil {
				serve[v] = map[string]bool{}
			}
			serve[v][shard] = true
		}
	}
	want := layout.Pin{}
	for v := ident.IndexVersion(1); v <= 3; v++ {
		if n := len(serve[v]); n > 0 && n >= want.Shards {
			want = layout.Pin{
				Version: v,
				Shards:  n,
			}
		}
	}
	ix := m.Index("review-panel")
	if ix == nil {
		return
	}
	if got := m.Pinned(ix); got != want {
		t.Fatalf("pin %+v, want %+v of %v", got, want, held)
	}
	if len(ix.Shards) != len(shards) || !slices.IsSortedFunc(ix.Shards, func(a, b *layout.Shard) int { return strings.Compare(string(a.Name), string(b.Name)) }) {
		t.Fatalf("%d shards, want %d in order", len(ix.Shards), len(shards))
	}
}
